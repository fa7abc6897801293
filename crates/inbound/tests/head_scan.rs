//! Heads that arrive in small pieces.

use bytes::BytesMut;
use inbound::head::{HeadScan, take_request};
use quickcheck::quickcheck;

const MAX_BYTES: usize = 16 * 1024;

/// Returns how often a head that arrives in pieces of some bytes is parsed, and whether it is found valid.
fn parse(head: &[u8], piece: usize) -> (usize, Option<bool>) {
    let (mut scan, mut buffer, mut parsed) = (HeadScan::default(), BytesMut::new(), 0);
    for part in head.chunks(piece) {
        buffer.extend_from_slice(part);
        if !scan.may_parse(&buffer, MAX_BYTES) {
            continue;
        }
        parsed += 1;
        match take_request(&mut buffer, MAX_BYTES) {
            Ok(None) => {}
            Ok(Some(_)) => return (parsed, Some(true)),
            Err(_) => return (parsed, Some(false)),
        }
    }
    (parsed, None)
}

/// Guards against a head that is parsed anew for each of its bytes, so that a few slow senders take the processor.
#[test]
fn parsed_once() {
    let mut head = b"POST /x HTTP/1.1\r\nHost: a\r\n".to_vec();
    for number in 0..90 {
        head.extend_from_slice(format!("Header-{number}: {number}\r\n").as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    assert_eq!(parse(&head, 1), (1, Some(true)));
    assert_eq!(parse(&head, 7), (1, Some(true)));
}

quickcheck! {
    /// Guards against heads that are taken or refused in pieces and not at once, or the reverse.
    fn same_in_pieces(bytes: Vec<u8>, piece: u8) -> bool {
        const TEXT: [&[u8]; 8] = [b"GET / HTTP/1.1", b"\r\n", b"\n", b"\r", b"Host: a", b"\r\n\r\n", b":", b"x"];
        let head: Vec<u8> = bytes.iter().flat_map(|byte| TEXT[usize::from(byte % 8)]).copied().collect();
        parse(&head, usize::from(piece).max(1)).1 == parse(&head, head.len().max(1)).1
    }
}
