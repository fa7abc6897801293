//! Admission of requests to the upstreams of one model or service.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::fair::{FairQueue, RefusalReason, Ticket};
use crate::returns::ReturnTimes;
use crate::{Tick, duration_from_secs};

/// Weight of the newest finished request in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Finished requests before the averages are used.
const MIN_FINISHED: u32 = 10;
/// Shortest and longest time after which a refused caller is told to retry.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_mins(1));
/// Time after which a caller is told to retry while no upstream is available.
pub const NO_CAPACITY_RETRY: Duration = Duration::from_secs(5);

/// A request that was not admitted and not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{why}, come back in {retry_after:?}")]
pub struct Rejection {
    /// Why the request was refused.
    pub why: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Admission queue of one model or service: bounds the running requests and keeps the waiting ones in fair order.
#[derive(Debug)]
pub struct AdmissionQueue {
    queue: FairQueue,
    capacity: usize,
    running: usize,
    averages: HoldAverages,
    /// Times that are promised to callers that were told to retry.
    returns: ReturnTimes,
    /// Expected time from the start of a request to its first token.
    first_token: Duration,
    /// Whether the whole answer is due by the start deadline, as for plain services, and not just its beginning.
    whole: bool,
}

/// Moving averages of the slot time and the tokens of finished requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldAverages {
    finished: u32,
    hold_s: f64,
    tokens: f64,
}

impl HoldAverages {
    /// Adds a finished request that kept its slot for `held`.
    pub fn finished(&mut self, tokens: f64, held: Duration) {
        self.finished = self.finished.saturating_add(1);
        // The first requests have equal weight, so that an outlier among them is soon outweighed.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.finished));
        self.hold_s += weight * (held.as_secs_f64() - self.hold_s);
        self.tokens += weight * (tokens - self.tokens);
    }

    /// Returns the mean time that a request keeps its slot, in seconds; `None` until enough requests have finished.
    #[must_use]
    pub fn mean_hold(&self) -> Option<f64> {
        (self.finished >= MIN_FINISHED).then_some(self.hold_s)
    }

    /// Returns the mean slot time of one token, in seconds; `None` until enough requests have finished.
    #[must_use]
    pub fn per_token(&self) -> Option<f64> {
        (self.finished >= MIN_FINISHED).then(|| self.hold_s / self.tokens.max(1e-9))
    }
}

impl AdmissionQueue {
    /// Creates a queue for `capacity` running and `waiting` waiting requests. With `whole`, an answer must be complete
    /// by its deadline.
    #[must_use]
    pub fn new(capacity: usize, waiting: usize, whole: bool) -> Self {
        Self {
            queue: FairQueue::new(waiting),
            capacity,
            running: 0,
            averages: HoldAverages::default(),
            returns: ReturnTimes::default(),
            first_token: Duration::ZERO,
            whole,
        }
    }

    /// Changes the number of requests that may run at once; requests that run already are not stopped.
    pub const fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Changes the expected time from the start of a request to its first token.
    pub const fn set_first_token(&mut self, first_token: Duration) {
        self.first_token = first_token;
    }

    /// Changes the number of requests that may wait; those that wait already stay.
    pub const fn set_waiting(&mut self, waiting: usize) {
        self.queue.set_bound(waiting);
    }

    /// Returns the number of requests that may run at once.
    #[must_use]
    pub const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the averages over finished requests.
    #[must_use]
    pub const fn averages(&self) -> &HoldAverages {
        &self.averages
    }

    /// Predicts how long a request would wait if it arrived now, at most an hour; zero until enough requests have
    /// finished.
    #[must_use]
    pub fn wait(&self, ticket: &Ticket) -> Duration {
        let (Some(hold), Some(per_token)) = (self.averages.mean_hold(), self.averages.per_token()) else {
            return Duration::ZERO;
        };
        if self.running < self.capacity && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let slots = self.capacity.max(1) as f64;
        // On average, a slot becomes free every mean hold time divided by the number of slots.
        let seconds = (hold + self.queue.work_ahead(ticket) * per_token) / slots;
        duration_from_secs(seconds.min(3_600.0))
    }

    /// Queues a request; returns another one that was dropped for it.
    ///
    /// # Errors
    /// Refuses a request that is predicted to be late, one that finds the queue full, and all while there is no
    /// capacity. The rejection says when to retry.
    pub fn offer(&mut self, ticket: Ticket, now: Tick) -> Result<Option<Ticket>, Rejection> {
        if self.capacity == 0 {
            return Err(Rejection {
                why: RefusalReason::TooLate,
                retry_after: NO_CAPACITY_RETRY,
            });
        }
        let mut ticket = ticket;
        // The deadline must leave time for the first token. At most half of the remaining time is reserved for that:
        // otherwise a slow period would block all requests, and no faster one could be measured.
        ticket.latest_start = ticket.latest_start - self.first_token.min(ticket.latest_start.since(now) / 2);
        let wait = self.wait(&ticket);
        let run = if self.whole {
            self.averages.mean_hold().unwrap_or_default()
        } else {
            0.0
        };
        let duration = wait + duration_from_secs(run);
        let left = ticket.latest_start.since(now);
        let waits = wait > Duration::ZERO;
        if ticket.latest_start < now || (waits && duration > left) {
            return Err(self.reject(
                RefusalReason::TooLate,
                ticket.tokens,
                duration.saturating_sub(left),
                now,
            ));
        }
        let tokens = ticket.tokens;
        let pushed = self.queue.push(ticket, now);
        pushed.map_err(|why| self.reject(why, tokens, wait.saturating_sub(left), now))
    }

    /// Starts the next request if a slot is free.
    pub fn admit_next(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity {
            return None;
        }
        let ticket = self.queue.pop()?;
        self.running += 1;
        Some(ticket)
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<Ticket> {
        self.queue.remove(&ticket.customer, ticket.id)
    }

    /// Records the end of a request that was admitted.
    pub fn finished(&mut self, tokens: f64, held: Duration) {
        self.running = self.running.saturating_sub(1);
        self.averages.finished(tokens, held);
    }

    /// Builds the rejection of a request that would be on time if it arrived later by `late`.
    pub fn reject(&mut self, why: RefusalReason, tokens: f64, late: Duration, now: Tick) -> Rejection {
        let (shortest, longest) = RETRY_AFTER;
        let work = tokens * self.averages.per_token().unwrap_or_default() / self.capacity.max(1) as f64;
        let work = duration_from_secs(work.max(0.0).min(longest.as_secs_f64()));
        let after = late.max(self.next_slot()).max(shortest);
        Rejection {
            why,
            retry_after: self.returns.next(after, work, longest, now),
        }
    }

    /// Returns the mean time until one of the running requests ends.
    #[must_use]
    pub fn next_slot(&self) -> Duration {
        let hold = self.averages.mean_hold().unwrap_or_default();
        duration_from_secs(hold / self.running.max(1) as f64)
    }
}
