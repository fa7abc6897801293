//! Responses to requests that must run at most once: they say "not run" only if that is certain.

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::{Host, Upstream, respond};
use contract::RetryMode;

/// Guards against a caller that does not learn that it may retry: the upstream is full and states that it did not run
/// the request.
#[test]
fn full_upstream() {
    let full = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
    }));
    let host = Host::start(RetryMode::Once, 1, &[&full]);
    let response = host.request("", "deposit");
    assert_eq!(response.status, 503);
    assert!(response.head.contains("Retry-After: "), "{}", response.head);
    assert_eq!(full.request_count(), 1);
}

/// Guards against a request that is lost or runs twice when one upstream is full and the route allows two attempts.
#[test]
fn retried_elsewhere() {
    let full = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
    }));
    let free = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "200 OK", "Signed: s\r\n", "booked")
    }));
    let host = Host::start(RetryMode::Once, 2, &[&full, &free]);
    for _ in 0..4 {
        let response = host.request("", "deposit");
        assert_eq!((response.status, response.body.as_str()), (200, "booked"));
    }
    assert_eq!(free.request_count(), 4);
}

/// Guards against "not run" for a request that may have run, because the upstream read it and the connection broke. No
/// other upstream may get it.
#[test]
fn lost_response() {
    let failing = Upstream::start(Box::new(|_, _| false));
    let other = Upstream::start(Box::new(|_, _| false));
    let host = Host::start(RetryMode::Once, 2, &[&failing, &other]);
    let response = host.request("", "deposit");
    assert_eq!(response.status, 502);
    assert_eq!(failing.request_count() + other.request_count(), 1);
}

/// Guards against a wait until the caller's deadline for an upstream that never responds; the route's timeout is
/// shorter.
#[test]
fn silent_upstream() {
    let silent = Upstream::start(Box::new(|_, _| {
        std::thread::sleep(Duration::from_secs(30));
        false
    }));
    let host = Host::with_timeout(RetryMode::Once, 1, 400, &[&silent]);
    let started = Instant::now();
    let response = host.request("Wait-Ms: 5000\r\n", "deposit");
    assert_eq!(response.status, 504);
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against a late or wrong refusal when nothing listens at the only upstream's address, so that nothing was
/// sent.
#[test]
fn connection_refused() {
    let unreachable = Upstream {
        address: std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap(),
        requests: std::sync::Arc::default(),
        closed: std::sync::Arc::default(),
    };
    let host = Host::start(RetryMode::Once, 1, &[&unreachable]);
    let started = Instant::now();
    let response = host.request("", "deposit");
    assert_eq!(response.status, 503);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against a failed request because another incarnation responds at the listed address. It did not run the
/// request, so the listed one gets it.
#[test]
fn other_incarnation() {
    let other = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "421 Misdirected", "", "")
    }));
    let requested = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "200 OK", "Signed: s\r\n", "booked")
    }));
    let host = Host::start(RetryMode::Once, 1, &[&other, &requested]);
    for _ in 0..3 {
        assert_eq!(host.request("", "deposit").status, 200);
    }
}

/// Guards against a failed lookup although it may run twice: if one upstream breaks off, another one responds.
#[test]
fn idempotent_retried() {
    let failing = Upstream::start(Box::new(|_, _| false));
    let good = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "200 OK", "Signed: s\r\n", "7 free")
    }));
    let host = Host::start(RetryMode::Idempotent, 2, &[&failing, &good]);
    for _ in 0..3 {
        assert_eq!(host.request("", "").status, 200);
    }
}

/// Guards against a success for the caller when the upstream's response is truncated, unsigned, content-coded or not
/// HTTP.
#[test]
fn invalid_responses() {
    let scripts: [fn(&mut std::net::TcpStream); 4] = [
        |stream| drop(stream.write_all(b"HTTP/1.1 200 OK\r\nId: q1\r\nSigned: s\r\nContent-Length: 9\r\n\r\nhalf")),
        |stream| drop(stream.write_all(b"HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nok")),
        |stream| {
            let encoded =
                b"HTTP/1.1 200 OK\r\nId: q1\r\nSigned: s\r\nContent-Encoding: x\r\nContent-Length: 2\r\n\r\nok";
            drop(stream.write_all(encoded));
        },
        |stream| drop(stream.write_all(b"\x01\x02 nonsense \r\n\r\n")),
    ];
    for script in scripts {
        let upstream = Upstream::start(Box::new(move |_, stream| {
            script(stream);
            false
        }));
        let host = Host::start(RetryMode::Once, 1, &[&upstream]);
        assert_eq!(host.request("", "deposit").status, 502);
    }
}

/// Guards against a response to an earlier request that reaches the next caller on the same connection.
#[test]
fn stale_response() {
    let upstream = Upstream::start(Box::new(|request, stream| {
        let stale = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nContent-Length: 5\r\n\r\nother";
        stream.write_all(stale.as_bytes()).unwrap();
        respond(request, stream, "200 OK", "Signed: s\r\n", "own")
    }));
    let host = Host::start(RetryMode::Once, 1, &[&upstream]);
    assert_eq!(host.request("", "deposit").body, "own");
}

/// Guards against the reuse of a connection whose upstream responded before it read the whole body: it would take the
/// rest for the next request.
#[test]
fn early_response() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let early = b"HTTP/1.1 413 Content Too Large\r\nId: q1\r\nContent-Length: 3\r\n\r\nbig";
            stream.write_all(early).unwrap();
            std::thread::sleep(Duration::from_secs(5));
        }
    });
    let early = Upstream {
        address,
        requests: std::sync::Arc::default(),
        closed: std::sync::Arc::default(),
    };
    let host = Host::start(RetryMode::Once, 1, &[&early]);
    let started = Instant::now();
    let response = host.request("", &"x".repeat(3_000_000));
    assert_eq!((response.status, response.body.as_str()), (413, "big"));
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against requests that use up quota although no upstream ran them: their retries would be refused.
#[test]
fn quota_refunded() {
    let full = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
    }));
    let host = Host::with_quota(&[&full], 2.0);
    for _ in 0..6 {
        assert_eq!(host.request("Key: k\r\n", "deposit").status, 503);
    }
}
