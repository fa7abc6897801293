//! One connection of a caller.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use chunked_transfer::Decoder;
use derive_more::{Display, Error, From};

use super::{BODY_TIME, BadHead, HEAD_TIME, Head, IDLE_TIME, Length, MAX_BODY, MAX_HEAD, SEND_TIME};

/// Longest time that one read blocks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes that are asked for at once.
const PIECE: usize = 8 * 1024;
/// Unread bytes of a refused body that are taken in, so that the refusal is not lost with the connection.
const LINGER_BYTES: usize = 256 * 1024;
/// Longest time for that.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// A connection with what was read from it and not used yet.
#[derive(Debug)]
pub(in crate::callers) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Why no whole request came.
#[derive(Debug, Display, Error, From)]
pub(in crate::callers) enum Broken {
    /// The caller closed the connection or sent nothing for long.
    #[display("the connection ended")]
    Ended,
    /// The caller sends too slowly.
    #[display("the request did not arrive within {} s", _0.as_secs())]
    #[from(skip)]
    Slow(#[error(not(source))] Duration),
    /// The head is longer than allowed.
    #[display("the head is longer than {MAX_HEAD} bytes")]
    LongHead,
    /// The body is longer than allowed.
    #[display("the body is longer than {MAX_BODY} bytes")]
    LongBody,
    /// The head is no head of a request.
    Head(BadHead),
    /// The body ends early or its chunks are wrong.
    #[display("the body can't be read: {_0}")]
    Body(io::Error),
}

impl Connection {
    /// Takes over a connection that was accepted.
    ///
    /// # Errors
    /// Fails when the operating system refuses an option.
    pub(in crate::callers) fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
        stream.set_write_timeout(Some(SEND_TIME))?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Waits for the head of the next request.
    ///
    /// # Errors
    /// Fails when the caller leaves, sends too slowly or sends no head.
    pub(in crate::callers) fn head(&mut self) -> Result<Head, Broken> {
        if self.buffer.is_empty() {
            self.first_bytes()?;
        }
        let begun = Instant::now();
        loop {
            if let Some((head, length)) = Head::parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(head);
            }
            if self.buffer.len() >= MAX_HEAD {
                return Err(Broken::LongHead);
            }
            if begun.elapsed() > HEAD_TIME {
                return Err(Broken::Slow(HEAD_TIME));
            }
            match read_more(&self.stream, &mut self.buffer) {
                Ok(0) => return Err(Broken::Ended),
                Ok(_) => {}
                Err(error) if is_pause(&error) => {}
                Err(_) => return Err(Broken::Ended),
            }
        }
    }

    /// Waits for the first bytes of a request.
    ///
    /// Idle connections are many, so their threads sleep through; waking each of them a few times a second would cost
    /// more than the requests that come.
    fn first_bytes(&mut self) -> Result<(), Broken> {
        let read = self
            .stream
            .set_read_timeout(Some(IDLE_TIME))
            .and_then(|()| read_more(&self.stream, &mut self.buffer))
            .and_then(|count| self.stream.set_read_timeout(Some(CHECK_INTERVAL)).map(|()| count));
        match read {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(Broken::Ended),
        }
    }

    /// Reads the body that belongs to a head.
    ///
    /// # Errors
    /// Fails when it is too long, comes too slowly or not whole.
    pub(in crate::callers) fn body(&mut self, head: &Head) -> Result<Vec<u8>, Broken> {
        if matches!(head.length, Length::Bytes(length) if length > MAX_BODY) {
            return Err(Broken::LongBody);
        }
        if head.expects_continue() {
            (&self.stream)
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(|_gone| Broken::Ended)?;
        }
        let mut source = Source {
            stream: &self.stream,
            buffer: &mut self.buffer,
            until: Instant::now() + BODY_TIME,
        };
        let mut body = Vec::new();
        let read = match head.length {
            Length::Bytes(length) => (&mut source).take(length).read_to_end(&mut body),
            Length::Chunked => Decoder::new(&mut source).take(MAX_BODY + 1).read_to_end(&mut body),
        };
        match read {
            Err(error) if error.kind() == ErrorKind::TimedOut => return Err(Broken::Slow(BODY_TIME)),
            Err(error) => return Err(Broken::Body(error)),
            Ok(_) if body.len() as u64 > MAX_BODY => return Err(Broken::LongBody),
            Ok(_) => {}
        }
        match head.length {
            Length::Bytes(length) if (body.len() as u64) < length => Err(Broken::Ended),
            _ => Ok(body),
        }
    }

    /// Gives the writing side.
    pub(in crate::callers) const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Ends a connection on which a body was left unread.
    ///
    /// Closing at once would reset the connection, and the caller would lose the refusal together with it.
    pub(in crate::callers) fn linger(self) {
        if self.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let until = Instant::now() + LINGER_TIME;
        let mut taken = 0;
        let mut buffer = Vec::new();
        while taken < LINGER_BYTES && Instant::now() < until {
            buffer.clear();
            match read_more(&self.stream, &mut buffer) {
                Ok(0) => return,
                Ok(count) => taken += count,
                Err(error) if is_pause(&error) => {}
                Err(_) => return,
            }
        }
    }
}

/// Watches whether a caller is still there.
#[derive(Debug)]
pub(in crate::callers) struct PeerDemand(TcpStream);

impl PeerDemand {
    /// Watches the caller of a connection.
    ///
    /// # Errors
    /// Fails when the operating system gives no second handle.
    pub(in crate::callers) fn of(connection: &Connection) -> io::Result<Self> {
        connection.stream.try_clone().map(Self)
    }

    /// Tells whether the caller closed its side; only the thread that serves the connection may ask.
    pub(in crate::callers) fn is_gone(&self) -> bool {
        if self.0.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = self.0.peek(&mut [0]);
        let restored = self.0.set_nonblocking(false);
        match seen {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => !is_pause(&error) || restored.is_err(),
        }
    }
}

/// The rest of a request, to be read until a point in time.
struct Source<'a> {
    stream: &'a TcpStream,
    buffer: &'a mut Vec<u8>,
    until: Instant,
}

impl Read for Source<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.buffer.is_empty() {
            if Instant::now() >= self.until {
                return Err(ErrorKind::TimedOut.into());
            }
            match read_more(self.stream, self.buffer) {
                Ok(0) => return Ok(0),
                Ok(_) => {}
                Err(error) if is_pause(&error) => {}
                Err(error) => return Err(error),
            }
        }
        let count = buf.len().min(self.buffer.len());
        buf[..count].copy_from_slice(&self.buffer[..count]);
        self.buffer.drain(..count);
        Ok(count)
    }
}

fn read_more(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut piece = [0; PIECE];
    let count = stream.read(&mut piece)?;
    buffer.extend_from_slice(&piece[..count]);
    Ok(count)
}

fn is_pause(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
