//! Admission to everything that serves one model or service.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::Tick;
use crate::fair::{FairQueue, RefusalReason, Ticket};

/// Weight of one finished request against all earlier ones.
const WEIGHT: f64 = 0.05;
/// Finished requests before the measured rate is believed.
const FIRST: u32 = 10;
/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_mins(1));
/// Time after which a caller is asked to come back when nothing is up that could serve it.
pub const NOTHING_UP: Duration = Duration::from_secs(5);

/// A request that was not admitted; it was not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{why}, come back in {retry_after:?}")]
pub struct Rejection {
    /// Why.
    pub why: RefusalReason,
    /// Time after which it is worth asking again.
    pub retry_after: Duration,
}

/// Admission to everything that serves one model or service.
#[derive(Debug)]
pub struct AdmissionQueue {
    queue: FairQueue,
    capacity: usize,
    running: usize,
    rate: ServiceRate,
    /// Until when the slots are taken by callers who were asked to come back.
    promised: Tick,
    /// Time from a request's start to its first token.
    first: Duration,
    /// Whether the answer is due as a whole at the latest start, as with services, and not just begun.
    whole: bool,
}

/// How long requests keep their slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    finished: u32,
    hold_s: f64,
    tokens: f64,
}

impl ServiceRate {
    /// Takes in a finished request.
    pub fn finished(&mut self, tokens: f64, held: Duration) {
        self.finished = self.finished.saturating_add(1);
        // The first ones count alike, so that a strange first one is soon forgotten.
        let weight = WEIGHT.max(1.0 / f64::from(self.finished));
        self.hold_s += weight * (held.as_secs_f64() - self.hold_s);
        self.tokens += weight * (tokens - self.tokens);
    }

    /// Gives the mean time for which a slot is kept; absent until enough was measured.
    #[must_use]
    pub fn mean_hold(&self) -> Option<f64> {
        (self.finished >= FIRST).then_some(self.hold_s)
    }

    /// Gives the seconds of one slot that a token takes; absent until enough was measured.
    #[must_use]
    pub fn per_token(&self) -> Option<f64> {
        (self.finished >= FIRST).then(|| self.hold_s / self.tokens.max(1e-9))
    }
}

impl AdmissionQueue {
    /// Makes a lane with room for some running and some waiting requests.
    #[must_use]
    pub fn new(capacity: usize, waiting: usize, whole: bool) -> Self {
        Self {
            queue: FairQueue::new(waiting),
            capacity,
            running: 0,
            rate: ServiceRate::default(),
            promised: Tick::default(),
            first: Duration::ZERO,
            whole,
        }
    }

    /// Changes what may run at once.
    pub const fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Changes the time that a request is expected to take from its start to its first token.
    pub const fn set_first_token(&mut self, first: Duration) {
        self.first = first;
    }

    /// Changes what may wait.
    pub const fn set_waiting(&mut self, waiting: usize) {
        self.queue.set_bound(waiting);
    }

    /// Gives what may run at once.
    #[must_use]
    pub const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Gives the number of running requests.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Gives the number of waiting requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Gives what was measured of finished requests.
    #[must_use]
    pub const fn rate(&self) -> &ServiceRate {
        &self.rate
    }

    /// Predicts how long a request would wait if it came now.
    #[must_use]
    pub fn wait(&self, ticket: &Ticket) -> Duration {
        let (Some(hold), Some(per_token)) = (self.rate.mean_hold(), self.rate.per_token()) else {
            return Duration::ZERO;
        };
        if self.running < self.capacity && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let slots = self.capacity.max(1) as f64;
        // On average the first slot comes free after one hold divided by the slots.
        let seconds = (hold + self.queue.work_ahead(ticket) * per_token) / slots;
        Duration::from_secs_f64(seconds.min(3_600.0))
    }

    /// Queues a request; another that had to make room for it is returned.
    ///
    /// # Errors
    /// Refuses at once what is predicted to be late, what finds the queue full, and all while nothing is up. A refusal
    /// tells when it is worth coming back.
    pub fn offer(&mut self, ticket: Ticket, now: Tick) -> Result<Option<Ticket>, Rejection> {
        if self.capacity == 0 {
            return Err(Rejection {
                why: RefusalReason::TooLate,
                retry_after: NOTHING_UP,
            });
        }
        let mut ticket = ticket;
        // It must start so early that its first token is on time. At most half of the time is kept for that: were it all,
        // nothing would be let in any more after a slow spell, and no faster one could be measured.
        ticket.latest_start = ticket.latest_start - self.first.min(ticket.latest_start.since(now) / 2);
        let wait = self.wait(&ticket);
        let run = if self.whole {
            self.rate.mean_hold().unwrap_or_default()
        } else {
            0.0
        };
        let ends = wait + Duration::from_secs_f64(run);
        let left = ticket.latest_start.since(now);
        let waits = wait > Duration::ZERO;
        if ticket.latest_start < now || (waits && ends > left) {
            return Err(self.reject(RefusalReason::TooLate, ticket.tokens, ends.saturating_sub(left), now));
        }
        let tokens = ticket.tokens;
        let pushed = self.queue.push(ticket, now);
        pushed.map_err(|why| self.reject(why, tokens, wait.saturating_sub(left), now))
    }

    /// Lets the next request run, if there is a slot.
    pub fn admit_next(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity {
            return None;
        }
        let ticket = self.queue.pop()?;
        self.running += 1;
        Some(ticket)
    }

    /// Takes out one waiting request.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<Ticket> {
        self.queue.remove(&ticket.customer, ticket.id)
    }

    /// Notes that a request ended which had been let run.
    pub fn finished(&mut self, tokens: f64, held: Duration) {
        self.running = self.running.saturating_sub(1);
        self.rate.finished(tokens, held);
    }

    /// Gives what a refused request is told, which could be on time if it came so much later.
    ///
    /// Callers who were told the same time would all come back at once and be refused again, most of them. So each is
    /// given a time after that of the one before, by as long as its work will keep the slots busy.
    pub fn reject(&mut self, why: RefusalReason, tokens: f64, late: Duration, now: Tick) -> Rejection {
        let work = tokens * self.rate.per_token().unwrap_or_default() / self.capacity.max(1) as f64;
        let at = self.promised.max(now + late.max(self.next_slot())).min(now + RETRY.1);
        self.promised = at + Duration::from_secs_f64(work.min(RETRY.1.as_secs_f64()));
        Rejection {
            why,
            retry_after: at.since(now).clamp(RETRY.0, RETRY.1),
        }
    }

    /// Gives the time in which one running request ends on average.
    #[must_use]
    pub fn next_slot(&self) -> Duration {
        let hold = self.rate.mean_hold().unwrap_or_default();
        Duration::from_secs_f64(hold / self.running.max(1) as f64)
    }
}
