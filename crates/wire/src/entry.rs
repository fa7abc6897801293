//! Calls to `gentian-entry`: host signals, request handover between entry hosts, and status.

use contract::{HostId, RequestId, Revision};
use derive_more::Display;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;
use crate::state::Watched;

/// RPC interface of `gentian-entry`.
#[rpc(server, client, namespace = "entry")]
pub trait EntryRpc {
    /// Reports hosts that begin to serve, are leaving or are gone.
    #[method(name = "hosts")]
    async fn hosts(&self, signs: Envelope<Vec<HostSignal>>) -> RpcResult<Envelope<()>>;

    /// Reads the journalled response to a request from a token offset on; `None` if there is no journal.
    #[method(name = "journal")]
    async fn journal(&self, ask: Envelope<JournalRequest>) -> RpcResult<Envelope<Option<Journal>>>;

    /// Takes over a request from an entry host that is shutting down; returns whether it was accepted.
    #[method(name = "adopt")]
    async fn adopt(&self, handover: Envelope<Handover>) -> RpcResult<Envelope<bool>>;

    /// Returns the record of how a request was routed, if it is still kept.
    #[method(name = "explain")]
    async fn explain(&self, request: Envelope<RequestId>) -> RpcResult<Envelope<Option<serde_json::Value>>>;

    /// Stores the burn report counts of a stopping process, if any are passed; returns the counts of this process and
    /// those that it stores for others.
    #[method(name = "burn")]
    async fn burn(&self, handed: Envelope<serde_json::Value>) -> RpcResult<Envelope<serde_json::Value>>;

    /// Returns the configuration in force at the process, if it is newer than the given revision.
    #[method(name = "config")]
    async fn config(&self, after: Envelope<Revision>) -> RpcResult<Envelope<Watched>>;

    /// Returns the status of the process.
    #[method(name = "status")]
    async fn status(&self, request: Envelope<()>) -> RpcResult<Envelope<serde_json::Value>>;
}

/// A signal about the lifecycle of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSignal {
    /// Name of the host.
    pub host: HostId,
    /// Tells the host from earlier and later hosts of the same name.
    pub incarnation: u64,
    /// What was observed.
    pub sign: HostSignalKind,
}

/// What was observed about a host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostSignalKind {
    /// The cloud has announced that it will reclaim the host.
    #[display("reclaim notice")]
    Notice {
        /// Milliseconds until the host is gone.
        left_ms: u64,
    },
    /// The list of hosts shows the host as leaving.
    #[display("listed as leaving")]
    Leaving,
    /// The host is no longer in the list of hosts.
    #[display("gone")]
    Gone,
    /// An operator is draining the host.
    #[display("drained by an operator")]
    Drain,
    /// The host is serving.
    #[display("serving")]
    Serving,
}

/// Asks for the journalled response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Index of the first token to return.
    pub from: u64,
}

/// The journalled response to a request, from a token offset on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Account that made the request, as customer and account name.
    pub owner: String,
    /// Tokens from the requested offset on.
    pub tokens: Vec<String>,
    /// Whether the response is complete.
    pub done: bool,
    /// Whether the response ended early.
    #[serde(default)]
    pub failed: bool,
}

/// An accepted request that another entry host is to complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Id of the request.
    pub request: RequestId,
    /// Account that made the request, as customer and account name.
    pub owner: String,
    /// Body of the caller's request.
    pub body: String,
    /// Tokens that were generated already.
    pub tokens: Vec<String>,
}
