//! The choice of an upstream for one attempt.

use contract::{MachineClass, UpstreamId, Zone};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Routing {
    /// Lowest predicted cost.
    #[default]
    #[display("cost")]
    Cost,
    /// Fewest requests of our own and reported ones.
    #[display("least-loaded")]
    LeastLoaded,
    /// One after the other.
    #[display("round-robin")]
    RoundRobin,
}

/// An upstream as the choice sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub id: &'a UpstreamId,
    /// Its zone.
    pub zone: &'a Zone,
    /// Whether its host can be reclaimed.
    pub class: MachineClass,
    /// Price of its host in micro-dollars an hour.
    pub price: u64,
    /// Requests that it runs at once without slowing down.
    pub slots: u32,
    /// Requests that run or wait there: the last unexpired report, corrected by own dispatches since.
    pub load: f64,
    /// Tokens of the prompt that are cached there, as far as known.
    pub cached: u64,
    /// Why it may not be chosen, if it may not.
    pub barred: Option<Barred>,
}

/// Why an upstream may not be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Barred {
    /// Its host is leaving.
    #[display("its host is leaving")]
    Leaving,
    /// Too many of its answers failed.
    #[display("its breaker is open")]
    Breaker,
    /// An earlier attempt of the request went there.
    #[display("it was tried before")]
    Tried,
}

/// What the request needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer in tokens.
    pub answer_tokens: u64,
    /// Counts the choices, for rotation and for breaking ties.
    pub turn: u64,
}

/// Why one upstream was chosen and the others were not; immutable, one for each attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The way of choosing.
    pub routing: Routing,
    /// The chosen upstream.
    pub chosen: UpstreamId,
    /// Tokens of the prompt that were believed to be cached there.
    pub cached: u64,
    /// Every candidate with its cost in milliseconds or the reason why it was barred.
    pub weighed: Vec<Weighed>,
}

/// One candidate in a [`Choice`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weighed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its cost in milliseconds; absent when it was barred.
    pub cost_ms: Option<f64>,
    /// Why it was barred.
    pub barred: Option<Barred>,
}

/// Milliseconds that one prompt token takes to prefill.
const PREFILL_MS: f64 = 0.25;
/// Milliseconds that each request in the way adds, relative to the slots of the upstream.
const WAIT_MS: f64 = 400.0;

/// Chooses an upstream.
///
/// Returns `None` when every candidate is barred.
#[must_use]
pub fn choose(routing: Routing, candidates: &[Candidate<'_>], need: &Need) -> Option<Choice> {
    let open: Vec<&Candidate<'_>> = candidates.iter().filter(|c| c.barred.is_none()).collect();
    let first = usize::try_from(need.turn).unwrap_or_default() % open.len().max(1);
    let rotated = open[first..].iter().chain(&open[..first]);
    let chosen = match routing {
        Routing::RoundRobin => rotated.copied().next(),
        Routing::LeastLoaded => rotated.copied().min_by(|a, b| a.load.total_cmp(&b.load)),
        Routing::Cost => rotated.copied().min_by(|a, b| cost(a, need).total_cmp(&cost(b, need))),
    }?;
    let weighed = candidates.iter().map(|c| Weighed {
        upstream: c.id.clone(),
        cost_ms: c.barred.is_none().then(|| cost(c, need)),
        barred: c.barred,
    });
    Some(Choice {
        routing,
        chosen: chosen.id.clone(),
        cached: chosen.cached,
        weighed: weighed.collect(),
    })
}

fn cost(candidate: &Candidate<'_>, need: &Need) -> f64 {
    let wait = candidate.load / f64::from(candidate.slots.max(1)) * WAIT_MS;
    let prefill = need.prompt_tokens.saturating_sub(candidate.cached) as f64 * PREFILL_MS;
    wait + prefill
}
