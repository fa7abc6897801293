//! The platform's balancer before the entry hosts: it only knows what health checks told a moment ago.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ureq::Agent;

/// Pause between two health checks of every entry host.
const STEP: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(500);

/// Entry hosts and whether they were ready at the last check.
#[derive(Debug)]
pub struct Balancer {
    doors: Vec<Door>,
}

#[derive(Debug)]
struct Door {
    callers: SocketAddr,
    ops: SocketAddr,
    ready: AtomicBool,
}

impl Balancer {
    /// Makes a balancer for addresses for callers and for health checks, all believed ready.
    #[must_use]
    pub fn new(doors: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let door = |(callers, ops)| Door {
            callers,
            ops,
            ready: AtomicBool::new(true),
        };
        Self {
            doors: doors.into_iter().map(door).collect(),
        }
    }

    /// Gives the entry hosts in the order in which a request tries them; the unready ones come last.
    #[must_use]
    pub fn order(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.doors.len();
        let turned: Vec<&Door> = (0..count).map(|at| &self.doors[(first + at) % count]).collect();
        let (ready, other): (Vec<&Door>, Vec<&Door>) =
            turned.into_iter().partition(|door| door.ready.load(Ordering::Relaxed));
        ready.into_iter().chain(other).map(|door| door.callers).collect()
    }

    /// Checks every entry host again and again until told to stop.
    pub fn watch(&self, done: &AtomicBool) {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .max_idle_connections(0)
            .proxy(None)
            .build();
        let agent: Agent = config.into();
        while !done.load(Ordering::Relaxed) {
            for door in &self.doors {
                let answer = agent.get(format!("http://{}/readyz", door.ops)).call();
                door.ready.store(answer.is_ok(), Ordering::Relaxed);
            }
            std::thread::sleep(STEP);
        }
    }
}
