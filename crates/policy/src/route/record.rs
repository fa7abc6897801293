//! The record of one routing choice, which is never changed.

use contract::UpstreamId;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Cost, Reason, Routing};

/// Why an upstream may not be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// Its host is leaving.
    #[display("its host is leaving")]
    Leaving,
    /// Its circuit breaker is open.
    #[display("its breaker is open")]
    Breaker,
    /// An earlier attempt of the request used it.
    #[display("it was tried before")]
    Tried,
}

/// Why a candidate was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotChosen {
    /// It was excluded.
    Barred(Exclusion),
    /// It ranked lower, or equal and later in the rotation.
    Behind {
        /// Difference to the chosen one, in milliseconds of cost, or in requests for the least-loaded baseline.
        by: f64,
    },
}

/// Why one upstream was chosen and the others were not; one for each attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The algorithm.
    pub routing: Routing,
    /// The chosen upstream.
    pub chosen: UpstreamId,
    /// Prompt tokens that were assumed to be cached there.
    pub cached: u64,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Expected answer length in tokens.
    pub answer_tokens: u64,
    /// All candidates, each with its cost or the reason for its exclusion.
    pub weighed: Vec<ScoredCandidate>,
}

/// One candidate in a [`Choice`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoredCandidate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Why it was a candidate.
    pub reason: Reason,
    /// Its cost in milliseconds; absent if it was excluded.
    pub cost_ms: Option<f64>,
    /// The terms of its cost.
    pub parts: Cost,
    /// Prompt tokens that were assumed to be cached there.
    pub cached: u64,
    /// Age of the latest load report in milliseconds; absent if there was none.
    pub report_age_ms: Option<u64>,
    /// Whether the latest report had expired.
    pub expired: bool,
    /// Why it was not chosen; absent for the chosen one.
    pub lost: Option<NotChosen>,
}
