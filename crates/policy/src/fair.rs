//! Weighted fair queueing between customers, with priorities and targets.
//!
//! Addresses demand beyond the capacity: one customer at several times its usual load, and bursts of urgent or less
//! urgent kinds. What can still meet its target is served first, then the more urgent, then the customer that has had
//! least for its weight. A customer without waiting requests saves up nothing.

mod customer;
mod sorted;
mod ticket;
mod tries;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use contract::CustomerId;

use crate::Tick;
use customer::{Amount, Customers};
use ticket::Waiting;
pub use ticket::{RefusalReason, Ticket};

/// One in this many starts goes to the longest-waiting request, so that less urgent and late ones still make progress.
const AGED_INTERVAL: u32 = 10;
/// Work, in tokens, by which such starts may exceed their tenth of all work when the next is due; covers rounding. Without
/// a bound by work, one long prompt among nine short requests took 62 in 100 tokens.
const MAX_AGED_DEBT: f64 = 0.5;

/// A bounded queue that orders requests by urgency and divides capacity between customers by weight.
///
/// The time of the queue is the latest that any call has named.
#[derive(Debug)]
pub struct FairQueue {
    bound: usize,
    byte_bound: usize,
    bytes: usize,
    now: Tick,
    virtual_time: f64,
    /// Starts since the last that went to the longest-waiting request.
    since_aged: u32,
    /// Work that starts in order have yet to do until the last start out of order was no more than its part.
    aged_debt: f64,
    customers: Customers,
    requests: BTreeMap<u64, Waiting>,
    /// Requests that can still meet their target, by latest start for it.
    by_target: BTreeSet<(Tick, u64)>,
    by_deadline: BTreeSet<(Tick, u64)>,
    by_arrival: BTreeSet<(Tick, u64)>,
}

impl FairQueue {
    /// Creates a queue of at most `bound` requests and any number of bytes.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self {
            bound,
            byte_bound: usize::MAX,
            bytes: 0,
            now: Tick(Duration::ZERO),
            virtual_time: 0.0,
            since_aged: 0,
            aged_debt: 0.0,
            customers: Customers::new(),
            requests: BTreeMap::new(),
            by_target: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            by_arrival: BTreeSet::new(),
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the bytes of the waiting requests.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the bound; requests already queued beyond a smaller bound stay.
    pub const fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Changes the bound on the bytes that wait; requests already queued beyond a smaller bound stay.
    pub const fn set_byte_bound(&mut self, bytes: usize) {
        self.byte_bound = bytes;
    }

    /// Returns how long the longest-waiting request has waited; `None` if no request waits.
    #[must_use]
    pub fn oldest(&self, now: Tick) -> Option<Duration> {
        self.by_arrival.first().map(|(arrived, _)| now.since(*arrived))
    }

    /// Queues a request like [`Self::insert`], but drops at most one other for it.
    ///
    /// This is enough where no bytes are counted. Where they are, [`Self::insert`] takes a large request into a queue
    /// full of small ones.
    ///
    /// # Errors
    /// Refuses a request like [`Self::insert`], and one for which more than one other would have to be dropped.
    pub fn push(&mut self, ticket: Ticket, now: Tick) -> Result<Option<Ticket>, RefusalReason> {
        Ok(self.insert_dropping(ticket, 1, now)?.pop())
    }

    /// Queues a request. If the queue is full, other requests are dropped for it and returned.
    ///
    /// A dropped request belongs to the customer with the most waiting work for its weight, so that a customer that
    /// floods the queue only harms itself. Among that customer's requests it is one of the least urgent, among these one
    /// with the highest [`Ticket::shed_order`], and among these one that can no longer meet its target, or else the one
    /// with the latest start.
    ///
    /// # Errors
    /// Refuses a request whose latest start has passed, that would itself be the one to drop, that exceeds the bound on
    /// bytes by itself, or whose id waits already. Nothing is dropped then.
    pub fn insert(&mut self, ticket: Ticket, now: Tick) -> Result<Vec<Ticket>, RefusalReason> {
        self.insert_dropping(ticket, usize::MAX, now)
    }

