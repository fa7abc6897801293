//! Requests that wait at this host until an upstream of their service has room.
//!
//! A request that waits has taken no upstream's place, and nothing of it was sent. [`WaitingRoom::enter`] is the only way
//! in. The room knows neither upstreams nor callers: it is given what each request needs (`N`), and hands out what was
//! chosen for it (`P`).

mod queue;
mod share;
mod ticket;
mod timeouts;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use contract::{CustomerId, ServiceName};
use derive_more::{Display, Error};
use policy::Tick;
use policy::fair::Ticket;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::refusal::STOP_RETRY_AFTER;

pub use queue::QueueState;
use queue::ServiceQueue;
use share::share_of;
pub use ticket::Arrival;
pub(crate) use timeouts::RecentTimeouts;

/// Longest time after which waiting requests are looked at again: what other hosts send and end at upstreams shows in no
/// event of this host.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Most requests that wait on a host, and the bytes that they may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingBounds {
    /// Requests of all services; zero if none waits.
    pub requests: usize,
    /// Bytes of these requests.
    pub bytes: usize,
}

/// A request that is about to wait.
#[derive(Debug)]
pub struct NewWaiter<N> {
    /// Its place in the order; the id is set by the room.
    pub ticket: Ticket,
    /// What an upstream has to fulfil.
    pub need: N,
    /// When the caller gives up.
    pub deadline: Tick,
}

/// What is expected of a request that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitForecast {
    /// Number of requests of the service that waited already.
    pub place: usize,
    /// Work of those that are served first, in tokens.
    pub work_ahead: f64,
    /// Predicted time until the start; `None` while too little has left the queue to tell.
    pub wait: Option<Duration>,
}

/// Why a request waits no longer without an upstream. Nothing of it was sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum WaitCause {
    /// The queue is full, and the request would be the one to drop.
    #[display("the queue for upstreams is full")]
    QueueFull,
    /// It was dropped from the full queue for another request.
    #[display("dropped from the full queue for upstreams")]
    Dropped,
    /// It is predicted to start when it is of no more use.
    #[display("it would start too late")]
    TooLate,
    /// It waited until a start was of no more use.
    #[display("no upstream had room in time")]
    Expired,
    /// The host stops.
    #[display("the host stops")]
    Stopping,
}

impl WaitCause {
    /// Returns the label of the cause in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::Dropped => "dropped",
            Self::TooLate => "too_late",
            Self::Expired => "expired",
            Self::Stopping => "stopping",
        }
    }
}

/// A refusal of a request that waited or was to wait.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{cause}")]
pub struct WaitEnd {
    /// Why it was refused.
    pub cause: WaitCause,
    /// Time after which the caller should try again; `None` while too little is known to tell.
    pub retry_after: Option<Duration>,
}

/// The requests that wait on this host, with one queue for each service.
#[derive(Debug)]
pub struct WaitingRoom<N, P> {
    bounds: WaitingBounds,
    queues: RefCell<HashMap<ServiceName, ServiceQueue<N, P>>>,
    /// Number of requests in all queues.
    length: Cell<usize>,
    next_id: Cell<u64>,
    /// Whether the host stops.
    closed: Cell<bool>,
    changed: Notify,
}

