//! Requests under which upstreams crash, as entry hosts and the leader tell each other.

use contract::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::state::Unavailable;

/// Tells the leader of crashes, and of requests that have run to their end after one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrashes {
    /// Crashes that the leader may not know.
    pub crashes: Vec<ReportedCrash>,
    /// Requests that no upstream crashes under any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Fingerprint>,
}

/// The crash of an upstream that ran a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The request.
    pub request: Fingerprint,
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
    /// Hash of the id of the caller's try.
    pub attempt: u64,
    /// Milliseconds since the crash.
    pub age_ms: u32,
}

/// The reply to [`ReportCrashes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportReply {
    /// Number of upstreams that crashed under the request of each reported crash, in their order.
    Counted(Vec<u32>),
    /// The node is not the leader, or does not know the entry hosts yet.
    Unavailable(Unavailable),
}

/// Position in the changes of a leader's quarantine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineMark {
    /// Term of the leader.
    pub term: u64,
    /// Number of the change.
    pub number: u64,
}

/// Waits until the quarantine differs from what the entry host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchQuarantine {
    /// What the entry host knows.
    pub mark: QuarantineMark,
    /// How long the leader waits for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to [`WatchQuarantine`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineReply {
    /// The whole quarantine.
    News(QuarantineNews),
    /// The node is not the leader.
    Unavailable(Unavailable),
}

/// The requests that are not sent any more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Position that the news lead to.
    pub mark: QuarantineMark,
    /// The requests, with the milliseconds for which that holds.
    pub requests: Vec<(Fingerprint, u32)>,
}
