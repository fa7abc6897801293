//! Entry hosts that pass on requests of others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, Zone};

/// An entry host that passes requests on to upstreams for hosts that are cut off from them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RelayHost {
    /// Address at which it takes requests of other hosts.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub zone: Zone,
    /// Services from whose upstreams the host is cut off itself.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub isolated: BTreeSet<ServiceName>,
}
