//! Where streams began, as entry hosts tell state nodes and ask them.

use contract::{Fingerprint, ServiceName, StreamOrigin};
use serde::{Deserialize, Serialize};

use crate::catalog::SeenVersion;

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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskOrigin {
    /// The stream; all zeros if its caller does not name it.
    pub stream: Fingerprint,
    /// Service of which the versions are asked for as well; older hosts name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
}

/// The reply to [`AskOrigin`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOrigin {
    /// Where it began; `None` if the node does not know.
    pub origin: Option<StreamOrigin>,
    /// Versions of the service that were listed lately, as the group has seen them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<SeenVersion>,
    /// Milliseconds for which the node may have missed newer versions; `None` if it tells no versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}
