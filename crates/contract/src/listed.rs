//! Entries of the platform's list of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, Zone};

/// An entry of the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Name of the upstream; a restarted one may keep it.
    pub id: String,
    /// Incarnation: an upstream can restart under its old name with empty state, and then has another number here.
    pub start: u64,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address of the upstream's HTTP interface.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub zone: Zone,
    /// Version of the upstream's software; empty if unknown.
    #[serde(default)]
    pub version: String,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is draining and takes no new requests.
    pub leaving: bool,
    /// Whether the cloud can reclaim the host of the upstream.
    pub reclaimable: bool,
    /// Remaining warm-up time, in which the upstream is slow.
    pub cold: Duration,
    /// Time until the upstream is taken away, as of when the list was read; unknown for most draining upstreams.
    pub left: Option<Duration>,
}
