//! The callers' side of HTTP/1.1: connections with bounds on every part that a caller sends.
//!
//! The parser and the chunk decoder are libraries; the limits on time and size are here, since a server that waits
//! without bound for the rest of a request is held up by anybody who sends slowly.

mod connection;
mod head;
mod reply;

pub(super) use connection::{Broken, Connection, PeerDemand};
pub(super) use head::{BadHead, Head, Length};
pub(super) use reply::{Chunks, Reply};

use std::time::Duration;

/// Longest head of a request, in bytes.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// Most headers of a request.
pub(super) const MAX_HEADERS: usize = 64;
/// Largest body of a request, in bytes.
pub(super) const MAX_BODY: u64 = 4 * 1024 * 1024;
/// Longest time from the first byte of a head to its last.
pub(super) const HEAD_TIME: Duration = Duration::from_secs(5);
/// Longest time for a body.
pub(super) const BODY_TIME: Duration = Duration::from_secs(10);
/// Longest time that a connection may wait for its next request.
pub(super) const IDLE_TIME: Duration = Duration::from_mins(1);
/// Longest time in which a caller must take what is sent to it.
pub(super) const SEND_TIME: Duration = Duration::from_secs(10);
