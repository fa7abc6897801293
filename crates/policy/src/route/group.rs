//! The upstreams of one model or service, and the bounded set of candidates for a request.

use contract::{UpstreamId, UpstreamKind, UpstreamSpec};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Most candidates for one request.
pub const MAX_CANDIDATES: usize = 12;
/// Candidates from rendezvous hashing within the data centre of this host.
const NEAR_CANDIDATES: usize = 2;
/// Homes of one conversation: the second one takes over while the first is excluded.
pub const HOMES: usize = 2;
/// Candidates drawn at random.
const SAMPLED_CANDIDATES: usize = 3;
/// Fewest and most points of the rendezvous table, which leading prefixes are mapped to.
const TABLE_POINTS: (usize, usize) = (1_024, 8_192);

/// What a request is addressed to.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// The model of this name.
    #[display("model {_0}")]
    Model(String),
    /// The plain service of this name.
    #[display("service {_0}")]
    Service(String),
}

impl Target {
    /// Returns the model or service that an upstream serves.
    #[must_use]
    pub fn of(spec: &UpstreamSpec) -> Self {
        match &spec.kind {
            UpstreamKind::Engine { model, .. } => Self::Model(model.to_string()),
            UpstreamKind::Service { service, .. } => Self::Service(service.to_string()),
        }
    }
}

/// Why an upstream is a candidate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The group is so small that all are candidates, or the rotation has reached it.
    #[display("all are weighed in turn")]
    All,
    /// It is assumed to have cached a prefix of the prompt.
    #[display("holds the prefix")]
    Holder,
    /// Rendezvous hashing of the leading prefix selects it.
    #[display("rendezvous of the leading prefix")]
    Rendezvous,
    /// Rendezvous hashing of the conversation selects it, at every entry host.
    #[display("home of the conversation")]
    Home,
    /// It was drawn at random.
    #[display("sampled")]
    Sampled,
}

/// One upstream of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// Number of the upstream, unique in the process.
    pub number: u32,
    /// Name of the upstream, which is hashed.
    pub id: UpstreamId,
    /// Whether the upstream is in the data centre of this host.
    pub local: bool,
}

/// A candidate before its cost is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposedCandidate {
    /// Index in the group.
    pub index: usize,
    /// Why it is proposed.
    pub reason: Reason,
}

/// The upstreams of one model or service.
///
/// Rendezvous hashing is computed for a fixed number of points when the group is created. A choice only reads that
/// table, whatever the size of the group.
#[derive(Clone, Debug, Default)]
pub struct UpstreamGroup {
    members: Vec<GroupMember>,
    /// Number and index of each member, sorted by number.
    by_number: Vec<(u32, u32)>,
    /// Indices of the members in this data centre; of all members if there are none.
    near: Vec<u32>,
    name_hashes: Vec<u64>,
    /// Rendezvous table: near candidates and homes of each point, by index; empty for a small group.
    points: Vec<[u32; NEAR_CANDIDATES + HOMES]>,
}

impl UpstreamGroup {
    /// Creates a group; the index of a member is its position in `members`.
    #[must_use]
    pub fn new(members: Vec<GroupMember>) -> Self {
        let mut by_number: Vec<(u32, u32)> = (0_u32..)
            .zip(&members)
            .map(|(at, member)| (member.number, at))
            .collect();
        by_number.sort_unstable();
        let all: Vec<u32> = (0..members.len() as u32).collect();
        let near: Vec<u32> = all.iter().copied().filter(|at| members[*at as usize].local).collect();
        let near = if near.is_empty() { all } else { near };
        let mut group = Self {
            members,
            by_number,
            near,
            name_hashes: Vec::new(),
            points: Vec::new(),
        };
        group.name_hashes = group.name_hashes();
        if group.members.len() > MAX_CANDIDATES {
            group.points = group.rendezvous();
        }
        group
    }

    /// Returns the members by index.
    #[must_use]
    pub fn members(&self) -> &[GroupMember] {
        &self.members
    }

    /// Returns the index of an upstream by its number; `None` if it is not a member.
    #[must_use]
    pub fn position(&self, number: u32) -> Option<usize> {
        let found = self.by_number.binary_search_by_key(&number, |(number, _)| *number);
        found.ok().map(|at| self.by_number[at].1 as usize)
    }

