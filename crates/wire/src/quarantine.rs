//! Requests and prompt parts under which upstreams crash, as entry hosts and the leader tell each other.

use contract::{Fingerprint, PartId};
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
    /// Attempts that were about to begin when their upstreams crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<ReportedSuspect>,
    /// Watched prompt parts of requests that have begun and gone on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<SoundPart>,
}

/// An attempt that was about to begin when its upstream crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedSuspect {
    /// Parts of its prompt that other requests may have too.
    pub parts: Vec<PartId>,
    /// Hash of the client account.
    pub account: u64,
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
    /// Milliseconds since the request was sent.
    pub sent_ms: u32,
    /// Milliseconds since the crash.
    pub age_ms: u32,
}

/// A prompt part under which no upstream crashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The part.
    pub part: PartId,
    /// Milliseconds since a request with it began.
    pub began_ms: u32,
}

/// Asks whether a request with suspected prompt parts may be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TryParts {
    /// Parts of its prompt that other requests may have too.
    pub parts: Vec<PartId>,
    /// Hash of the client account.
    pub account: u64,
}

/// The reply to [`TryParts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryReply {
    /// The request may be sent.
    Granted,
    /// The request may not be sent now.
    Later {
        /// Milliseconds after which the caller should come back.
        wait_ms: u32,
    },
    /// The node is not the leader.
    Unavailable(Unavailable),
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

/// A prompt part that hosts watch, or whose requests they restrict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldPart {
    /// The part.
    pub part: PartId,
    /// Parts without which a request is not affected.
    pub companions: Vec<PartId>,
    /// The only client account whose requests are affected, by hash; `None` for all.
    pub account: Option<u64>,
    /// Upstreams that crashed one after the other.
    pub crashes: u32,
    /// Milliseconds for which no request is sent.
    pub closed_ms: u32,
}

/// The requests and prompt parts that are not sent any more, or with restrictions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Position that the news lead to.
    pub mark: QuarantineMark,
    /// The requests, with the milliseconds for which that holds.
    pub requests: Vec<(Fingerprint, u32)>,
    /// The prompt parts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<ToldPart>,
}
