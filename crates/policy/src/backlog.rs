//! What an upstream still has to read, as far as an entry host can tell.

use std::collections::HashMap;
use std::time::Duration;

use crate::Tick;
use crate::pace::PrefillWork;

/// Longest that a request without a first event is taken for a sign of a backlog; one that waits longer has got lost.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// A request that was sent, with what was expected of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentRequest {
    /// What its prompt asks of the upstream.
    pub prefill: PrefillWork,
    /// Milliseconds in which the prompt is read.
    pub prefill_ms: f64,
    /// Milliseconds until its answer was predicted to begin.
    pub predicted_ms: f64,
    /// Whether nothing was known to go before it, so that the time to its first event is that of its own prompt.
    pub unqueued: bool,
}

/// A request that got its first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// What was expected.
    pub sent: SentRequest,
    /// Milliseconds since it was sent.
    pub elapsed_ms: f64,
}

/// The prompts that were sent to an upstream and may not be read yet.
///
/// Prompts are read one after the other. One of fifty thousand tokens takes most of a second, and whatever is sent to the
/// same upstream meanwhile is late, although the count of its requests is low.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When the prompts that were sent will have been read.
    read_at: Tick,
    /// Requests without a first event, and when they were sent.
    waiting: HashMap<u64, (Tick, SentRequest)>,
    next: u64,
}

impl Backlog {
    /// Notes a request; gives the number under which it waits.
    pub fn sent(&mut self, sent: SentRequest, now: Tick) -> u64 {
        self.read_at = self.read_at.max(now) + Duration::from_secs_f64(sent.prefill_ms / 1_000.0);
        self.next += 1;
        self.waiting.insert(self.next, (now, sent));
        self.next
    }

    /// Notes that a request got its first event; gives what was expected of it and what came, the first time.
    pub fn first_event(&mut self, number: u64, now: Tick) -> Option<FirstEvent> {
        let (at, sent) = self.waiting.remove(&number)?;
        let seen_ms = now.since(at).as_secs_f64() * 1_000.0;
        Some(FirstEvent {
            sent,
            elapsed_ms: seen_ms,
        })
    }

    /// Notes that a request ended without one.
    pub fn ended(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Gives the milliseconds of own prompts that are not read yet.
    #[must_use]
    pub fn pending_ms(&self, now: Tick) -> f64 {
        self.read_at.since(now).as_secs_f64() * 1_000.0
    }

    /// Gives when the request was sent that has waited longest for its first event.
    #[must_use]
    pub fn oldest(&self) -> Option<Tick> {
        self.waiting.values().map(|(at, _)| *at).min()
    }

    /// Gives by how many milliseconds requests wait longer than was predicted: others have sent prompts there, or it is slow or
    /// silent.
    #[must_use]
    pub fn overdue_ms(&self, now: Tick) -> f64 {
        let longer = |(at, sent): &(Tick, SentRequest)| {
            let waited = now.since(*at);
            (waited < LONGEST_WAIT).then_some(waited.as_secs_f64() * 1_000.0 - sent.predicted_ms)
        };
        self.waiting.values().filter_map(longer).fold(0.0, f64::max)
    }

    /// Gives the milliseconds of work that goes before a new request: what is not read yet, or by how much requests are overdue.
    #[must_use]
    pub fn total_ms(&self, now: Tick) -> f64 {
        self.pending_ms(now).max(self.overdue_ms(now))
    }
}
