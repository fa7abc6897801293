//! Outcomes that the group could not record at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Group;
use crate::state::Settle;

/// Outcomes that may wait; more are refused.
const RING: usize = 4_096;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which one outcome is tried; a claim is not kept for longer either.
const PATIENCE: Duration = Duration::from_hours(24);

/// A thread that records outcomes as soon as the group has a leader.
#[derive(Debug)]
pub(crate) struct Settler {
    ring: SyncSender<Settle>,
    waiting: Arc<AtomicUsize>,
}

impl Settler {
    pub(crate) fn start(group: &Arc<Group>) -> Self {
        let (ring, asks) = sync_channel(RING);
        let waiting = Arc::new(AtomicUsize::new(0));
        let (group, count) = (Arc::clone(group), Arc::clone(&waiting));
        // Without the thread the ring is closed, and every outcome is refused and counted.
        let _ = thread::Builder::new()
            .name("settler".to_owned())
            .spawn(move || work(&group, &asks, &count));
        Self { ring, waiting }
    }

    /// Takes an outcome, or refuses it when too many wait.
    pub(crate) fn add(&self, ask: Settle) -> bool {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        let taken = self.ring.try_send(ask).is_ok();
        if !taken {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
        }
        taken
    }

    /// Waits until no outcome is left.
    pub(crate) fn flush(&self, patience: Duration) -> bool {
        let begin = Instant::now();
        while self.waiting.load(Ordering::Acquire) > 0 {
            if begin.elapsed() > patience {
                return false;
            }
            thread::sleep(PAUSE / 10);
        }
        true
    }
}

fn work(group: &Group, asks: &Receiver<Settle>, waiting: &AtomicUsize) {
    while let Ok(ask) = asks.recv() {
        let begin = Instant::now();
        while !group.settle(&ask) && begin.elapsed() < PATIENCE {
            thread::sleep(PAUSE);
        }
        waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
