//! The lease of the state group that lets one process at a time change capacity.
//!
//! A process that believes in its lease for longer than the group does would act beside the next holder: engines would
//! load and unload models in turn, and hosts would be started twice. The holder therefore measures the lease on its own
//! monotonic clock, from before it sent the request, and stops before the group may grant the lease to another.

use std::time::Duration;

use contract::{NodeId, Revision};
use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use telemetry::Clock;
use wire::state::{Lease, Leased};

/// Name of the lease in the state group.
const LEASE_NAME: &str = "capacity";
/// How long the group keeps the lease for a holder that doesn't renew it.
pub const LEASE_TTL: Duration = Duration::from_secs(6);
/// Part of the time to live in which the holder no longer acts: covers the drift between clocks over one lease, and
/// calls that are still in flight.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(800);
/// Pause between two renewals of the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// The lease while this process holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token; grows with every new holder.
    pub token: u64,
    /// When this process first received this token.
    pub acquired: Tick,
    /// When this process stops acting unless it has renewed the lease.
    pub expires: Tick,
}

/// Grants leases: the state group, or a fake in tests.
pub trait LeaseService {
    /// Acquires, renews or releases a lease; `None` when no node answers.
    fn lease(&self, request: &Lease) -> Option<Leased>;
}

impl LeaseService for wire::client::StateClient {
    fn lease(&self, request: &Lease) -> Option<Leased> {
        Self::lease(self, Revision::default(), request).ok()
    }
}

/// Acquires and renews the lease of this process.
#[derive(Debug)]
pub struct LeaseKeeper {
    clock: Clock,
    holder: NodeId,
    lease: Mutex<Option<HeldLease>>,
}

impl LeaseKeeper {
    /// Creates a keeper without a lease; `holder` must differ between two runs of a process.
    ///
    /// Otherwise a restarted process would renew the lease of its previous run and share its token with orders of that
    /// run that are still in flight.
    #[must_use]
    pub const fn new(clock: Clock, holder: NodeId) -> Self {
        Self {
            clock,
            holder,
            lease: Mutex::new(None),
        }
    }

    /// Returns the lease if this process holds it now.
    #[must_use]
    pub fn held(&self) -> Option<HeldLease> {
        let now = self.clock.now();
        self.lease.lock().filter(|lease| now < lease.expires)
    }

    /// Sends one request to acquire or renew the lease.
    pub fn renew(&self, service: &dyn LeaseService) {
        let requested = self.clock.now();
        let answer = service.lease(&self.request(LEASE_TTL));
        let mut lease = self.lease.lock();
        match answer {
            Some(Leased::Held { token }) => {
                let renewed = lease.filter(|previous| previous.token == token);
                *lease = Some(HeldLease {
                    token,
                    acquired: renewed.map_or_else(|| self.clock.now(), |previous| previous.acquired),
                    expires: requested + LEASE_TTL.saturating_sub(DRIFT_MARGIN),
                });
            }
            Some(Leased::Taken { .. } | Leased::Released) => *lease = None,
            // No decision: a lease that was granted before stays valid until it expires.
            Some(Leased::Unavailable(_)) | None => {}
        }
        drop(lease);
        gauge!("gentian_capacity_is_active").set(f64::from(u8::from(self.held().is_some())));
    }

    /// Releases the lease, so that another process needn't wait until it expires.
    pub fn release(&self, service: &dyn LeaseService) {
        if self.lease.lock().take().is_some() {
            service.lease(&self.request(Duration::ZERO));
        }
    }

    fn request(&self, ttl: Duration) -> Lease {
        Lease {
            name: LEASE_NAME.to_owned(),
            holder: self.holder.clone(),
            ttl_ms: ttl.as_millis() as u64,
        }
    }
}
