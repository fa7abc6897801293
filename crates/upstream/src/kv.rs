//! Export and import of the KV cache of engines.

use std::net::SocketAddr;
use std::time::Duration;

use contract::RequestId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::UpstreamError;
use crate::engine::EngineClient;

/// Selects the part of the KV cache to export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExportScope {
    /// All cache blocks of a request.
    Request(RequestId),
    /// The cached blocks of a prompt prefix.
    Prefix(String),
}

/// Exported KV cache; its content is opaque to all but engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportedCache {
    /// Number of tokens that the export covers.
    pub tokens: u64,
    /// Size of the export in bytes.
    pub bytes: u64,
    /// All other fields that the engine sent.
    #[serde(flatten)]
    pub content: serde_json::Map<String, Value>,
}

impl EngineClient {
    /// Exports part of the KV cache of an engine.
    ///
    /// # Errors
    /// Fails if the engine has nothing cached for it, breaks off, or exceeds the timeout.
    pub fn export(
        &self,
        peer: SocketAddr,
        scope: &ExportScope,
        timeout: Duration,
    ) -> Result<ExportedCache, UpstreamError> {
        self.post("export KV cache", peer, "/kv/export", scope, timeout)
    }

    /// Imports exported KV cache into an engine.
    ///
    /// # Errors
    /// Fails if the engine serves another model, breaks off, or exceeds the timeout.
    pub fn import(&self, peer: SocketAddr, cache: &ExportedCache, timeout: Duration) -> Result<(), UpstreamError> {
        self.post::<_, Value>("import KV cache", peer, "/kv/import", cache, timeout)
            .map(drop)
    }
}
