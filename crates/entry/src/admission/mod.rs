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

use crate::active_config::ConfigView;
use crate::upstreams::TargetSlots;
use limits::LimitTable;
use queues::TargetQueues;

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
pub struct AdmissionRequest {
    /// The requested model or service.
    pub target: Target,
    /// Expected tokens of prompt and answer together; 1 for a service.
    pub tokens: f64,
    /// Latest start that still meets the latency target; for services, the latest end.
    pub deadline: Tick,
    /// Shedding priority of the request's class: higher values are shed first.
    pub shed_priority: u8,
}

/// Admits requests up to the customers' limits and the capacity of the upstreams.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    queues: TargetQueues<Sender<Verdict>>,
    limits: LimitTable,
    next_ticket: u64,
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
            queues: TargetQueues::new(running, waiting),
            limits: LimitTable::default(),
            next_ticket: 0,
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
    pub fn admit(&self, contract: &Contract, request: &AdmissionRequest) -> Result<Permit<'_>, Refusal> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let slot_wait = inner.queues.slot_wait(&request.target);
        inner
            .limits
            .charge(contract, request.tokens, slot_wait, now)
            .map_err(limit_refusal)?;
        let ticket = inner.new_ticket(contract, request);
        let (sender, receiver) = bounded(1);
        let pushed = inner.queues.push(&request.target, ticket.clone(), sender, now);
        match pushed {
            Ok(Some((shed, sender, rejection))) => {
                inner.limits.refund(&shed.customer, shed.tokens);
                // The shed request's thread may have timed out at the same moment.
                let _ = sender.send(Verdict::Shed(rejection));
            }
            Ok(None) => {}
            Err(rejection) => {
                inner.limits.refund(&ticket.customer, ticket.tokens);
                return Err(queue_refusal(rejection));
            }
        }
        inner.admit_waiting();
        drop(inner);
        self.wait_for_verdict(request, ticket, &receiver)
    }

    fn wait_for_verdict(
        &self,
        request: &AdmissionRequest,
        ticket: Ticket,
        receiver: &Receiver<Verdict>,
    ) -> Result<Permit<'_>, Refusal> {
        let timeout = request.deadline.since(self.clock.now()) + Duration::from_millis(1);
        let verdict = receiver.recv_timeout(timeout).or_else(|_late| {
            let now = self.clock.now();
            let mut inner = self.inner.lock();
            match inner.queues.remove_late(&request.target, &ticket, now) {
                Some(rejection) => {
                    inner.limits.refund(&ticket.customer, ticket.tokens);
                    Ok(Verdict::Shed(rejection))
                }
                // It was admitted or shed between the timeout and the lock, so its verdict is in the channel.
                None => receiver.recv(),
            }
        });
        match verdict {
            Ok(Verdict::Granted) => Ok(Permit {
                admission: self,
                target: request.target.clone(),
                customer: ticket.customer,
                tokens: ticket.tokens,
                started: self.clock.now(),
            }),
            Ok(Verdict::Shed(rejection)) => Err(queue_refusal(rejection)),
            Err(_gone) => unreachable!("a ticket's sender is kept until it has sent a verdict"),
        }
    }

    /// Sets the number of slots of each model and service.
    pub fn set_slots(&self, targets: &[TargetSlots]) {
        let mut inner = self.inner.lock();
        inner.queues.set_slots(targets);
        inner.admit_waiting();
        inner.queues.update_gauges();
    }

    /// Applies the contracts of a configuration view, the number of entry hosts and the rank of this host among them.
    pub fn apply_config(&self, view: &ConfigView, hosts: u32, rank: u32) {
        let now = self.clock.now();
        self.inner.lock().limits.apply_config(&view.config, hosts, rank, now);
    }

    /// Returns the demand rows for a peer: one for each customer that is active here or lent to the peer.
    #[must_use]
    pub fn demand_for(&self, peer: u32, now: Tick) -> Vec<Demand> {
        self.inner.lock().limits.demand_for(peer, now)
    }

    /// Records a peer's demand and loans; `asked` is the time at which this host sent the demand that the loans answer.
    ///
    /// Returns whether the peer lacks something that this host could lend.
    pub fn record_demand(&self, peer: u32, rows: &[Demand], demand_sent: Option<Tick>, now: Tick) -> bool {
        self.inner.lock().limits.record_demand(peer, rows, demand_sent, now)
    }

    /// Returns whether any request is running or waiting.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.inner.lock().queues.is_busy()
    }
}

impl Inner {
    fn new_ticket(&mut self, contract: &Contract, request: &AdmissionRequest) -> Ticket {
        self.next_ticket += 1;
        Ticket {
            id: self.next_ticket,
            customer: contract.customer.clone(),
            weight: contract.share,
            tokens: request.tokens.max(1.0),
            latest_start: request.deadline,
            target_start: request.deadline,
            priority: 0,
            bytes: 0,
            shed_order: request.shed_priority,
        }
    }

    fn admit_waiting(&mut self) {
        while let Some(sender) = self.queues.admit_next() {
            // A thread that has just timed out still receives the verdict.
            let _ = sender.send(Verdict::Granted);
        }
    }
}

impl Permit<'_> {
    /// Replaces the expected number of tokens by the number that was used.
    pub fn record_usage(&mut self, tokens: f64) {
        let tokens = tokens.max(1.0);
        let mut inner = self.admission.inner.lock();
        inner.limits.adjust_tokens(&self.customer, self.tokens - tokens);
        self.tokens = tokens;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let held = self.admission.clock.now().since(self.started);
        let mut inner = self.admission.inner.lock();
        inner.queues.finish(&self.target, self.tokens, held);
        inner.limits.release(&self.customer);
        inner.admit_waiting();
    }
}

fn limit_refusal(retry_after: Duration) -> Refusal {
    counter!("gentian_refused_total", "cause" => "limit").increment(1);
    Refusal {
        limited: true,
        retry_after,
    }
}

fn queue_refusal(rejection: Rejection) -> Refusal {
    let cause = match rejection.why {
        RefusalReason::QueueFull => "queue",
        RefusalReason::TooLate => "late",
    };
    counter!("gentian_refused_total", "cause" => cause).increment(1);
    gauge!("gentian_retry_after_seconds").set(rejection.retry_after.as_secs_f64());
    Refusal {
        limited: false,
        retry_after: rejection.retry_after,
    }
}
