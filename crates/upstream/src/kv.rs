//! Export and import of an engine's KV cache.

use std::net::SocketAddr;
use std::time::Duration;

use contract::RequestId;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::UpstreamError;
use crate::engine::EngineClient;

/// What is to be exported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExportScope {
    /// Everything that a request has in the cache.
    Request(RequestId),
    /// What the cache holds of a prefix.
    Prefix(String),
}

/// Exported KV cache; only engines understand its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportedCache {
    /// Tokens that it covers.
    pub tokens: u64,
    /// Its size in bytes.
    pub bytes: u64,
    /// Everything else that the engine sent.
    #[serde(flatten)]
    pub content: serde_json::Map<String, Value>,
}

impl EngineClient {
    /// Exports KV cache.
    ///
    /// # Errors
    /// Fails when the engine has nothing of it, dies on the way or takes too long.
    pub fn export(
        &self,
        peer: SocketAddr,
        what: &ExportScope,
        timeout: Duration,
    ) -> Result<ExportedCache, UpstreamError> {
        self.post("export KV cache", peer, "/kv/export", what, timeout)
    }

    /// Imports KV cache.
    ///
    /// # Errors
    /// Fails when the engine serves another model, dies on the way or takes too long.
    pub fn import(&self, peer: SocketAddr, what: &ExportedCache, timeout: Duration) -> Result<(), UpstreamError> {
        self.post::<_, Value>("import KV cache", peer, "/kv/import", what, timeout)
            .map(drop)
    }
}
