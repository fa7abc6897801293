//! Parses the head of a request.

use derive_more::{Display, Error};

use super::MAX_HEADERS;

/// Method, target and headers of a request.
#[derive(Clone, Debug)]
pub(in crate::callers) struct Head {
    /// Method, as sent.
    pub(in crate::callers) method: String,
    /// Path with query.
    pub(in crate::callers) target: String,
    /// Header names and values in the order sent.
    pub(in crate::callers) headers: Vec<(String, String)>,
    /// Length of the body.
    pub(in crate::callers) body_length: BodyLength,
    /// Whether the caller supports chunked responses (HTTP/1.1).
    pub(in crate::callers) accepts_chunks: bool,
    /// Whether the connection stays open for another request.
    pub(in crate::callers) keep_alive: bool,
}

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::callers) enum BodyLength {
    /// By a number of bytes; zero without a body.
    Bytes(u64),
    /// By the chunked transfer encoding.
    Chunked,
}

/// Why a head is not a valid HTTP request.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(in crate::callers) enum InvalidHead {
    /// It has more than [`MAX_HEADERS`] headers.
    #[display("more than {MAX_HEADERS} headers")]
    TooManyHeaders,
    /// It does not parse as HTTP/1.x.
    #[display("not an HTTP/1.1 request")]
    Syntax,
    /// A header value is not UTF-8.
    #[display("a header is not text")]
    Text,
    /// The body length is ambiguous or not a number.
    #[display("the length of the body is not clear")]
    Length,
}

impl Head {
    /// Parses a head and returns it with its length in bytes; `None` if it is not complete yet.
    ///
    /// # Errors
    /// Fails if the bytes can't be the beginning of a valid request.
    pub(in crate::callers) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, InvalidHead> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(InvalidHead::TooManyHeaders),
            Err(_) => return Err(InvalidHead::Syntax),
        };
        let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
            return Err(InvalidHead::Syntax);
        };
        let text = |header: &httparse::Header<'_>| {
            let value = std::str::from_utf8(header.value).map_err(|_cause| InvalidHead::Text)?;
            Ok((header.name.to_owned(), value.to_owned()))
        };
        let headers = parsed.headers.iter().map(text).collect::<Result<Vec<_>, _>>()?;
        let head = Self {
            method: method.to_owned(),
            target: target.to_owned(),
            body_length: parse_body_length(&headers)?,
            accepts_chunks: version == 1,
            keep_alive: keeps_alive(version, &headers),
            headers,
        };
        Ok(Some((head, length)))
    }

    /// Returns the first value of a header; the name is case-insensitive.
    pub(in crate::callers) fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the path without the query.
    pub(in crate::callers) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query without the question mark; empty if there is none.
    pub(in crate::callers) fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns the bearer key of the `Authorization` header.
    pub(in crate::callers) fn bearer_key(&self) -> Option<&str> {
        let (scheme, key) = self.header("Authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("Bearer").then_some(key.trim())
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body.
    pub(in crate::callers) fn expects_continue(&self) -> bool {
        self.header("Expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Determines the length of the body from the headers.
///
/// If a head gives two lengths, a proxy and this server may disagree where the body ends, and a caller could smuggle a
/// request into another caller's connection. So anything but a single valid length is rejected.
fn parse_body_length(headers: &[(String, String)]) -> Result<BodyLength, InvalidHead> {
    let values = |name: &'static str| {
        headers
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    };
    let lengths: Vec<&str> = values("Content-Length").collect();
    let codings: Vec<&str> = values("Transfer-Encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(BodyLength::Bytes(0)),
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => length
            .parse()
            .map(BodyLength::Bytes)
            .map_err(|_cause| InvalidHead::Length),
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyLength::Chunked),
        _ => Err(InvalidHead::Length),
    }
}

fn keeps_alive(version: u8, headers: &[(String, String)]) -> bool {
    let connection = find_header(headers, "Connection")
        .unwrap_or_default()
        .to_ascii_lowercase();
    version == 1 && !connection.contains("close")
}
