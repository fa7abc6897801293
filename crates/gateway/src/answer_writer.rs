//! Writes responses to callers that may read slowly or not at all.

use std::io;

use inbound::intake::Lease;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Longest body that is written in one piece with its head.
pub(crate) const MAX_JOINED_BYTES: usize = 8 * 1024;
/// Bytes that are written at once.
const PART_BYTES: usize = 64 * 1024;

/// Writes bytes; while the caller does not read them, its connection may be closed for another one.
///
/// # Errors
/// Fails if the connection has ended or was closed.
pub(crate) async fn write_bytes(out: &mut OwnedWriteHalf, bytes: &[u8], lease: &Lease) -> io::Result<()> {
    let write = async {
        for part in bytes.chunks(PART_BYTES) {
            out.write_all(part).await?;
            lease.advance(part.len());
        }
        Ok(())
    };
    let written = lease.wait_for_peer(write).await;
    written.unwrap_or_else(|full| Err(io::Error::other(full)))
}

/// Writes a response.
///
/// # Errors
/// Fails if the connection has ended or was closed.
pub(crate) async fn write_answer(
    out: &mut OwnedWriteHalf,
    mut head: Vec<u8>,
    body: &[u8],
    lease: &Lease,
) -> io::Result<()> {
    if body.len() > MAX_JOINED_BYTES {
        write_bytes(out, &head, lease).await?;
        return write_bytes(out, body, lease).await;
    }
    head.extend_from_slice(body);
    write_bytes(out, &head, lease).await
}
