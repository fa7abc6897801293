//! Heartbeats of entry hosts to the leader of the state group, and the quota shares that it assigns them.

use std::collections::BTreeMap;

use contract::{ListedUpstream, RelayHost, RolloutTrial, ServiceName, Zone};
use serde::{Deserialize, Serialize};

use crate::rollout::RolloutPlan;
use crate::state::Unavailable;

/// The heartbeat of an entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Random number of the process start; a restarted process has another.
    pub run: u64,
    /// Position up to which the host has received the list of upstreams.
    pub list: ListPosition,
    /// Most list entries in the reply.
    pub max_listed: Option<u32>,
    /// Data centre of the entry host.
    pub zone: Zone,
    /// Requests that began to run, by usage window of wall clock time and by client account; each total replaces the
    /// previous one.
    pub began: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Upstream observations since the last heartbeat.
    pub signs: Vec<UpstreamObservation>,
    /// Units by client account that the host's quota share refilled while its bucket was full, since process start.
    pub spare: BTreeMap<String, u64>,
    /// Load by service, for autoscaling.
    pub load: BTreeMap<String, ServiceLoad>,
    /// Rate limits that upstreams have named to this host.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<HeardLimit>,
    /// Outcomes of both versions by service, while a rollout runs; each replaces the previous one.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub trials: BTreeMap<String, RolloutTrial>,
    /// How the host passes on requests of others; `None` if it takes none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay: Option<RelayHost>,
    /// Mark of the hosts that pass on requests of this one, as it was last told; zero without any.
    #[serde(default)]
    pub relay_mark: u64,
    /// Prefills that the host has timed lately.
    #[serde(default, skip_serializing_if = "PrefillSamples::is_empty")]
    pub prefills: PrefillSamples,
    /// Position up to which the host has received the samples of others; zero without any.
    #[serde(default)]
    pub prefill_mark: u64,
}

/// The newest prefills that one entry host has timed, or those of others that the leader tells it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PrefillSamples {
    /// Number of the sample after the last one. Numbers only grow within a process, so that a sample that is told again
    /// is recognised.
    pub next: u64,
    /// The samples, oldest first.
    pub samples: Vec<PrefillSample>,
}

impl PrefillSamples {
    /// Returns whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}

/// The time to first event of a request that found no other work at its upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillSample {
    /// Name of the upstream.
    pub id: String,
    /// Prompt tokens that were assumed to be cached.
    pub cached: u64,
    /// Prompt tokens that were not.
    pub fresh: u64,
    /// Milliseconds from sending the request to its first event.
    pub ms: f64,
    /// Momentary pace that was expected of the upstream, as a factor on its usual time.
    #[serde(default = "usual_pace")]
    pub pace: f64,
}

/// Returns the pace of upstreams that report none.
const fn usual_pace() -> f64 {
    1.0
}

/// A rate limit that an upstream named to an entry host, or that has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeardLimit {
    /// Name of the upstream.
    pub id: String,
    /// Requests per second from all entry hosts together; `None` if the upstream names no limit any more.
    pub per_s: Option<f64>,
    /// Milliseconds since the response that named it.
    pub age_ms: u32,
    /// Whether the host holds a part of it.
    pub held: bool,
    /// Requests per second that the host may send by its part.
    #[serde(default)]
    pub part: f64,
    /// Requests per second that callers of the host ask of the upstream.
    #[serde(default)]
    pub wanted: f64,
}

/// An entry host's part of the rate limit of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitPart {
    /// Name of the upstream.
    pub id: String,
    /// Requests per second from all entry hosts together; `None` if the upstream names no limit any more.
    pub per_s: Option<f64>,
    /// Milliseconds since the response that named it.
    pub age_ms: u32,
    /// Requests per second that the host may send; zero if other hosts hold the limit.
    pub part: f64,
}

/// The load of one service at one entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Requests of this host that run at upstreams or wait for one.
    pub running: f64,
    /// Upstreams that prompts of this host keep busy with prefill: seconds of prefill per second.
    pub reading: f64,
}

