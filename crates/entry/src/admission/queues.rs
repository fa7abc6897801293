//! The queues of an entry host, one for each model and service, within host-wide bounds on running and waiting
//! requests.

use std::collections::HashMap;
use std::time::Duration;

use metrics::gauge;
use policy::Tick;
use policy::fair::{RefusalReason, Ticket};
use policy::lane::{AdmissionQueue, Rejection};
use policy::room::SharedPlaces;
use policy::route::Target;

use crate::upstreams::TargetSlots;

/// The queue of each target and the handles of the waiting threads, by ticket id.
#[derive(Debug)]
pub(super) struct TargetQueues<W> {
    max_running: usize,
    max_waiting: usize,
    queues: HashMap<Target, AdmissionQueue>,
    waiters: HashMap<u64, W>,
}

/// A queued request that was shed for another one: its ticket, its thread's handle and the answer for it.
pub(super) type ShedRequest<W> = (Ticket, W, Rejection);

impl<W> TargetQueues<W> {
    pub(super) fn new(max_running: usize, max_waiting: usize) -> Self {
        Self {
            max_running,
            max_waiting,
            queues: HashMap::new(),
            waiters: HashMap::new(),
        }
    }

    /// Queues a request, and returns the request that was shed to make room for it, if any.
    pub(super) fn push(
        &mut self,
        target: &Target,
        ticket: Ticket,
        waiter: W,
        now: Tick,
    ) -> Result<Option<ShedRequest<W>>, Rejection> {
        let places = SharedPlaces::new(self.max_waiting, self.queues.len());
        let used = self.queue(target).waiting();
        let has_place = places.has_place(used, self.queues.values().map(AdmissionQueue::waiting));
        let waiting = if has_place { used + 1 } else { used };
        let queue = self.queue(target);
        queue.set_waiting(waiting);
        let id = ticket.id;
        let shed = queue.offer(ticket, now)?;
        let shed = shed.map(|ticket| {
            (
                queue.reject(RefusalReason::QueueFull, ticket.tokens, Duration::ZERO, now),
                ticket,
            )
        });
        self.waiters.insert(id, waiter);
        Ok(shed.and_then(|(rejection, ticket)| Some((ticket.clone(), self.waiters.remove(&ticket.id)?, rejection))))
    }

    /// Removes a request that waited until it was too late. Returns the answer for it, or `None` if it was admitted or
    /// shed meanwhile.
    pub(super) fn remove_late(&mut self, target: &Target, ticket: &Ticket, now: Tick) -> Option<Rejection> {
        let queue = self.queues.get_mut(target)?;
        let ticket = queue.remove(ticket)?;
        self.waiters.remove(&ticket.id);
        Some(queue.reject(RefusalReason::TooLate, ticket.tokens, Duration::ZERO, now))
    }

    /// Admits the next request, if there is room, and returns the handle of its thread.
    pub(super) fn admit_next(&mut self) -> Option<W> {
        let places = SharedPlaces::new(self.max_running, self.queues.len());
        let used: Vec<usize> = self.queues.values().map(AdmissionQueue::running).collect();
        let mut nonempty = self.queues.values_mut().filter(|queue| queue.waiting() > 0);
        let ticket = nonempty.find_map(|queue| {
            let has_place = places.has_place(queue.running(), used.iter().copied());
            has_place.then(|| queue.admit_next()).flatten()
        })?;
        self.waiters.remove(&ticket.id)
    }

    pub(super) fn finish(&mut self, target: &Target, tokens: f64, hold_time: Duration) {
        self.queue(target).finished(tokens, hold_time);
    }

    /// Returns the mean time until a slot of a target becomes free.
    pub(super) fn slot_wait(&self, target: &Target) -> Duration {
        self.queues
            .get(target)
            .map(AdmissionQueue::next_slot)
            .unwrap_or_default()
    }

    /// Sets the number of slots of each target. A target that no upstream serves any more gets none, and its queue is
    /// removed once it is empty.
    pub(super) fn set_slots(&mut self, targets: &[TargetSlots]) {
        for queue in self.queues.values_mut() {
            queue.resize(0);
        }
        for target in targets {
            let queue = self.queue(&target.target);
            queue.resize(target.slots);
            queue.set_first_token(target.first_token);
        }
        self.queues
            .retain(|_, queue| queue.running() + queue.waiting() + queue.capacity() > 0);
    }

    pub(super) fn is_busy(&self) -> bool {
        self.queues.values().any(|queue| queue.running() + queue.waiting() > 0)
    }

    /// Updates the gauges.
    pub(super) fn update_gauges(&self) {
        for (target, queue) in &self.queues {
            let target = target.to_string();
            gauge!("gentian_running_requests", "target" => target.clone()).set(queue.running() as f64);
            gauge!("gentian_waiting_requests", "target" => target.clone()).set(queue.waiting() as f64);
            gauge!("gentian_slots", "target" => target).set(queue.capacity() as f64);
        }
    }

    /// Returns the queue of a target; until its size is set, a new one is bounded by the limits of the whole host.
    fn queue(&mut self, target: &Target) -> &mut AdmissionQueue {
        let whole = matches!(target, Target::Service(_));
        let (running, waiting) = (self.max_running, self.max_waiting);
        let queue = self.queues.entry(target.clone());
        queue.or_insert_with(|| AdmissionQueue::new(running, waiting, whole))
    }
}
