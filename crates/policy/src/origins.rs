//! Remembers at which version streams began, so that a caller who comes back at another entry host goes on there.
//!
//! What two versions of an upstream write doesn't fit together. A caller names the try that brought the stream's first
//! event, so each entry host tells some state nodes of the streams that began there; which nodes follows from the id alone.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use contract::{Fingerprint, StreamOrigin};
use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

use crate::Tick;

/// Time for which an origin is remembered: longer than streams last.
pub const MEMORY_TIME: Duration = Duration::from_mins(1);
/// Most origins that are remembered.
const MAX_ORIGINS: usize = 65_536;
/// Number of nodes that are told of an origin.
pub const HOMES: usize = 2;
/// Number of nodes that are asked for an origin; one more, as the nodes may have changed meanwhile.
pub const ASKED: usize = HOMES + 1;

/// Origins of streams by the account and id of the try that began each.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<Fingerprint, (StreamOrigin, Tick)>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<(Fingerprint, Tick)>,
}

impl StreamOrigins {
    /// Records where a stream began. Returns whether it was not known yet; a later report changes nothing.
    pub fn record(&mut self, stream: Fingerprint, origin: &StreamOrigin, now: Tick) -> bool {
        self.drop_expired(now);
        if self.origins.contains_key(&stream) {
            return false;
        }
        if self.order.len() >= MAX_ORIGINS {
            self.drop_oldest();
        }
        self.origins.insert(stream, (origin.clone(), now));
        self.order.push_back((stream, now));
        true
    }

    /// Returns where a stream began; `None` if that is not known any more.
    #[must_use]
    pub fn get(&self, stream: &Fingerprint, now: Tick) -> Option<&StreamOrigin> {
        let (origin, at) = self.origins.get(stream)?;
        (now.since(*at) < MEMORY_TIME).then_some(origin)
    }

    /// Returns all origins that are remembered, with the time since they were recorded.
    pub fn all(&self, now: Tick) -> impl Iterator<Item = (Fingerprint, &StreamOrigin, Duration)> {
        let all = self.origins.iter();
        let all = all.map(move |(stream, (origin, at))| (*stream, origin, now.since(*at)));
        all.filter(|(_, _, age)| *age < MEMORY_TIME)
    }

    /// Returns the number of origins that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn drop_expired(&mut self, now: Tick) {
        while self.order.front().is_some_and(|(_, at)| now.since(*at) >= MEMORY_TIME) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((stream, _)) = self.order.pop_front() {
            self.origins.remove(&stream);
        }
    }
}

/// Returns the nodes that know where a stream began, by rendezvous hashing; the first ones are told of it.
#[must_use]
pub fn home_nodes(stream: &Fingerprint, nodes: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut nodes = nodes.to_vec();
    nodes.sort_by_cached_key(|node| {
        let weight = xxh3_64(format!("{stream}/{node}").as_bytes());
        (weight, *node)
    });
    nodes.truncate(count);
    nodes
}

/// Age up to which what a state node knows of versions is as new as a stream: shorter than the time in which a version is
/// listed, begins a stream and loses it.
pub const MAX_PICTURE_AGE: Duration = Duration::from_millis(500);
/// Longest time between two lists in which no version comes and goes.
const MAX_LIST_GAP: Duration = Duration::from_secs(5);

/// For how long before its newest list an entry host has known which versions are listed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCoverage {
    newest: Option<Tick>,
    covered: Duration,
}

impl ListCoverage {
    /// Records that the host has the list as of a time.
    pub fn record_list(&mut self, at: Tick) {
        let gap = self.newest.map_or(Duration::MAX, |newest| at.since(newest));
        self.covered = if gap > MAX_LIST_GAP {
            Duration::ZERO
        } else {
            self.covered.saturating_add(gap)
        };
        self.newest = self.newest.max(Some(at));
    }

