//! The record of one choice; it is made once and never changed.

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
    /// Too many of its answers failed.
    #[display("its breaker is open")]
    Breaker,
    /// An earlier attempt of the request went there.
    #[display("it was tried before")]
    Tried,
}

/// Why a candidate was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotChosen {
    /// It may not be chosen.
    Barred(Exclusion),
    /// Its cost in milliseconds, or its load for the baselines, was higher or came later in the turn.
    Behind {
        /// The difference to the chosen one.
        by: f64,
    },
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
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer in tokens.
    pub answer_tokens: u64,
    /// Every candidate with its cost in milliseconds or the reason why it was barred.
    pub weighed: Vec<ScoredCandidate>,
}

/// One candidate in a [`Choice`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoredCandidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Why it was a candidate.
    pub reason: Reason,
    /// Its cost in milliseconds; absent when it was barred.
    pub cost_ms: Option<f64>,
    /// What the cost is made of.
    pub parts: Cost,
    /// Tokens of the prompt that were believed to be cached there.
    pub cached: u64,
    /// Age of the newest load report, if there was any.
    pub report_age_ms: Option<u64>,
    /// The newest report was too old to count.
    pub expired: bool,
    /// Why it was not chosen; absent for the chosen one.
    pub lost: Option<NotChosen>,
}
