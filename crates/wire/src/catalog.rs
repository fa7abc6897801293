//! Catalog calls to `gentian-state`: publishing, reading and following the catalog, and heartbeats of entry hosts.

use std::net::SocketAddr;

use contract::{Catalog, ServiceName};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;
use crate::origins::{AskOrigin, KnownOrigin, TellOrigins, ToldOrigins};
use crate::quarantine::{QuarantineReply, ReportCrashes, ReportReply, TryParts, TryReply, WatchQuarantine};
use crate::registry::{Borrow, BorrowReply, Heartbeat, HeartbeatReply};
use crate::rollout::{RolloutCall, RolloutReply};
use crate::slots::{ReleaseSlots, TakeSlot, TakeSlotReply};
use crate::state::Unavailable;

/// RPC interface of `gentian-state` for the catalog and for entry hosts.
#[rpc(server, client, namespace = "catalog")]
pub trait CatalogRpc {
    /// Publishes a catalog version.
    #[method(name = "publish")]
    async fn publish(&self, request: Envelope<Publish>) -> RpcResult<Envelope<Published>>;

    /// Uploads one chunk of a catalog that is too large for one message.
    #[method(name = "upload")]
    async fn upload(&self, request: Envelope<Upload>) -> RpcResult<Envelope<Uploaded>>;

    /// Reads the newest published document.
    #[method(name = "fetch")]
    async fn fetch(&self, request: Envelope<()>) -> RpcResult<Envelope<Fetched>>;

    /// Waits for a newer catalog version and reads its transfers.
    #[method(name = "follow")]
    async fn follow(&self, request: Envelope<Follow>) -> RpcResult<Envelope<Followed>>;

    /// Sends the heartbeat of an entry host to the leader; the reply holds the host's share of the quotas.
    #[method(name = "beat")]
    async fn beat(&self, request: Envelope<Heartbeat>) -> RpcResult<Envelope<HeartbeatReply>>;

    /// Asks the leader for units of a client account's quota beyond the entry host's own share.
    #[method(name = "borrow")]
    async fn borrow_units(&self, request: Envelope<Borrow>) -> RpcResult<Envelope<BorrowReply>>;

    /// Leases a place at a brittle upstream; only the leader does.
    #[method(name = "take_slot")]
    async fn take_slot(&self, request: Envelope<TakeSlot>) -> RpcResult<Envelope<TakeSlotReply>>;

    /// Ends leases of places.
    #[method(name = "release_slots")]
    async fn release_slots(&self, request: Envelope<ReleaseSlots>) -> RpcResult<()>;

    /// Tells the node where streams began.
    #[method(name = "tell_origins")]
    async fn tell_origins(&self, request: Envelope<TellOrigins>) -> RpcResult<Envelope<ToldOrigins>>;

    /// Asks the node where a stream began.
    #[method(name = "ask_origin")]
    async fn ask_origin(&self, request: Envelope<AskOrigin>) -> RpcResult<Envelope<KnownOrigin>>;

    /// Tells the leader of upstreams that crashed under requests.
    #[method(name = "report_crashes")]
    async fn report_crashes(&self, request: Envelope<ReportCrashes>) -> RpcResult<Envelope<ReportReply>>;

    /// Asks the leader whether a request with suspected prompt parts may be sent.
    #[method(name = "try_parts")]
    async fn try_parts(&self, request: Envelope<TryParts>) -> RpcResult<Envelope<TryReply>>;

    /// Waits for changes of the requests that are not sent any more; only the leader knows them.
    #[method(name = "watch_quarantine")]
    async fn watch_quarantine(&self, request: Envelope<WatchQuarantine>) -> RpcResult<Envelope<QuarantineReply>>;

    /// Orders, reads or ends a rollout.
    #[method(name = "rollout")]
    async fn rollout(&self, request: Envelope<RolloutCall>) -> RpcResult<Envelope<RolloutReply>>;
}

