//! Upstreams that ask a host for a pause or say that they leave: nothing is sent to them, whichever way a request takes.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Host, Pair, ReceivedRequest, Upstream, cut_off, listed, respond};
use contract::{RelayHost, RetryMode, Zone};
use policy::Tick;
use wire::relay::{HEAD_BYTES, RelayReply, body_length, encode};

/// Time for which upstreams ask in these tests, longer than each of them takes.
const LONG_PAUSE: &str = "503 Busy|Not-Run: 1\r\nPause: 9\r\n";
/// Wait for what hosts exchange with each other and with their background threads.
const EXCHANGE_TIME: Duration = Duration::from_millis(600);

/// Starts an upstream that answers its first requests by `answers`, each a status line and headers, and others with 200.
fn scripted(answers: &'static [&'static str]) -> Upstream {
    let count = AtomicUsize::new(0);
    Upstream::start(Box::new(move |request: &ReceivedRequest, stream: &mut TcpStream| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let answer = answers.get(number).copied().unwrap_or("200 OK|Signed: s\r\n");
        let (status, headers) = answer.split_once('|').unwrap();
        respond(request, stream, status, headers, "done")
    }))
}

/// Guards against requests that are refused later than at once while all upstreams pause, and against callers that are
/// told to come back before the first pause ends.
#[test]
fn come_back_later() {
    let upstream = scripted(&["503 Busy|Not-Run: 1\r\nPause: 2\r\n"]);
    let host = Host::with_timeout(RetryMode::Idempotent, 3, 15_000, &[&upstream]);
    for _ in 0..3 {
        let sent = Instant::now();
        let response = host.request("", "lookup");
        assert_eq!(response.status, 503);
        assert!(sent.elapsed() < Duration::from_millis(500));
        let delay = response
            .head
            .lines()
            .find_map(|line| line.strip_prefix("Retry-After: "));
        let delay: f64 = delay.and_then(|text| text.parse().ok()).expect("a delay");
        assert!((1.0..=4.0).contains(&delay), "told to come back after {delay} s");
    }
    assert_eq!(upstream.request_count(), 1);
}

/// Guards against pauses that a list ends by dropping an upstream and naming it again.
#[test]
fn returns_to_list() {
    let upstream = scripted(&[LONG_PAUSE]);
    let other = scripted(&[]);
    let shared = Host::shared(RetryMode::Idempotent, 1, 5_000, &[&upstream]);
    let host = Host::run(Arc::clone(&shared));
    assert_eq!(host.request("", "lookup").status, 503);
    let mut list = listed(&[&upstream, &other]);
    *shared.new_list.lock() = Some((list.split_off(1), Tick::from_millis(1)));
    thread::sleep(EXCHANGE_TIME);
    *shared.new_list.lock() = Some((listed(&[&upstream, &other]), Tick::from_millis(2)));
    thread::sleep(EXCHANGE_TIME);
    let statuses: Vec<u16> = (0..20).map(|_| host.request("", "lookup").status).collect();
    assert_eq!(statuses, [200; 20]);
    assert_eq!(upstream.request_count(), 1);
}

/// Guards against a pause that binds another incarnation with the same id.
#[test]
fn new_incarnation() {
    let upstream = scripted(&[LONG_PAUSE]);
    let shared = Host::shared(RetryMode::Idempotent, 1, 5_000, &[&upstream]);
    let host = Host::run(Arc::clone(&shared));
    assert_eq!(host.request("", "lookup").status, 503);
    let mut list = listed(&[&upstream]);
    list[0].start += 1;
    *shared.new_list.lock() = Some((list, Tick::from_millis(1)));
    thread::sleep(EXCHANGE_TIME);
    assert_eq!(host.request("", "lookup").status, 200);
}

/// Guards against a shorter pause, or one that can't be read, that ends a longer one.
#[test]
fn shorter_pause() {
    for later in [
        "503 Busy|Not-Run: 1\r\nPause: 0\r\n",
        "503 Busy|Not-Run: 1\r\nPause: soon\r\n",
    ] {
        let slow = AtomicUsize::new(0);
        let upstream = Upstream::start(Box::new(move |request, stream| {
            // The second request is under way when the first is turned away, and is answered later.
            let (wait, answer) = match slow.fetch_add(1, Ordering::Relaxed) {
                0 => (100, LONG_PAUSE),
                1 => (200, later),
                _ => (0, "200 OK|Signed: s\r\n"),
            };
            thread::sleep(Duration::from_millis(wait));
            let (status, headers) = answer.split_once('|').unwrap();
            respond(request, stream, status, headers, "done")
        }));
        let host = Host::start(RetryMode::Idempotent, 1, &[&upstream]);
        let mut callers = [host.connect(), host.connect()];
        for caller in &mut callers {
            caller.send("", "lookup");
        }
        for caller in &mut callers {
            assert_eq!(caller.read_response().status, 503);
        }
        assert_eq!(host.request("", "lookup").status, 503);
        assert_eq!(upstream.request_count(), 2, "after {later}");
    }
}

