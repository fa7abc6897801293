//! HTTP responses to callers.

use std::borrow::Cow;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::TcpStream;

use inbound::reason_phrase;

use super::Head;

/// A response that is sent at once.
#[derive(Clone, Debug)]
pub(in crate::callers) struct Reply {
    status: u16,
    headers: Vec<(Cow<'static, str>, String)>,
    body: Vec<u8>,
}

/// A response whose body is sent in pieces.
#[derive(Debug)]
pub(in crate::callers) struct ChunkedReply<'a> {
    stream: &'a TcpStream,
    is_chunked: bool,
    chunk_buffer: Vec<u8>,
}

impl Reply {
    /// Creates a response with a body of media type `media_type`.
    pub(in crate::callers) fn new(status: u16, media_type: &str, body: Vec<u8>) -> Self {
        let reply = Self {
            status,
            headers: Vec::new(),
            body,
        };
        reply.with_header("Content-Type", media_type)
    }

    /// Adds a header; a value with control characters is left out, because it could break the framing.
    pub(in crate::callers) fn with_header(
        mut self,
        name: impl Into<Cow<'static, str>>,
        value: impl Into<String>,
    ) -> Self {
        let value = value.into();
        if !value.bytes().any(|byte| byte.is_ascii_control()) {
            self.headers.push((name.into(), value));
        }
        self
    }

    /// Sends the response with a single write.
    ///
    /// # Errors
    /// Fails if the connection is closed or the write times out.
    pub(in crate::callers) fn send(
        &self,
        mut stream: &TcpStream,
        head: Option<&Head>,
        keep_alive: bool,
    ) -> io::Result<()> {
        let mut bytes = head_bytes(self.status, &self.headers, keep_alive);
        let no_body = matches!(self.status, 100..200 | 204 | 304);
        if !no_body {
            write!(bytes, "Content-Length: {}\r\n", self.body.len())?;
        }
        bytes.extend_from_slice(b"\r\n");
        if !no_body && head.is_none_or(|head| head.method != "HEAD") {
            bytes.extend_from_slice(&self.body);
        }
        stream.write_all(&bytes)
    }
}

impl<'a> ChunkedReply<'a> {
    /// Sends the head; the pieces of the body follow.
    ///
    /// # Errors
    /// Fails if the connection is closed or the write times out.
    pub(in crate::callers) fn begin(
        mut stream: &'a TcpStream,
        head: &Head,
        headers: &[(Cow<'static, str>, String)],
        keep_alive: bool,
    ) -> io::Result<Self> {
        let mut bytes = head_bytes(200, headers, keep_alive && head.accepts_chunks);
        let framing: &[u8] = if head.accepts_chunks {
            b"Transfer-Encoding: chunked\r\n\r\n"
        } else {
            b"\r\n"
        };
        bytes.extend_from_slice(framing);
        stream.write_all(&bytes)?;
        Ok(Self {
            stream,
            is_chunked: head.accepts_chunks,
            chunk_buffer: Vec::new(),
        })
    }

    /// Sends a piece with a single write, as one chunk if the caller supports it.
    ///
    /// # Errors
    /// Fails if the connection is closed or the write times out.
    pub(in crate::callers) fn send_piece(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !self.is_chunked {
            return self.stream.write_all(bytes);
        }
        self.chunk_buffer.clear();
        write!(self.chunk_buffer, "{:x}\r\n", bytes.len())?;
        self.chunk_buffer.extend_from_slice(bytes);
        self.chunk_buffer.extend_from_slice(b"\r\n");
        self.stream.write_all(&self.chunk_buffer)
    }

    /// Ends the body.
    ///
    /// # Errors
    /// Fails if the connection is closed or the write times out.
    pub(in crate::callers) fn end(mut self) -> io::Result<()> {
        if self.is_chunked {
            self.stream.write_all(b"0\r\n\r\n")
        } else {
            Ok(())
        }
    }
}

fn head_bytes(status: u16, headers: &[(Cow<'static, str>, String)], keep_alive: bool) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        // Writing to a string never fails.
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !keep_alive {
        text.push_str("Connection: close\r\n");
    }
    text.into_bytes()
}
