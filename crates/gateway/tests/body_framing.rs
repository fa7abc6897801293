//! Decoding of bodies: the result does not depend on how the bytes are split, and violations of the framing are
//! detected.

use bytes::BytesMut;
use gateway::body::{BodyDecoder, BodyError};
use gateway::head::Framing;
use quickcheck::{TestResult, quickcheck};

fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, usize), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some(part) = decoder.decode(&mut buffer)? {
            body.extend_from_slice(&part);
        }
    }
    Ok((body, decoder.is_done(), buffer.len()))
}

fn chunked(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

quickcheck! {
    fn any_split(parts: Vec<Vec<u8>>, cut: usize) -> TestResult {
        let bytes = chunked(&parts);
        let (a, b) = bytes.split_at(cut % bytes.len());
        let whole = decode(Framing::Chunked, &[a, b]) == Ok((parts.concat(), true, 0));
        TestResult::from_bool(whole)
    }

    /// Guards against a truncated body that looks complete, because the connection broke at an unfortunate place.
    fn truncated_body(parts: Vec<Vec<u8>>, cut: usize) -> bool {
        let bytes = chunked(&parts);
        let cut = cut % bytes.len();
        decode(Framing::Chunked, &[&bytes[..cut]]).is_ok_and(|(_, done, _)| !done)
    }
}

#[test]
fn following_bytes() {
    let read = decode(Framing::Length(3), &[b"ab", b"cGET /"]);
    assert_eq!(read, Ok((b"abc".to_vec(), true, 5)));
}

#[test]
fn malformed_chunks() {
    for bytes in [
        &b"+3\r\nabc\r\n0\r\n\r\n"[..],
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b" 3\r\nabc\r\n0\r\n\r\n",
        b"\r\nabc\r\n0\r\n\r\n",
        b"fffffffffffffffff\r\nabc",
        b"3\r\r\nabc\r\n0\r\n\r\n",
    ] {
        assert_eq!(decode(Framing::Chunked, &[bytes]), Err(BodyError), "{bytes:?}");
    }
}

#[test]
fn until_close() {
    let mut decoder = BodyDecoder::new(Framing::Close);
    let mut buffer = BytesMut::from(&b"abc"[..]);
    assert_eq!(decoder.decode(&mut buffer).unwrap().unwrap(), "abc");
    assert!(decoder.ends_on_close() && !decoder.is_done());
}
