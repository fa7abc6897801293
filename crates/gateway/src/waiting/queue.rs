//! The queue of one service with the requests that wait in it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use contract::CustomerId;
use policy::Tick;
use policy::drain::DrainRate;
use policy::fair::{FairQueue, RefusalReason, Ticket};
use policy::returns::ReturnTimes;
use tokio::sync::oneshot;

use crate::refusal::MAX_RETRY_AFTER_SHARE;

use super::{NewWaiter, WaitCause, WaitEnd, WaitForecast, WaitingBounds};

/// Time after its last use for which an empty queue keeps what it has learnt.
const KEPT_TIME: Duration = Duration::from_mins(1);

/// What waits for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueState {
    /// Number and longest wait of the requests of each priority that has been seen.
    pub by_priority: BTreeMap<u8, (usize, Duration)>,
}

/// The queue of one service.
#[derive(Debug)]
pub(super) struct ServiceQueue<N, P> {
    queue: FairQueue,
    drain: DrainRate,
    returns: ReturnTimes,
    waiters: HashMap<u64, Waiter<N, P>>,
    bytes: usize,
    used_at: Tick,
    state: QueueState,
}

#[derive(Debug)]
struct Waiter<N, P> {
    need: N,
    entered: Tick,
    deadline: Tick,
    ticket: Ticket,
    reply: oneshot::Sender<Result<P, WaitEnd>>,
}

impl<N, P> Default for ServiceQueue<N, P> {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(0),
            drain: DrainRate::default(),
            returns: ReturnTimes::default(),
            waiters: HashMap::new(),
            bytes: 0,
            used_at: Tick::default(),
            state: QueueState::default(),
        }
    }
}

impl<N, P> ServiceQueue<N, P> {
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether anything waits, or has waited lately.
    pub(super) fn is_in_use(&self, now: Tick) -> bool {
        !self.is_empty() || now.since(self.used_at) < KEPT_TIME
    }

    pub(super) fn set_bounds(&mut self, bounds: WaitingBounds) {
        self.queue.set_bound(bounds.requests);
        self.queue.set_byte_bound(bounds.bytes);
    }

    /// Queues a request, which is answered on `reply`.
    pub(super) fn enter(
        &mut self,
        waiter: NewWaiter<N>,
        reply: oneshot::Sender<Result<P, WaitEnd>>,
        now: Tick,
    ) -> Result<WaitForecast, WaitEnd> {
        self.used_at = now;
        let ticket = waiter.ticket;
        let work_ahead = self.queue.work_ahead(&ticket);
        let forecast = WaitForecast {
            place: self.len(),
            work_ahead,
            wait: self.drain.wait(work_ahead, now),
        };
        let waiter = Waiter {
            need: waiter.need,
            entered: now,
            deadline: waiter.deadline,
            ticket: ticket.clone(),
            reply,
        };
        if now + forecast.wait.unwrap_or_default() > ticket.latest_start {
            return Err(self.refuse(WaitCause::TooLate, &waiter, forecast.wait, now));
        }
        let dropped = match self.queue.insert(ticket, now) {
            Ok(dropped) => dropped,
            Err(reason) => {
                let cause = match reason {
                    RefusalReason::QueueFull => WaitCause::QueueFull,
                    RefusalReason::TooLate => WaitCause::TooLate,
                };
                return Err(self.refuse(cause, &waiter, forecast.wait, now));
            }
        };
        self.bytes += waiter.ticket.bytes;
        self.waiters.insert(waiter.ticket.id, waiter);
        for ticket in dropped {
            self.end(&ticket, WaitCause::Dropped, now);
        }
        Ok(forecast)
    }

    pub(super) fn record_started(&mut self, tokens: f64, now: Tick) {
        self.drain.record_started(tokens, now);
    }

    /// Removes a request whose caller has left. Does nothing if it no longer waits.
    pub(super) fn leave(&mut self, customer: &CustomerId, id: u64) {
        if self.take(id).is_some() {
            self.queue.remove(customer, id);
        }
    }

    pub(super) fn start_fitting(&mut self, now: Tick, mut choose: impl FnMut(&N) -> Option<P>) {
        self.used_at = now;
        for ticket in self.queue.expire(now) {
            self.end(&ticket, WaitCause::Expired, now);
        }
        loop {
            let mut chosen = None;
            let waiters = &self.waiters;
            let popped = self.queue.pop_where(now, |ticket| {
                chosen = waiters.get(&ticket.id).and_then(|waiter| choose(&waiter.need));
                chosen.is_some()
            });
            let (Some(ticket), Some(place)) = (popped, chosen) else {
                return;
            };
            self.drain.record_started(ticket.tokens, now);
            if let Some(waiter) = self.take(ticket.id) {
                // A caller that has left meanwhile drops the place, which is then free again.
                let _ = waiter.reply.send(Ok(place));
            }
        }
    }

    /// Ends all requests in the same way.
    pub(super) fn end_all(&mut self, end: WaitEnd) {
        for (id, waiter) in std::mem::take(&mut self.waiters) {
            self.queue.remove(&waiter.ticket.customer, id);
            // A caller that has left needs no answer.
            let _ = waiter.reply.send(Err(end));
        }
        self.bytes = 0;
    }

    /// Returns what waits.
    pub(super) fn state(&mut self, now: Tick) -> &QueueState {
        for (count, oldest) in self.state.by_priority.values_mut() {
            (*count, *oldest) = (0, Duration::ZERO);
        }
        for waiter in self.waiters.values() {
            let (count, oldest) = self.state.by_priority.entry(waiter.ticket.priority).or_default();
            *count += 1;
            *oldest = (*oldest).max(now.since(waiter.entered));
        }
        &self.state
    }

    fn take(&mut self, id: u64) -> Option<Waiter<N, P>> {
        let waiter = self.waiters.remove(&id)?;
        self.bytes = self.bytes.saturating_sub(waiter.ticket.bytes);
        Some(waiter)
    }

    /// Answers a request that has left the queue.
    fn end(&mut self, ticket: &Ticket, cause: WaitCause, now: Tick) {
        let Some(waiter) = self.take(ticket.id) else {
            return;
        };
        let wait = self.drain.wait(self.queue.work_ahead(ticket), now);
        let end = self.refuse(cause, &waiter, wait, now);
        // A caller that has left needs no answer.
        let _ = waiter.reply.send(Err(end));
    }

    /// Returns the refusal of a request that would have to wait for `wait`. The caller is told to return when the work
    /// before it is done.
    fn refuse(&mut self, cause: WaitCause, waiter: &Waiter<N, P>, wait: Option<Duration>, now: Tick) -> WaitEnd {
        let retry_after = wait.and_then(|wait| self.return_time((wait, waiter.ticket.tokens), waiter.deadline, now));
        WaitEnd { cause, retry_after }
    }

    /// Returns the time after which a caller should return, at least `after` from now.
    pub(super) fn return_time(
        &mut self,
        (after, tokens): (Duration, f64),
        deadline: Tick,
        now: Tick,
    ) -> Option<Duration> {
        let work = self.drain.wait(tokens, now)?;
        let most = deadline.since(now).mul_f64(MAX_RETRY_AFTER_SHARE);
        Some(self.returns.next(after, work, most, now))
    }
}
