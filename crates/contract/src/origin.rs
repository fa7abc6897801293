//! Where a stream began.

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// The upstreams that a stream can go on at: those of the service and version that sent its first event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream's software; empty if none is known.
    pub version: String,
}
