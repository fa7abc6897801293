//! Requests that another host passes on, since their own host is cut off from all upstreams.

mod common;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    Host, Leader, PAIR_TIMEOUT_MS, Pair, ReceivedRequest, TEST_TIMEOUT, Upstream, cut_off, respond, send_event,
    start_stream,
};
use contract::{NodeId, RelayHost, RetryMode, ServiceName, Zone};
use serde::de::DeserializeOwned;
use wire::relay::{HEAD_BYTES, RelayRefusal, RelayReply, RelayRequest, body_length, decode, encode};

fn streaming(events: u64, pause: Duration) -> Upstream {
    Upstream::start(Box::new(move |request, stream| {
        start_stream(request, stream);
        for id in 1..=events {
            send_event(stream, id);
            thread::sleep(pause);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }))
}

fn answering() -> Upstream {
    Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "200 OK", "Signed: s\r\n", "booked")
    }))
}

/// Asks a host to connect to an upstream; returns the connection and the reply.
fn ask_relay(host: &Host, upstream: &str) -> (TcpStream, RelayReply) {
    let mut stream = TcpStream::connect(host.relay).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let request = RelayRequest {
        from: NodeId::from("e9"),
        request: "q9".to_owned(),
        service: ServiceName::from("till"),
        upstream: upstream.to_owned(),
        end_mark: None,
        news: None,
    };
    stream.write_all(&encode(&request).unwrap()).unwrap();
    let reply = read_message(&mut stream);
    (stream, reply)
}

fn read_message<T: DeserializeOwned>(stream: &mut TcpStream) -> T {
    let mut head = [0; HEAD_BYTES];
    stream.read_exact(&mut head).unwrap();
    let mut body = vec![0; body_length(head).unwrap()];
    stream.read_exact(&mut body).unwrap();
    decode(&body).unwrap()
}

/// Guards against headers, bodies or answers that change on the way through another host, and against a second arrival.
#[test]
fn passed_unchanged() {
    let upstream = answering();
    let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
    let response = pair.cut.request("Note: n1\r\n", "deposit");
    assert_eq!((response.status, response.body.as_str()), (200, "booked"));
    let received: Vec<ReceivedRequest> = upstream.requests.lock().clone();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].get("Note").as_deref(), Some("n1"));
    assert_eq!(received[0].get("Meant").as_deref(), Some("u0"));
    assert_eq!(received[0].body, b"deposit");
}

/// Guards against streams that a relay holds back, loses events of, or leaves without an end.
#[test]
fn relayed_stream() {
    let upstream = streaming(6, Duration::from_millis(50));
    let pair = Pair::start(RetryMode::Stream, 1, &[&upstream]);
    let sent = Instant::now();
    let mut caller = pair.cut.connect();
    caller.send("", "prompt");
    let response = caller.read_response();
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.body.matches("data: piece").count(), 6);
    assert!(sent.elapsed() >= Duration::from_millis(250), "the events were paced");
}

/// Guards against work that goes on at an upstream after the caller of a host that is cut off has left.
#[test]
fn caller_leaves() {
    let stopped = Arc::new(AtomicBool::new(false));
    let stopped_flag = Arc::clone(&stopped);
    let upstream = Upstream::start(Box::new(move |request, stream| {
        start_stream(request, stream);
        // Without a caller, the connection breaks before all is written.
        let broken = (0..500).any(|_| {
            thread::sleep(Duration::from_millis(10));
            stream.write_all(b"8\r\n: wait\n\n\r\n").is_err()
        });
        stopped_flag.store(broken, Ordering::Relaxed);
        false
    }));
    let pair = Pair::start(RetryMode::Stream, 1, &[&upstream]);
    let mut caller = pair.cut.connect();
    caller.send("", "prompt");
    let sent = Instant::now();
    while upstream.request_count() == 0 {
        assert!(sent.elapsed() < TEST_TIMEOUT, "the request does not arrive");
        thread::sleep(Duration::from_millis(5));
    }
    drop(caller);
    let left = Instant::now();
    while !stopped.load(Ordering::Relaxed) {
        assert!(left.elapsed() < TEST_TIMEOUT, "the upstream still works");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the head of a success whose body ends with its connection.
fn head_without_length(request: &ReceivedRequest) -> String {
    let id = request.get("Id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n\r\n")
}

/// Starts an upstream whose responses are `body` and end with their connections.
fn closing(body: &'static [u8], is_reset: bool) -> Upstream {
    Upstream::start(Box::new(move |request, stream| {
        stream.write_all(head_without_length(request).as_bytes()).unwrap();
        stream.write_all(body).unwrap();
        if is_reset {
            // Lets the bytes arrive, which a reset would discard.
            thread::sleep(Duration::from_millis(50));
            rustix::net::sockopt::set_socket_linger(&*stream, Some(Duration::ZERO)).unwrap();
        } else {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        false
    }))
}

/// Guards against whole responses without length that are lost on the way through another host.
#[test]
fn end_without_length() {
    let upstream = closing(b"booked", false);
    let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
    let response = pair.cut.request("", "deposit");
    assert_eq!((response.status, response.body.as_str()), (200, "booked"));
}

/// Guards against streams without length that are resumed or left incomplete although they have ended.
#[test]
fn stream_without_length() {
    let upstream = closing(b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", false);
    let pair = Pair::start(RetryMode::ResumableStream, 3, &[&upstream]);
    let response = pair.cut.request("", "prompt");
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.body.matches("data: piece").count(), 2);
    assert_eq!(upstream.request_count(), 1);
}

/// Guards against a response without length that is taken for complete although its upstream broke off.
#[test]
fn reset_without_length() {
    let upstream = closing(b"half", true);
    let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
    assert_eq!(pair.cut.request("", "deposit").status, 502);
}

/// Guards against a response without length that is taken for complete although the host that relays has ended.
#[test]
fn relay_ends_without_length() {
    let upstream = answering();
    let cut = cut_off(RetryMode::Once, 1, &[&upstream]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let ending = RelayHost {
        address: listener.local_addr().unwrap(),
        zone: Zone::from("z1"),
        isolated: BTreeSet::default(),
    };
    *cut.relays.lock() = Some(vec![ending]);
    let relay = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _: RelayRequest = read_message(&mut stream);
        stream.write_all(&encode(&RelayReply::Connected).unwrap()).unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"deposit") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("Id: "))
            .unwrap_or_default();
        let half = format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\n\r\nhalf");
        stream.write_all(half.as_bytes()).unwrap();
    });
    let response = Host::run(cut).request("", "deposit");
    relay.join().unwrap();
    assert_eq!(response.status, 502, "{response:?}");
}

