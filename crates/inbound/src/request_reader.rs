//! Reads requests from a peer's connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use policy::intake::{IntakeFull, Phase};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, timeout_at};

use crate::body::BodyDecoder;
use crate::head::{self, Framing, Head, HeadError, HeadScan, RequestLine};
use crate::intake::{Held, Lease, RECEIVE_BUFFER_BYTES};

/// Most bytes of later requests that are read while one is served; a peer that sends more has to wait.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Longest time for which a peer's bytes are read after this side has closed the connection; closing at once would
/// send a reset, which destroys a response on its way.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are read after this side has closed the connection. A peer that sends a whole document before it reads
/// loses the response if the document is longer.
const MAX_DRAIN_BYTES: usize = 32 * 1024 * 1024;
/// Bytes that are read at once, and that a buffer keeps between two requests.
const BUFFER_BYTES: usize = 8 * 1024;
/// Longest time in which a body advances by less than [`MIN_ADVANCE_BYTES`]. Freezes, cuts and lost packets of an
/// ordinary peer last for some seconds.
const MAX_STALL: Duration = Duration::from_secs(15);
/// Bytes by which a body has to advance in [`MAX_STALL`].
const MIN_ADVANCE_BYTES: usize = 1024;
/// Smallest buffer of a body.
const MIN_BODY_BYTES: usize = 1024;

/// Read half of a peer's connection.
#[derive(Debug)]
pub struct RequestReader {
    reader: OwnedReadHalf,
    buffer: BytesMut,
    /// What the buffer takes beyond [`BUFFER_BYTES`].
    held: Held,
    lease: Lease,
}

/// A whole body, and the memory that it takes.
#[derive(Debug)]
pub struct Body {
    /// The body without its framing.
    pub bytes: Bytes,
    /// Memory of the body.
    pub held: Held,
}

/// Why no whole request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The peer closed the connection, or left it idle between requests for too long.
    Closed,
    /// The head is invalid or too long.
    Head(HeadError),
    /// The body violates its framing.
    MalformedBody,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The rest of the request did not arrive in time.
    Timeout,
    /// There is no room for the request.
    Full(IntakeFull),
}

impl RequestReader {
    /// Creates a reader of a connection.
    ///
    /// # Errors
    /// Fails if the connection was closed for another one meanwhile.
    pub fn new(reader: OwnedReadHalf, lease: Lease) -> Result<Self, IntakeFull> {
        Ok(Self {
            reader,
            buffer: BytesMut::new(),
            held: lease.hold(0)?,
            lease,
        })
    }

    /// Waits for the first bytes of a request; returns whether they arrived.
    pub async fn wait_for_data(&mut self) -> bool {
        self.lease.set_phase(Phase::Waiting);
        if !self.buffer.is_empty() {
            return true;
        }
        // The buffer of an earlier request is given back while the peer is idle.
        self.buffer = BytesMut::new();
        if self.held.resize(0).is_err() {
            return false;
        }
        let readable = tokio::select! {
            readable = self.reader.readable() => readable.is_ok(),
            () = self.lease.wait_closed() => false,
        };
        readable && matches!(self.read().await, Ok(count) if count > 0)
    }

    /// Reads a head.
    ///
    /// # Errors
    /// Fails if no valid head arrives in time.
    pub async fn read_head(&mut self, max_bytes: usize, max_wait: Duration) -> Result<Head<RequestLine>, ReadError> {
        let deadline = Instant::now() + max_wait;
        let mut scan = HeadScan::default();
        loop {
            if scan.may_parse(&self.buffer, max_bytes)
                && let Some(head) = head::take_request(&mut self.buffer, max_bytes).map_err(ReadError::Head)?
            {
                return Ok(head);
            }
            self.read_more(deadline).await?;
        }
    }