    /// Returns the indices of a conversation's homes, the preferred one first; every entry host computes the same.
    ///
    /// The turns of a conversation arrive at any entry host, and a host that did not see the earlier ones cannot know
    /// where its prefix is cached. Each turn would then be prefilled from its start. A home on which all hosts agree
    /// needs no exchange of state.
    #[must_use]
    pub fn homes(&self, key: u64) -> [usize; HOMES] {
        if self.points.is_empty() {
            let all: Vec<u32> = (0..self.members.len() as u32).collect();
            return best_of(&all, &self.name_hashes, xxh3_64(&key.to_le_bytes())).map(|at| at as usize);
        }
        let point = &self.points[key as usize & (self.points.len() - 1)];
        [point[NEAR_CANDIDATES] as usize, point[NEAR_CANDIDATES + 1] as usize]
    }

    /// Proposes at most [`MAX_CANDIDATES`] members for a request.
    ///
    /// `homes` are those of its conversation, if any. `lead` is the hash of its leading prefix, absent if prefixes do
    /// not matter. `turn` seeds the random draw.
    #[must_use]
    pub fn propose(&self, homes: &[usize], lead: Option<u64>, holders: &[u32], turn: u64) -> Vec<ProposedCandidate> {
        let reason = Reason::All;
        if self.members.len() <= MAX_CANDIDATES {
            return (0..self.members.len())
                .map(|index| ProposedCandidate { index, reason })
                .collect();
        }
        let mut found: Vec<ProposedCandidate> = Vec::with_capacity(MAX_CANDIDATES);
        let mut add = |index: usize, reason| {
            if found.len() < MAX_CANDIDATES && found.iter().all(|other| other.index != index) {
                found.push(ProposedCandidate { index, reason });
            }
        };
        for at in homes {
            add(*at, Reason::Home);
        }
        for at in holders.iter().filter_map(|number| self.position(*number)) {
            add(at, Reason::Holder);
        }
        if let Some(lead) = lead {
            let point = &self.points[lead as usize & (self.points.len() - 1)];
            for at in point {
                add(*at as usize, Reason::Rendezvous);
            }
        }
        for draw in 0..SAMPLED_CANDIDATES as u64 {
            let random = xxh3_64_with_seed(&turn.to_le_bytes(), draw);
            let near = self.near[random as usize % self.near.len()] as usize;
            // One draw covers all data centres, so that a group that is better off elsewhere is noticed.
            let at = if draw == 0 {
                random as usize % self.members.len()
            } else {
                near
            };
            add(at, Reason::Sampled);
        }
        found
    }

    /// Returns the next members in rotation, for the baselines; the next one itself is at index
    /// `turn % MAX_CANDIDATES`.
    #[must_use]
    pub fn rotation(&self, turn: u64) -> Vec<ProposedCandidate> {
        let count = self.members.len();
        let base = if count > MAX_CANDIDATES {
            turn as usize - turn as usize % MAX_CANDIDATES
        } else {
            0
        };
        let positions = (0..count.min(MAX_CANDIDATES)).map(|step| (base + step) % count);
        let reason = Reason::All;
        positions.map(|index| ProposedCandidate { index, reason }).collect()
    }

    fn name_hashes(&self) -> Vec<u64> {
        let names = self.members.iter().map(|member| member.id.as_str());
        names.map(|name| xxh3_64(name.as_bytes())).collect()
    }

    /// Returns the two best members of this data centre and the two best of all, for each point.
    fn rendezvous(&self) -> Vec<[u32; NEAR_CANDIDATES + HOMES]> {
        let points = (2 * self.members.len())
            .next_power_of_two()
            .clamp(TABLE_POINTS.0, TABLE_POINTS.1);
        let all: Vec<u32> = (0..self.members.len() as u32).collect();
        let point = |point: u64| {
            let point_hash = xxh3_64(&point.to_le_bytes());
            let [first, second] = best_of(&self.near, &self.name_hashes, point_hash);
            let [home, other] = best_of(&all, &self.name_hashes, point_hash);
            [first, second, home, other]
        };
        (0..points as u64).map(point).collect()
    }
}

/// Returns the two members with the highest weight at a point.
fn best_of(members: &[u32], name_hashes: &[u64], point_hash: u64) -> [u32; 2] {
    let mut best = [(0, 0); 2];
    for at in members {
        let weight = weight(name_hashes[*at as usize], point_hash);
        if weight > best[0].0 {
            best = [(weight, *at), best[0]];
        } else if weight > best[1].0 {
            best[1] = (weight, *at);
        }
    }
    [best[0].1, best[1].1]
}

/// Returns the weight of a member at a point; both inputs are hashes already.
const fn weight(name_hash: u64, point_hash: u64) -> u64 {
    const MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15;
    let product = (name_hash ^ point_hash) as u128 * MULTIPLIER;
    (product >> 64) as u64 ^ product as u64
}
