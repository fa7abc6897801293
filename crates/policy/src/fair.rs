//! Weighted fair queueing between customers, earliest latest-start first within one.

use std::collections::{BTreeMap, BTreeSet};

use contract::CustomerId;
use derive_more::{Display, Error};

use crate::Tick;

/// A request that waits for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Distinguishes it from other tickets.
    pub id: u64,
    /// The customer in whose name it is made.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: u32,
    /// Expected work, in tokens.
    pub tokens: f64,
    /// Latest start with which it can still be on time.
    pub latest_start: Tick,
    /// Order of shedding: higher numbers go first.
    pub shed_order: u8,
}

/// Why a request was refused; it was not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue holds as many requests as it may.
    #[display("the queue is full")]
    QueueFull,
    /// It can't be on time.
    #[display("it can no longer be on time")]
    TooLate,
}

/// A bounded queue that shares capacity by weight.
#[derive(Debug)]
pub struct FairQueue {
    bound: usize,
    length: usize,
    virtual_time: f64,
    lines: BTreeMap<CustomerId, Line>,
}

/// One customer's waiting requests.
#[derive(Debug, Default)]
struct Line {
    /// Virtual time at which the next request starts.
    start: f64,
    share: f64,
    /// Waiting work in tokens.
    work: f64,
    order: BTreeSet<(Tick, u64)>,
    sheds: BTreeSet<(u8, Tick, u64)>,
    tickets: BTreeMap<u64, Ticket>,
}

impl FairQueue {
    /// Makes a queue that holds at most `bound` requests.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self {
            bound,
            length: 0,
            virtual_time: 0.0,
            lines: BTreeMap::new(),
        }
    }

    /// Gives the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Changes the bound; requests beyond a smaller one stay.
    pub const fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Queues a request; a full queue makes room by shedding another, which is returned.
    ///
    /// The victim is of the customer that waits with the most work for its share, so that a customer that floods the
    /// queue pays for it alone. Of that customer it is the request that its contract sheds first.
    ///
    /// # Errors
    /// Refuses the request when it is too late already or is the victim itself.
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
            // An idle customer starts at the present, so that it can't save up a burst that starves the others.
            line.start = line.start.max(virtual_time);
        }
        line.add(ticket);
        self.length += 1;
        Ok(shed)
    }

    /// Takes the request that is next by share and, within the customer, by latest start.
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

    /// Gives the tokens that are served before a request if it is queued now.
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

    /// Takes out every request that can no longer be on time.
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

    /// Takes out one request whose caller has gone away.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<Ticket> {
        let ticket = self.lines.get_mut(customer)?.take(id)?;
        self.length -= 1;
        Some(ticket)
    }

    /// Takes out the victim of a full queue, unless it is the new request itself.
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
            // A single request that alone outweighs all that any other customer has waiting.
            return None;
        }
        let (_, _, id) = *line.sheds.last()?;
        let victim = line.take(id)?;
        self.length -= 1;
        Some(victim)
    }

    /// Drops customers that wait for nothing and have no more than their share behind them.
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
        // Rounding errors must not pile up while the line is never empty.
        self.work = if self.tickets.is_empty() {
            0.0
        } else {
            self.work - ticket.tokens
        };
        Some(ticket)
    }

    /// Gives the customer's own work that goes before a request.
    fn before(&self, ticket: &Ticket) -> f64 {
        let earlier = self.order.range(..(ticket.latest_start, ticket.id));
        earlier
            .filter_map(|(_, id)| self.tickets.get(id))
            .map(|other| other.tokens)
            .sum()
    }
}
