//! Responses that are not surely whole and surely the upstream's own: they begin before the request was read, or are cut
//! short, or bear a status that is none.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

use common::{Host, Pair, Response, Upstream};
use contract::RetryMode;

/// Size of a request that no kernel takes at once.
const UPLOAD_BYTES: usize = 3_000_000;
const TRIES: usize = 20;
const EVENT: &str = "id: 1\ndata: piece 1\n\n";

fn upload() -> String {
    "x".repeat(UPLOAD_BYTES)
}

/// Writes a success whose body ends with its connection.
fn answer(id: &str, stream: &mut TcpStream, body: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n\r\n{body}");
    // Some tests close the other side.
    let _ = stream.write_all(text.as_bytes());
}

/// Starts an upstream that answers at once and closes with the upload unread, which resets the connection.
fn resetting() -> Upstream {
    Upstream::start_early(|id, stream| answer(id, stream, EVENT))
}

/// Starts an upstream that answers at once, reads the upload and closes in order.
fn patient() -> Upstream {
    Upstream::start_early(|id, stream| {
        answer(id, stream, EVENT);
        let mut left = UPLOAD_BYTES;
        let mut buffer = vec![0; 64 * 1024];
        while left > 0 {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => left -= count,
                _ => return,
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    })
}

/// Returns whether a caller takes a response for whole.
fn looks_whole(response: &Response) -> bool {
    (200..300).contains(&response.status) && response.complete
}

fn count_whole(host: &Host) -> usize {
    let body = upload();
    let responses = (0..TRIES).map(|_| host.request("", &body));
    responses.filter(looks_whole).count()
}

/// Guards against a part of a response that is passed on as whole, because the write of the upload took the reset of its
/// connection.
#[test]
fn reset_upload() {
    for repeat in [RetryMode::Once, RetryMode::Idempotent, RetryMode::Stream] {
        let upstream = resetting();
        let host = Host::start(repeat, 1, &[&upstream]);
        assert_eq!(count_whole(&host), 0, "of {TRIES} on a route of {repeat:?}");
    }
}

/// Guards against the same through another host, which closes in order after a reset that its write took.
#[test]
fn reset_behind_relay() {
    for repeat in [RetryMode::Once, RetryMode::Stream] {
        let upstream = resetting();
        let pair = Pair::start(repeat, 1, &[&upstream]);
        assert_eq!(count_whole(&pair.cut), 0, "of {TRIES} on a route of {repeat:?}");
        assert!(upstream.request_count() > 0);
    }
}

/// Guards against whole responses that are refused because they began before the upload was read.
#[test]
fn early_whole() {
    let upstream = patient();
    let host = Host::start(RetryMode::Once, 1, &[&upstream]);
    let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
    for host in [&host, &pair.cut] {
        let response = host.request("", &upload());
        assert!(looks_whole(&response), "{response:?}");
        assert_eq!(response.body, EVENT);
    }
}

/// Guards against a status that is none and is passed on, or taken for an interim response to a success behind it.
#[test]
fn odd_statuses() {
    for status in ["000", "001", "099", "101", "600", "999"] {
        for repeat in [RetryMode::Once, RetryMode::Stream] {
            let upstream = Upstream::start_early(move |id, stream| {
                let odd = format!("HTTP/1.1 {status} Odd\r\nId: {id}\r\nSigned: s\r\n");
                let success = format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\nContent-Length: 6\r\n\r\nbooked");
                let _ = stream.write_all(format!("{odd}\r\n{success}").as_bytes());
            });
            let host = Host::start(repeat, 1, &[&upstream]);
            assert_eq!(host.request("", "deposit").status, 502, "{status} on {repeat:?}");
        }
    }
}

/// Guards against a head that is cut short and passed on as a response with an empty or short body, on the own link and
/// through another host.
#[test]
fn cut_heads() {
    let whole = |id: &str| format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\nNote: n\r\n\r\nbooked");
    let head_bytes = whole("q1").len() - "booked".len();
    for until in (0..head_bytes).step_by(5).chain(head_bytes - 3..head_bytes) {
        let upstream = Upstream::start_early(move |id, stream| {
            let _ = stream.write_all(&whole(id).as_bytes()[..until]);
            let _ = stream.shutdown(Shutdown::Write);
            // Until the other side has read it: a reset would lose it.
            let _ = stream.read_to_end(&mut Vec::new());
        });
        let own = Host::start(RetryMode::Once, 1, &[&upstream]);
        let response = own.request("", "deposit");
        assert_eq!(response.status, 502, "cut after {until} bytes: {response:?}");
        let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
        let response = pair.cut.request("", "deposit");
        assert_eq!(
            response.status, 502,
            "cut after {until} bytes behind a relay: {response:?}"
        );
    }
}