/// Guards against the mark of an orderly end that is taken for a malformed response head where it arrives before the end of
/// the connection, so that the crash of the upstream is not counted.
#[test]
fn early_end_mark() {
    let upstream = answering();
    let cut = cut_off(RetryMode::Once, 1, &[&upstream]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let marking = RelayHost {
        address: listener.local_addr().unwrap(),
        zone: Zone::from("z1"),
        isolated: BTreeSet::default(),
    };
    *cut.relays.lock() = Some(vec![marking]);
    let relay = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let asked: RelayRequest = read_message(&mut stream);
        stream.write_all(&encode(&RelayReply::Connected).unwrap()).unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"deposit") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        stream.write_all(&asked.end_mark.unwrap().0).unwrap();
        thread::sleep(Duration::from_millis(100));
    });
    let response = Host::run(cut).request("", "deposit");
    relay.join().unwrap();
    assert_eq!(response.status, 502);
    assert!(response.body.contains("closed without an answer"), "{response:?}");
}

/// Guards against a refusal that says "not run" of a request whose relay ended after it was passed on.
#[test]
fn relay_ends_midway() {
    let upstream = Upstream::start(Box::new(|_, _| {
        thread::sleep(Duration::from_millis(300));
        false
    }));
    let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
    assert_eq!(pair.cut.request("", "deposit").status, 502);
    assert_eq!(upstream.request_count(), 1);
}

/// Guards against a relay that serves bytes of foreign senders, or connects to addresses that it doesn't know.
#[test]
fn foreign_senders() {
    let upstream = answering();
    let pair = Pair::start(RetryMode::Once, 1, &[&upstream]);
    let mut foreign = TcpStream::connect(pair.relay.relay).unwrap();
    foreign.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    foreign
        .write_all(b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    // The relay closes with bytes unread, which may reset the connection.
    let _ = foreign.read_to_end(&mut answer);
    assert_eq!(answer, b"");
    assert_eq!(
        ask_relay(&pair.relay, "u7").1,
        RelayReply::Refused(RelayRefusal::Unlisted)
    );
    assert_eq!(upstream.request_count(), 0);
}

/// Guards against requests that go round between hosts which are all cut off: each ends soon, with a true refusal.
#[test]
fn all_cut_off() {
    let upstreams = [answering(), answering()];
    let listed_upstreams: Vec<&Upstream> = upstreams.iter().collect();
    let all = [(); 2].map(|()| cut_off(RetryMode::Once, 1, &listed_upstreams));
    let hosts = all.clone().map(Host::run);
    let _leader = Leader::start(&all);
    let sent = Instant::now();
    for host in &hosts {
        let response = host.request("", "deposit");
        assert_eq!(response.status, 503);
        assert!(response.head.contains("Retry-After"));
    }
    assert!(
        sent.elapsed() < Duration::from_millis(PAIR_TIMEOUT_MS),
        "{:?}",
        sent.elapsed()
    );
    assert!(upstreams.iter().all(|upstream| upstream.request_count() == 0));
}

/// Guards against a planned stop of the relay that breaks off what it passes on, and against new work for it.
#[test]
fn relay_stops() {
    let upstream = streaming(20, Duration::from_millis(50));
    let pair = Pair::start(RetryMode::Stream, 1, &[&upstream]);
    let mut caller = pair.cut.connect();
    caller.send("", "prompt");
    let mut first = [0];
    caller.0.read_exact(&mut first).unwrap();
    pair.relay.stop();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        ask_relay(&pair.relay, "u0").1,
        RelayReply::Refused(RelayRefusal::Stopping)
    );
    let response = caller.read_response();
    assert!(response.complete, "{response:?}");
}
