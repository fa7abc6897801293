//! Calls to `gentian-state` about the catalog: publishing, reading and following it, and the beats of entry hosts.

use std::net::SocketAddr;

use contract::Catalog;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;
use crate::registry::{Borrow, BorrowReply, Heartbeat, HeartbeatReply};
use crate::state::Unavailable;

/// The calls about the catalog.
#[rpc(server, client, namespace = "catalog")]
pub trait CatalogRpc {
    /// Publishes a catalog.
    #[method(name = "publish")]
    async fn publish(&self, request: Envelope<Publish>) -> RpcResult<Envelope<Published>>;

    /// Adds a piece to a publication that is too large for one message.
    #[method(name = "upload")]
    async fn upload(&self, request: Envelope<Upload>) -> RpcResult<Envelope<Uploaded>>;

    /// Reads the newest document of the catalog.
    #[method(name = "fetch")]
    async fn fetch(&self, request: Envelope<()>) -> RpcResult<Envelope<Fetched>>;

    /// Waits for changes of the catalog.
    #[method(name = "follow")]
    async fn follow(&self, request: Envelope<Follow>) -> RpcResult<Envelope<Followed>>;

    /// Tells the leader that an entry host is there and what it has seen; the answer holds its parts of shared limits.
    #[method(name = "beat")]
    async fn beat(&self, request: Envelope<Heartbeat>) -> RpcResult<Envelope<HeartbeatReply>>;

    /// Asks the leader for a part of a quota that is not split.
    #[method(name = "borrow")]
    async fn borrow_units(&self, request: Envelope<Borrow>) -> RpcResult<Envelope<BorrowReply>>;
}

/// Publishes a document and the catalog that it stands for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publish {
    /// The document as the operator sent it, for reading it back.
    #[serde(with = "crate::bytes")]
    pub document: Vec<u8>,
    /// What it means.
    pub catalog: Catalog,
}

/// The answer to [`Publish`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Published {
    /// The document is durable and in force, or a newer one is.
    Accepted {
        /// Version in force.
        version: u64,
        /// Whether this document changed it.
        changed: bool,
    },
    /// The node cannot decide it.
    Unavailable(Unavailable),
}

/// What tells one publication in pieces from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UploadId {
    /// Version of the document.
    pub version: u64,
    /// CRC-32 of the encoded publication.
    pub digest: u32,
    /// Its bytes.
    pub total: u64,
}

/// A piece of an encoded [`Publish`]; the last one publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// The publication.
    pub id: UploadId,
    /// Bytes before the piece.
    pub offset: u64,
    /// The piece.
    #[serde(with = "crate::bytes")]
    pub bytes: Vec<u8>,
}

/// The answer to [`Upload`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Uploaded {
    /// So many bytes of the publication are there; the next piece begins after them.
    Held(u64),
    /// The publication is complete.
    Published(Published),
    /// The pieces are no publication.
    Unreadable(String),
    /// The node cannot decide it.
    Unavailable(Unavailable),
}

/// The answer to a read of the newest document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fetched {
    /// The newest document; nothing before the first.
    Document(Option<Document>),
    /// The node cannot be sure which document is the newest.
    Unavailable(Unavailable),
}

/// A published document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// The document as the operator sent it.
    #[serde(with = "crate::bytes")]
    pub bytes: Vec<u8>,
}

/// Asks for what leads from one version of the catalog to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// The version that the asker has; nothing where it has none.
    pub after: Option<u64>,
    /// The transfer that has begun, if one has.
    pub resume: Option<Resume>,
    /// Most bytes of transfers in the answer.
    pub max_bytes: u32,
    /// How long to wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// An encoded [`contract::Delta`], the same at every state node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Version that it changes; nothing where it holds the whole catalog.
    pub base: Option<u64>,
    /// Version that it leads to.
    pub version: u64,
    /// CRC-32 of its bytes.
    pub digest: u32,
}

/// Where a transfer goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The transfer.
    pub transfer: Transfer,
    /// Bytes that the asker has.
    pub offset: u64,
}

/// Consecutive bytes of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferPart {
    /// The transfer.
    pub transfer: Transfer,
    /// Bytes before the part.
    pub offset: u64,
    /// Bytes of the whole transfer.
    pub total: u64,
    /// The part.
    #[serde(with = "crate::bytes")]
    pub bytes: Vec<u8>,
}

/// The answer to [`Follow`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Followed {
    /// Parts of transfers in the order in which they are applied.
    pub parts: Vec<TransferPart>,
    /// The newest version that the node knows.
    pub newest: u64,
    /// Milliseconds since the node last knew that its catalog was the newest.
    pub age_ms: u64,
    /// Inner addresses of the group.
    pub members: Vec<SocketAddr>,
    /// Inner address of the leader, if known.
    pub leader: Option<SocketAddr>,
}
