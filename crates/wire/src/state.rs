//! Calls to `gentian-state`: configuration changes and watches, claims of non-idempotent calls, and leases.

use std::net::SocketAddr;

use contract::{Change, ChangeId, ChangeRecord, Config, CustomerId, NodeId, RequestId, Revision};
use derive_more::Display;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;

/// RPC interface of `gentian-state`.
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

    /// Returns the status of the node and its view of the group.
    #[method(name = "status")]
    async fn status(&self, request: Envelope<()>) -> RpcResult<Envelope<StateStatus>>;
}

/// Why a node can't decide a request; nothing was written, except perhaps with [`Self::Undecided`].
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailable {
    /// The node is not the leader.
    #[display("not the leader")]
    NotLeader {
        /// Internal RPC address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// No majority responds, or the node can't write to its disk.
    #[display("no quorum: {reason}")]
    NoQuorum {
        /// Human-readable cause.
        reason: String,
    },
    /// The change may have been written; retry with the same id.
    #[display("outcome not known yet: {reason}")]
    Undecided {
        /// Human-readable cause of the interruption.
        reason: String,
    },
}

/// A configuration change that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// Idempotency id of the change; a resend with the same id gets the first reply.
    pub id: ChangeId,
    /// Revision that the change is based on; `None` accepts any.
    pub base: Option<Revision>,
    /// Name of the operator.
    pub operator: String,
    /// Requested change.
    pub change: Change,
}

/// The reply to [`Propose`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposed {
    /// The change is durable under this revision.
    Accepted(Revision),
    /// Another change came first; carries the newest revision that changed the same item.
    Conflict(Revision),
    /// The change failed validation; carries the errors.
    Invalid(String),
    /// The node can't decide the request.
    Unavailable(Unavailable),
}

/// Asks for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Newest revision that the caller has.
    pub after: Revision,
    /// How long the node waits for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The reply to [`Watch`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watched {
    /// The whole configuration, if the caller is too far behind for single changes.
    pub snapshot: Option<Config>,
    /// Changes in order, without gaps between their revisions.
    pub records: Vec<ChangeRecord>,
    /// Milliseconds since the node last confirmed that its configuration was the newest.
    pub age_ms: u64,
}

/// Claims a call under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Raft group that stores the claim.
    pub group: u32,
    /// Customer in whose name the call is made.
    pub customer: CustomerId,
    /// Idempotency key of the caller.
    pub key: String,
    /// Hash of method, path and body.
    pub digest: String,
    /// Request that claims the call; a claim that it already holds is granted again.
    pub request: RequestId,
    /// How long the request may still send the call, in milliseconds; after that the outcome counts as unknown.
    #[serde(default)]
    pub hold_ms: u64,
}

/// The reply to [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The request may send the call, once.
    Granted,
    /// An earlier request with the key has no recorded outcome yet.
    Running(RequestId),
    /// An earlier request with the key has this outcome.
    Done(Outcome),
    /// The key was used with another method, path or body.
    Mismatch,
    /// The node can't decide the request; the call was not run.
    Unavailable(Unavailable),
}

/// Records the outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Raft group that stores the claim.
    pub group: u32,
    /// Customer in whose name the call was made.
    pub customer: CustomerId,
    /// Idempotency key of the caller.
    pub key: String,
    /// Request that holds the claim.
    pub request: RequestId,
    /// Result of the call.
    pub outcome: Outcome,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service responded.
    Answered {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        media: String,
        /// Body of the response.
        #[serde(with = "crate::bytes")]
        body: Vec<u8>,
    },
    /// Bytes were sent and no response came; the call must not be sent again.
    Unknown,
    /// No byte was sent; the key can be claimed again.
    NotRun,
}

/// The reply to [`Settle`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// The outcome is stored durably.
    Stored,
    /// The request does not hold the claim.
    NotHeld,
    /// The node can't decide the request; retry it.
    Unavailable(Unavailable),
}

/// Acquires or renews a lease, or releases it if the duration is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the lease.
    pub name: String,
    /// Process that wants the lease.
    pub holder: NodeId,
    /// Duration of the lease, in milliseconds of the time recorded in the replicated log.
    pub ttl_ms: u64,
}

/// The reply to [`Lease`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Leased {
    /// The caller holds the lease.
    Held {
        /// Fencing token; increases with every new holder.
        token: u64,
    },
    /// Another process holds the lease.
    Taken {
        /// Name of the holder.
        by: NodeId,
    },
    /// The caller released the lease.
    Released,
    /// The node can't decide the request.
    Unavailable(Unavailable),
}

/// Status of a state node and its view of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateStatus {
    /// Raft role: leader, follower, candidate or learner.
    pub role: String,
    /// Current Raft term.
    pub term: u64,
    /// Index of the newest committed log entry.
    pub committed: u64,
    /// Name of the leader, if known.
    pub leader: Option<NodeId>,
    /// Names of the voters.
    pub voters: Vec<NodeId>,
    /// Number of stored claims.
    pub claims: u64,
}
