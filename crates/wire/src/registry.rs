//! What entry hosts tell the leader of the state group, and their parts of limits that all of them share.

use std::collections::BTreeMap;

use contract::{Listed, Zone};
use serde::{Deserialize, Serialize};

use crate::state::Unavailable;

/// A sign of life of an entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the process; a restarted one has another.
    pub run: u64,
    /// How much of the list of upstreams it has.
    pub list: ListPosition,
    /// Most entries of the list that the answer may hold.
    pub max_listed: Option<u32>,
    /// Its data centre.
    pub zone: Zone,
    /// Requests that began to run, by window of true time and client account; each total replaces the one before.
    pub began: BTreeMap<u64, BTreeMap<String, u64>>,
    /// What it has seen of upstreams since its last beat.
    pub signs: Vec<UpstreamObservation>,
    /// Units of each client account's part that came while the part was full, since the start of the process.
    pub spare: BTreeMap<String, u64>,
    /// Load by service, for orders of capacity.
    pub load: BTreeMap<String, ServiceLoad>,
}

/// What an entry host sees of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Own requests that are at upstreams or wait for one.
    pub running: f64,
    /// Upstreams that own prompts keep busy with reading: seconds of reading in a second.
    pub reading: f64,
}

/// The answer to [`Beat`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// What the entry host shares with the others.
    News(Box<LeaderUpdate>),
    /// The node does not lead.
    Unavailable(Unavailable),
}

/// What an entry host shares with the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderUpdate {
    /// Its parts of limits.
    pub parts: QuotaShare,
    /// News of the list of upstreams.
    pub list: ListUpdate,
    /// What others have seen of upstreams.
    pub signs: Vec<UpstreamObservation>,
    /// The newest version of the catalog.
    pub version: u64,
}

/// What was seen of an upstream.
///
/// With many entry hosts each one meets an upstream too seldom to know its load; together they meet it several times a
/// second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamObservation {
    /// The upstream.
    pub id: String,
    /// Requests that run and wait there, with the age of the sight in milliseconds.
    pub load: Option<(u32, u32, u32)>,
    /// Milliseconds of prompts that were sent there and are not read yet.
    pub backlog_ms: u32,
    /// Milliseconds by which requests there wait longer than was predicted.
    pub overdue_ms: u32,
}

/// A place in the changes of the list of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPosition {
    /// Number of the change; entries that changed together share it.
    pub number: u64,
    /// Entry of that change.
    pub id: String,
}

/// What the leader knows of the list of upstreams that the entry host lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// How much of the list the entry host has with this.
    pub mark: ListPosition,
    /// Milliseconds since the list was asked for; nothing where the leader has none.
    pub age_ms: Option<u64>,
    /// Whether what follows is the beginning of the whole list, in the place of what the entry host has.
    pub whole: bool,
    /// New and changed entries.
    pub put: Vec<Listed>,
    /// Entries that are gone.
    pub gone: Vec<String>,
    /// Whether nothing is left to tell.
    pub complete: bool,
}

/// An entry host's parts of what all of them share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Entry hosts that share.
    pub entries: u32,
    /// Part of each client account's quota that is its own, 0 to 1.
    pub floor: f64,
}

/// Asks for units of a client account's quota beyond the own part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Borrow {
    /// The account.
    pub account: String,
    /// The units.
    pub units: f64,
}

/// The answer to [`Borrow`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowReply {
    /// All units are lent.
    Lent,
    /// The quota has no room for them now.
    Over,
    /// The node does not lead.
    Unavailable(Unavailable),
}
