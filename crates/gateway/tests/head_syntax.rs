//! Parsing of heads: a message whose end is ambiguous is refused.

use bytes::BytesMut;
use gateway::head::{Framing, HeadError, take_request, take_response};
use quickcheck::quickcheck;

const MAX_HEAD_BYTES: usize = 4_096;

fn parse_framing(text: &str) -> Result<Framing, HeadError> {
    let mut buffer = BytesMut::from(text);
    take_request(&mut buffer, MAX_HEAD_BYTES)?
        .ok_or(HeadError::Malformed)?
        .framing()
}

fn post(headers: &str) -> Result<Framing, HeadError> {
    parse_framing(&format!("POST /a/ HTTP/1.1\r\nHost: a\r\n{headers}\r\n"))
}

#[test]
fn plain_framing() {
    assert_eq!(post("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(post("Transfer-Encoding: chunked\r\n"), Ok(Framing::Chunked));
    assert_eq!(post(""), Ok(Framing::Length(0)));
}

/// Guards against request smuggling: a caller sends a request whose end two parsers find at different places. If it
/// were forwarded, an upstream could take a part of its body for another request.
#[test]
fn request_smuggling() {
    for headers in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length: \r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Content-Length : 4\r\n",
        "A: b\nContent-Length: 4\r\n",
        "A: b\rContent-Length: 4\r\n",
        " folded\r\n",
    ] {
        assert_eq!(post(headers), Err(HeadError::Malformed), "{headers:?}");
    }
}

#[test]
fn bare_line_ends() {
    let mut buffer = BytesMut::from("GET /a/ HTTP/1.1\nHost: a\n\n");
    assert_eq!(take_request(&mut buffer, MAX_HEAD_BYTES), Err(HeadError::Malformed));
}

#[test]
fn long_head() {
    let line = format!(
        "GET /a/ HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "x".repeat(MAX_HEAD_BYTES)
    );
    let mut buffer = BytesMut::from(line.as_str());
    assert_eq!(take_request(&mut buffer, MAX_HEAD_BYTES), Err(HeadError::TooLarge));
}

#[test]
fn invalid_response() {
    let mut buffer = BytesMut::from("garbage that is no answer");
    assert_eq!(take_response(&mut buffer, MAX_HEAD_BYTES), Err(HeadError::Malformed));
}

quickcheck! {
    /// Guards against bytes that make the parser panic, or that it consumes before a head is complete.
    fn any_bytes(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&*bytes);
        match take_request(&mut buffer, MAX_HEAD_BYTES) {
            Ok(None) => buffer.len() <= bytes.len(),
            Ok(Some(_)) | Err(_) => true,
        }
    }
}

/// Guards against a response in whose head a field name holds a blank or a control byte, or that has a line without a name:
/// what one parser takes for a field, another takes for the end of the head.
#[test]
fn odd_response_fields() {
    for line in [
        "A b: c",
        "A : c",
        " A: c",
        "A\u{1}: c",
        "A\tb: c",
        "A\u{7f}: c",
        ": c",
        "no field",
        "A: b\u{1}c",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 0\r\n\r\n");
        let mut buffer = BytesMut::from(text.as_str());
        assert_eq!(
            take_response(&mut buffer, MAX_HEAD_BYTES),
            Err(HeadError::Malformed),
            "{line:?}"
        );
    }
}

/// Guards against a status code that is none.
#[test]
fn odd_statuses() {
    for status in ["000", "099", "600", "999", "20", "2000", "2x0"] {
        let mut buffer = BytesMut::from(format!("HTTP/1.1 {status} Odd\r\n\r\n").as_str());
        let parsed = take_response(&mut buffer, MAX_HEAD_BYTES);
        assert_eq!(parsed, Err(HeadError::Malformed), "{status}");
    }
}
