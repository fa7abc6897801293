//! Weighted fair queueing between customers; within a customer the request with the earliest start deadline goes first.

use std::collections::{BTreeMap, BTreeSet};

use contract::CustomerId;
use derive_more::{Display, Error};

use crate::Tick;

/// A request that waits for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Unique among all tickets.
    pub id: u64,
    /// The customer that the request is charged to.
    pub customer: CustomerId,
    /// The customer's weight in the queue; zero counts as one.
    pub weight: u32,
    /// Expected work, in tokens.
    pub tokens: f64,
    /// Latest start at which the request still meets its target.
    pub latest_start: Tick,
    /// Latest start at which the request still meets its target; a value after `latest_start` counts as that.
    pub target_start: Tick,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Order in which a full queue drops requests of the same customer and priority; higher values are dropped first.
    pub shed_order: u8,
    /// Memory that the request occupies while it waits, in bytes.
    pub bytes: usize,
}

/// Why a request was refused. A refused request was not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full, and no other request may be dropped for this one.
    #[display("the queue is full")]
    QueueFull,
    /// The request cannot meet its target any more.
    #[display("it can no longer be on time")]
    TooLate,
}

/// A bounded queue that divides capacity between customers by weight.
#[derive(Debug)]
pub struct FairQueue {
    bound: usize,
    byte_bound: usize,
    bytes: usize,
    length: usize,
    now: Tick,
    virtual_time: f64,
    queues: BTreeMap<CustomerId, CustomerQueue>,
}

/// The waiting requests of one customer.
#[derive(Debug, Default)]
struct CustomerQueue {
    /// Virtual start time of the next request.
    start: f64,
    weight: f64,
    /// Waiting work, in tokens.
    work: f64,
    by_deadline: BTreeSet<(Tick, u64)>,
    drop_order: BTreeSet<(u8, Tick, u64)>,
    tickets: BTreeMap<u64, Ticket>,
}

impl FairQueue {
    /// Creates a queue of at most `bound` requests.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self {
            bound,
            byte_bound: usize::MAX,
            bytes: 0,
            length: 0,
            now: Tick(std::time::Duration::ZERO),
            virtual_time: 0.0,
            queues: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Changes the bound; requests already queued beyond a smaller bound stay.
    pub const fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Changes the bound on the bytes that wait; requests already queued beyond a smaller bound stay.
    pub const fn set_byte_bound(&mut self, bytes: usize) {
        self.byte_bound = bytes;
    }

    /// Returns the bytes of the waiting requests.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how long the longest-waiting request has waited.
    #[must_use]
    pub fn oldest(&self, now: Tick) -> Option<std::time::Duration> {
        (self.length > 0).then(|| now.since(self.now))
    }

    /// Queues a request and returns all requests that were dropped for it; with a byte bound they may be several.
    ///
    /// # Errors
    /// Refuses a request like [`Self::push`].
    pub fn insert(&mut self, ticket: Ticket, now: Tick) -> Result<Vec<Ticket>, RefusalReason> {
        Ok(self.push(ticket, now)?.into_iter().collect())
    }

    /// Removes and returns the first request in the order of the queue that `fits`.
    pub fn pop_where(&mut self, now: Tick, mut fits: impl FnMut(&Ticket) -> bool) -> Option<Ticket> {
        self.now = now;
        let all = self.queues.values().flat_map(|queue| queue.tickets.values());
        let mut order: Vec<(bool, u8, Tick, u64, CustomerId)> = all
            .map(|one| {
                (
                    one.target_start < now,
                    one.priority,
                    one.target_start,
                    one.id,
                    one.customer.clone(),
                )
            })
            .collect();
        order.sort();
        let found = order.into_iter().take(16).find(|(.., id, customer)| {
            let queue = self.queues.get(customer);
            queue.and_then(|queue| queue.tickets.get(id)).is_some_and(&mut fits)
        });
        let (.., id, customer) = found?;
        self.remove(&customer, id)
    }

    /// Queues a request. If the queue is full, another request is dropped for it and returned.
    ///
    /// The dropped request belongs to the customer with the most waiting work for its weight, so that a customer that
    /// floods the queue only harms itself. Among that customer's requests it is the one with the highest
    /// [`Ticket::shed_order`].
    ///
    /// # Errors
    /// Refuses a request whose start deadline has passed, or that would itself be the one to drop.
    pub fn push(&mut self, ticket: Ticket, now: Tick) -> Result<Option<Ticket>, RefusalReason> {
        if ticket.latest_start < now {
            return Err(RefusalReason::TooLate);
        }
        let dropped = if self.length >= self.bound {
            Some(self.drop_for(&ticket).ok_or(RefusalReason::QueueFull)?)
        } else {
            None
        };
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(ticket.customer.clone()).or_default();
        if queue.tickets.is_empty() {
            // A customer that was idle starts at the current virtual time; otherwise it could save up a burst that
            // starves others.
            queue.start = queue.start.max(virtual_time);
        }
        queue.add(ticket);
        self.length += 1;
        Ok(dropped)
    }

