//! Upstreams as the platform's list names them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, Zone};

/// An upstream as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: String,
    /// Tells its starts apart: an upstream may start again under the name that it had, knowing nothing of before.
    pub start: u64,
    /// The service.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Zone,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Time until it is taken away, as of when the list was read; unknown for most that leave.
    pub left: Option<Duration>,
}
