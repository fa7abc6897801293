//! Datagrams between entry hosts: demand and loans for the split of limits, and load reports of upstreams.
//!
//! A datagram has one receiver: what it lends and what it confirms is meant for that one alone. A digest that does not
//! fit one datagram is split; the parts carry the same sequence number and each is complete in itself.

use contract::{DataCenter, NodeId, Revision};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

/// Largest datagram that is sent, in bytes; it fits one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1_400;
/// Bytes that IPv4 and UDP add to each datagram.
pub const UDP_OVERHEAD_BYTES: usize = 28;

/// Version of the encoding; a datagram of another version is dropped and counted.
const VERSION: u8 = 2;

/// What an entry host tells one of its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipDigest {
    /// The sending entry host.
    pub from: NodeId,
    /// Data centre of the sender.
    pub place: DataCenter,
    /// Distinguishes a restarted sender from its predecessor; it only grows.
    pub incarnation: u64,
    /// Counts the sender's digests; older ones are dropped.
    pub sequence: u64,
    /// The newest configuration revision that the sender has applied.
    pub revision: Revision,
    /// The sender takes no new work.
    pub leaving: bool,
    /// Entry hosts that the sender has in its settings, itself among them.
    pub hosts: u32,
    /// The receiver's newest digest that the sender has heard.
    pub heard: Option<DigestAck>,
    /// Demand by customer.
    pub demand: Vec<Demand>,
    /// Load reports that the sender polled itself.
    pub loads: Vec<LoadDigest>,
}

/// A digest that was heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestAck {
    /// Incarnation of the one who sent it.
    pub incarnation: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// Demand of one customer at one entry host, and what the host lends the receiver of the customer's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer, by a 32-bit hash of its name.
    pub customer: u32,
    /// What callers ask for, admitted or not.
    pub wanted: Amounts,
    /// Requests that run at the sender now.
    pub running: u32,
    /// What the receiver may admit in the sender's stead.
    pub lent: Amounts,
}

/// Amounts of a customer's three limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amounts {
    /// Hundredths of requests a second.
    pub requests: u32,
    /// Tokens a second.
    pub tokens: u32,
    /// Requests that run at the same time.
    pub running: u32,
}

/// A load report in brief.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The upstream, by a 32-bit hash of its name.
    pub upstream: u32,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Used share of the KV cache, in thousandths.
    pub kv_used: u16,
}

/// A datagram that could not be written or read.
#[derive(Debug, Display, Error, From)]
pub enum DigestError {
    /// It is longer than one frame.
    #[display("datagram of {_0} bytes is longer than {MAX_DATAGRAM}")]
    #[error(ignore)]
    TooLong(usize),
    /// It has another version.
    #[display("datagram has version {_0:?}, expected {VERSION}")]
    #[error(ignore)]
    Version(Option<u8>),
    /// Its content cannot be decoded.
    #[display("datagram cannot be decoded: {_0}")]
    #[from]
    Codec(postcard::Error),
}

impl GossipDigest {
    /// Encodes the digest as one datagram.
    ///
    /// # Errors
    /// Fails when the result would not fit one datagram.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        let bytes = postcard::to_extend(self, vec![VERSION])?;
        if bytes.len() > MAX_DATAGRAM {
            Err(DigestError::TooLong(bytes.len()))
        } else {
            Ok(bytes)
        }
    }

    /// Encodes the digest as so many datagrams as it takes, halving its lists until each part fits.
    ///
    /// # Errors
    /// Fails when even a part with a single row would not fit.
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
    /// Fails for another version, for content that cannot be decoded and for datagrams that are too long.
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
