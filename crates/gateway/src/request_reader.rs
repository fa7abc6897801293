//! The reading side of a caller's connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, timeout_at};

use crate::body::Decoder;
use crate::head::{self, Framing, Head, HeadError, RequestLine};

/// Bytes of later requests that are read while one is served; a caller that sends more has to wait.
const MAX_AHEAD: usize = 64 * 1024;
/// How long what a caller still sends is read after its connection has ended on this side; a reset would else destroy the
/// answer on its way.
const LINGER: Duration = Duration::from_secs(1);

/// The reading side of a connection.
#[derive(Debug)]
pub struct Input {
    half: OwnedReadHalf,
    buffer: BytesMut,
}

/// What came instead of a whole request.
#[derive(Debug, PartialEq, Eq)]
pub enum NoRequest {
    /// The caller is gone, or was idle for too long between requests.
    Ended,
    /// The head is not as it should be.
    Head(HeadError),
    /// The body breaks its framing.
    Body,
    /// The body is larger than allowed.
    TooLarge,
    /// The rest did not come in time.
    Late,
}

impl Input {
    /// Reads from a connection.
    #[must_use]
    pub fn new(half: OwnedReadHalf) -> Self {
        Self {
            half,
            buffer: BytesMut::with_capacity(8 * 1024),
        }
    }

    /// Waits until a request begins.
    pub async fn begins(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        matches!(self.half.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Reads a head.
    ///
    /// # Errors
    /// Tells what came instead.
    pub async fn head(&mut self, most: usize, patience: Duration) -> Result<Head<RequestLine>, NoRequest> {
        let until = Instant::now() + patience;
        loop {
            if let Some(head) = head::take_request(&mut self.buffer, most).map_err(NoRequest::Head)? {
                return Ok(head);
            }
            self.more(until).await?;
        }
    }

    /// Reads a body.
    ///
    /// # Errors
    /// Tells what came instead.
    pub async fn body(&mut self, framing: Framing, most: usize, until: Instant) -> Result<Bytes, NoRequest> {
        if matches!(framing, Framing::Length(length) if length > most as u64) {
            return Err(NoRequest::TooLarge);
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            while let Some(part) = decoder.take(&mut self.buffer).map_err(|_malformed| NoRequest::Body)? {
                body.extend_from_slice(&part);
            }
            if body.len() > most {
                return Err(NoRequest::TooLarge);
            }
            if decoder.is_done() {
                return Ok(body.freeze());
            }
            self.more(until).await?;
        }
    }

    /// Waits until the caller has gone; what it sends meanwhile is kept for later.
    pub async fn gone(&mut self) {
        while self.buffer.len() < MAX_AHEAD {
            match self.half.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads and forgets what the caller still sends.
    pub async fn drain(&mut self) {
        let until = Instant::now() + LINGER;
        loop {
            self.buffer.clear();
            match timeout_at(until, self.half.read_buf(&mut self.buffer)).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return,
            }
        }
    }

    async fn more(&mut self, until: Instant) -> Result<(), NoRequest> {
        match timeout_at(until, self.half.read_buf(&mut self.buffer)).await {
            Err(_late) => Err(NoRequest::Late),
            Ok(Ok(count)) if count > 0 => Ok(()),
            Ok(_) => Err(NoRequest::Ended),
        }
    }
}
