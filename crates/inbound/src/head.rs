//! Parses the heads of HTTP/1.1 requests and responses.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Most headers of a message; common servers allow about as many.
const MAX_HEADERS: usize = 100;
/// Status codes that are defined or may be.
const STATUS_RANGE: std::ops::RangeInclusive<u16> = 100..=599;
/// Bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in the sender's spelling.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

/// Head of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head<S> {
    /// Request line or status line.
    pub start: S,
    /// Whether the sender speaks HTTP/1.0.
    pub is_http10: bool,
    /// Headers in order.
    pub headers: Vec<Header>,
}

/// First line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLine {
    /// Method, such as `GET`.
    pub method: Bytes,
    /// Path and query; starts with a slash.
    pub target: Bytes,
}

/// First line of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusLine {
    /// Status code.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: Bytes,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    #[display("length")]
    Length(u64),
    /// By the chunked transfer coding.
    #[display("chunked")]
    Chunked,
    /// By the end of the connection.
    #[display("close")]
    Close,
}

/// Why bytes are not a valid head.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes violate the syntax, or don't determine where the message ends.
    #[display("malformed head")]
    Malformed,
    /// The head is longer than allowed.
    #[display("head too large")]
    TooLarge,
}

impl<S> Head<S> {
    /// Returns the bytes that the headers take.
    #[must_use]
    pub fn size(&self) -> usize {
        let sizes = self.headers.iter().map(|header| header.name.len() + header.value.len());
        sizes.sum::<usize>() + self.headers.len() * size_of::<Header>()
    }

    /// Returns the values of all headers with a name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let headers = self.headers.iter();
        headers
            .filter(move |header| header.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|header| &*header.value)
    }

    /// Returns the value of the first header with a name, if it is UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.name.eq_ignore_ascii_case(name.as_bytes()))?;
        std::str::from_utf8(&header.value).ok()
    }

    /// Returns whether a comma-separated header contains a token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let tokens = |value: &[u8]| {
            let mut tokens = value.split(|byte| *byte == b',');
            tokens.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        self.values(name).any(tokens)
    }

    /// Returns whether a header applies only to one connection.
    #[must_use]
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        const HOP_BY_HOP: [&str; 11] = [
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
        let listed = || std::str::from_utf8(name).is_ok_and(|name| self.has_token("connection", name));
        HOP_BY_HOP
            .iter()
            .any(|hop_header| name.eq_ignore_ascii_case(hop_header.as_bytes()))
            || listed()
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        if self.is_http10 {
            self.has_token("connection", "keep-alive")
        } else {
            !self.has_token("connection", "close")
        }
    }

    /// Returns the declared length.
    ///
    /// With two lengths, or one that is not a plain number, two parsers could find different ends: what one takes for
    /// the body, the other takes for a request that nobody sent.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut values = self.values("content-length");
        let Some(value) = values.next() else {
            return Ok(None);
        };
        let is_number = !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
        if values.next().is_some() || !is_number {
            return Err(HeadError::Malformed);
        }
        let text = std::str::from_utf8(value).map_err(|_not_text| HeadError::Malformed)?;
        text.parse().map(Some).map_err(|_too_long| HeadError::Malformed)
    }

    /// Returns whether the body is chunked; no other transfer coding is supported.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut values = self.values("transfer-encoding");
        let Some(value) = values.next() else {
            return Ok(false);
        };
        let only_chunked = value.eq_ignore_ascii_case(b"chunked") && values.next().is_none() && !self.is_http10;
        if only_chunked {
            Ok(true)
        } else {
            Err(HeadError::Malformed)
        }
    }
}

impl Head<RequestLine> {
    /// Returns how the end of the request's body is determined.
    ///
    /// # Errors
    /// Fails if the head leaves that open.
    pub fn framing(&self) -> Result<Framing, HeadError> {
        match (self.is_chunked()?, self.content_length()?) {
            (true, Some(_)) => Err(HeadError::Malformed),
            (true, None) => Ok(Framing::Chunked),
            (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
        }
    }
}

impl Head<StatusLine> {
    /// Returns how the end of the response's body is determined.
    ///
    /// # Errors
    /// Fails if the head leaves that open.
    pub fn framing(&self) -> Result<Framing, HeadError> {
        if matches!(self.start.status, 204 | 304) || self.start.status < 200 {
            return Ok(Framing::Length(0));
        }
        match (self.is_chunked()?, self.content_length()?) {
            (true, Some(_)) => Err(HeadError::Malformed),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::Close),
        }
    }
}

