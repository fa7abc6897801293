//! Heads of HTTP/1.1 requests and answers.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Most header lines of a head: common servers allow about as many.
const MAX_LINES: usize = 100;

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Its name as it was sent.
    pub name: Bytes,
    /// Its value without the space around it.
    pub value: Bytes,
}

/// The head of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head<S> {
    /// The first line.
    pub start: S,
    /// Whether it speaks HTTP/1.0.
    pub old: bool,
    /// The header lines in order.
    pub lines: Vec<Line>,
}

/// The first line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLine {
    /// Method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
}

/// The first line of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusLine {
    /// Status code.
    pub status: u16,
    /// Reason in words.
    pub reason: Bytes,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Everything until the connection ends.
    Close,
}

/// Bytes that are no head.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes break the syntax, or leave open where the message ends.
    #[display("malformed head")]
    Malformed,
    /// The head is longer than allowed.
    #[display("head too large")]
    TooLarge,
}

impl<S> Head<S> {
    /// Gives the values of all lines with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.lines.iter();
        lines
            .filter(move |line| line.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|line| &*line.value)
    }

    /// Gives the value of the first line with a name, if it is text.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.lines.iter();
        let line = lines.find(|line| line.name.eq_ignore_ascii_case(name.as_bytes()))?;
        std::str::from_utf8(&line.value).ok()
    }

    /// Tells whether a comma-separated header holds a word.
    #[must_use]
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        let words = |value: &[u8]| {
            let mut words = value.split(|byte| *byte == b',');
            words.any(|one| one.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        };
        self.all(name).any(words)
    }

    /// Tells whether a line concerns only one connection.
    #[must_use]
    pub fn is_hop(&self, name: &[u8]) -> bool {
        const HOP: [&str; 11] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        let listed = || std::str::from_utf8(name).is_ok_and(|name| self.has_word("connection", name));
        HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop.as_bytes())) || listed()
    }

    /// Tells whether the sender keeps the connection open.
    #[must_use]
    pub fn keeps(&self) -> bool {
        if self.old {
            self.has_word("connection", "keep-alive")
        } else {
            !self.has_word("connection", "close")
        }
    }

    /// Gives the declared length.
    ///
    /// Two lengths, or one that is no plain number, would let two readers find different ends: what one takes for the
    /// body, the other takes for a request that nobody sent.
    fn length(&self) -> Result<Option<u64>, HeadError> {
        let mut values = self.all("content-length");
        let Some(value) = values.next() else {
            return Ok(None);
        };
        let digits = !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
        if values.next().is_some() || !digits {
            return Err(HeadError::Malformed);
        }
        let text = std::str::from_utf8(value).map_err(|_not_text| HeadError::Malformed)?;
        text.parse().map(Some).map_err(|_too_long| HeadError::Malformed)
    }

    /// Tells whether the body comes in chunks; no other coding is understood.
    fn chunked(&self) -> Result<bool, HeadError> {
        let mut values = self.all("transfer-encoding");
        let Some(value) = values.next() else {
            return Ok(false);
        };
        let only = value.eq_ignore_ascii_case(b"chunked") && values.next().is_none() && !self.old;
        if only { Ok(true) } else { Err(HeadError::Malformed) }
    }
}

impl Head<RequestLine> {
    /// Finds how the request's body ends.
    ///
    /// # Errors
    /// Fails when the head leaves that open.
    pub fn framing(&self) -> Result<Framing, HeadError> {
        match (self.chunked()?, self.length()?) {
            (true, Some(_)) => Err(HeadError::Malformed),
            (true, None) => Ok(Framing::Chunked),
            (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
        }
    }
}

impl Head<StatusLine> {
    /// Finds how the answer's body ends.
    ///
    /// # Errors
    /// Fails when the head leaves that open.
    pub fn framing(&self) -> Result<Framing, HeadError> {
        if matches!(self.start.status, 204 | 304) || self.start.status < 200 {
            return Ok(Framing::Length(0));
        }
        match (self.chunked()?, self.length()?) {
            (true, Some(_)) => Err(HeadError::Malformed),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::Close),
        }
    }
}

