//! What the connections of a listener hold, and leases on it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use metrics::{counter, gauge};
use parking_lot::Mutex;
use policy::Tick;
use policy::intake::{ConnectionId, Intake, IntakeBounds, IntakeFull, Phase};
use slog::{Logger, warn};
use telemetry::Clock;
use tokio::sync::Notify;

/// Bytes that each connection is taken to hold besides its requests: its state and the buffer it reads into.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Most bytes of a connection that wait in the kernel. Without a bound, a peer fills megabytes while nothing is read.
pub const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// Shortest time between two log lines about a full intake.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Intake that the connections of a listener share.
#[derive(Clone, Debug)]
pub struct SharedIntake(Arc<IntakeState>);

#[derive(Debug)]
struct IntakeState {
    /// Names the listener in metrics and logs.
    listener: &'static str,
    clock: Clock,
    logger: Logger,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    intake: Intake,
    notices: HashMap<ConnectionId, Arc<Notice>>,
    /// Refusals and closed connections since the last log line.
    refused: u64,
    closed: u64,
    logged_at: Option<Tick>,
}

/// Tells a connection that it was closed for another one.
#[derive(Default, derive_more::Debug)]
struct Notice {
    is_closed: AtomicBool,
    changed: Notify,
    /// Wakes a thread that is blocked on the connection.
    #[debug(skip)]
    wake: Mutex<Option<Box<dyn Fn() + Send>>>,
}

impl Notice {
    fn tell(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
        if let Some(wake) = &*self.wake.lock() {
            wake();
        }
    }
}

impl SharedIntake {
    /// Creates the intake of a listener.
    #[must_use]
    pub fn new(listener: &'static str, bounds: IntakeBounds, clock: Clock, logger: Logger) -> Self {
        Self(Arc::new(IntakeState {
            listener,
            clock,
            logger,
            inner: Mutex::new(Inner {
                intake: Intake::new(bounds),
                notices: HashMap::new(),
                refused: 0,
                closed: 0,
                logged_at: None,
            }),
        }))
    }

    /// Admits a connection.
    ///
    /// # Errors
    /// Fails if all connections are in use.
    pub fn open(&self) -> Result<Lease, IntakeFull> {
        self.open_with(CONNECTION_BYTES)
    }

    /// Admits a connection that holds some bytes for as long as it is open.
    ///
    /// # Errors
    /// Fails if all connections are in use, or there is no room for the bytes.
    pub fn open_with(&self, bytes: usize) -> Result<Lease, IntakeFull> {
        let notice = Arc::new(Notice::default());
        let id = self.change(|inner, now| {
            let id = inner.intake.open(bytes, now)?;
            inner.notices.insert(id, Arc::clone(&notice));
            Ok(id)
        })?;
        Ok(Lease(Arc::new(LeaseState {
            intake: self.clone(),
            id,
            notice,
        })))
    }

    /// Returns the length of the largest body that a request of one account may have.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        let bounds = self.0.inner.lock().intake.bounds();
        bounds.large_bytes.min(bounds.account_bytes)
    }

    /// Sets the gauges, and logs refusals and closed connections since the last line.
    pub fn report(&self) {
        let listener = self.0.listener;
        let mut inner = self.0.inner.lock();
        let bounds = inner.intake.bounds();
        gauge!("gentian_intake_max_bytes", "listener" => listener).set(bounds.bytes as f64);
        gauge!("gentian_intake_max_connections", "listener" => listener).set(bounds.connections as f64);
        gauge!("gentian_intake_held_bytes", "listener" => listener).set(inner.intake.bytes() as f64);
        gauge!("gentian_intake_large_bytes", "listener" => listener).set(inner.intake.large_bytes() as f64);
        gauge!("gentian_intake_open_connections", "listener" => listener).set(inner.intake.len() as f64);
        let now = self.0.clock.now();
        let is_due = inner.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if inner.refused + inner.closed == 0 || !is_due {
            return;
        }
        inner.logged_at = Some(now);
        let (refused, closed) = (std::mem::take(&mut inner.refused), std::mem::take(&mut inner.closed));
        let intake = &inner.intake;
        let (account, account_bytes) = intake.largest_account().unzip();
        warn!(self.0.logger, "intake full"; "listener" => listener, "refused" => refused, "closed" => closed,
            "connections" => intake.len(), "most_connections" => bounds.connections,
            "bytes" => intake.bytes(), "large_bytes" => intake.large_bytes(), "most_bytes" => bounds.bytes,
            "account" => account, "account_bytes" => account_bytes);
    }

    /// Changes the intake, and tells the connections that were closed for others.
    fn change<T>(&self, change: impl FnOnce(&mut Inner, Tick) -> Result<T, IntakeFull>) -> Result<T, IntakeFull> {
        let now = self.0.clock.now();
        let mut inner = self.0.inner.lock();
        let result = change(&mut inner, now);
        let listener = self.0.listener;
        for id in inner.intake.take_closed() {
            counter!("gentian_intake_closed_total", "listener" => listener).increment(1);
            inner.closed += 1;
            if let Some(notice) = inner.notices.get(&id) {
                notice.tell();
            }
        }
        if let Err(full) = &result
            && *full != IntakeFull::Closed
        {
            counter!("gentian_intake_refused_total", "listener" => listener, "reason" => full.label()).increment(1);
            inner.refused += 1;
        }
        result
    }
}

