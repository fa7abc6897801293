//! Gossip between entry hosts over UDP: demand and lent amounts for sharing customer limits, and upstream load.
//!
//! A datagram has one receiver: the amounts lent and the acknowledgement are for that receiver only. A digest that does
//! not fit one datagram is split; the parts carry the same sequence number, and each can be used on its own.

use contract::{DataCenter, NodeId, Revision};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

/// Largest datagram in bytes; it fits one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1_400;
/// Bytes that the IPv4 and UDP headers add to each datagram.
pub const UDP_OVERHEAD_BYTES: usize = 28;

/// Version of the encoding; datagrams of other versions are dropped and counted.
const VERSION: u8 = 2;

/// What an entry host reports to one of its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipDigest {
    /// Sending entry host.
    pub from: NodeId,
    /// Data centre of the sender.
    pub place: DataCenter,
    /// Tells a restarted sender from its predecessor; increases with each start.
    pub incarnation: u64,
    /// Number of the digest within the incarnation; the receiver drops older ones.
    pub sequence: u64,
    /// Newest configuration revision that the sender has applied.
    pub revision: Revision,
    /// Whether the sender is draining and takes no new requests.
    pub leaving: bool,
    /// Number of entry hosts in the sender's settings, itself included.
    pub hosts: u32,
    /// Acknowledges the receiver's newest digest that the sender has received.
    pub heard: Option<DigestAck>,
    /// Demand, one entry per customer.
    pub demand: Vec<Demand>,
    /// Load of the upstreams that the sender polls itself.
    pub loads: Vec<LoadDigest>,
}

/// Acknowledgement of a received digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestAck {
    /// Incarnation of the process that sent the digest.
    pub incarnation: u64,
    /// Sequence number of the digest.
    pub sequence: u64,
}

/// Demand of one customer at the sender, and the part of the customer's limits that the sender lends the receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// 32-bit hash of the customer name.
    pub customer: u32,
    /// Amounts that callers ask for, admitted or not.
    pub wanted: Amounts,
    /// Requests that are running at the sender.
    pub running: u32,
    /// Amounts that the receiver may admit instead of the sender.
    pub lent: Amounts,
}

/// Amounts of the three limits of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amounts {
    /// Requests per second, in hundredths.
    pub requests: u32,
    /// Tokens per second.
    pub tokens: u32,
    /// Concurrent requests.
    pub running: u32,
}

/// A compact load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// 32-bit hash of the upstream name.
    pub upstream: u32,
    /// Age of the report at sending time, in milliseconds.
    pub age_ms: u32,
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Used part of the KV cache, in thousandths.
    pub kv_used: u16,
}

/// A datagram that could not be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum DigestError {
    /// The datagram is longer than [`MAX_DATAGRAM`]; carries its length in bytes.
    #[display("datagram of {_0} bytes is longer than {MAX_DATAGRAM}")]
    #[error(ignore)]
    TooLong(usize),
    /// The datagram has another encoding version, or is empty.
    #[display("datagram has version {_0:?}, expected {VERSION}")]
    #[error(ignore)]
    Version(Option<u8>),
    /// The content can't be encoded or decoded.
    #[display("datagram cannot be decoded: {_0}")]
    #[from]
    Codec(postcard::Error),
}

impl GossipDigest {
    /// Encodes the digest as one datagram.
    ///
    /// # Errors
    /// Fails if the digest does not fit one datagram.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        let bytes = postcard::to_extend(self, vec![VERSION])?;
        if bytes.len() > MAX_DATAGRAM {
            Err(DigestError::TooLong(bytes.len()))
        } else {
            Ok(bytes)
        }
    }

    /// Encodes the digest as one or more datagrams, halving its lists until each part fits.
    ///
    /// # Errors
    /// Fails if a part with a single list entry does not fit.
    pub fn split(mut self) -> Result<Vec<Vec<u8>>, DigestError> {
        match self.encode() {
            Err(DigestError::TooLong(_)) if self.demand.len() + self.loads.len() > 1 => {}
            encoded => return Ok(vec![encoded?]),
        }
        let rest = Self {
            demand: self.demand.split_off(self.demand.len().div_ceil(2)),
            loads: self.loads.split_off(self.loads.len() / 2),
            ..self.clone()
        };
        let mut parts = self.split()?;
        parts.extend(rest.split()?);
        Ok(parts)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Fails for another version, invalid content, or a datagram that is too long.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(DigestError::TooLong(bytes.len()));
        }
        match bytes.split_first() {
            Some((&VERSION, content)) => Ok(postcard::from_bytes(content)?),
            other => Err(DigestError::Version(other.map(|(version, _)| *version))),
        }
    }
}