/// Takes a request's head from the front of a buffer; `None` while it is not whole.
///
/// # Errors
/// Fails on what is no head, or one that is longer than `most` bytes.
pub fn take_request(buffer: &mut BytesMut, most: usize) -> Result<Option<Head<RequestLine>>, HeadError> {
    // An empty line before a request is allowed: some senders end a body with one too many.
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
    let Some(raw) = take_raw(buffer, most)? else {
        return Ok(None);
    };
    let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
    let mut request = httparse::Request::new(&mut lines);
    whole(request.parse(&raw))?;
    let (Some(method), Some(target), Some(minor)) = (request.method, request.path, request.version) else {
        return Err(HeadError::Malformed);
    };
    let start = RequestLine {
        method: raw.slice_ref(method.as_bytes()),
        target: raw.slice_ref(target.as_bytes()),
    };
    if !start.target.starts_with(b"/") {
        return Err(HeadError::Malformed);
    }
    Ok(Some(Head {
        start,
        old: minor == 0,
        lines: owned(&raw, request.headers),
    }))
}

/// Takes an answer's head from the front of a buffer; `None` while it is not whole.
///
/// # Errors
/// Fails on what is no head, or one that is longer than `most` bytes.
pub fn take_response(buffer: &mut BytesMut, most: usize) -> Result<Option<Head<StatusLine>>, HeadError> {
    if !buffer.is_empty() && !b"HTTP/1.".starts_with(&buffer[..buffer.len().min(7)]) {
        return Err(HeadError::Malformed);
    }
    let Some(raw) = take_raw(buffer, most)? else {
        return Ok(None);
    };
    let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
    let mut answer = httparse::Response::new(&mut lines);
    whole(answer.parse(&raw))?;
    let (Some(status), Some(minor)) = (answer.code, answer.version) else {
        return Err(HeadError::Malformed);
    };
    let reason = answer.reason.unwrap_or_default();
    let start = StatusLine {
        status,
        reason: raw.slice_ref(reason.as_bytes()),
    };
    Ok(Some(Head {
        start,
        old: minor == 0,
        lines: owned(&raw, answer.headers),
    }))
}

fn take_raw(buffer: &mut BytesMut, most: usize) -> Result<Option<Bytes>, HeadError> {
    let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let Some(end) = end.map(|at| at + 4) else {
        return if buffer.len() > most {
            Err(HeadError::TooLarge)
        } else if has_bare_end(buffer) {
            Err(HeadError::Malformed)
        } else {
            Ok(None)
        };
    };
    if end > most {
        return Err(HeadError::TooLarge);
    }
    let raw = buffer.split_to(end).freeze();
    if has_bare_end(&raw) {
        return Err(HeadError::Malformed);
    }
    Ok(Some(raw))
}

/// Tells whether a line ends without a carriage return, or a carriage return stands alone; readers differ on both.
fn has_bare_end(bytes: &[u8]) -> bool {
    let feed = |(at, byte): (usize, &u8)| *byte == b'\n' && (at == 0 || bytes[at - 1] != b'\r');
    let lone = |(at, byte): (usize, &u8)| *byte == b'\r' && bytes.get(at + 1).is_some_and(|next| *next != b'\n');
    bytes.iter().enumerate().any(feed) || bytes.iter().enumerate().any(lone)
}

fn whole(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

fn owned(raw: &Bytes, lines: &[httparse::Header<'_>]) -> Vec<Line> {
    let line = |line: &httparse::Header<'_>| Line {
        name: raw.slice_ref(line.name.as_bytes()),
        value: if line.value.is_empty() {
            Bytes::new()
        } else {
            raw.slice_ref(line.value)
        },
    };
    lines.iter().map(line).collect()
}