/// The reply to [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// The leader's update for the entry host.
    News(Box<LeaderUpdate>),
    /// The node is not the leader.
    Unavailable(Unavailable),
}

/// What the leader reports to an entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderUpdate {
    /// Share of the host in client account quotas.
    pub parts: QuotaShare,
    /// Changes of the list of upstreams.
    pub list: ListUpdate,
    /// Upstream observations of other entry hosts.
    pub signs: Vec<UpstreamObservation>,
    /// Rate limits of upstreams, with the host's part of each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitPart>,
    /// Newest version of the catalog.
    pub version: u64,
    /// Rollouts that run or have just ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutPlan>,
    /// Hosts that pass on requests of the host; `None` if it knows them already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relays: Option<RelayList>,
    /// Services whose upstreams are brittle.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle: Vec<BrittleNews>,
    /// Prefills that other entry hosts have timed.
    #[serde(default, skip_serializing_if = "PrefillSamples::is_empty")]
    pub prefills: PrefillSamples,
}

/// A service whose upstreams fail when they have to reject too many requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleNews {
    /// Name of the service.
    pub service: ServiceName,
    /// Milliseconds since a response to any host said so.
    pub age_ms: u32,
}

/// The hosts that pass on requests of one that is cut off from upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayList {
    /// Mark by which the list is recognised.
    pub mark: u64,
    /// The hosts, those of its own data centre first.
    pub hosts: Vec<RelayHost>,
}

/// An entry host's observation of an upstream.
///
/// With many entry hosts, each one uses an upstream too rarely to know its load; together they use it several times per
/// second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamObservation {
    /// Name of the upstream.
    pub id: String,
    /// Running requests, queued requests, and age of these counts in milliseconds.
    pub load: Option<(u32, u32, u32)>,
    /// Estimated prefill time of prompts that were sent to the upstream and are not processed yet, in milliseconds.
    pub backlog_ms: u32,
    /// Time by which requests at the upstream wait longer than predicted, in milliseconds.
    pub overdue_ms: u32,
    /// Whether another incarnation answered at the upstream's address.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replaced: bool,
    /// Start of the incarnation that has said that it leaves; `None` if none has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<u64>,
    /// Momentary pace in hundredths of the usual time, and its age in milliseconds; `None` if none is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<(u32, u32)>,
    /// Answer times since the last heartbeat, as `policy::home_speed::AnswerTimes::take` gives them; sent by entry hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<(i32, u32)>,
    /// Lasting time relative to the service, as a `policy::home_speed::SpeedStep`; sent by the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<i8>,
}

/// A position in the change history of the list of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPosition {
    /// Number of the change; entries that changed together have the same.
    pub number: u64,
    /// Name of the entry, among those of the change.
    pub id: String,
}

/// Changes of the list of upstreams that the entry host has not received yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Position of the entry host after it has applied this update.
    pub mark: ListPosition,
    /// Milliseconds since the leader requested the list; `None` if it has no list.
    pub age_ms: Option<u64>,
    /// Whether this update begins the whole list, which replaces the list of the entry host.
    pub whole: bool,
    /// New and changed entries.
    pub put: Vec<ListedUpstream>,
    /// Names of removed entries.
    pub gone: Vec<String>,
    /// Whether the entry host is up to date after this update.
    pub complete: bool,
}

/// An entry host's share of the quotas that apply over all entry hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Number of entry hosts that share the quotas.
    pub entries: u32,
    /// Fraction of each client account's quota that the host may use without asking, 0 to 1.
    pub floor: f64,
}

/// Asks a state node for units of a client account's quota beyond the host's own share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Borrow {
    /// Name of the client account.
    pub account: String,
    /// Number of units.
    pub units: f64,
    /// Pool that the units are asked from.
    #[serde(default)]
    pub lender: Lender,
}

/// Who lends units of quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lender {
    /// The leader of the state group, from its pool.
    #[default]
    Leader,
    /// The state node that is asked, from its part, whether it leads or not.
    Node,
}

/// The reply to [`Borrow`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowReply {
    /// All requested units are granted.
    Lent,
    /// The quota does not allow the units now.
    Over,
    /// The node is not the leader.
    Unavailable(Unavailable),
}
