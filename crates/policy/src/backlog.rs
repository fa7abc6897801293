//! Estimate of the prefill work that is still queued at an upstream, as seen from one entry host.

use std::collections::HashMap;
use std::time::Duration;

use crate::pace::PrefillWork;
use crate::pace::moment::ExpectedPace;
use crate::{Tick, duration_from_secs};

/// Longest wait for a first event that counts as a sign of a backlog; a request that waits longer is taken for lost.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// A request that was sent to an upstream, with the predictions made for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentRequest {
    /// Prefill work of its prompt.
    pub prefill: PrefillWork,
    /// Predicted time to prefill its prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Predicted time to its first event, in milliseconds.
    pub predicted_ms: f64,
    /// Whether no other work was known to be queued before it, so that its time to first event measures its own prompt
    /// only.
    pub unqueued: bool,
    /// Momentary pace that the predictions assume.
    pub pace: ExpectedPace,
}

/// A request whose first event has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// The request as it was sent.
    pub sent: SentRequest,
    /// Time from sending to the first event, in milliseconds.
    pub elapsed_ms: f64,
}

/// Prompts sent to one upstream whose prefill may not be finished.
///
/// An engine prefills one prompt after the other. A prompt of 50,000 tokens takes most of a second, and whatever is
/// sent to the same upstream meanwhile is late, although its number of running requests is low.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When all prompts sent so far are predicted to be prefilled.
    prefilled_at: Tick,
    /// Requests without a first event, by number, with the time at which they were sent.
    waiting: HashMap<u64, (Tick, SentRequest)>,
    last_number: u64,
}

impl Backlog {
    /// Records a sent request and returns the number to pass to [`Backlog::first_event`] or [`Backlog::ended`].
    pub fn sent(&mut self, sent: SentRequest, now: Tick) -> u64 {
        self.prefilled_at = self.prefilled_at.max(now) + duration_from_secs(sent.prefill_ms / 1_000.0);
        self.last_number += 1;
        self.waiting.insert(self.last_number, (now, sent));
        self.last_number
    }

    /// Records the first event of a request; returns `None` if the request is unknown or has already had its first
    /// event.
    pub fn first_event(&mut self, number: u64, now: Tick) -> Option<FirstEvent> {
        let (sent_at, sent) = self.waiting.remove(&number)?;
        let elapsed_ms = now.since(sent_at).as_secs_f64() * 1_000.0;
        Some(FirstEvent { sent, elapsed_ms })
    }

    /// Records that a request ended without a first event.
    pub fn ended(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Returns the predicted time until this host's own prompts are prefilled, in milliseconds.
    #[must_use]
    pub fn pending_ms(&self, now: Tick) -> f64 {
        self.prefilled_at.since(now).as_secs_f64() * 1_000.0
    }

    /// Returns the time at which the longest waiting request was sent; `None` if all have had their first event.
    #[must_use]
    pub fn oldest(&self) -> Option<Tick> {
        self.waiting.values().map(|(at, _)| *at).min()
    }

    /// Returns the largest overrun of a predicted time to first event, in milliseconds.
    ///
    /// An overrun means that other entry hosts have sent prompts there, or that the upstream is slow or hangs.
    #[must_use]
    pub fn overdue_ms(&self, now: Tick) -> f64 {
        let overrun_ms = |(sent_at, sent): &(Tick, SentRequest)| {
            let waited = now.since(*sent_at);
            (waited < LONGEST_WAIT).then_some(waited.as_secs_f64() * 1_000.0 - sent.predicted_ms)
        };
        self.waiting.values().filter_map(overrun_ms).fold(0.0, f64::max)
    }

    /// Returns the predicted delay of a new request, in milliseconds: the larger of the pending prefill and the
    /// overrun.
    #[must_use]
    pub fn total_ms(&self, now: Tick) -> f64 {
        self.pending_ms(now).max(self.overdue_ms(now))
    }
}