/// An admitted connection. It leaves the intake when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Lease(Arc<LeaseState>);

#[derive(Debug)]
struct LeaseState {
    intake: SharedIntake,
    id: ConnectionId,
    notice: Arc<Notice>,
}

impl Drop for LeaseState {
    fn drop(&mut self) {
        let mut inner = self.intake.0.inner.lock();
        inner.intake.close(self.id);
        inner.notices.remove(&self.id);
    }
}

impl Lease {
    /// Returns the intake that the connection belongs to.
    #[must_use]
    pub fn intake(&self) -> &SharedIntake {
        &self.0.intake
    }

    /// Reserves bytes until the returned guard is dropped.
    ///
    /// # Errors
    /// Fails if there is no room for them.
    pub fn hold(&self, bytes: usize) -> Result<Held, IntakeFull> {
        let mut held = Held {
            lease: self.clone(),
            bytes: 0,
        };
        held.resize(bytes)?;
        Ok(held)
    }

    /// Records that the peer has sent or taken bytes.
    pub fn advance(&self, bytes: usize) {
        let now = self.0.intake.0.clock.now();
        self.0.intake.0.inner.lock().intake.advance(self.0.id, bytes, now);
    }

    /// Records what the connection waits for.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.0.intake.0.clock.now();
        self.0.intake.0.inner.lock().intake.set_phase(self.0.id, phase, now);
    }

    /// Records the client account of the request on the connection.
    pub fn set_account(&self, account: Option<&str>) {
        self.0.intake.0.inner.lock().intake.set_account(self.0.id, account);
    }

    /// Sets what wakes a thread that is blocked on the connection when that is closed for another one. It must not block,
    /// nor use the lease.
    pub fn on_close(&self, wake: impl Fn() + Send + 'static) {
        *self.0.notice.wake.lock() = Some(Box::new(wake));
    }

    /// Returns whether the connection was closed for another one.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.notice.is_closed.load(Ordering::Relaxed)
    }

    /// Waits until the connection is closed for another one.
    pub async fn wait_closed(&self) {
        loop {
            // Created before the check, so that no notification is missed in between.
            let changed = self.0.notice.changed.notified();
            if self.is_closed() {
                return;
            }
            changed.await;
        }
    }

    /// Waits for the peer; the connection may be closed for another one meanwhile.
    ///
    /// # Errors
    /// Fails if it was closed.
    pub async fn wait_for_peer<T>(&self, waited: impl Future<Output = T>) -> Result<T, IntakeFull> {
        self.set_phase(Phase::Waiting);
        let done = tokio::select! {
            biased;
            done = waited => Ok(done),
            () = self.wait_closed() => Err(IntakeFull::Closed),
        };
        self.set_phase(Phase::Working);
        done
    }
}

/// Bytes that a connection holds.
#[derive(Debug)]
pub struct Held {
    lease: Lease,
    bytes: usize,
}

impl Held {
    /// Changes the number of bytes.
    ///
    /// # Errors
    /// Leaves the number as it is if there is no room for more.
    pub fn resize(&mut self, bytes: usize) -> Result<(), IntakeFull> {
        let id = self.lease.0.id;
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            self.lease
                .0
                .intake
                .change(|inner, now| inner.intake.grow(id, more, now))?;
        } else if bytes < self.bytes {
            self.lease.0.intake.0.inner.lock().intake.shrink(id, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.lease
            .0
            .intake
            .0
            .inner
            .lock()
            .intake
            .shrink(self.lease.0.id, self.bytes);
    }
}
