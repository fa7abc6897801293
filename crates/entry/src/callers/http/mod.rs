//! An HTTP/1.1 server connection with limits on the time and size of every part of a request.
//!
//! Parsing and chunk decoding are done by libraries. The limits are set here, because a server that waits for the rest
//! of a request without bound can be blocked by any slow sender.

mod connection;
mod head;
mod reply;

pub(super) use connection::{Body, CallerProbe, Connection, ReadError};
pub(super) use head::{BodyLength, Head, InvalidHead};
pub(super) use reply::{ChunkedReply, Reply};

use std::time::Duration;

/// Longest head of a request, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of a request.
pub(super) const MAX_HEADERS: usize = 64;
/// Largest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Longest time from the first byte of a head to its last.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for receiving a body.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a connection may be idle before its next request.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout of one write to a caller.
pub(super) const SEND_TIMEOUT: Duration = Duration::from_secs(10);
