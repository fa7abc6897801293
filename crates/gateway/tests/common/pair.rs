//! Two entry hosts, of which one reaches upstreams only through the other.

use std::sync::Arc;

use contract::RetryMode;
use gateway::gate::Shared;
use load::trial::process::free_address;

use super::{Host, Leader, Upstream, listed};

/// Timeout of the route of both hosts.
pub const PAIR_TIMEOUT_MS: u64 = 3_000;

/// A host whose connections to upstreams are all refused, and one that reaches them.
pub struct Pair {
    /// The host whose connections are refused.
    pub cut: Host,
    /// The other one, which relays.
    pub relay: Host,
    _leader: Leader,
}

impl Pair {
    /// Starts both, and a leader that names the second to the first.
    pub fn start(repeat: RetryMode, attempts: u32, upstreams: &[&Upstream]) -> Self {
        let cut = cut_off(repeat, attempts, upstreams);
        let relay = Host::shared(repeat, attempts, PAIR_TIMEOUT_MS, upstreams);
        let all = [Arc::clone(&cut), Arc::clone(&relay)];
        Self {
            cut: Host::run(cut),
            relay: Host::run(relay),
            _leader: Leader::start(&all),
        }
    }
}

/// Returns the state of a host whose connections to upstreams are all refused.
pub fn cut_off(repeat: RetryMode, attempts: u32, upstreams: &[&Upstream]) -> Arc<Shared> {
    let shared = Host::shared(repeat, attempts, PAIR_TIMEOUT_MS, upstreams);
    let mut list = listed(upstreams);
    for entry in &mut list {
        entry.address = free_address();
    }
    shared.new_list.lock().as_mut().unwrap().0 = list;
    shared
}
