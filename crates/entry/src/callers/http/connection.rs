//! Reads requests from one connection of a caller.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chunked_transfer::Decoder;
use derive_more::{Display, Error, From};
use inbound::head::HeadScan;
use inbound::intake::{Held, Lease};
use inbound::request_reader::reserve;
use policy::intake::{IntakeFull, Phase};

use super::{
    BODY_TIMEOUT, BodyLength, HEAD_TIMEOUT, Head, IDLE_TIMEOUT, InvalidHead, MAX_BODY_BYTES, MAX_HEAD_BYTES,
    SEND_TIMEOUT,
};

/// Longest time that one read blocks.
const READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Buffer size of one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Most bytes of a refused body that are read and discarded before the connection is closed.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// Longest time for which a refused body is read and discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(500);

/// A connection with a buffer of bytes that were read and not used yet.
#[derive(Debug)]
pub(in crate::callers) struct Connection {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    lease: Lease,
}

/// A whole body, and the memory that it takes.
#[derive(Debug)]
pub(in crate::callers) struct Body {
    /// The body without its framing.
    pub(in crate::callers) bytes: Vec<u8>,
    /// Memory of the body.
    pub(in crate::callers) held: Held,
}

/// Why no complete request was received.
#[derive(Debug, Display, Error, From)]
pub(in crate::callers) enum ReadError {
    /// The caller closed the connection or was idle for too long.
    #[display("the connection ended")]
    Closed,
    /// The request did not arrive within the time limit.
    #[display("the request did not arrive within {} s", _0.as_secs())]
    #[from(skip)]
    TimedOut(#[error(not(source))] Duration),
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[display("the head is longer than {MAX_HEAD_BYTES} bytes")]
    LongHead,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[display("the body is longer than {MAX_BODY_BYTES} bytes")]
    LongBody,
    /// The head is not a valid HTTP request.
    Head(InvalidHead),
    /// The body ends early or its chunked encoding is invalid.
    #[display("the body can't be read: {_0}")]
    Body(io::Error),
    /// There is no room for the request.
    Full(IntakeFull),
}

impl Connection {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// Fails if a socket option can't be set.
    pub(in crate::callers) fn new(stream: TcpStream, lease: Lease) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_write_timeout(Some(SEND_TIMEOUT))?;
        let stream = Arc::new(stream);
        let weak = Arc::downgrade(&stream);
        lease.on_close(move || {
            // The thread of the connection finds its end, unless it has just ended anyway.
            if let Some(stream) = weak.upgrade() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Ok(Self {
            stream,
            buffer: Vec::new(),
            lease,
        })
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    /// Fails if the caller closes the connection, sends too slowly or sends an invalid head.
    pub(in crate::callers) fn read_head(&mut self) -> Result<Head, ReadError> {
        self.lease.set_phase(Phase::Waiting);
        if self.buffer.is_empty() {
            self.wait_for_request()?;
        }
        let started = Instant::now();
        let mut scan = HeadScan::default();
        loop {
            if scan.may_parse(&self.buffer, MAX_HEAD_BYTES)
                && let Some((head, length)) = Head::parse(&self.buffer)?
            {
                self.buffer.drain(..length);
                self.lease.set_phase(Phase::Working);
                return Ok(head);
            }
            if self.buffer.len() >= MAX_HEAD_BYTES {
                return Err(ReadError::LongHead);
            }
            if started.elapsed() > HEAD_TIMEOUT {
                return Err(ReadError::TimedOut(HEAD_TIMEOUT));
            }
            match read_available(&self.stream, &mut self.buffer) {
                Ok(0) => return Err(ReadError::Closed),
                Ok(count) => self.lease.advance(count),
                Err(error) if is_no_data(&error) => {}
                Err(_) => return Err(ReadError::Closed),
            }
        }
    }

    /// Waits for the first bytes of a request.
    ///
    /// Most connections are idle, so their threads block for the whole idle time; waking each of them several times a
    /// second would cost more than the requests.
    fn wait_for_request(&mut self) -> Result<(), ReadError> {
        let read = self
            .stream
            .set_read_timeout(Some(IDLE_TIMEOUT))
            .and_then(|()| read_available(&self.stream, &mut self.buffer))
            .and_then(|count| self.stream.set_read_timeout(Some(READ_TIMEOUT)).map(|()| count));
        match read {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Reads the body that belongs to a head; `account` is the client account of the request.
    ///
    /// # Errors
    /// Fails if the body is too long, arrives too slowly or ends early, or if there is no room for it.
    pub(in crate::callers) fn read_body(&mut self, head: &Head, account: &str) -> Result<Body, ReadError> {
        let most = match head.body_length {
            BodyLength::Bytes(length) if length > MAX_BODY_BYTES => return Err(ReadError::LongBody),
            BodyLength::Bytes(length) => length as usize,
            BodyLength::Chunked => MAX_BODY_BYTES as usize,
        };
        self.lease.set_account(Some(account));
        self.lease.set_phase(Phase::Waiting);
        if head.expects_continue() {
            (&*self.stream)
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(|_gone| ReadError::Closed)?;
        }
        let mut source = BodyReader {
            stream: &self.stream,
            buffer: &mut self.buffer,
            lease: &self.lease,
            deadline: Instant::now() + BODY_TIMEOUT,
        };
        let room = self.lease.hold(0)?;
        let body = match head.body_length {
            BodyLength::Bytes(length) => collect(&mut (&mut source).take(length), most, room)?,
            BodyLength::Chunked => collect(&mut Decoder::new(&mut source), most, room)?,
        };
        if matches!(head.body_length, BodyLength::Bytes(length) if (body.bytes.len() as u64) < length) {
            return Err(ReadError::Closed);
        }
        self.lease.set_phase(Phase::Working);
        Ok(body)
    }

    /// Returns the socket for writing responses.
    pub(in crate::callers) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Closes a connection on which part of a body was not read.
    ///
    /// Closing it with unread data would reset the connection, and the caller could lose the response.
    pub(in crate::callers) fn discard_and_close(self) {
        self.lease.set_phase(Phase::Waiting);
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + MAX_DISCARD_TIME;
        let mut discarded = 0;
        let mut buffer = Vec::new();
        while discarded < MAX_DISCARD_BYTES && Instant::now() < deadline {
            buffer.clear();
            match read_available(&self.stream, &mut buffer) {
                Ok(0) => return,
                Ok(count) => discarded += count,
                Err(error) if is_no_data(&error) => {}
                Err(_) => return,
            }
        }
    }
}

/// A second handle of a connection that detects whether the caller has closed it.
#[derive(Debug)]
pub(in crate::callers) struct CallerProbe(TcpStream);

impl CallerProbe {
    /// Creates the handle for a connection.
    ///
    /// # Errors
    /// Fails if the socket can't be duplicated.
    pub(in crate::callers) fn of(connection: &Connection) -> io::Result<Self> {
        connection.stream.try_clone().map(Self)
    }

    /// Returns whether the caller closed its side. Only the thread that serves the connection may call this, because it
    /// switches the socket's blocking mode for a moment.
    pub(in crate::callers) fn is_gone(&self) -> bool {
        if self.0.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.0.peek(&mut [0]);
        let restored = self.0.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => !is_no_data(&error) || restored.is_err(),
        }
    }
}

/// Reads the rest of a request, first from the buffer, until a deadline.
struct BodyReader<'a> {
    stream: &'a TcpStream,
    buffer: &'a mut Vec<u8>,
    lease: &'a Lease,
    deadline: Instant,
}

impl Read for BodyReader<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.buffer.is_empty() {
            if Instant::now() >= self.deadline {
                return Err(ErrorKind::TimedOut.into());
            }
            match read_available(self.stream, self.buffer) {
                Ok(0) => return Ok(0),
                Ok(count) => self.lease.advance(count),
                Err(error) if is_no_data(&error) => {}
                Err(error) => return Err(error),
            }
        }
        let count = buf.len().min(self.buffer.len());
        buf[..count].copy_from_slice(&self.buffer[..count]);
        self.buffer.drain(..count);
        Ok(count)
    }
}

/// Reads a body of at most `most` bytes to its end.
fn collect(reader: &mut impl Read, most: usize, mut held: Held) -> Result<Body, ReadError> {
    let mut bytes = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        let count = match reader.read(&mut chunk) {
            Ok(0) => return Ok(Body { bytes, held }),
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::TimedOut => return Err(ReadError::TimedOut(BODY_TIMEOUT)),
            Err(error) => return Err(ReadError::Body(error)),
        };
        if bytes.len() + count > most {
            return Err(ReadError::LongBody);
        }
        reserve(&mut bytes, count, most, &mut held)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn read_available(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; READ_BYTES];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count)
}

fn is_no_data(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
