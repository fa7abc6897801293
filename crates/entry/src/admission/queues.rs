//! The lanes of an entry host, one for each model and service, and the room that they share.

use std::collections::HashMap;
use std::time::Duration;

use metrics::gauge;
use policy::Tick;
use policy::fair::{RefusalReason, Ticket};
use policy::lane::{AdmissionQueue, Rejection};
use policy::room::SharedPlaces;
use policy::route::Target;

use crate::fleet::Size;

/// Lanes with the waiting threads' handles.
#[derive(Debug)]
pub(super) struct Queues<W> {
    running: usize,
    waiting: usize,
    lanes: HashMap<Target, AdmissionQueue>,
    waiters: HashMap<u64, W>,
}

/// A request that had to make room, with its thread's handle and what it is told.
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

    /// Queues a request.
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

    /// Takes out a request that waited until it was late; gives what it is told, or nothing if its turn has come.
    pub(super) fn leave(&mut self, target: &Target, ticket: &Ticket, now: Tick) -> Option<Rejection> {
        let lane = self.lanes.get_mut(target)?;
        let ticket = lane.remove(ticket)?;
        self.waiters.remove(&ticket.id);
        Some(lane.reject(RefusalReason::TooLate, ticket.tokens, Duration::ZERO, now))
    }

    /// Lets the next request run and gives its thread's handle.
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

    /// Gives the time in which a slot for a target comes free on average.
    pub(super) fn next_place(&self, target: &Target) -> Duration {
        self.lanes
            .get(target)
            .map(AdmissionQueue::next_slot)
            .unwrap_or_default()
    }

    /// Sets what upstreams can take; lanes that nothing serves any more take nothing, and go once they are empty.
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

    /// Sets the gauges.
    pub(super) fn show(&self) {
        for (target, lane) in &self.lanes {
            let target = target.to_string();
            gauge!("gentian_running_requests", "target" => target.clone()).set(lane.running() as f64);
            gauge!("gentian_waiting_requests", "target" => target.clone()).set(lane.waiting() as f64);
            gauge!("gentian_slots", "target" => target).set(lane.capacity() as f64);
        }
    }

    /// Finds a lane; one that was not sized yet takes what the whole host does.
    fn lane(&mut self, target: &Target) -> &mut AdmissionQueue {
        let whole = matches!(target, Target::Service(_));
        let (running, waiting) = (self.running, self.waiting);
        let lane = self.lanes.entry(target.clone());
        lane.or_insert_with(|| AdmissionQueue::new(running, waiting, whole))
    }
}
