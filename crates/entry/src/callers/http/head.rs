//! The head of a request.

use derive_more::{Display, Error};

use super::MAX_HEADERS;

/// Method, target and headers of a request.
#[derive(Clone, Debug)]
pub(in crate::callers) struct Head {
    /// Method in capitals.
    pub(in crate::callers) method: String,
    /// Path with query.
    pub(in crate::callers) target: String,
    /// Headers in order.
    pub(in crate::callers) headers: Vec<(String, String)>,
    /// How long the body is.
    pub(in crate::callers) length: Length,
    /// Whether the caller understands chunks.
    pub(in crate::callers) chunks: bool,
    /// Whether the connection takes another request afterwards.
    pub(in crate::callers) keep: bool,
}

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::callers) enum Length {
    /// In bytes; zero when there is none.
    Bytes(u64),
    /// By its last chunk.
    Chunked,
}

/// A head that is no head of a request.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(in crate::callers) enum BadHead {
    /// It has more headers than allowed.
    #[display("more than {MAX_HEADERS} headers")]
    TooMany,
    /// It isn't HTTP.
    #[display("not an HTTP/1.1 request")]
    Syntax,
    /// A header holds bytes that aren't text.
    #[display("a header is not text")]
    Text,
    /// The length of the body is given twice, or not as a number.
    #[display("the length of the body is not clear")]
    Length,
}

impl Head {
    /// Reads a head, if it is whole, and gives its length in bytes.
    ///
    /// # Errors
    /// Fails when the bytes can't become the head of a request.
    pub(in crate::callers) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, BadHead> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(BadHead::TooMany),
            Err(_) => return Err(BadHead::Syntax),
        };
        let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
            return Err(BadHead::Syntax);
        };
        let text = |header: &httparse::Header<'_>| {
            let value = std::str::from_utf8(header.value).map_err(|_cause| BadHead::Text)?;
            Ok((header.name.to_owned(), value.to_owned()))
        };
        let headers = parsed.headers.iter().map(text).collect::<Result<Vec<_>, _>>()?;
        let head = Self {
            method: method.to_owned(),
            target: target.to_owned(),
            length: body_length(&headers)?,
            chunks: version == 1,
            keep: keeps(version, &headers),
            headers,
        };
        Ok(Some((head, length)))
    }

    /// Finds a header.
    pub(in crate::callers) fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Gives the path without query.
    pub(in crate::callers) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Gives the query without its question mark.
    pub(in crate::callers) fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Gives the bearer key.
    pub(in crate::callers) fn bearer(&self) -> Option<&str> {
        let (scheme, key) = self.header("Authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("Bearer").then_some(key.trim())
    }

    /// Tells whether the caller sends the body only after it was asked to.
    pub(in crate::callers) fn expects_continue(&self) -> bool {
        self.header("Expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Finds out how long the body is.
///
/// Two lengths in one head are read one way by a proxy and another way by us, and what one takes for a body the other
/// takes for the next caller's request. So anything but a single clear length is refused.
fn body_length(headers: &[(String, String)]) -> Result<Length, BadHead> {
    let all = |name: &'static str| {
        headers
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    };
    let lengths: Vec<&str> = all("Content-Length").collect();
    let codings: Vec<&str> = all("Transfer-Encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Length::Bytes(0)),
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            length.parse().map(Length::Bytes).map_err(|_cause| BadHead::Length)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(Length::Chunked),
        _ => Err(BadHead::Length),
    }
}

fn keeps(version: u8, headers: &[(String, String)]) -> bool {
    let connection = find(headers, "Connection").unwrap_or_default().to_ascii_lowercase();
    version == 1 && !connection.contains("close")
}
