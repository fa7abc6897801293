//! Where streams began, as entry hosts tell state nodes and ask them.

use contract::{Fingerprint, StreamOrigin};
use serde::{Deserialize, Serialize};

/// Tells a state node where streams began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TellOrigins {
    /// The streams, by account and id of the try that began each.
    pub streams: Vec<(Fingerprint, StreamOrigin)>,
}

/// The reply to [`TellOrigins`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldOrigins {
    /// Random number of the node's start; a node that was restarted knows nothing from before.
    pub run: u64,
}

/// Asks a state node where a stream began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskOrigin {
    /// The stream.
    pub stream: Fingerprint,
}

/// The reply to [`AskOrigin`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOrigin {
    /// Where it began; `None` if the node does not know.
    pub origin: Option<StreamOrigin>,
}
