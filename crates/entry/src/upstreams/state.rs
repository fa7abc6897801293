//! The runtime state of one upstream.

use parking_lot::Mutex;
use policy::Tick;
use policy::breaker::Breaker;
use policy::cache::{CacheTrust, EventCursor};
use policy::load::LoadEstimate;
use policy::route::Exclusion;

/// The identity and runtime state of an upstream; both survive changes of the configuration as long as the upstream
/// stays on the same host and address.
#[derive(Debug)]
pub(super) struct UpstreamState {
    /// Number of the upstream; unique in the process and never reused.
    pub(super) number: u32,
    /// Current measurements.
    pub(super) stats: Mutex<UpstreamStats>,
}

/// Measurements of an upstream.
#[derive(Debug, Default)]
pub(super) struct UpstreamStats {
    pub(super) load: LoadEstimate,
    pub(super) breaker: Breaker,
    pub(super) trust: CacheTrust,
    pub(super) cursor: EventCursor,
    /// When this host polls the load report next.
    pub(super) next_poll: Tick,
    /// When this host last polled the load report; absent if another entry host polls it.
    pub(super) last_poll: Option<Tick>,
    /// When this host last read the cache events.
    pub(super) last_read: Tick,
    /// When this host last sent a request to the upstream.
    pub(super) last_request: Option<Tick>,
}

impl UpstreamState {
    pub(super) fn new(number: u32) -> Self {
        Self {
            number,
            stats: Mutex::default(),
        }
    }
}

impl UpstreamStats {
    pub(super) fn exclusion(&self, leaving: bool, tried: bool, now: Tick) -> Option<Exclusion> {
        if leaving {
            Some(Exclusion::Leaving)
        } else if tried {
            Some(Exclusion::Tried)
        } else {
            (!self.breaker.allows(now)).then_some(Exclusion::Breaker)
        }
    }
}