impl<N, P> WaitingRoom<N, P> {
    /// Creates a room in which nothing waits.
    #[must_use]
    pub fn new(bounds: WaitingBounds) -> Self {
        Self {
            bounds,
            queues: RefCell::default(),
            length: Cell::new(0),
            next_id: Cell::new(0),
            closed: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns whether requests may wait.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.bounds.requests > 0
    }

    /// Returns whether requests of a service wait.
    #[must_use]
    pub fn has_waiting(&self, service: &ServiceName) -> bool {
        self.length.get() > 0 && self.queues.borrow().get(service).is_some_and(|queue| !queue.is_empty())
    }

    /// Queues a request. Dropping the returned place removes it from the queue.
    ///
    /// # Errors
    /// Refuses a request that is predicted to start too late, one that finds the queue full and would be the one to drop,
    /// and all while the host stops.
    pub fn enter(
        &self,
        service: &ServiceName,
        mut waiter: NewWaiter<N>,
        now: Tick,
    ) -> Result<QueuePlace<'_, N, P>, WaitEnd> {
        if self.closed.get() {
            return Err(STOPPING);
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        waiter.ticket.id = id;
        let customer = waiter.ticket.customer.clone();
        let mut queues = self.queues.borrow_mut();
        if !queues.contains_key(service) {
            queues.retain(|_, queue| queue.is_in_use(now));
            queues.insert(service.clone(), ServiceQueue::default());
        }
        let count = queues.len();
        let of_others = |size: fn(&ServiceQueue<N, P>) -> usize| {
            let others = queues.iter().filter(|(name, _)| *name != service);
            others.map(|(_, queue)| size(queue)).collect::<Vec<usize>>()
        };
        let requests = share_of(self.bounds.requests, count, &of_others(ServiceQueue::len));
        let bytes = share_of(self.bounds.bytes, count, &of_others(ServiceQueue::bytes));
        let queue = queues.entry(service.clone()).or_default();
        queue.set_bounds(WaitingBounds { requests, bytes });
        let (reply, answer) = oneshot::channel();
        let entered = queue.enter(waiter, reply, now);
        self.recount(&queues);
        let forecast = entered?;
        self.changed.notify_one();
        Ok(QueuePlace {
            room: self,
            service: service.clone(),
            customer,
            id,
            forecast,
            answer,
        })
    }

    /// Records work that was started without waiting. It counts for predictions once requests of its service have waited.
    pub fn record_started(&self, service: &ServiceName, tokens: f64, now: Tick) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.record_started(tokens, now);
        }
    }

    /// Returns the time after which a caller should return whose request is refused before it enters, given how long after
    /// now it would be in time and its work in tokens. `None` while too little is known to tell.
    #[must_use]
    pub fn return_time(
        &self,
        service: &ServiceName,
        (after, tokens): (Duration, f64),
        deadline: Tick,
        now: Tick,
    ) -> Option<Duration> {
        let mut queues = self.queues.borrow_mut();
        queues.get_mut(service)?.return_time((after, tokens), deadline, now)
    }

    /// Lets waiting requests be looked at soon, as an upstream may have room. Costs next to nothing while none waits.
    pub fn wake(&self) {
        if self.length.get() > 0 {
            self.changed.notify_one();
        }
    }

    /// Waits until waiting requests are to be looked at.
    pub async fn woken(&self) {
        if self.length.get() == 0 {
            self.changed.notified().await;
        } else {
            // Whether the time is up or a change has come, the queues are looked at.
            let _ = timeout(MAX_WAKE_INTERVAL, self.changed.notified()).await;
        }
    }

    /// Returns the services that requests wait for.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceName> {
        let queues = self.queues.borrow();
        let waited_for = queues.iter().filter(|(_, queue)| !queue.is_empty());
        waited_for.map(|(service, _)| service.clone()).collect()
    }

    /// Expires the requests of a service whose time is up, and hands out in the queue's order what `choose` returns for a
    /// request's need, for as long as it returns anything. What `choose` returns has to count as taken already.
    pub fn start_fitting(&self, service: &ServiceName, now: Tick, choose: impl FnMut(&N) -> Option<P>) {
        let mut queues = self.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(service) {
            queue.start_fitting(now, choose);
        }
        self.recount(&queues);
    }

    /// Refuses all waiting requests, and those that would wait from now on, because the host stops.
    pub fn close(&self) {
        self.closed.set(true);
        let mut queues = self.queues.borrow_mut();
        for queue in queues.values_mut() {
            queue.end_all(STOPPING);
        }
        self.recount(&queues);
    }

    /// Calls `report` with what waits for each service.
    pub fn report(&self, now: Tick, mut report: impl FnMut(&ServiceName, &QueueState)) {
        for (service, queue) in &mut *self.queues.borrow_mut() {
            report(service, queue.state(now));
        }
    }

    fn recount(&self, queues: &HashMap<ServiceName, ServiceQueue<N, P>>) {
        self.length.set(queues.values().map(ServiceQueue::len).sum());
    }

    fn leave(&self, service: &ServiceName, customer: &CustomerId, id: u64) {
        let mut queues = self.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(service) {
            queue.leave(customer, id);
        }
        self.recount(&queues);
    }
}

const STOPPING: WaitEnd = WaitEnd {
    cause: WaitCause::Stopping,
    retry_after: Some(STOP_RETRY_AFTER),
};

/// The place of one request in its queue; dropping it removes the request.
#[derive(Debug)]
pub struct QueuePlace<'a, N, P> {
    room: &'a WaitingRoom<N, P>,
    service: ServiceName,
    customer: CustomerId,
    id: u64,
    forecast: WaitForecast,
    answer: oneshot::Receiver<Result<P, WaitEnd>>,
}

impl<N, P> QueuePlace<'_, N, P> {
    /// Returns what was expected when the request entered.
    #[must_use]
    pub const fn forecast(&self) -> WaitForecast {
        self.forecast
    }

    /// Waits until an upstream is chosen.
    ///
    /// # Errors
    /// Returns why none was; nothing was sent.
    pub async fn wait(mut self) -> Result<P, WaitEnd> {
        // The queue answers each request that it lets go of; without an answer, the room itself is gone.
        (&mut self.answer).await.unwrap_or(Err(STOPPING))
    }
}

impl<N, P> Drop for QueuePlace<'_, N, P> {
    fn drop(&mut self) {
        self.room.leave(&self.service, &self.customer, self.id);
    }
}
