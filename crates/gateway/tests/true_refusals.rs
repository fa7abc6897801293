//! What callers are told of requests that may run only once: "not run" only when that is certain.

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::{Host, Upstream, answer};
use contract::Repeatable;

/// An upstream states that it did not run the request, because it is full. The caller hears that it was not run, and when
/// to come back.
#[test]
fn full_upstream() {
    let full = Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
    }));
    let host = Host::start(Repeatable::Once, 1, &[&full]);
    let reply = host.ask("", "deposit");
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("Retry-After: "), "{}", reply.head);
    assert_eq!(full.count(), 1);
}

/// One upstream is full, and the route allows two. The deposit runs at the other, once.
#[test]
fn refused_elsewhere() {
    let full = Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
    }));
    let free = Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "200 OK", "Signed: s\r\n", "booked")
    }));
    let host = Host::start(Repeatable::Once, 2, &[&full, &free]);
    for _ in 0..4 {
        let reply = host.ask("", "deposit");
        assert_eq!((reply.status, reply.body.as_str()), (200, "booked"));
    }
    assert_eq!(free.count(), 4);
}

/// An upstream reads a deposit and its connection breaks. It may have run: the caller must not hear "not run", and no other
/// upstream may get it.
#[test]
fn lost_answer() {
    let losing = Upstream::start(Box::new(|_, _| false));
    let other = Upstream::start(Box::new(|_, _| false));
    let host = Host::start(Repeatable::Once, 2, &[&losing, &other]);
    let reply = host.ask("", "deposit");
    assert_eq!(reply.status, 502);
    assert_eq!(losing.count() + other.count(), 1);
}

/// An upstream never answers. The caller gets its final answer when the route's time is over, not at its own deadline.
#[test]
fn silent_upstream() {
    let silent = Upstream::start(Box::new(|_, _| {
        std::thread::sleep(Duration::from_secs(30));
        false
    }));
    let host = Host::with(Repeatable::Once, 1, 400, &[&silent]);
    let begun = Instant::now();
    let reply = host.ask("Wait-Ms: 5000\r\n", "deposit");
    assert_eq!(reply.status, 504);
    assert!(begun.elapsed() < Duration::from_secs(3));
}

/// Nothing listens at the only upstream's address. Nothing was sent, so the refusal is true and comes at once.
#[test]
fn nobody_listens() {
    let gone = Upstream {
        address: std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap(),
        seen: std::sync::Arc::default(),
        closed: std::sync::Arc::default(),
    };
    let host = Host::start(Repeatable::Once, 1, &[&gone]);
    let begun = Instant::now();
    let reply = host.ask("", "deposit");
    assert_eq!(reply.status, 503);
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// Another incarnation answers at the address. It did not run the request; the one that is meant gets it.
#[test]
fn other_incarnation() {
    let other = Upstream::start(Box::new(|seen, stream| answer(seen, stream, "421 Misdirected", "", "")));
    let right = Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "200 OK", "Signed: s\r\n", "booked")
    }));
    let host = Host::start(Repeatable::Once, 1, &[&other, &right]);
    for _ in 0..3 {
        assert_eq!(host.ask("", "deposit").status, 200);
    }
}

/// A lookup may run twice: when one upstream breaks off, another answers.
#[test]
fn lookup_again() {
    let losing = Upstream::start(Box::new(|_, _| false));
    let good = Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "200 OK", "Signed: s\r\n", "7 free")
    }));
    let host = Host::start(Repeatable::Idempotent, 2, &[&losing, &good]);
    for _ in 0..3 {
        assert_eq!(host.ask("", "").status, 200);
    }
}

/// An upstream's answer is cut, unsigned, coded, or no answer at all. None of these may reach a caller as a success.
#[test]
fn spoiled_answers() {
    let spoils: [fn(&mut std::net::TcpStream); 4] = [
        |stream| drop(stream.write_all(b"HTTP/1.1 200 OK\r\nId: q1\r\nSigned: s\r\nContent-Length: 9\r\n\r\nhalf")),
        |stream| drop(stream.write_all(b"HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nok")),
        |stream| {
            let coded = b"HTTP/1.1 200 OK\r\nId: q1\r\nSigned: s\r\nContent-Encoding: x\r\nContent-Length: 2\r\n\r\nok";
            drop(stream.write_all(coded));
        },
        |stream| drop(stream.write_all(b"\x01\x02 nonsense \r\n\r\n")),
    ];
    for spoil in spoils {
        let upstream = Upstream::start(Box::new(move |_, stream| {
            spoil(stream);
            false
        }));
        let host = Host::start(Repeatable::Once, 1, &[&upstream]);
        assert_eq!(host.ask("", "deposit").status, 502);
    }
}

/// The answer to an earlier request comes where the next one is expected. It reaches nobody, and the next request gets its
/// own answer.
#[test]
fn extra_answer() {
    let upstream = Upstream::start(Box::new(|seen, stream| {
        let extra = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nContent-Length: 5\r\n\r\nother";
        stream.write_all(extra.as_bytes()).unwrap();
        answer(seen, stream, "200 OK", "Signed: s\r\n", "own")
    }));
    let host = Host::start(Repeatable::Once, 1, &[&upstream]);
    assert_eq!(host.ask("", "deposit").body, "own");
}

/// An upstream answers before it has read a long body, and keeps the connection. The rest of the body must never be taken
/// for the next request, so the connection serves nobody else.
#[test]
fn early_answer() {
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
        seen: std::sync::Arc::default(),
        closed: std::sync::Arc::default(),
    };
    let host = Host::start(Repeatable::Once, 1, &[&early]);
    let begun = Instant::now();
    let reply = host.ask("", &"x".repeat(3_000_000));
    assert_eq!((reply.status, reply.body.as_str()), (413, "big"));
    assert!(begun.elapsed() < Duration::from_secs(3));
}

/// An upstream refuses a deposit as not run, and its caller comes back. The first try must not have used up the account's
/// quota, or the caller would be refused a second time although nothing was run for it.
#[test]
fn quota_given_back() {
    let full = Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "503 Service Unavailable", "Not-Run: 1\r\n", "full")
    }));
    let host = Host::with_quota(&[&full], 2.0);
    for _ in 0..6 {
        assert_eq!(host.ask("Key: k\r\n", "deposit").status, 503);
    }
}
