//! Calls and messages that concern rollouts of a version.

use contract::{Rollout, RolloutOrder, RolloutState, ServiceName};
use serde::{Deserialize, Serialize};

use crate::state::Unavailable;

/// A call to `gentian-state` that concerns a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCall {
    /// Orders a rollout.
    Start {
        /// What is ordered.
        order: RolloutOrder,
        /// Time after a rollout's start in which the same order counts as its repetition, in milliseconds.
        repeat_ms: u64,
    },
    /// Reads the newest rollout of a service.
    Read(ServiceName),
    /// Ends a rollout, unless it has ended.
    End {
        /// Service of the rollout.
        service: ServiceName,
        /// Id of the rollout.
        id: u64,
        /// Whether it succeeded or is rolled back.
        state: RolloutState,
    },
}

/// The reply to [`RolloutCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutReply {
    /// The newest rollout of the service, as of this call; `None` if there was none.
    Known(Option<Rollout>),
    /// Another rollout of the service is running.
    Busy(Rollout),
    /// The catalog has no service of this name.
    UnknownService,
    /// The node can't decide the request.
    Unavailable(Unavailable),
}

/// What an entry host needs to know of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// Service whose upstreams are replaced.
    pub service: ServiceName,
    /// The new version.
    pub version: String,
    /// Id of the rollout.
    pub id: u64,
    /// How far the rollout is.
    pub state: RolloutState,
    /// Share of the service's requests for the new version, 0 to 1.
    pub share: f64,
}
