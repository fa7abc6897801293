//! Opening of a connection to an upstream through another entry host.
//!
//! A host that is cut off from an upstream connects to the relay port of another one and names the upstream. After a
//! positive answer, the connection carries the bytes of the upstream's connection unchanged in both directions, and at its
//! end a mark if the upstream closed in order: a relay that ends closes its connections in order, too. The host
//! that relays never sees requests: accounts, quotas, retries and deadlines are kept by the host that the caller asked.

use contract::{NodeId, ServiceName};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// First bytes of a message, by which bytes of other protocols are told apart.
const MAGIC: [u8; 4] = *b"GRL1";
/// Length of a message's head: the first bytes and the length of the rest.
pub const HEAD_BYTES: usize = MAGIC.len() + 2;
/// Longest message after its head.
const MAX_BODY_BYTES: usize = 1_024;

/// Length of an [`EndMark`].
pub const MARK_BYTES: usize = 16;

/// Last bytes on a relayed connection if the upstream has closed it in order, chosen at random by the host that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndMark(pub [u8; MARK_BYTES]);

impl EndMark {
    /// Returns how many of the last bytes received may belong to the mark.
    #[must_use]
    pub fn overlap(&self, received: &[u8]) -> usize {
        let longest = MARK_BYTES.min(received.len());
        let ends_with = |count: &usize| received.ends_with(&self.0[..*count]);
        (1..=longest).rev().find(ends_with).unwrap_or(0)
    }
}

/// Asks for a connection to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Name of the host that is cut off.
    pub from: NodeId,
    /// Id of the caller's request, for the log; empty for none.
    pub request: String,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Name of the upstream. Its address is that on the list of the host that relays.
    pub upstream: String,
    /// Mark of an orderly end; `None` if the host knows no such marks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end_mark: Option<EndMark>,
    /// What the upstream has said of itself on a connection that the host relays; no connection is wanted then. `None` where
    /// one is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news: Option<RelayedNews>,
}

/// What an upstream has said of itself, told to the host that relays by the host that has read it. The upstream means the
/// host whose connection it sees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedNews {
    /// Milliseconds for which it wants no requests of the host; zero if it has not asked for a pause.
    pub pause_ms: u64,
    /// Whether it leaves.
    pub leaving: bool,
}

impl RelayedNews {
    /// Returns whether the upstream has said nothing that concerns the host that relays.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.pause_ms == 0 && !self.leaving
    }
}

/// The answer to [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The upstream has accepted the connection; its bytes follow.
    Connected,
    /// There is no connection; this one is closed.
    Refused(RelayRefusal),
}

/// Why a host opens no connection to an upstream for another host.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRefusal {
    /// The host doesn't know the upstream.
    #[display("it does not list the upstream")]
    Unlisted,
    /// The host is cut off from the service, too.
    #[display("it is cut off, too")]
    Isolated,
    /// The host relays as many connections as it can.
    #[display("it relays as many connections as it can")]
    Full,
    /// The host is about to stop.
    #[display("it stops")]
    Stopping,
    /// The upstream wants no requests of the host.
    #[display("the upstream gets nothing of it: {_0}")]
    Held(String),
    /// The upstream did not accept the connection.
    #[display("the upstream is not reached: {_0}")]
    Unreached(String),
}

/// A message that is not of this protocol.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// It begins with other bytes.
    #[display("begins with other bytes")]
    Foreign,
    /// It is longer than any message.
    #[display("{length} bytes are longer than any message")]
    TooLong {
        /// Announced length.
        length: usize,
    },
    /// Its content can't be read.
    #[display("can't be read: {reason}")]
    Unreadable {
        /// Why not.
        reason: String,
    },
}

/// Encodes a message with its head.
///
/// # Errors
/// Fails if the message is too long, as with a very long name of an upstream.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let body = serde_json::to_vec(message).map_err(unreadable)?;
    let length = check_length(body.len())?;
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Returns the length of the message that follows a head.
///
/// # Errors
/// Fails if the head is not of this protocol or announces too much.
pub fn body_length(head: [u8; HEAD_BYTES]) -> Result<usize, FrameError> {
    let [a, b, c, d, length @ ..] = head;
    if [a, b, c, d] != MAGIC {
        return Err(FrameError::Foreign);
    }
    check_length(usize::from(u16::from_be_bytes(length))).map(usize::from)
}

/// Decodes the message that follows a head.
///
/// # Errors
/// Fails if the content can't be read.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    serde_json::from_slice(body).map_err(unreadable)
}

fn check_length(length: usize) -> Result<u16, FrameError> {
    let fits = u16::try_from(length).ok().filter(|_| length <= MAX_BODY_BYTES);
    fits.ok_or(FrameError::TooLong { length })
}

fn unreadable(error: serde_json::Error) -> FrameError {
    FrameError::Unreadable {
        reason: error.to_string(),
    }
}