    /// Reads a body, and records that the process now works on the request.
    ///
    /// # Errors
    /// Fails if no valid body arrives in time, or there is no room for it.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Body, ReadError> {
        let max_held = self.lease.intake().max_body_bytes();
        let most = match framing {
            Framing::Length(length) if length > max_bytes as u64 => return Err(ReadError::BodyTooLarge),
            Framing::Length(length) if length > max_held as u64 => return Err(ReadError::Full(IntakeFull::LargeBytes)),
            Framing::Length(length) => length as usize,
            Framing::Chunked | Framing::Close => max_bytes,
        };
        let mut decoder = BodyDecoder::new(framing);
        let mut bytes = Vec::new();
        let mut held = self.lease.hold(0).map_err(ReadError::Full)?;
        let mut stall = Stall::new();
        loop {
            while let Some(part) = decoder
                .decode(&mut self.buffer)
                .map_err(|_malformed| ReadError::MalformedBody)?
            {
                if bytes.len() + part.len() > most {
                    return Err(ReadError::BodyTooLarge);
                }
                reserve(&mut bytes, part.len(), most, &mut held).map_err(ReadError::Full)?;
                bytes.extend_from_slice(&part);
            }
            if decoder.is_done() {
                bytes.shrink_to_fit();
                held.resize(bytes.capacity()).map_err(ReadError::Full)?;
                self.lease.set_phase(Phase::Working);
                let bytes = Bytes::from(bytes);
                return Ok(Body { bytes, held });
            }
            let count = self.read_more(deadline.min(stall.ends_at)).await?;
            stall.advance(count);
        }
    }

    /// Waits until the peer closes the connection, or sends more ahead than there is room for; bytes that arrive
    /// meanwhile are kept for the next request.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.read().await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        // What the kernel may receive from now on counts as well.
        let Ok(_unread) = self.lease.hold(RECEIVE_BUFFER_BYTES as usize) else {
            return;
        };
        std::future::pending::<()>().await;
    }

    /// Reads and discards what the peer still sends, up to a bound.
    pub async fn drain(&mut self) {
        self.lease.set_phase(Phase::Waiting);
        let deadline = Instant::now() + MAX_DRAIN_TIME;
        let mut drained = 0;
        while drained < MAX_DRAIN_BYTES {
            self.buffer.clear();
            match self.read_more(deadline).await {
                Ok(count) => drained += count,
                Err(_) => return,
            }
        }
    }

    /// Reads more bytes of a request.
    async fn read_more(&mut self, deadline: Instant) -> Result<usize, ReadError> {
        match timeout_at(deadline, self.read()).await {
            Err(_late) => Err(ReadError::Timeout),
            Ok(Ok(0)) => Err(ReadError::Closed),
            Ok(read) => read,
        }
    }

    /// Reads bytes into the buffer; returns their number, zero at the end of the connection.
    async fn read(&mut self) -> Result<usize, ReadError> {
        if self.buffer.len() == self.buffer.capacity() {
            let capacity = self.buffer.len() + BUFFER_BYTES;
            self.held.resize(capacity - BUFFER_BYTES).map_err(ReadError::Full)?;
            self.buffer.reserve(BUFFER_BYTES);
        }
        let read = tokio::select! {
            biased;
            read = self.reader.read_buf(&mut self.buffer) => read,
            () = self.lease.wait_closed() => return Err(ReadError::Full(IntakeFull::Closed)),
        };
        let count = read.map_err(|_broken| ReadError::Closed)?;
        self.lease.advance(count);
        Ok(count)
    }
}

/// Makes room for more bytes of a body, of which there are `most` unless it is too long.
///
/// # Errors
/// Fails if there is no room.
pub fn reserve(bytes: &mut Vec<u8>, more: usize, most: usize, held: &mut Held) -> Result<(), IntakeFull> {
    let needed = bytes.len() + more;
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let capacity = (bytes.capacity() * 2).max(MIN_BODY_BYTES).min(most).max(needed);
    held.resize(capacity)?;
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}

/// The time by which a body has to advance.
struct Stall {
    ends_at: Instant,
    bytes: usize,
}

impl Stall {
    fn new() -> Self {
        Self {
            ends_at: Instant::now() + MAX_STALL,
            bytes: 0,
        }
    }

    fn advance(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MIN_ADVANCE_BYTES {
            *self = Self::new();
        }
    }
}
