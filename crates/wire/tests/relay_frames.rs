//! Messages that open a connection through another entry host.

use contract::{NodeId, ServiceName};
use quickcheck::quickcheck;
use wire::relay::{
    EndMark, FrameError, HEAD_BYTES, RelayRefusal, RelayReply, RelayRequest, body_length, decode, encode,
};

fn split(bytes: &[u8]) -> (usize, &[u8]) {
    let (head, body) = bytes.split_at(HEAD_BYTES);
    (body_length(head.try_into().unwrap()).unwrap(), body)
}

fn request(upstream: &str) -> RelayRequest {
    RelayRequest {
        from: NodeId::from("e1"),
        request: "q1".to_owned(),
        service: ServiceName::from("m"),
        upstream: upstream.to_owned(),
        end_mark: None,
        news: None,
    }
}

/// Guards against messages that the other side reads differently.
#[test]
fn read_back() {
    let bytes = encode(&request("u1")).unwrap();
    let (length, body) = split(&bytes);
    assert_eq!((length, decode(body)), (body.len(), Ok(request("u1"))));
    let refused = RelayReply::Refused(RelayRefusal::Unreached("timed out".to_owned()));
    for reply in [RelayReply::Connected, refused] {
        let bytes = encode(&reply).unwrap();
        assert_eq!(decode(split(&bytes).1), Ok(reply));
    }
}

/// Guards against a sender that is not one of our hosts, and against messages without bound.
#[test]
fn foreign_senders() {
    assert_eq!(body_length(*b"GET / "), Err(FrameError::Foreign));
    assert_eq!(
        body_length(*b"GRL1\xff\xff"),
        Err(FrameError::TooLong { length: 65_535 })
    );
    assert!(matches!(
        decode::<RelayRequest>(b"{\"from\":1}"),
        Err(FrameError::Unreadable { .. })
    ));
    assert!(matches!(
        encode(&request(&"u".repeat(2_000))),
        Err(FrameError::TooLong { .. })
    ));
}

quickcheck! {
    /// No bytes make a reader panic.
    fn any_bytes(head: (u8, u8, u8, u8, u8, u8), body: Vec<u8>) -> bool {
        let (a, b, c, d, e, f) = head;
        let _ = body_length([a, b, c, d, e, f]);
        let _ = decode::<RelayRequest>(&body);
        let _ = decode::<RelayReply>(&body);
        true
    }
}

/// Guards against bytes of a response that are taken for the mark of its end, or kept back without need.
#[test]
fn mark_overlap() {
    let mark = EndMark(*b"0123456789abcdef");
    let overlap = |received: &[u8]| mark.overlap(received);
    assert_eq!(
        [overlap(b""), overlap(b"x"), overlap(b"x0"), overlap(b"01201")],
        [0, 0, 1, 2]
    );
    assert_eq!([overlap(b"x0123456789abcdef"), overlap(b"0123456789abcdefx")], [16, 0]);
}
