//! Calls to `gentian-entry`: signs about hosts, requests of other entry hosts, status.

use contract::{HostId, RequestId, Revision};
use derive_more::Display;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;
use crate::state::Watched;

/// The calls that `gentian-entry` answers.
#[rpc(server, client, namespace = "entry")]
pub trait EntryRpc {
    /// Tells about hosts that leave or come.
    #[method(name = "hosts")]
    async fn hosts(&self, signs: Envelope<Vec<HostSignal>>) -> RpcResult<Envelope<()>>;

    /// Reads what was journalled of a request, from an offset in tokens.
    #[method(name = "journal")]
    async fn journal(&self, ask: Envelope<JournalRequest>) -> RpcResult<Envelope<Option<Journal>>>;

    /// Takes over a request from an entry host that is leaving.
    #[method(name = "adopt")]
    async fn adopt(&self, handover: Envelope<Handover>) -> RpcResult<Envelope<bool>>;

    /// Gives the record of how a request was routed.
    #[method(name = "explain")]
    async fn explain(&self, request: Envelope<RequestId>) -> RpcResult<Envelope<Option<serde_json::Value>>>;

    /// Remembers what a stopping process counted for the burn report, if it hands anything over, and gives what this one
    /// counted and remembers.
    #[method(name = "burn")]
    async fn burn(&self, handed: Envelope<serde_json::Value>) -> RpcResult<Envelope<serde_json::Value>>;

    /// Gives the configuration that the process has in force, if it is newer than a revision.
    #[method(name = "config")]
    async fn config(&self, after: Envelope<Revision>) -> RpcResult<Envelope<Watched>>;

    /// Tells what the process knows of itself.
    #[method(name = "status")]
    async fn status(&self, request: Envelope<()>) -> RpcResult<Envelope<serde_json::Value>>;
}

/// Something that tells about the life of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSignal {
    /// The host.
    pub host: HostId,
    /// Which host of that name.
    pub incarnation: u64,
    /// What was seen.
    pub sign: Sign,
}

/// What was seen of a host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sign {
    /// The cloud will take it back.
    #[display("reclaim notice")]
    Notice {
        /// Milliseconds until it is gone.
        left_ms: u64,
    },
    /// The list of hosts shows it as leaving.
    #[display("listed as leaving")]
    Leaving,
    /// It is no longer in the list of hosts.
    #[display("gone")]
    Gone,
    /// An operator drains it.
    #[display("drained by an operator")]
    Drain,
    /// It serves.
    #[display("serving")]
    Serving,
}

/// Asks for the journal of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRequest {
    /// The request.
    pub request: RequestId,
    /// The first token that is wanted.
    pub from: u64,
}

/// Part of the answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// The account that made the request, as customer and account name.
    pub owner: String,
    /// Tokens from the offset that was asked for.
    pub tokens: Vec<String>,
    /// Whether the answer is whole.
    pub done: bool,
    /// Whether the answer ended without being whole.
    #[serde(default)]
    pub failed: bool,
}

/// An accepted request that another entry host is to finish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The request.
    pub request: RequestId,
    /// The account that made it, as customer and account name.
    pub owner: String,
    /// The caller's body.
    pub body: String,
    /// Tokens that were made already.
    pub tokens: Vec<String>,
}