    /// Records that a state node has told the versions of the last minute as of a time.
    pub fn record_told(&mut self, at: Tick) {
        self.record_list(at);
        if self.newest.is_some_and(|newest| newest.since(at) <= MAX_LIST_GAP) {
            self.covered = self.covered.max(MEMORY_TIME);
        }
    }

    /// Returns the time as of which all versions of the last minute are known; `None` if some may be missing.
    #[must_use]
    pub fn complete_at(&self) -> Option<Tick> {
        self.newest.filter(|_| self.covered >= MEMORY_TIME)
    }
}

/// What an entry host knows of the versions of a service when a caller goes on with a stream that nobody knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionPicture {
    /// Whether there were several versions lately, by all that is known.
    pub mixed: bool,
    /// When the caller's request had arrived: the stream began before.
    pub arrived: Tick,
    /// Time as of which state nodes have told the versions, asked for this request; `None` if none has.
    pub nodes: Option<Tick>,
    /// Time as of which the host itself knows the versions of the last minute; `None` if some may be missing.
    pub list: Option<Tick>,
}

/// What a picture says of the version of a stream that nobody knows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum VersionVerdict {
    /// There was no other version than the one that is listed.
    #[display("one version")]
    One,
    /// There were several.
    #[display("several versions")]
    Several,
    /// The picture is older than the stream may be.
    #[display("not known")]
    Unknown,
}

impl VersionPicture {
    /// Judges at which version a stream may have begun. A host that was frozen or cut off has a picture from before: it
    /// says nothing of a version that has joined meanwhile.
    #[must_use]
    pub fn judge(&self) -> VersionVerdict {
        if self.mixed {
            return VersionVerdict::Several;
        }
        let nodes_know = self.nodes.is_some_and(|at| at + MAX_PICTURE_AGE >= self.arrived);
        if nodes_know || self.list >= Some(self.arrived) {
            VersionVerdict::One
        } else {
            VersionVerdict::Unknown
        }
    }
}

/// Versions of a service that were listed lately.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Each version, with the time at which it left the list.
    versions: HashMap<String, Option<Tick>>,
}

impl VersionHistory {
    /// Records the versions that are listed now. Returns whether there are several, and were not before.
    pub fn record(&mut self, listed: &HashSet<&str>, now: Tick) -> bool {
        let was_mixed = self.is_mixed(now);
        self.versions
            .retain(|_, left_at| left_at.is_none_or(|at| now.since(at) < MEMORY_TIME));
        for (version, left_at) in &mut self.versions {
            if left_at.is_none() && !listed.contains(version.as_str()) {
                *left_at = Some(now);
            }
        }
        let listed = listed.iter().map(|version| ((*version).to_owned(), None));
        self.versions.extend(listed);
        self.is_mixed(now) && !was_mixed
    }

    /// Records that a version was listed until a time, as others have seen. Returns as [`Self::record`] does.
    pub fn record_seen(&mut self, version: &str, until: Tick, now: Tick) -> bool {
        let was_mixed = self.is_mixed(now);
        let left_at = self.versions.entry(version.to_owned()).or_insert(Some(until));
        *left_at = left_at.map(|at| at.max(until));
        self.is_mixed(now) && !was_mixed
    }

    /// Returns whether streams of several versions may be running, as far as is known.
    #[must_use]
    pub fn is_mixed(&self, now: Tick) -> bool {
        let lately = |left_at: &&Option<Tick>| left_at.is_none_or(|at| now.since(at) < MEMORY_TIME);
        self.versions.values().filter(lately).count() > 1
    }

    /// Returns the only version of the last minute; `None` if there were several or none.
    #[must_use]
    pub fn only_version(&self, now: Tick) -> Option<&str> {
        let lately = |left_at: &Option<Tick>| left_at.is_none_or(|at| now.since(at) < MEMORY_TIME);
        let mut versions = self.versions.iter().filter(|(_, left_at)| lately(left_at));
        let only = versions.next().map(|(version, _)| version.as_str());
        only.filter(|_| versions.next().is_none())
    }
}