    /// Removes and returns the next request, as [`Self::pop_where`] does with everything fitting.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.pop_where(self.now, |_| true)
    }

    /// Removes and returns the next request that `fits`.
    ///
    /// Requests that can still meet their target come first, then those of the more urgent priority, then those of the
    /// customer with the earliest virtual start time, then those with the earliest target. One in ten starts, or a tenth
    /// of the work if that is fewer, goes to the longest-waiting request other than the first in that order, if requests
    /// of several priorities wait or some are too late for their target. Among equals, the virtual start times let
    /// everyone make progress.
    ///
    /// At most 16 requests are tried, of different priorities and customers first. A request that does not fit blocks no
    /// other.
    pub fn pop_where(&mut self, now: Tick, mut fits: impl FnMut(&Ticket) -> bool) -> Option<Ticket> {
        self.advance(now);
        let first = self.first()?;
        let mut tried = Vec::new();
        if self.is_aged_turn()
            && let Some(id) = self.aged(first, &mut tried, &mut fits)
        {
            return self.start_aged(id);
        }
        let id = self.first_fitting(first, &tried, &mut fits)?;
        self.start_in_order(id)
    }

    /// Removes and returns the requests whose latest start has passed.
    pub fn expire(&mut self, now: Tick) -> Vec<Ticket> {
        let mut late = Vec::new();
        while let Some(&(deadline, id)) = self.by_deadline.first()
            && deadline < now
        {
            late.extend(self.take(id).map(|waiting| waiting.ticket));
        }
        self.advance(now);
        late
    }

    /// Removes a waiting request, for example because its caller disconnected.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<Ticket> {
        let waiting = self.requests.get(&id)?;
        if waiting.ticket.customer != *customer {
            return None;
        }
        self.take(id).map(|waiting| waiting.ticket)
    }

    fn insert_dropping(&mut self, ticket: Ticket, most: usize, now: Tick) -> Result<Vec<Ticket>, RefusalReason> {
        self.advance(now);
        if ticket.latest_start < now {
            return Err(RefusalReason::TooLate);
        }
        if ticket.bytes > self.byte_bound || self.requests.contains_key(&ticket.id) {
            return Err(RefusalReason::QueueFull);
        }
        // Requests beyond a bound that has become smaller stay, so only as much is freed as the new one takes.
        let requests = self.bound.max(self.len());
        let bytes = self.byte_bound.max(self.bytes);
        let mut dropped = Vec::new();
        while self.len() >= requests || self.bytes.saturating_add(ticket.bytes) > bytes {
            let may_drop = dropped.len() < most;
            let Some(victim) = may_drop.then(|| self.drop_for(&ticket)).flatten() else {
                for waiting in dropped {
                    self.add(waiting);
                }
                return Err(RefusalReason::QueueFull);
            };
            dropped.push(victim);
        }
        self.enter(ticket);
        Ok(dropped.into_iter().map(|waiting| waiting.ticket).collect())
    }

    fn enter(&mut self, ticket: Ticket) {
        let virtual_time = self.virtual_time;
        let number = self.customers.enter(&ticket, virtual_time);
        if let Some(customer) = self.customers.get(number) {
            // A customer that was idle starts at the current virtual time; otherwise it could save up a burst that
            // starves others.
            let earliest = if customer.lanes.is_empty() {
                virtual_time
            } else {
                customer.start
            };
            let (start, weight) = (customer.start.max(earliest), ticket.weight());
            if Amount(start) != Amount(customer.start) || Amount(weight) != Amount(customer.weight) {
                self.customers.set_start(number, start, weight);
            }
        }
        self.add(Waiting {
            customer: number,
            arrived: self.now,
            late: ticket.class(self.now).late,
            ticket,
        });
    }

    fn add(&mut self, waiting: Waiting) {
        self.customers.add(&waiting);
        let ticket = &waiting.ticket;
        if !waiting.late {
            self.by_target.insert((ticket.target(), ticket.id));
        }
        self.by_deadline.insert((ticket.latest_start, ticket.id));
        self.by_arrival.insert((waiting.arrived, ticket.id));
        self.bytes = self.bytes.saturating_add(ticket.bytes);
        self.requests.insert(ticket.id, waiting);
    }

    fn take(&mut self, id: u64) -> Option<Waiting> {
        let waiting = self.requests.remove(&id)?;
        let ticket = &waiting.ticket;
        self.by_target.remove(&(ticket.target(), id));
        self.by_deadline.remove(&(ticket.latest_start, id));
        self.by_arrival.remove(&(waiting.arrived, id));
        self.bytes = self.bytes.saturating_sub(ticket.bytes);
        self.customers.remove(&waiting);
        Some(waiting)
    }

    /// Removes a request that starts in order.
    fn start_in_order(&mut self, id: u64) -> Option<Ticket> {
        let (ticket, start) = self.start(id)?;
        self.virtual_time = self.virtual_time.max(start);
        self.customers.forget_idle(self.virtual_time);
        self.since_aged = (self.since_aged + 1).min(AGED_INTERVAL);
        self.aged_debt -= ticket.work() / f64::from(AGED_INTERVAL - 1);
        Some(ticket)
    }

    /// Removes a request that starts out of order. This does not move the virtual time: the customers that were passed
    /// over would be behind those that arrive next.
    fn start_aged(&mut self, id: u64) -> Option<Ticket> {
        let (ticket, _) = self.start(id)?;
        self.since_aged = 0;
        self.aged_debt = ticket.work();
        Some(ticket)
    }

    /// Removes a request that starts and charges its customer; returns the virtual start time that it had.
    fn start(&mut self, id: u64) -> Option<(Ticket, f64)> {
        let waiting = self.take(id)?;
        let customer = self.customers.get(waiting.customer)?;
        let (start, weight) = (customer.start, customer.weight);
        let next = start + waiting.ticket.work() / weight;
        self.customers.set_start(waiting.customer, next, weight);
        Some((waiting.ticket, start))
    }

    /// Moves on to a later time: requests whose target has become out of reach are served after the others.
    fn advance(&mut self, now: Tick) {
        self.now = self.now.max(now);
        while let Some(&(target, id)) = self.by_target.first()
            && target < self.now
        {
            self.by_target.pop_first();
            if let Some(waiting) = self.requests.get_mut(&id) {
                self.customers.remove(waiting);
                waiting.late = true;
                self.customers.add(waiting);
            }
        }
    }

    /// Returns whether the next start goes to the longest-waiting request.
    fn is_aged_turn(&self) -> bool {
        let repaid = self.aged_debt < MAX_AGED_DEBT;
        self.since_aged + 1 >= AGED_INTERVAL && repaid && self.customers.classes.len() > 1
    }

    /// Removes the request to drop from a full queue; `None` if that is the new request itself.
    fn drop_for(&mut self, ticket: &Ticket) -> Option<Waiting> {
        let (heaviest, most) = self.customers.heaviest()?;
        let own = self.customers.number(&ticket.customer);
        let own_work = own.and_then(|own| self.customers.get(own)).map_or(0.0, |own| own.work);
        let own_is_heaviest = Amount((own_work + ticket.work()) / ticket.weight()) > Amount(most);
        let order = if own == Some(heaviest) || own_is_heaviest {
            let first = self.customers.get(own?)?.first_drop()?;
            (ticket.drop_order(ticket.class(self.now).late) <= first).then_some(first)?
        } else {
            self.customers.get(heaviest)?.first_drop()?
        };
        self.take(order.4)
    }
}
