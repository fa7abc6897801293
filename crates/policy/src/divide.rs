//! Division of the polling of upstreams among the entry hosts of a data centre, by rendezvous hashing.
//!
//! Every host works it out from the live hosts alone. When one dies, only its upstreams move; while views differ for a
//! moment, an upstream is polled twice or not at all until the next heartbeat, which costs a report and nothing else.

use contract::{NodeId, UpstreamId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gives the host that polls an upstream.
#[must_use]
pub fn polling_host<'a>(upstream: &UpstreamId, hosts: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    let salt = xxh3_64_with_seed(upstream.as_str().as_bytes(), 0);
    let weight = |host: &&NodeId| (xxh3_64_with_seed(host.as_str().as_bytes(), salt), host.as_str().len());
    hosts.into_iter().max_by_key(weight)
}
