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
    pub share: u32,
    /// Expected work, in tokens.
    pub tokens: f64,
    /// Latest start with which it can still be on time.
    pub latest: Tick,
    /// Order of shedding: higher numbers go first.
    pub shed: u8,
}

/// Why a request was refused; it was not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refused {
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

#[derive(Debug, Default)]
struct Line {
    finish: f64,
    order: BTreeSet<(Tick, u64)>,
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

    /// Queues a request.
    ///
    /// # Errors
    /// Refuses when the queue is full or the request is too late already.
    pub fn push(&mut self, ticket: Ticket, now: Tick) -> Result<(), Refused> {
        if ticket.latest < now {
            return Err(Refused::TooLate);
        }
        if self.length >= self.bound {
            return Err(Refused::QueueFull);
        }
        let line = self.lines.entry(ticket.customer.clone()).or_default();
        if line.tickets.is_empty() {
            // An idle customer starts at the present, so that it can't save up a burst that starves the others.
            line.finish = line.finish.max(self.virtual_time);
        }
        line.order.insert((ticket.latest, ticket.id));
        line.tickets.insert(ticket.id, ticket);
        self.length += 1;
        Ok(())
    }

    /// Takes the request that is next by share and, within the customer, by latest start.
    pub fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.lines.values_mut().filter(|line| !line.tickets.is_empty());
        let line = waiting.min_by(|a, b| a.finish.total_cmp(&b.finish))?;
        let (_, id) = line.order.pop_first()?;
        let ticket = line.tickets.remove(&id)?;
        self.virtual_time = self.virtual_time.max(line.finish);
        line.finish += ticket.tokens / f64::from(ticket.share.max(1));
        self.length -= 1;
        Some(ticket)
    }

    /// Takes out every request that can no longer be on time.
    pub fn expire(&mut self, now: Tick) -> Vec<Ticket> {
        let mut late = Vec::new();
        for line in self.lines.values_mut() {
            while let Some(&(latest, id)) = line.order.first()
                && latest < now
            {
                line.order.pop_first();
                late.extend(line.tickets.remove(&id));
            }
        }
        self.length -= late.len();
        late
    }

    /// Takes out one request whose caller has gone away.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<Ticket> {
        let line = self.lines.get_mut(customer)?;
        let ticket = line.tickets.remove(&id)?;
        line.order.remove(&(ticket.latest, id));
        self.length -= 1;
        Some(ticket)
    }
}