    /// Removes and returns the next request: by virtual start time, and within the customer by start deadline.
    pub fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.queues.values_mut().filter(|queue| !queue.tickets.is_empty());
        let queue = waiting.min_by(|a, b| a.start.total_cmp(&b.start))?;
        let (_, id) = *queue.by_deadline.first()?;
        let ticket = queue.take(id)?;
        self.virtual_time = self.virtual_time.max(queue.start);
        queue.start += ticket.tokens / queue.weight;
        self.length -= 1;
        self.forget_idle();
        Some(ticket)
    }

    /// Returns the work, in tokens, that would be served before the request if it was queued now.
    #[must_use]
    pub fn work_ahead(&self, ticket: &Ticket) -> f64 {
        let own = self.queues.get(&ticket.customer);
        let own_work = own.map_or(0.0, |queue| queue.work_before(ticket));
        let start = own.map_or(self.virtual_time, |queue| queue.start.max(self.virtual_time));
        let virtual_start = start + own_work / f64::from(ticket.weight.max(1));
        let others = self.queues.iter().filter(|(customer, _)| **customer != ticket.customer);
        let served = others.map(|(_, queue)| ((virtual_start - queue.start).max(0.0) * queue.weight).min(queue.work));
        own_work + served.sum::<f64>()
    }

    /// Removes and returns the requests whose start deadline has passed.
    pub fn expire(&mut self, now: Tick) -> Vec<Ticket> {
        let mut late = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(&(deadline, id)) = queue.by_deadline.first()
                && deadline < now
            {
                late.extend(queue.take(id));
            }
        }
        self.length -= late.len();
        late
    }

    /// Removes a waiting request, for example because its caller disconnected.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<Ticket> {
        let ticket = self.queues.get_mut(customer)?.take(id)?;
        self.length -= 1;
        Some(ticket)
    }

    /// Removes the request to drop from a full queue; `None` if that is the new request itself.
    fn drop_for(&mut self, ticket: &Ticket) -> Option<Ticket> {
        let own_weight = f64::from(ticket.weight.max(1));
        let relative_work = |(customer, queue): &(&CustomerId, &mut CustomerQueue)| {
            let added = if **customer == ticket.customer {
                ticket.tokens
            } else {
                0.0
            };
            (queue.work + added) / queue.weight
        };
        let waiting = self.queues.iter_mut().filter(|(_, queue)| !queue.tickets.is_empty());
        let (customer, queue) = waiting.max_by(|a, b| relative_work(a).total_cmp(&relative_work(b)))?;
        if *customer == ticket.customer {
            let first_dropped = *queue.drop_order.last()?;
            if (ticket.shed_order, ticket.latest_start, ticket.id) > first_dropped {
                return None;
            }
        } else if ticket.tokens / own_weight > queue.work / queue.weight {
            // This request alone exceeds the waiting work of every other customer.
            return None;
        }
        let (_, _, id) = *queue.drop_order.last()?;
        let victim = queue.take(id)?;
        self.length -= 1;
        Some(victim)
    }

    /// Forgets customers without waiting requests that have used no more than their share.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.tickets.is_empty() || queue.start > virtual_time);
    }
}

impl CustomerQueue {
    fn add(&mut self, ticket: Ticket) {
        self.weight = f64::from(ticket.weight.max(1));
        self.work += ticket.tokens;
        self.by_deadline.insert((ticket.latest_start, ticket.id));
        self.drop_order
            .insert((ticket.shed_order, ticket.latest_start, ticket.id));
        self.tickets.insert(ticket.id, ticket);
    }

    fn take(&mut self, id: u64) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        self.by_deadline.remove(&(ticket.latest_start, id));
        self.drop_order.remove(&(ticket.shed_order, ticket.latest_start, id));
        // The sum is reset whenever it can be: rounding errors would add up otherwise.
        self.work = if self.tickets.is_empty() {
            0.0
        } else {
            self.work - ticket.tokens
        };
        Some(ticket)
    }

    /// Returns the customer's own work, in tokens, that would be served before the request.
    fn work_before(&self, ticket: &Ticket) -> f64 {
        let earlier = self.by_deadline.range(..(ticket.latest_start, ticket.id));
        earlier
            .filter_map(|(_, id)| self.tickets.get(id))
            .map(|other| other.tokens)
            .sum()
    }
}
