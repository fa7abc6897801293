//! Admission: every request passes here before anything is sent for it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use contract::{Contract, CustomerId};
use metrics::{counter, gauge};
use parking_lot::{Condvar, Mutex};
use policy::Tick;
use policy::fair::{FairQueue, Refused, Ticket};
use policy::limits::Bucket;
use telemetry::Clock;

/// Why a request was not admitted, and when it's worth asking again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The customer's limit is used up; otherwise the system is short of capacity.
    pub limited: bool,
    /// Time after which it is worth asking again.
    pub retry_after: Duration,
}

/// The work that a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Expected tokens, prompt and answer together.
    pub tokens: f64,
    /// Latest start with which it can still be on time.
    pub latest: Tick,
    /// Order of shedding.
    pub shed: u8,
}

/// Admits requests up to what may run at once.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    bound: usize,
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug)]
struct Inner {
    queue: FairQueue,
    next: u64,
    running: usize,
    granted: HashSet<u64>,
    expired: HashSet<u64>,
    customers: HashMap<CustomerId, Meter>,
}

#[derive(Debug)]
struct Meter {
    requests: Bucket,
    tokens: Bucket,
    running: u32,
}

/// The right to run one request; it ends when dropped.
#[derive(Debug)]
pub struct Permit<'a> {
    admission: &'a Admission,
    customer: CustomerId,
}

impl Admission {
    /// Makes the admission of an entry host.
    #[must_use]
    pub fn new(clock: Clock, running: usize, waiting: usize) -> Self {
        let inner = Inner {
            queue: FairQueue::new(waiting),
            next: 0,
            running: 0,
            granted: HashSet::new(),
            expired: HashSet::new(),
            customers: HashMap::new(),
        };
        Self {
            clock,
            bound: running,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    /// Refuses what is over the customer's limits, finds the queue full, or can no longer be on time.
    pub fn enter(&self, contract: &Contract, work: &Work) -> Result<Permit<'_>, Refusal> {
        let mut inner = self.inner.lock();
        let now = self.clock.now();
        inner.meter(contract, now).take(contract, work.tokens, now)?;
        let id = inner.next;
        inner.next += 1;
        let ticket = Ticket {
            id,
            customer: contract.customer.clone(),
            share: contract.share,
            tokens: work.tokens.max(1.0),
            latest: work.latest,
            shed: work.shed,
        };
        if let Err(why) = inner.queue.push(ticket, now) {
            counter!("gentian_refused_total", "cause" => cause(why)).increment(1);
            return Err(Refusal {
                limited: false,
                retry_after: Duration::from_secs(1),
            });
        }
        inner.grant(self.bound);
        loop {
            if inner.granted.remove(&id) {
                inner.meter(contract, now).running += 1;
                gauge!("gentian_running_requests").set(inner.running as f64);
                return Ok(Permit {
                    admission: self,
                    customer: contract.customer.clone(),
                });
            }
            if inner.expired.remove(&id) {
                counter!("gentian_refused_total", "cause" => cause(Refused::TooLate)).increment(1);
                return Err(Refusal {
                    limited: false,
                    retry_after: Duration::from_secs(1),
                });
            }
            let left = work.latest.since(self.clock.now()) + Duration::from_millis(1);
            self.changed.wait_for(&mut inner, left);
            let late = inner.queue.expire(self.clock.now());
            inner.expired.extend(late.iter().map(|ticket| ticket.id));
            if !late.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    /// Tells whether any request runs or waits.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let inner = self.inner.lock();
        inner.running > 0 || !inner.queue.is_empty()
    }
}

impl Inner {
    fn meter(&mut self, contract: &Contract, now: Tick) -> &mut Meter {
        let limits = contract.limits;
        self.customers
            .entry(contract.customer.clone())
            .or_insert_with(|| Meter {
                requests: Bucket::new(limits.requests_per_s, now),
                tokens: Bucket::new(limits.tokens_per_s, now),
                running: 0,
            })
    }

    fn grant(&mut self, bound: usize) {
        while self.running < bound
            && let Some(ticket) = self.queue.pop()
        {
            self.running += 1;
            self.granted.insert(ticket.id);
        }
    }
}

impl Meter {
    fn take(&mut self, contract: &Contract, tokens: f64, now: Tick) -> Result<(), Refusal> {
        self.requests.set_rate(contract.limits.requests_per_s, now);
        self.tokens.set_rate(contract.limits.tokens_per_s, now);
        if self.running >= contract.limits.concurrency {
            return Err(limited(Duration::from_secs(1)));
        }
        self.requests.take(1.0, now).map_err(limited)?;
        self.tokens.take(tokens, now).map_err(|after| {
            self.requests.correct(1.0);
            limited(after)
        })
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut inner = self.admission.inner.lock();
        inner.running -= 1;
        if let Some(meter) = inner.customers.get_mut(&self.customer) {
            meter.running -= 1;
        }
        inner.grant(self.admission.bound);
        gauge!("gentian_running_requests").set(inner.running as f64);
        self.admission.changed.notify_all();
    }
}

fn limited(retry_after: Duration) -> Refusal {
    counter!("gentian_refused_total", "cause" => "limit").increment(1);
    Refusal {
        limited: true,
        retry_after,
    }
}

const fn cause(why: Refused) -> &'static str {
    match why {
        Refused::QueueFull => "queue",
        Refused::TooLate => "late",
    }
}
