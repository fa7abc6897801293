//! One upstream as the entry knows it beyond the configuration.

use parking_lot::Mutex;
use policy::Tick;
use policy::breaker::Breaker;
use policy::cache::{EventCursor, Trust};
use policy::load::LoadEstimate;
use policy::route::Barred;

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
    pub(super) trust: Trust,
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
    pub(super) fn barred(&self, leaving: bool, tried: bool, now: Tick) -> Option<Barred> {
        if leaving {
            Some(Barred::Leaving)
        } else if tried {
            Some(Barred::Tried)
        } else {
            (!self.breaker.allows(now)).then_some(Barred::Breaker)
        }
    }
}
