//! Choice of an upstream for one attempt of a request.
//!
//! An [`UpstreamGroup`] holds the upstreams of one model or service and proposes a bounded set of candidates for a
//! request. [`choose`] ranks them and returns a [`Choice`], which records why.

mod cost;
mod group;
mod record;

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};

pub use cost::{Cost, ServiceRates};
pub use group::{GroupMember, HOMES, MAX_CANDIDATES, ProposedCandidate, Reason, Target, UpstreamGroup};
pub use record::{Choice, Exclusion, NotChosen, ScoredCandidate};

use contract::{HostClass, UpstreamId};

/// The routing algorithm.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Routing {
    /// Lowest predicted cost.
    #[default]
    #[display("cost")]
    Cost,
    /// Fewest requests, own and reported.
    #[display("least-loaded")]
    LeastLoaded,
    /// Each upstream in turn.
    #[display("round-robin")]
    RoundRobin,
}

/// A term of the routing decision that can be disabled for an ablation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ablation {
    /// Cached prefixes, both as candidates and in the cost.
    #[display("affinity")]
    Affinity,
    /// Rendezvous hashing of the leading prefix.
    #[display("rendezvous")]
    Rendezvous,
    /// One home for each conversation, on which all entry hosts agree.
    #[display("home")]
    Home,
    /// Reclaim risk of host and zone.
    #[display("risk")]
    Risk,
    /// Price of the host.
    #[display("price")]
    Price,
    /// Distance between data centres.
    #[display("distance")]
    Distance,
    /// Expiry of load reports; without it, old ones count like new ones.
    #[display("report-expiry")]
    ReportExpiry,
    /// Correction of load reports by own dispatches and completions since.
    #[display("corrections")]
    Corrections,
    /// Cache events and hit counts of engines; without them, only own dispatches show what is cached.
    #[display("cache-events")]
    CacheEvents,
}

/// Every term that can be disabled.
pub const ABLATIONS: [Ablation; 9] = [
    Ablation::Affinity,
    Ablation::Rendezvous,
    Ablation::Home,
    Ablation::Risk,
    Ablation::Price,
    Ablation::Distance,
    Ablation::ReportExpiry,
    Ablation::Corrections,
    Ablation::CacheEvents,
];

/// The name given is not a term of the routing decision.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{name} is not a term of the routing decision")]
pub struct UnknownAblation {
    name: String,
}

impl std::str::FromStr for Ablation {
    type Err = UnknownAblation;

    fn from_str(text: &str) -> Result<Self, UnknownAblation> {
        let found = ABLATIONS.into_iter().find(|term| term.to_string() == text);
        found.ok_or_else(|| UnknownAblation { name: text.to_owned() })
    }
}

/// Settings of the routing decision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingRules {
    /// The algorithm.
    pub routing: Routing,
    /// Disabled terms.
    pub without: Vec<Ablation>,
}

impl RoutingRules {
    /// Returns whether a term is enabled.
    #[must_use]
    pub fn with(&self, term: Ablation) -> bool {
        !self.without.contains(&term)
    }
}

/// An upstream as input of the choice.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name of the upstream.
    pub id: &'a UpstreamId,
    /// Why it is a candidate.
    pub reason: Reason,
    /// Whether its host can be reclaimed.
    pub class: HostClass,
    /// Price of its host in micro-dollars an hour.
    pub price: u64,
    /// Requests that it runs at once without slowing down.
    pub slots: u32,
    /// Whether it is in the data centre of this host.
    pub local: bool,
    /// Expected reclaims an hour in its zone.
    pub reclaims_per_hour: f64,
    /// Its predicted load.
    pub load: crate::load::PredictedLoad,
    /// Words of the prompt that are likely to be cached there.
    pub cached: u64,
    /// Whether it is the home of the request's conversation; true for all candidates if there is no conversation.
    pub home: bool,
    /// Why it may not be chosen; absent if it may.
    pub exclusion: Option<Exclusion>,
}

/// The size of a request, and its place in the rotation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestNeed {
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Expected answer length in tokens; zero for plain services.
    pub answer_tokens: u64,
    /// Number of the choice, for rotation and for breaking ties.
    pub turn: u64,
}

/// Chooses among candidates; returns `None` if all of them are excluded.
#[must_use]
pub fn choose(
    rules: &RoutingRules,
    candidates: &[Candidate<'_>],
    need: &RequestNeed,
    rates: &ServiceRates,
) -> Option<Choice> {
    let loads = candidates.iter().filter_map(|candidate| candidate.load.reported);
    let beside = loads.sum::<f64>() / candidates.len().max(1) as f64;
    let costs: Vec<Cost> = candidates
        .iter()
        .map(|candidate| Cost::of(candidate, need, rates, rules, beside))
        .collect();
    let first = need.turn as usize % candidates.len().max(1);
    let order = (first..candidates.len()).chain(0..first);
    let open = order.filter(|at| candidates[*at].exclusion.is_none());
    let rank = |at: &usize| match rules.routing {
        Routing::Cost => costs[*at].total(),
        Routing::LeastLoaded => costs[*at].load,
        Routing::RoundRobin => 0.0,
    };
    // The first of equal candidates wins, and the starting index rotates with every choice.
    let chosen = open.min_by(|a, b| rank(a).total_cmp(&rank(b)))?;
    let best = rank(&chosen);
    let not_chosen = |at: usize| match candidates[at].exclusion {
        _ if at == chosen => None,
        Some(why) => Some(NotChosen::Barred(why)),
        None => Some(NotChosen::Behind { by: rank(&at) - best }),
    };
    let scored = candidates.iter().enumerate().map(|(at, candidate)| ScoredCandidate {
        upstream: candidate.id.clone(),
        reason: candidate.reason,
        cost_ms: candidate.exclusion.is_none().then(|| costs[at].total()),
        parts: costs[at],
        cached: candidate.cached,
        report_age_ms: candidate.load.age.map(|age| age.as_millis() as u64),
        expired: candidate.load.age.is_some() && candidate.load.reported.is_none(),
        lost: not_chosen(at),
    });
    Some(Choice {
        routing: rules.routing,
        chosen: candidates[chosen].id.clone(),
        cached: candidates[chosen].cached,
        prompt_tokens: need.prompt_tokens,
        answer_tokens: need.answer_tokens,
        weighed: scored.collect(),
    })
}
