//! Calls to `gentian-state`: configuration changes, the feed of them, claims and leases.

use std::net::SocketAddr;

use contract::{Change, ChangeId, ChangeRecord, Config, CustomerId, NodeId, RequestId, Revision};
use derive_more::Display;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;

/// The calls that `gentian-state` answers.
#[rpc(server, client, namespace = "state")]
pub trait StateRpc {
    /// Proposes a configuration change.
    #[method(name = "propose")]
    async fn propose(&self, request: Envelope<Propose>) -> RpcResult<Envelope<Proposed>>;

    /// Waits for configuration changes after a revision.
    #[method(name = "watch")]
    async fn watch(&self, request: Envelope<Watch>) -> RpcResult<Envelope<Watched>>;

    /// Claims a non-idempotent call before it is sent.
    #[method(name = "claim")]
    async fn claim(&self, request: Envelope<Claim>) -> RpcResult<Envelope<Claimed>>;

    /// Records the outcome of a claimed call.
    #[method(name = "settle")]
    async fn settle(&self, request: Envelope<Settle>) -> RpcResult<Envelope<Settled>>;

    /// Acquires, renews or releases a lease.
    #[method(name = "lease")]
    async fn lease(&self, request: Envelope<Lease>) -> RpcResult<Envelope<Leased>>;

    /// Tells what the node knows of itself and the group.
    #[method(name = "status")]
    async fn status(&self, request: Envelope<()>) -> RpcResult<Envelope<StateStatus>>;
}

/// The node cannot serve the call; nothing was written because of it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailable {
    /// Another node leads.
    #[display("not the leader")]
    NotLeader {
        /// Where the leader answers, if known.
        leader: Option<SocketAddr>,
    },
    /// No majority answers, or the node cannot write.
    #[display("no quorum: {reason}")]
    NoQuorum {
        /// What is missing, in words.
        reason: String,
    },
    /// The change may have been written; ask again with the same id.
    #[display("outcome not known yet: {reason}")]
    Undecided {
        /// What interrupted it, in words.
        reason: String,
    },
}

/// A configuration change as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// The operator's id for the change; a resend with the same id gets the first answer.
    pub id: ChangeId,
    /// The revision that the operator had seen; `None` accepts any.
    pub base: Option<Revision>,
    /// Who asks.
    pub operator: String,
    /// What is to change.
    pub change: Change,
}

/// The answer to [`Propose`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposed {
    /// The change is durable under this revision.
    Accepted(Revision),
    /// Another change came first; the newest revision that touched the same item is given.
    Conflict(Revision),
    /// The content failed validation.
    Invalid(String),
    /// The node cannot decide it.
    Unavailable(Unavailable),
}

/// Asks for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The newest revision that the asker has.
    pub after: Revision,
    /// How long to wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to [`Watch`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watched {
    /// The whole configuration, when the asker is too far behind for single changes.
    pub snapshot: Option<Config>,
    /// Changes in order, each directly after the one before.
    pub records: Vec<ChangeRecord>,
    /// Milliseconds since the node last knew that its configuration was the newest.
    pub age_ms: u64,
}

/// Claims a call under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The agreement group that holds the claim.
    pub group: u32,
    /// The customer in whose name the call is made.
    pub customer: CustomerId,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: String,
    /// The request that asks; a claim that it already holds is granted again.
    pub request: RequestId,
    /// How long the request may still send, in milliseconds; after that the outcome counts as unknown.
    #[serde(default)]
    pub hold_ms: u64,
}

/// The answer to [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The request may send the call, once.
    Granted,
    /// An earlier request under the key has not settled yet.
    Running(RequestId),
    /// An earlier request under the key has settled.
    Done(Outcome),
    /// The key was used with another body.
    Mismatch,
    /// The node cannot decide it; the call was not run.
    Unavailable(Unavailable),
}

/// Records the outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The agreement group that holds the claim.
    pub group: u32,
    /// The customer in whose name the call was made.
    pub customer: CustomerId,
    /// The caller's idempotency key.
    pub key: String,
    /// The request that holds the claim.
    pub request: RequestId,
    /// How the call ended.
    pub outcome: Outcome,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        media: String,
        /// The body.
        #[serde(with = "crate::bytes")]
        body: Vec<u8>,
    },
    /// Bytes were sent and no answer came; the call must not be sent again.
    Unknown,
    /// No byte was sent; the key is free again.
    NotRun,
}

/// The answer to [`Settle`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// The outcome is durable.
    Stored,
    /// The request does not hold the claim.
    NotHeld,
    /// The node cannot decide it; ask again.
    Unavailable(Unavailable),
}

/// Acquires or renews a lease, or gives it back with a time of zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What is leased.
    pub name: String,
    /// Who wants it.
    pub holder: NodeId,
    /// How long to hold it, in milliseconds of log time.
    pub ttl_ms: u64,
}

/// The answer to [`Lease`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Leased {
    /// The asker holds it; the fencing token grows with every new holder.
    Held {
        /// Fencing token.
        token: u64,
    },
    /// Somebody else holds it.
    Taken {
        /// The holder.
        by: NodeId,
    },
    /// The asker gave it back.
    Released,
    /// The node cannot decide it.
    Unavailable(Unavailable),
}

/// What a state node knows of itself and the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateStatus {
    /// Its role: leader, follower, candidate or learner.
    pub role: String,
    /// The current term.
    pub term: u64,
    /// Index of the newest committed entry.
    pub committed: u64,
    /// The leader's name, if known.
    pub leader: Option<NodeId>,
    /// Names of the voters.
    pub voters: Vec<NodeId>,
    /// Claims that are kept.
    pub claims: u64,
}
