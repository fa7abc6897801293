//! The requests that wait, and why they are refused.

use contract::CustomerId;
use derive_more::{Display, Error};

use crate::Tick;

/// Least and largest work of a request, in tokens. Requests without work would never be charged for; the largest work is
/// far beyond the memory of any engine, and keeps a wrong figure from delaying its customer for good.
const WORK_RANGE: (f64, f64) = (1.0, 1e7);

/// A request that waits for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Unique among all tickets.
    pub id: u64,
    /// The customer that the request is charged to.
    pub customer: CustomerId,
    /// The customer's weight in the queue; zero counts as one.
    pub weight: u32,
    /// Expected work, in tokens. At least 1 is charged, also for a figure that is not a number.
    pub tokens: f64,
    /// Latest start at which the request is still worth running.
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

/// Requests that are served before all of a later class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    /// Whether the target can no longer be met.
    pub(super) late: bool,
    pub(super) priority: u8,
}

/// Order in which a customer's requests are dropped, the last first: by priority, shed order, whether the target can no
/// longer be met, latest start and id.
pub(super) type DropOrder = (u8, u8, bool, Tick, u64);

/// A ticket in the queue.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    /// Number of the customer.
    pub(super) customer: u32,
    pub(super) arrived: Tick,
    /// Whether the target can no longer be met.
    pub(super) late: bool,
}

impl Ticket {
    /// Returns the work that is charged.
    pub(super) const fn work(&self) -> f64 {
        // `max` ignores an operand that is not a number.
        self.tokens.max(WORK_RANGE.0).min(WORK_RANGE.1)
    }

    pub(super) fn weight(&self) -> f64 {
        f64::from(self.weight.max(1))
    }

    pub(super) fn target(&self) -> Tick {
        self.target_start.min(self.latest_start)
    }

    pub(super) fn class(&self, now: Tick) -> Class {
        Class {
            late: self.target() < now,
            priority: self.priority,
        }
    }

    pub(super) const fn drop_order(&self, late: bool) -> DropOrder {
        (self.priority, self.shed_order, late, self.latest_start, self.id)
    }
}

impl Waiting {
    pub(super) const fn class(&self) -> Class {
        Class {
            late: self.late,
            priority: self.ticket.priority,
        }
    }
}
