//! Background retries for outcomes that the state group could not record at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Group;
use crate::state::Settle;

/// Most queued outcomes; more are rejected.
const QUEUE_LENGTH: usize = 4_096;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which one outcome is retried; claims are not kept for longer either.
const RETRY_TIMEOUT: Duration = Duration::from_hours(24);

/// A thread that records queued outcomes as soon as the group has a leader.
#[derive(Debug)]
pub(crate) struct Settler {
    queue: SyncSender<Settle>,
    pending: Arc<AtomicUsize>,
}

impl Settler {
    pub(crate) fn start(group: &Arc<Group>) -> Self {
        let (queue, requests) = sync_channel(QUEUE_LENGTH);
        let pending = Arc::new(AtomicUsize::new(0));
        let (group, count) = (Arc::clone(group), Arc::clone(&pending));
        // If the thread can't start, the queue is closed, and every outcome is rejected and counted.
        let _ = thread::Builder::new()
            .name("settler".to_owned())
            .spawn(move || run(&group, &requests, &count));
        Self { queue, pending }
    }

    /// Queues an outcome; returns false if the queue is full.
    pub(crate) fn add(&self, request: Settle) -> bool {
        self.pending.fetch_add(1, Ordering::AcqRel);
        let queued = self.queue.try_send(request).is_ok();
        if !queued {
            self.pending.fetch_sub(1, Ordering::AcqRel);
        }
        queued
    }

    /// Waits until no outcome is pending; returns whether that happened within `timeout`.
    pub(crate) fn flush(&self, timeout: Duration) -> bool {
        let begin = Instant::now();
        while self.pending.load(Ordering::Acquire) > 0 {
            if begin.elapsed() > timeout {
                return false;
            }
            thread::sleep(RETRY_PAUSE / 10);
        }
        true
    }
}

fn run(group: &Group, requests: &Receiver<Settle>, pending: &AtomicUsize) {
    while let Ok(request) = requests.recv() {
        let begin = Instant::now();
        while !group.settle(&request) && begin.elapsed() < RETRY_TIMEOUT {
            thread::sleep(RETRY_PAUSE);
        }
        pending.fetch_sub(1, Ordering::AcqRel);
    }
}
