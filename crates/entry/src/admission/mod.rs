//! Admission: every request passes here before anything is sent for it.
//!
//! A request is counted against its customer's limits first; then it waits in the lane of the model or service that it
//! asks for until a slot of an upstream is free. Each waiting thread has a channel of its own, so that a free slot wakes
//! the one whose turn it is and not all of them.

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

/// Why a request was not admitted, and when it's worth asking again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The customer's limit is used up; otherwise the system is short of capacity.
    pub limited: bool,
    /// Time after which it is worth asking again.
    pub retry_after: Duration,
}

/// The work that a request asks for.
#[derive(Clone, Debug)]
pub struct Work {
    /// The model or service that it asks for.
    pub target: Target,
    /// Expected tokens, prompt and answer together.
    pub tokens: f64,
    /// Latest start with which it can still be on time; for services, the latest end.
    pub latest: Tick,
    /// Order of shedding.
    pub shed: u8,
}

/// Admits requests up to what upstreams can take.
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

/// What a waiting request is told.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    Granted,
    Shed(Rejection),
}

/// The right to run one request; it ends when dropped.
#[derive(Debug)]
pub struct Permit<'a> {
    admission: &'a Admission,
    target: Target,
    customer: CustomerId,
    tokens: f64,
    started: Tick,
}

impl Admission {
    /// Makes the admission of an entry host that runs and lets wait so many requests at most.
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

    /// Waits until the request may run.
    ///
    /// # Errors
    /// Refuses what is over the customer's limits, at once what is predicted to be late, and what a full queue sheds.
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
                // The victim's thread may have timed out by itself at the same moment.
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
                // It was granted or shed between the end of the wait and the lock.
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

    /// Sets what upstreams can take, by what they serve.
    pub fn resize(&self, sizes: &[Size]) {
        let mut inner = self.inner.lock();
        inner.queues.resize(sizes);
        inner.grant();
        inner.queues.show();
    }

    /// Takes over the contracts of a view and the place of this host among all entry hosts.
    pub fn refresh(&self, view: &View, hosts: u32, rank: u32) {
        let now = self.clock.now();
        self.inner.lock().customers.refresh(&view.config, hosts, rank, now);
    }

    /// Gives what this host tells a peer of every customer that is active here or lent to the peer.
    #[must_use]
    pub fn tell(&self, peer: u32, now: Tick) -> Vec<Demand> {
        self.inner.lock().customers.tell(peer, now)
    }

    /// Takes in what a peer tells; the time is that at which the demand was sent which its loans answer.
    ///
    /// Returns whether the peer lacks something that this host could lend.
    pub fn hear(&self, peer: u32, rows: &[Demand], asked: Option<Tick>, now: Tick) -> bool {
        self.inner.lock().customers.hear(peer, rows, asked, now)
    }

    /// Tells whether any request runs or waits.
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
            // The thread takes its verdict even if it has just timed out.
            let _ = sender.send(Verdict::Granted);
        }
    }
}

impl Permit<'_> {
    /// Notes how many tokens were used in the end, in place of those that were expected.
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
