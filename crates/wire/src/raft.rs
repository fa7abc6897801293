//! Messages between state nodes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::Envelope;

/// The calls between state nodes.
#[rpc(server, client, namespace = "raft")]
pub trait RaftRpc {
    /// Hands over messages of the agreement protocol; answers travel as messages of their own.
    #[method(name = "deliver")]
    async fn deliver(&self, batch: Envelope<Packet>) -> RpcResult<()>;
}

/// Encoded messages of the agreement protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Messages in postcard encoding.
    #[serde(with = "crate::bytes")]
    pub messages: Vec<u8>,
}