/// Finds out whether a head that arrives in small pieces has to be parsed again. Each byte is looked at once, so that a
/// head costs no more the smaller its pieces are.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    scanned: usize,
}

impl HeadScan {
    /// Returns whether the bytes after the last call may complete the head, or make it invalid.
    pub fn may_parse(&mut self, buffer: &[u8], max_bytes: usize) -> bool {
        let from = self.scanned.saturating_sub(HEAD_END.len() - 1);
        let new = buffer.get(from..).unwrap_or(buffer);
        // A line feed whose line began before the new bytes was looked at with the end of that line.
        let is_malformed = has_bare_line_end(new.strip_prefix(b"\n").filter(|_| from > 0).unwrap_or(new));
        let may_parse =
            buffer.len() > max_bytes || is_malformed || new.windows(HEAD_END.len()).any(|bytes| bytes == HEAD_END);
        // Parsing may take empty lines from the front.
        self.scanned = if may_parse { 0 } else { buffer.len() };
        may_parse
    }
}

/// Takes a request's head from the front of a buffer; returns `None` while it is incomplete.
///
/// # Errors
/// Fails on an invalid head, or one that is longer than `max_bytes`.
pub fn take_request(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Head<RequestLine>>, HeadError> {
    // Empty lines before a request are allowed, because some clients send one after a body.
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
    let Some(raw) = take_head(buffer, max_bytes)? else {
        return Ok(None);
    };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    check_complete(request.parse(&raw))?;
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
        is_http10: minor == 0,
        headers: to_owned_headers(&raw, request.headers),
    }))
}

/// Returns whether a response may begin with the bytes.
#[must_use]
pub fn may_begin_response(buffer: &[u8]) -> bool {
    const BEGIN: &[u8] = b"HTTP/1.";
    BEGIN.starts_with(&buffer[..buffer.len().min(BEGIN.len())])
}

/// Takes a response's head from the front of a buffer; returns `None` while it is incomplete.
///
/// # Errors
/// Fails on an invalid head, or one that is longer than `max_bytes`.
pub fn take_response(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Head<StatusLine>>, HeadError> {
    if !may_begin_response(buffer) {
        return Err(HeadError::Malformed);
    }
    let Some(raw) = take_head(buffer, max_bytes)? else {
        return Ok(None);
    };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    check_complete(response.parse(&raw))?;
    let (Some(status), Some(minor)) = (response.code, response.version) else {
        return Err(HeadError::Malformed);
    };
    if !STATUS_RANGE.contains(&status) {
        return Err(HeadError::Malformed);
    }
    let reason = response.reason.unwrap_or_default();
    let start = StatusLine {
        status,
        reason: raw.slice_ref(reason.as_bytes()),
    };
    Ok(Some(Head {
        start,
        is_http10: minor == 0,
        headers: to_owned_headers(&raw, response.headers),
    }))
}

fn take_head(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, HeadError> {
    let end = buffer.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END);
    let Some(end) = end.map(|index| index + HEAD_END.len()) else {
        return if buffer.len() > max_bytes {
            Err(HeadError::TooLarge)
        } else if has_bare_line_end(buffer) {
            Err(HeadError::Malformed)
        } else {
            Ok(None)
        };
    };
    if end > max_bytes {
        return Err(HeadError::TooLarge);
    }
    let raw = buffer.split_to(end).freeze();
    if has_bare_line_end(&raw) {
        return Err(HeadError::Malformed);
    }
    Ok(Some(raw))
}

/// Returns whether the bytes contain a line feed without a carriage return or the reverse; parsers differ on both.
fn has_bare_line_end(bytes: &[u8]) -> bool {
    let bare_feed = |(index, byte): (usize, &u8)| *byte == b'\n' && (index == 0 || bytes[index - 1] != b'\r');
    let bare_return =
        |(index, byte): (usize, &u8)| *byte == b'\r' && bytes.get(index + 1).is_some_and(|next| *next != b'\n');
    bytes.iter().enumerate().any(bare_feed) || bytes.iter().enumerate().any(bare_return)
}

fn check_complete(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

fn to_owned_headers(raw: &Bytes, headers: &[httparse::Header<'_>]) -> Vec<Header> {
    let header = |header: &httparse::Header<'_>| Header {
        name: raw.slice_ref(header.name.as_bytes()),
        value: if header.value.is_empty() {
            Bytes::new()
        } else {
            raw.slice_ref(header.value)
        },
    };
    headers.iter().map(header).collect()
}
