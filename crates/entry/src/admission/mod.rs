//! Admission control: every request passes here before it is sent to an upstream.
//!
//! A request is first charged to its customer's limits. Then it waits in the queue of its model or service until an
//! upstream slot is free. Each waiting thread has a channel of its own, so that a free slot wakes only the thread whose
//! turn it is.

mod limits;
mod queues;

use std::time::Duration;

use contract::{Contract, CustomerId};
use crossbeam_channel::{Receiver, Sender, bounded};
use metrics::{counter, gauge};
use parking_lot::Mutex;
use policy::Tick;
use policy::fair::{RefusalReason, Ticket};
use policy::lane::Rejection;
use policy::route::Target;
use telemetry::Clock;
use wire::digest::Demand;

use crate::current::View;
use crate::fleet::Size;
use limits::Customers;
use queues::Queues;

/// A rejected request: the reason and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether a limit of the customer is used up; otherwise upstream capacity is short.
    pub limited: bool,
    /// Time after which a retry is worthwhile.
    pub retry_after: Duration,
}

/// What admission has to know of a request.
#[derive(Clone, Debug)]
pub struct Work {
    /// The requested model or service.
    pub target: Target,
    /// Expected tokens of prompt and answer together; 1 for a service.
    pub tokens: f64,
    /// Latest start that still meets the latency target; for services, the latest end.
    pub latest: Tick,
    /// Shedding priority of the request's class: higher values are shed first.
    pub shed: u8,
}

/// Admits requests up to the customers' limits and the capacity of the upstreams.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    queues: Queues<Sender<Verdict>>,
    customers: Customers,
    next: u64,
}

/// What a waiting thread receives on its channel.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    Granted,
    Shed(Rejection),
}

/// The right to run one request; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit<'a> {
    admission: &'a Admission,
    target: Target,
    customer: CustomerId,
    tokens: f64,
    started: Tick,
}

impl Admission {
    /// Creates the admission control of an entry host with at most `running` admitted and `waiting` queued requests.
    #[must_use]
    pub fn new(clock: Clock, running: usize, waiting: usize) -> Self {
        let inner = Inner {
            queues: Queues::new(running, waiting),
            customers: Customers::default(),
            next: 0,
        };
        Self {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Blocks until the request may run.
    ///
    /// # Errors
    /// Fails if the request is over the customer's limits, if it is predicted to miss its target, or if a full queue
    /// sheds it.
    pub fn enter(&self, contract: &Contract, work: &Work) -> Result<Permit<'_>, Refusal> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let hold = inner.queues.next_place(&work.target);
        inner
            .customers
            .take(contract, work.tokens, hold, now)
            .map_err(limited)?;
        let ticket = inner.ticket(contract, work);
        let (sender, receiver) = bounded(1);
        let offered = inner.queues.offer(&work.target, ticket.clone(), sender, now);
        match offered {
            Ok(Some((victim, sender, turned))) => {
                inner.customers.give_back(&victim.customer, victim.tokens);
                // The shed request's thread may have timed out at the same moment.
                let _ = sender.send(Verdict::Shed(turned));
            }
            Ok(None) => {}
            Err(turned) => {
                inner.customers.give_back(&ticket.customer, ticket.tokens);
                return Err(refused(turned));
            }
        }
        inner.grant();
        drop(inner);
        self.wait(work, ticket, &receiver)
    }

    fn wait(&self, work: &Work, ticket: Ticket, receiver: &Receiver<Verdict>) -> Result<Permit<'_>, Refusal> {
        let left = work.latest.since(self.clock.now()) + Duration::from_millis(1);
        let verdict = receiver.recv_timeout(left).or_else(|_late| {
            let now = self.clock.now();
            let mut inner = self.inner.lock();
            match inner.queues.leave(&work.target, &ticket, now) {
                Some(turned) => {
                    inner.customers.give_back(&ticket.customer, ticket.tokens);
                    Ok(Verdict::Shed(turned))
                }
                // It was admitted or shed between the timeout and the lock, so its verdict is in the channel.
                None => receiver.recv(),
            }
        });
        match verdict {
            Ok(Verdict::Granted) => Ok(Permit {
                admission: self,
                target: work.target.clone(),
                customer: ticket.customer,
                tokens: ticket.tokens,
                started: self.clock.now(),
            }),
            Ok(Verdict::Shed(turned)) => Err(refused(turned)),
            Err(_gone) => unreachable!("a ticket's sender is kept until it has sent a verdict"),
        }
    }

    /// Sets the number of slots of each model and service.
    pub fn resize(&self, sizes: &[Size]) {
        let mut inner = self.inner.lock();
        inner.queues.resize(sizes);
        inner.grant();
        inner.queues.show();
    }

    /// Applies the contracts of a configuration view, the number of entry hosts and the rank of this host among them.
    pub fn refresh(&self, view: &View, hosts: u32, rank: u32) {
        let now = self.clock.now();
        self.inner.lock().customers.refresh(&view.config, hosts, rank, now);
    }

    /// Returns the demand rows for a peer: one for each customer that is active here or lent to the peer.
    #[must_use]
    pub fn tell(&self, peer: u32, now: Tick) -> Vec<Demand> {
        self.inner.lock().customers.tell(peer, now)
    }

    /// Records a peer's demand and loans; `asked` is the time at which this host sent the demand that the loans answer.
    ///
    /// Returns whether the peer lacks something that this host could lend.
    pub fn hear(&self, peer: u32, rows: &[Demand], asked: Option<Tick>, now: Tick) -> bool {
        self.inner.lock().customers.hear(peer, rows, asked, now)
    }

    /// Returns whether any request is running or waiting.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.inner.lock().queues.is_busy()
    }
}

impl Inner {
    fn ticket(&mut self, contract: &Contract, work: &Work) -> Ticket {
        self.next += 1;
        Ticket {
            id: self.next,
            customer: contract.customer.clone(),
            weight: contract.share,
            tokens: work.tokens.max(1.0),
            latest_start: work.latest,
            shed_order: work.shed,
        }
    }

    fn grant(&mut self) {
        while let Some(sender) = self.queues.grant() {
            // A thread that has just timed out still receives the verdict.
            let _ = sender.send(Verdict::Granted);
        }
    }
}

impl Permit<'_> {
    /// Replaces the expected number of tokens by the number that was used.
    pub fn used(&mut self, tokens: f64) {
        let tokens = tokens.max(1.0);
        let mut inner = self.admission.inner.lock();
        inner.customers.correct(&self.customer, self.tokens - tokens);
        self.tokens = tokens;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let held = self.admission.clock.now().since(self.started);
        let mut inner = self.admission.inner.lock();
        inner.queues.finished(&self.target, self.tokens, held);
        inner.customers.ended(&self.customer);
        inner.grant();
    }
}

fn limited(retry_after: Duration) -> Refusal {
    counter!("gentian_refused_total", "cause" => "limit").increment(1);
    Refusal {
        limited: true,
        retry_after,
    }
}

fn refused(turned: Rejection) -> Refusal {
    let cause = match turned.why {
        RefusalReason::QueueFull => "queue",
        RefusalReason::TooLate => "late",
    };
    counter!("gentian_refused_total", "cause" => cause).increment(1);
    gauge!("gentian_retry_after_seconds").set(turned.retry_after.as_secs_f64());
    Refusal {
        limited: false,
        retry_after: turned.retry_after,
    }
}
