//! Assignment of the polling of upstreams to the entry hosts of a data centre, by rendezvous hashing.
//!
//! Every host computes the assignment from the set of live hosts alone. When a host dies, only its upstreams move.
//! While the views of the hosts differ, an upstream is polled twice or not at all until the next heartbeat, which costs
//! one load report at most.

use contract::{NodeId, UpstreamId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the host that polls an upstream; `None` if there is no live host.
#[must_use]
pub fn polling_host<'a>(upstream: &UpstreamId, hosts: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    let seed = xxh3_64_with_seed(upstream.as_str().as_bytes(), 0);
    let weight = |host: &&NodeId| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), host.as_str().len());
    hosts.into_iter().max_by_key(weight)
}