/// A request to publish a document, together with the catalog decoded from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publish {
    /// The document as the operator sent it, stored for reading it back.
    #[serde(with = "crate::bytes")]
    pub document: Vec<u8>,
    /// The catalog decoded from the document.
    pub catalog: Catalog,
}

/// The reply to [`Publish`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Published {
    /// The document, or a newer one, is durable and in force.
    Accepted {
        /// Version that is in force.
        version: u64,
        /// Whether this request changed the version in force.
        changed: bool,
    },
    /// The node can't decide the request.
    Unavailable(Unavailable),
}

/// Identifies a chunked upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UploadId {
    /// Version of the document.
    pub version: u64,
    /// CRC-32 of the encoded publication.
    pub digest: u32,
    /// Length of the encoded publication in bytes.
    pub total: u64,
}

/// One chunk of an encoded [`Publish`]; the last chunk publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Upload that the chunk belongs to.
    pub id: UploadId,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// Content of the chunk.
    #[serde(with = "crate::bytes")]
    pub bytes: Vec<u8>,
}

/// The reply to [`Upload`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Uploaded {
    /// Number of consecutive bytes received; the next chunk starts there.
    Held(u64),
    /// The upload is complete; carries the result of publishing it.
    Published(Published),
    /// The uploaded bytes can't be decoded; carries the reason.
    Unreadable(String),
    /// The node can't decide the request.
    Unavailable(Unavailable),
}

/// The reply to a read of the newest document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fetched {
    /// The newest document; `None` if none was published yet.
    Document(Option<Document>),
    /// The node can't confirm which document is the newest.
    Unavailable(Unavailable),
}

/// A published document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document.
    pub version: u64,
    /// The document as the operator sent it.
    #[serde(with = "crate::bytes")]
    pub bytes: Vec<u8>,
}

/// Asks for the transfers that lead from one catalog version to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// Version that the caller has; `None` if it has none.
    pub after: Option<u64>,
    /// Position at which a transfer in progress continues, if there is one.
    pub resume: Option<Resume>,
    /// Most transfer bytes in the reply.
    pub max_bytes: u32,
    /// How long the node waits for a newer version, in milliseconds.
    pub wait_ms: u64,
}

/// Identifies an encoded [`contract::CatalogDelta`]; its bytes are the same at every state node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Version that the delta applies to; `None` when it holds the whole catalog.
    pub base: Option<u64>,
    /// Version that results from applying the delta.
    pub version: u64,
    /// CRC-32 of the encoded delta.
    pub digest: u32,
}

/// The position at which a transfer continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Transfer in progress.
    pub transfer: Transfer,
    /// Number of bytes that the caller has already.
    pub offset: u64,
}

/// Consecutive bytes of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferPart {
    /// Transfer that the bytes belong to.
    pub transfer: Transfer,
    /// Offset of the bytes in the transfer.
    pub offset: u64,
    /// Length of the whole transfer in bytes.
    pub total: u64,
    /// Consecutive bytes from the offset on.
    #[serde(with = "crate::bytes")]
    pub bytes: Vec<u8>,
}

/// The reply to [`Follow`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Followed {
    /// Parts of transfers, in the order in which the deltas are to be applied.
    pub parts: Vec<TransferPart>,
    /// The newest version that the node knows.
    pub newest: u64,
    /// Milliseconds since the node last confirmed that its catalog was the newest.
    pub age_ms: u64,
    /// Internal RPC addresses of the Raft group members.
    pub members: Vec<SocketAddr>,
    /// Internal RPC address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// Number of entry hosts that share the quotas, as the group last stored it; zero if unknown.
    #[serde(default)]
    pub entry_hosts: u32,
    /// Versions of services that were listed lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<SeenVersion>,
}

/// A software version of a service that the leader has seen on the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// Name of the service.
    pub service: ServiceName,
    /// The version.
    pub version: String,
    /// Milliseconds since it left the list; zero while it is listed.
    pub left_ms: u64,
}
