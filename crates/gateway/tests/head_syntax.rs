//! Heads of requests: what leaves open where a message ends is refused.

use bytes::BytesMut;
use gateway::head::{Framing, HeadError, take_request, take_response};
use quickcheck::quickcheck;

const MOST: usize = 4_096;

fn framing(text: &str) -> Result<Framing, HeadError> {
    let mut buffer = BytesMut::from(text);
    take_request(&mut buffer, MOST)?.ok_or(HeadError::Malformed)?.framing()
}

fn post(lines: &str) -> Result<Framing, HeadError> {
    framing(&format!("POST /a/ HTTP/1.1\r\nHost: a\r\n{lines}\r\n"))
}

#[test]
fn plain_framing() {
    assert_eq!(post("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(post("Transfer-Encoding: chunked\r\n"), Ok(Framing::Chunked));
    assert_eq!(post(""), Ok(Framing::Length(0)));
}

/// A caller sends a request whose end two readers would find at different places. If it were passed on, an upstream could
/// take a part of its body for a request that nobody sent.
#[test]
fn smuggled_requests() {
    for lines in [
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
        assert_eq!(post(lines), Err(HeadError::Malformed), "{lines:?}");
    }
}

#[test]
fn bare_ends() {
    let mut buffer = BytesMut::from("GET /a/ HTTP/1.1\nHost: a\n\n");
    assert_eq!(take_request(&mut buffer, MOST), Err(HeadError::Malformed));
}

#[test]
fn long_head() {
    let line = format!("GET /a/ HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(MOST));
    let mut buffer = BytesMut::from(line.as_str());
    assert_eq!(take_request(&mut buffer, MOST), Err(HeadError::TooLarge));
}

#[test]
fn no_answer() {
    let mut buffer = BytesMut::from("garbage that is no answer");
    assert_eq!(take_response(&mut buffer, MOST), Err(HeadError::Malformed));
}

quickcheck! {
    /// Whatever bytes come, reading ends without a panic and takes nothing while a head is not whole.
    fn any_bytes(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&*bytes);
        match take_request(&mut buffer, MOST) {
            Ok(None) => buffer.len() <= bytes.len(),
            Ok(Some(_)) | Err(_) => true,
        }
    }
}
