//! Raft messages between state nodes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;

/// RPC interface between state nodes.
#[rpc(server, client, namespace = "raft")]
pub trait RaftRpc {
    /// Delivers Raft messages; responses are sent as separate messages.
    #[method(name = "deliver")]
    async fn deliver(&self, batch: Envelope<Packet>) -> RpcResult<()>;
}

/// A batch of encoded Raft messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The messages in postcard encoding.
    #[serde(with = "crate::bytes")]
    pub messages: Vec<u8>,
}
