//! The lease under which one process acts.
//!
//! A lease that is believed to hold longer than it does lets two processes give orders at once: engines load and unload
//! in turn, and hosts are started twice. So the holder counts from before it asked, on its own monotonic clock, and
//! stops earlier than the group may give the lease to another.

use std::time::Duration;

use contract::{NodeId, Revision};
use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use telemetry::Clock;
use wire::state::{Lease, Leased};

/// Name of the lease.
const NAME: &str = "capacity";
/// How long the group holds it for a process that is silent.
pub const TTL: Duration = Duration::from_secs(6);
/// How far clocks may drift apart over a lease, and a margin for whatever is under way.
pub const DRIFT: Duration = Duration::from_millis(800);
/// Pause between two renewals.
pub const RENEW: Duration = Duration::from_millis(1_500);

/// A lease as long as it's held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token; it grows with every new holder.
    pub token: u64,
    /// When this process first held it under this token.
    pub since: Tick,
    /// When this process stops to act unless it renews before.
    pub until: Tick,
}

/// Who may hold leases; the state group, or a fake in tests.
pub trait Grants {
    /// Acquires, renews or releases; `None` when nobody can decide.
    fn lease(&self, ask: &Lease) -> Option<Leased>;
}

impl Grants for wire::client::StateClient {
    fn lease(&self, ask: &Lease) -> Option<Leased> {
        Self::lease(self, Revision::default(), ask).ok()
    }
}

/// The lease of this process.
#[derive(Debug)]
pub struct Keeper {
    clock: Clock,
    holder: NodeId,
    tenure: Mutex<Option<Tenure>>,
}

impl Keeper {
    /// Makes the keeper of a process; the holder's name must differ between two runs of it.
    ///
    /// A process that was restarted would otherwise renew the lease of the one before it, whose orders may still be on
    /// the way under the same token.
    #[must_use]
    pub const fn new(clock: Clock, holder: NodeId) -> Self {
        Self {
            clock,
            holder,
            tenure: Mutex::new(None),
        }
    }

    /// Gives the tenure if the lease is held now.
    #[must_use]
    pub fn held(&self) -> Option<Tenure> {
        let now = self.clock.now();
        self.tenure.lock().filter(|tenure| now < tenure.until)
    }

    /// Asks once to acquire or renew.
    pub fn renew(&self, grants: &dyn Grants) {
        let asked = self.clock.now();
        let answer = grants.lease(&self.ask(TTL));
        let mut tenure = self.tenure.lock();
        match answer {
            Some(Leased::Held { token }) => {
                let same = tenure.filter(|before| before.token == token);
                *tenure = Some(Tenure {
                    token,
                    since: same.map_or_else(|| self.clock.now(), |before| before.since),
                    until: asked + TTL.saturating_sub(DRIFT),
                });
            }
            Some(Leased::Taken { .. } | Leased::Released) => *tenure = None,
            // Nobody decided; what was granted before holds until its own end.
            Some(Leased::Unavailable(_)) | None => {}
        }
        drop(tenure);
        gauge!("gentian_capacity_is_active").set(f64::from(u8::from(self.held().is_some())));
    }

    /// Gives the lease back, so that another process need not wait for its end.
    pub fn release(&self, grants: &dyn Grants) {
        if self.tenure.lock().take().is_some() {
            grants.lease(&self.ask(Duration::ZERO));
        }
    }

    fn ask(&self, ttl: Duration) -> Lease {
        Lease {
            name: NAME.to_owned(),
            holder: self.holder.clone(),
            ttl_ms: ttl.as_millis() as u64,
        }
    }
}
