//! Remembers at which version streams began, so that a caller who comes back at another entry host goes on there.
//!
//! What two versions of an upstream write doesn't fit together. A caller names the try that brought the stream's first
//! event, so each entry host tells some state nodes of the streams that began there; which nodes follows from the id alone.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use contract::{Fingerprint, StreamOrigin};
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

/// Versions of a service that were listed lately.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// When the versions were first known.
    first_at: Option<Tick>,
    /// Each version, with the time at which it left the list.
    versions: HashMap<String, Option<Tick>>,
}

impl VersionHistory {
    /// Records the versions that are listed now. Returns whether there are several, and were not before.
    pub fn record(&mut self, listed: &HashSet<&str>, now: Tick) -> bool {
        self.first_at.get_or_insert(now);
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

    /// Returns whether streams of several versions may be running, also from before the versions were known here.
    #[must_use]
    pub fn may_be_mixed(&self, now: Tick) -> bool {
        let is_new = self.first_at.is_none_or(|at| now.since(at) < MEMORY_TIME);
        is_new || self.is_mixed(now)
    }
}
