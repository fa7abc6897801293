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

use crate::fleet::Size;

/// The queue of each target and the handles of the waiting threads, by ticket id.
#[derive(Debug)]
pub(super) struct Queues<W> {
    running: usize,
    waiting: usize,
    lanes: HashMap<Target, AdmissionQueue>,
    waiters: HashMap<u64, W>,
}

/// A queued request that was shed for another one: its ticket, its thread's handle and the answer for it.
pub(super) type Victim<W> = (Ticket, W, Rejection);

impl<W> Queues<W> {
    pub(super) fn new(running: usize, waiting: usize) -> Self {
        Self {
            running,
            waiting,
            lanes: HashMap::new(),
            waiters: HashMap::new(),
        }
    }

    /// Queues a request, and returns the request that was shed to make room for it, if any.
    pub(super) fn offer(
        &mut self,
        target: &Target,
        ticket: Ticket,
        waiter: W,
        now: Tick,
    ) -> Result<Option<Victim<W>>, Rejection> {
        let room = SharedPlaces::new(self.waiting, self.lanes.len());
        let used = self.lane(target).waiting();
        let has_place = room.has_place(used, self.lanes.values().map(AdmissionQueue::waiting));
        let waiting = if has_place { used + 1 } else { used };
        let lane = self.lane(target);
        lane.set_waiting(waiting);
        let id = ticket.id;
        let victim = lane.offer(ticket, now)?;
        let victim = victim.map(|ticket| {
            (
                lane.reject(RefusalReason::QueueFull, ticket.tokens, Duration::ZERO, now),
                ticket,
            )
        });
        self.waiters.insert(id, waiter);
        Ok(victim.and_then(|(turned, ticket)| Some((ticket.clone(), self.waiters.remove(&ticket.id)?, turned))))
    }

    /// Removes a request that waited until it was too late. Returns the answer for it, or `None` if it was admitted or
    /// shed meanwhile.
    pub(super) fn leave(&mut self, target: &Target, ticket: &Ticket, now: Tick) -> Option<Rejection> {
        let lane = self.lanes.get_mut(target)?;
        let ticket = lane.remove(ticket)?;
        self.waiters.remove(&ticket.id);
        Some(lane.reject(RefusalReason::TooLate, ticket.tokens, Duration::ZERO, now))
    }

    /// Admits the next request, if there is room, and returns the handle of its thread.
    pub(super) fn grant(&mut self) -> Option<W> {
        let room = SharedPlaces::new(self.running, self.lanes.len());
        let used: Vec<usize> = self.lanes.values().map(AdmissionQueue::running).collect();
        let mut open = self.lanes.values_mut().filter(|lane| lane.waiting() > 0);
        let ticket = open.find_map(|lane| {
            let has_place = room.has_place(lane.running(), used.iter().copied());
            has_place.then(|| lane.admit_next()).flatten()
        })?;
        self.waiters.remove(&ticket.id)
    }

    pub(super) fn finished(&mut self, target: &Target, tokens: f64, held: Duration) {
        self.lane(target).finished(tokens, held);
    }

    /// Returns the mean time until a slot of a target becomes free.
    pub(super) fn next_place(&self, target: &Target) -> Duration {
        self.lanes
            .get(target)
            .map(AdmissionQueue::next_slot)
            .unwrap_or_default()
    }

    /// Sets the number of slots of each target. A target that no upstream serves any more gets none, and its queue is
    /// removed once it is empty.
    pub(super) fn resize(&mut self, sizes: &[Size]) {
        for lane in self.lanes.values_mut() {
            lane.resize(0);
        }
        for size in sizes {
            let lane = self.lane(&size.target);
            lane.resize(size.slots);
            lane.set_first_token(size.first);
        }
        self.lanes
            .retain(|_, lane| lane.running() + lane.waiting() + lane.capacity() > 0);
    }

    pub(super) fn is_busy(&self) -> bool {
        self.lanes.values().any(|lane| lane.running() + lane.waiting() > 0)
    }

    /// Updates the gauges.
    pub(super) fn show(&self) {
        for (target, lane) in &self.lanes {
            let target = target.to_string();
            gauge!("gentian_running_requests", "target" => target.clone()).set(lane.running() as f64);
            gauge!("gentian_waiting_requests", "target" => target.clone()).set(lane.waiting() as f64);
            gauge!("gentian_slots", "target" => target).set(lane.capacity() as f64);
        }
    }

    /// Returns the queue of a target; until its size is set, a new one is bounded by the limits of the whole host.
    fn lane(&mut self, target: &Target) -> &mut AdmissionQueue {
        let whole = matches!(target, Target::Service(_));
        let (running, waiting) = (self.running, self.waiting);
        let lane = self.lanes.entry(target.clone());
        lane.or_insert_with(|| AdmissionQueue::new(running, waiting, whole))
    }
}
