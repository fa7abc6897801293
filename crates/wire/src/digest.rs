//! Datagrams between entry hosts: demand for the split of limits, and load reports of upstreams.

use contract::{CustomerId, NodeId, Revision, UpstreamId};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

/// Largest datagram that is sent, in bytes; it fits one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1_400;

/// Version of the encoding; a datagram of another version is dropped and counted.
const VERSION: u8 = 1;

/// What an entry host tells its peers several times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sending entry host.
    pub from: NodeId,
    /// Distinguishes a restarted sender from its predecessor; it only grows.
    pub incarnation: u64,
    /// Counts the sender's datagrams; older ones are dropped.
    pub sequence: u64,
    /// The newest configuration revision that the sender has applied.
    pub revision: Revision,
    /// The sender takes no new work.
    pub leaving: bool,
    /// Demand by customer.
    pub demand: Vec<Demand>,
    /// Load reports that the sender polled itself.
    pub loads: Vec<LoadDigest>,
}

/// Demand of one customer at one entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerId,
    /// Requests a second that callers asked for, admitted or not.
    pub requests_per_s: f32,
    /// Tokens a second that callers asked for, admitted or not.
    pub tokens_per_s: f32,
    /// Requests that run or wait.
    pub running: u32,
}

/// A load report in brief.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The upstream.
    pub upstream: UpstreamId,
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

impl Digest {
    /// Encodes the digest.
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
