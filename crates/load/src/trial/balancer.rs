//! Stand-in for the load balancer in front of the entry hosts: it only knows the result of the last health checks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ureq::Agent;

/// Pause between two rounds of health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest duration of a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Entry hosts, each with the result of its last health check.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<EntryHost>,
}

#[derive(Debug)]
struct EntryHost {
    callers: SocketAddr,
    ops: SocketAddr,
    ready: AtomicBool,
}

impl Balancer {
    /// Creates a balancer for entry hosts, each given by its addresses for callers and for health checks; all count as
    /// ready at first.
    #[must_use]
    pub fn new(entries: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let entry = |(callers, ops)| EntryHost {
            callers,
            ops,
            ready: AtomicBool::new(true),
        };
        Self {
            entries: entries.into_iter().map(entry).collect(),
        }
    }

    /// Returns the entry hosts in the order in which a request tries them: round from `first`, with unready ones last.
    #[must_use]
    pub fn candidates(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let rotated: Vec<&EntryHost> = (0..count).map(|at| &self.entries[(first + at) % count]).collect();
        let (ready, unready): (Vec<&EntryHost>, Vec<&EntryHost>) = rotated
            .into_iter()
            .partition(|entry| entry.ready.load(Ordering::Relaxed));
        ready.into_iter().chain(unready).map(|entry| entry.callers).collect()
    }

    /// Runs health checks until `stop` is set.
    pub fn run_checks(&self, stop: &AtomicBool) {
        let config = Agent::config_builder()
            .timeout_global(Some(CHECK_TIMEOUT))
            .max_idle_connections(0)
            .proxy(None)
            .build();
        let agent: Agent = config.into();
        while !stop.load(Ordering::Relaxed) {
            for entry in &self.entries {
                let answer = agent.get(format!("http://{}/readyz", entry.ops)).call();
                entry.ready.store(answer.is_ok(), Ordering::Relaxed);
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}
