//! Places at upstreams that fail when they have to reject too many requests.

use contract::ServiceName;
use serde::{Deserialize, Serialize};

use crate::state::Unavailable;

/// Asks the leader for a place at an upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TakeSlot {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Name of the upstream.
    pub upstream: String,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Longest time for which the place is needed, in milliseconds.
    pub longest_ms: u64,
    /// Milliseconds since a response to the host said that the service is brittle; `None` if it knows it from the leader.
    pub heard_ms: Option<u32>,
}

/// The reply to [`TakeSlot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeSlotReply {
    /// The place is leased under this number.
    Leased(u64),
    /// The upstream has no room.
    Full,
    /// The node is not the leader.
    Unavailable(Unavailable),
}

/// Ends leases of places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseSlots {
    /// The leases that end.
    pub released: Vec<ReleasedSlot>,
}

/// A lease that ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlot {
    /// Name of the upstream.
    pub upstream: String,
    /// Number of the lease; `None` if the request was sent without one.
    pub lease: Option<u64>,
    /// How the request ended.
    pub end: SlotEnd,
}

/// How a request that took a place ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// It was not sent.
    #[default]
    Unsent,
    /// Without a whole response, so that the upstream may still work on it.
    Abandoned,
    /// With a whole response.
    Answered,
    /// The upstream rejected it.
    Rejected,
}
