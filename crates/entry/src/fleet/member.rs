//! One upstream as the entry knows it beyond the configuration.

use parking_lot::Mutex;
use policy::Tick;
use policy::breaker::Breaker;
use policy::cache::{CacheTrust, EventCursor};
use policy::load::LoadEstimate;
use policy::route::Exclusion;

/// One upstream; it lives as long as its host does, across changes of the configuration.
#[derive(Debug)]
pub(super) struct Member {
    /// Unique in the process and never given again.
    pub(super) number: u32,
    /// What is measured of it.
    pub(super) state: Mutex<State>,
}

/// What is measured of an upstream.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) load: LoadEstimate,
    pub(super) breaker: Breaker,
    pub(super) trust: CacheTrust,
    pub(super) cursor: EventCursor,
    /// When this host is to read the load report again.
    pub(super) poll_at: Tick,
    /// When this host last read the load report.
    pub(super) polled: Option<Tick>,
    /// When this host last read cache events.
    pub(super) read_at: Tick,
    /// When a request was last sent there.
    pub(super) sent: Option<Tick>,
}

impl Member {
    pub(super) fn new(number: u32) -> Self {
        Self {
            number,
            state: Mutex::default(),
        }
    }
}

impl State {
    pub(super) fn barred(&self, leaving: bool, tried: bool, now: Tick) -> Option<Exclusion> {
        if leaving {
            Some(Exclusion::Leaving)
        } else if tried {
            Some(Exclusion::Tried)
        } else {
            (!self.breaker.allows(now)).then_some(Exclusion::Breaker)
        }
    }
}
