//! A leader that exchanges heartbeats with hosts, in place of their background threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use contract::NodeId;
use gateway::gate::Shared;
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};

use super::TEST_TIMEOUT;

/// Interval between the heartbeats of a host.
const INTERVAL: Duration = Duration::from_millis(50);
/// Term of the leader.
const TERM: u64 = 1;

/// A leader of some hosts; it ends when dropped.
pub struct Leader {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Leader {
    /// Starts a leader, and waits until it has named each host others that relay.
    pub fn start(hosts: &[Arc<Shared>]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stop_flag, all) = (Arc::clone(&stop), hosts.to_vec());
        let thread = thread::spawn(move || exchange(&all, &stop_flag));
        let started = Instant::now();
        // The hosts apply the names at the next exchange with their background threads.
        let waits =
            |shared: &Arc<Shared>| shared.relay_mark.load(Ordering::Relaxed) == 0 || shared.relays.lock().is_some();
        while hosts.iter().any(waits) {
            assert!(started.elapsed() < TEST_TIMEOUT, "no host that relays is named");
            thread::sleep(INTERVAL);
        }
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        drop(self.thread.take());
    }
}

fn exchange(hosts: &[Arc<Shared>], stop: &AtomicBool) {
    let (registry, started) = (EntryRegistry::default(), Instant::now());
    let limits = SharedLimits {
        entry_hosts: hosts.len() as u32,
        ..SharedLimits::default()
    };
    while !stop.load(Ordering::Relaxed) {
        for (index, shared) in hosts.iter().enumerate() {
            let now = Tick(started.elapsed());
            let mut beat = shared.heartbeat.lock().clone();
            beat.relay_mark = shared.relay_mark.load(Ordering::Relaxed);
            let from = NodeId::from(format!("e{index}"));
            let Some(update) = registry.heartbeat(TERM, (&from, beat), &limits, now) else {
                continue;
            };
            *shared.observations.lock() = Some((update.signs, Tick(started.elapsed())));
            if let Some(relays) = update.relays {
                shared.record_relays(relays);
            }
        }
        thread::sleep(INTERVAL);
    }
}