/// Guards against an upstream that is left alone although what it asks for is no time.
#[test]
fn no_pause() {
    for answer in [
        "503 Busy|Not-Run: 1\r\nPause: soon\r\n",
        "503 Busy|Not-Run: 1\r\nPause: 0\r\n",
    ] {
        let count = AtomicUsize::new(0);
        let upstream = Upstream::start(Box::new(move |request, stream| {
            let first = count.fetch_add(1, Ordering::Relaxed) == 0;
            let (status, headers) = if first { answer } else { "200 OK|Signed: s\r\n" }
                .split_once('|')
                .unwrap();
            respond(request, stream, status, headers, "done")
        }));
        let host = Host::start(RetryMode::Idempotent, 1, &[&upstream]);
        assert_eq!(host.request("", "lookup").status, 503);
        assert_eq!(host.request("", "lookup").status, 200);
    }
}

/// Guards against a pause that is lost as it stands in a late response to an earlier request.
#[test]
fn late_response() {
    let upstream = Upstream::start(Box::new(|request, stream| {
        let late = "HTTP/1.1 503 Busy\r\nId: other\r\nNot-Run: 1\r\nPause: 9\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(late.as_bytes()).unwrap();
        respond(request, stream, "200 OK", "Signed: s\r\n", "done")
    }));
    let host = Host::start(RetryMode::Idempotent, 1, &[&upstream]);
    assert_eq!(host.request("", "lookup").status, 200);
    assert_eq!(host.request("", "lookup").status, 503);
    assert_eq!(upstream.request_count(), 1);
}

/// A host that relays connections itself plays their upstream, which turns all requests away; every connection but the
/// first is answered late.
fn slow_relay(listener: TcpListener, requests: Arc<AtomicUsize>) {
    for (index, stream) in listener.incoming().flatten().enumerate() {
        let requests = Arc::clone(&requests);
        thread::spawn(move || {
            let mut stream = stream;
            let mut head = [0; HEAD_BYTES];
            stream.read_exact(&mut head).unwrap();
            let mut body = vec![0; body_length(head).unwrap()];
            stream.read_exact(&mut body).unwrap();
            if index > 0 {
                thread::sleep(Duration::from_millis(150));
            }
            stream.write_all(&encode(&RelayReply::Connected).unwrap()).unwrap();
            let mut line = String::new();
            // The other side closes without a request if it must not send one.
            if BufReader::new(stream.try_clone().unwrap())
                .read_line(&mut line)
                .unwrap_or(0)
                > 0
            {
                requests.fetch_add(1, Ordering::Relaxed);
                let refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nPause: 9\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(refusal.as_bytes());
            }
        });
    }
}

/// Guards against requests that are sent after the upstream has asked for a pause, since it was chosen before.
#[test]
fn chosen_before() {
    let upstream = scripted(&[]);
    let shared = cut_off(RetryMode::Idempotent, 1, &[&upstream]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = RelayHost {
        address: listener.local_addr().unwrap(),
        zone: Zone::from("z1"),
        isolated: BTreeSet::default(),
    };
    *shared.relays.lock() = Some(vec![relay]);
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    thread::spawn(move || slow_relay(listener, count));
    let host = Host::run(shared);
    let mut callers = [(); 4].map(|()| host.connect());
    for caller in &mut callers {
        caller.send("", "lookup");
    }
    for caller in &mut callers {
        assert_eq!(caller.read_response().status, 503);
    }
    assert_eq!(requests.load(Ordering::Relaxed), 1, "requests after the first");
}

/// Guards against a host that goes on with an upstream which has asked it for a pause in response to a request that it
/// relayed.
#[test]
fn relay_pauses() {
    let upstream = scripted(&[LONG_PAUSE]);
    let pair = Pair::start(RetryMode::Idempotent, 1, &[&upstream]);
    assert_eq!(pair.cut.request("", "lookup").status, 503);
    thread::sleep(EXCHANGE_TIME);
    for _ in 0..3 {
        assert_eq!(pair.relay.request("", "lookup").status, 503);
        assert_eq!(pair.cut.request("", "lookup").status, 503);
    }
    assert_eq!(upstream.request_count(), 1);
}

/// Guards against requests that a host relays to an upstream which has asked this host for a pause, or says that it leaves.
#[test]
fn relay_refuses() {
    for answer in [&[LONG_PAUSE], &["200 OK|Signed: s\r\nLeaving: 1\r\n"]] {
        let upstream = scripted(answer);
        let pair = Pair::start(RetryMode::Idempotent, 1, &[&upstream]);
        let _ = pair.relay.request("", "lookup");
        assert_eq!(pair.cut.request("", "lookup").status, 503);
        assert_eq!(upstream.request_count(), 1, "after {answer:?}");
    }
}

/// Guards against hosts that each find out by themselves that an upstream leaves.
#[test]
fn leaving_elsewhere() {
    let upstream = scripted(&["200 OK|Signed: s\r\nLeaving: 1\r\n"]);
    let pair = Pair::start(RetryMode::Idempotent, 1, &[&upstream]);
    assert_eq!(pair.relay.request("", "lookup").status, 200);
    thread::sleep(EXCHANGE_TIME);
    assert_eq!(pair.cut.request("", "lookup").status, 503);
    assert_eq!(upstream.request_count(), 1);
}
