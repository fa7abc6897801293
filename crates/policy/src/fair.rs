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
    /// Order in which a full queue drops requests of the customer; higher values are dropped first.
    pub shed_order: u8,
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
    length: usize,
    virtual_time: f64,
    lines: BTreeMap<CustomerId, Line>,
}

/// The waiting requests of one customer.
#[derive(Debug, Default)]
struct Line {
    /// Virtual start time of the next request.
    start: f64,
    share: f64,
    /// Waiting work, in tokens.
    work: f64,
    order: BTreeSet<(Tick, u64)>,
    sheds: BTreeSet<(u8, Tick, u64)>,
    tickets: BTreeMap<u64, Ticket>,
}

impl FairQueue {
    /// Creates a queue of at most `bound` requests.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self {
            bound,
            length: 0,
            virtual_time: 0.0,
            lines: BTreeMap::new(),
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
        let shed = if self.length >= self.bound {
            Some(self.shed_for(&ticket).ok_or(RefusalReason::QueueFull)?)
        } else {
            None
        };
        let virtual_time = self.virtual_time;
        let line = self.lines.entry(ticket.customer.clone()).or_default();
        if line.tickets.is_empty() {
            // A customer that was idle starts at the current virtual time; otherwise it could save up a burst that
            // starves others.
            line.start = line.start.max(virtual_time);
        }
        line.add(ticket);
        self.length += 1;
        Ok(shed)
    }

    /// Removes and returns the next request: by virtual start time, and within the customer by start deadline.
    pub fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.lines.values_mut().filter(|line| !line.tickets.is_empty());
        let line = waiting.min_by(|a, b| a.start.total_cmp(&b.start))?;
        let (_, id) = *line.order.first()?;
        let ticket = line.take(id)?;
        self.virtual_time = self.virtual_time.max(line.start);
        line.start += ticket.tokens / line.share;
        self.length -= 1;
        self.forget_idle();
        Some(ticket)
    }

    /// Returns the work, in tokens, that would be served before the request if it was queued now.
    #[must_use]
    pub fn work_ahead(&self, ticket: &Ticket) -> f64 {
        let own = self.lines.get(&ticket.customer);
        let before = own.map_or(0.0, |line| line.before(ticket));
        let start = own.map_or(self.virtual_time, |line| line.start.max(self.virtual_time));
        let turn = start + before / f64::from(ticket.weight.max(1));
        let others = self.lines.iter().filter(|(customer, _)| **customer != ticket.customer);
        let served = others.map(|(_, line)| ((turn - line.start).max(0.0) * line.share).min(line.work));
        before + served.sum::<f64>()
    }

    /// Removes and returns the requests whose start deadline has passed.
    pub fn expire(&mut self, now: Tick) -> Vec<Ticket> {
        let mut late = Vec::new();
        for line in self.lines.values_mut() {
            while let Some(&(latest, id)) = line.order.first()
                && latest < now
            {
                late.extend(line.take(id));
            }
        }
        self.length -= late.len();
        late
    }

    /// Removes a waiting request, for example because its caller disconnected.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<Ticket> {
        let ticket = self.lines.get_mut(customer)?.take(id)?;
        self.length -= 1;
        Some(ticket)
    }

    /// Removes the request to drop from a full queue; `None` if that is the new request itself.
    fn shed_for(&mut self, ticket: &Ticket) -> Option<Ticket> {
        let share = f64::from(ticket.weight.max(1));
        let weight = |(customer, line): &(&CustomerId, &mut Line)| {
            let more = if **customer == ticket.customer {
                ticket.tokens
            } else {
                0.0
            };
            (line.work + more) / line.share
        };
        let waiting = self.lines.iter_mut().filter(|(_, line)| !line.tickets.is_empty());
        let (customer, line) = waiting.max_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        if *customer == ticket.customer {
            let first = *line.sheds.last()?;
            if (ticket.shed_order, ticket.latest_start, ticket.id) > first {
                return None;
            }
        } else if ticket.tokens / share > line.work / line.share {
            // This request alone exceeds the waiting work of every other customer.
            return None;
        }
        let (_, _, id) = *line.sheds.last()?;
        let victim = line.take(id)?;
        self.length -= 1;
        Some(victim)
    }

    /// Forgets customers without waiting requests that have used no more than their share.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lines
            .retain(|_, line| !line.tickets.is_empty() || line.start > virtual_time);
    }
}

impl Line {
    fn add(&mut self, ticket: Ticket) {
        self.share = f64::from(ticket.weight.max(1));
        self.work += ticket.tokens;
        self.order.insert((ticket.latest_start, ticket.id));
        self.sheds.insert((ticket.shed_order, ticket.latest_start, ticket.id));
        self.tickets.insert(ticket.id, ticket);
    }

    fn take(&mut self, id: u64) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        self.order.remove(&(ticket.latest_start, id));
        self.sheds.remove(&(ticket.shed_order, ticket.latest_start, id));
        // The sum is reset whenever it can be: rounding errors would add up otherwise.
        self.work = if self.tickets.is_empty() {
            0.0
        } else {
            self.work - ticket.tokens
        };
        Some(ticket)
    }

    /// Returns the customer's own work, in tokens, that would be served before the request.
    fn before(&self, ticket: &Ticket) -> f64 {
        let earlier = self.order.range(..(ticket.latest_start, ticket.id));
        earlier
            .filter_map(|(_, id)| self.tickets.get(id))
            .map(|other| other.tokens)
            .sum()
    }
}
