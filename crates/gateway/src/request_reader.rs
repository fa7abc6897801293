//! Reads requests from a caller's connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, timeout_at};

use crate::body::BodyDecoder;
use crate::head::{self, Framing, Head, HeadError, RequestLine};

/// Most bytes of later requests that are read while one is served; a caller that sends more has to wait.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Longest time for which a caller's bytes are read after this side has closed the connection; closing at once would
/// send a reset, which destroys a response on its way.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Read half of a caller's connection.
#[derive(Debug)]
pub struct RequestReader {
    reader: OwnedReadHalf,
    buffer: BytesMut,
}

/// Why no whole request was read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The caller closed the connection, or left it idle between requests for too long.
    Closed,
    /// The head is invalid or too long.
    Head(HeadError),
    /// The body violates its framing.
    MalformedBody,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The rest of the request did not arrive in time.
    Timeout,
}

impl RequestReader {
    /// Creates a reader of a connection.
    #[must_use]
    pub fn new(reader: OwnedReadHalf) -> Self {
        Self {
            reader,
            buffer: BytesMut::with_capacity(8 * 1024),
        }
    }

    /// Waits for the first bytes of a request; returns whether they arrived.
    pub async fn wait_for_data(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        matches!(self.reader.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Reads a head.
    ///
    /// # Errors
    /// Fails if no valid head arrives in time.
    pub async fn read_head(&mut self, max_bytes: usize, max_wait: Duration) -> Result<Head<RequestLine>, ReadError> {
        let deadline = Instant::now() + max_wait;
        loop {
            if let Some(head) = head::take_request(&mut self.buffer, max_bytes).map_err(ReadError::Head)? {
                return Ok(head);
            }
            self.read_more(deadline).await?;
        }
    }

    /// Reads a body.
    ///
    /// # Errors
    /// Fails if no valid body arrives in time.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, ReadError> {
        if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(ReadError::BodyTooLarge);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            while let Some(part) = decoder
                .decode(&mut self.buffer)
                .map_err(|_malformed| ReadError::MalformedBody)?
            {
                body.extend_from_slice(&part);
            }
            if body.len() > max_bytes {
                return Err(ReadError::BodyTooLarge);
            }
            if decoder.is_done() {
                return Ok(body.freeze());
            }
            self.read_more(deadline).await?;
        }
    }

    /// Waits until the caller closes the connection; bytes that arrive meanwhile are kept for the next request.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.reader.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads and discards what the caller still sends.
    pub async fn drain(&mut self) {
        let deadline = Instant::now() + MAX_DRAIN_TIME;
        loop {
            self.buffer.clear();
            match timeout_at(deadline, self.reader.read_buf(&mut self.buffer)).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return,
            }
        }
    }

    async fn read_more(&mut self, deadline: Instant) -> Result<(), ReadError> {
        match timeout_at(deadline, self.reader.read_buf(&mut self.buffer)).await {
            Err(_late) => Err(ReadError::Timeout),
            Ok(Ok(count)) if count > 0 => Ok(()),
            Ok(_) => Err(ReadError::Closed),
        }
    }
}
