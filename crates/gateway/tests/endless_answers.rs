//! Upstreams that send bytes without end where no response can come of them.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Host, ReceivedRequest, Upstream, respond};
use contract::RetryMode;

/// Bytes that an upstream writes at most before its connection must be closed; sockets hold some megabytes of them.
const MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Time after which the connection must be closed, however slowly bytes come.
const MAX_TIME: Duration = Duration::from_secs(5);
/// Bytes and time after which an upstream gives up, so that no test hangs.
const GIVE_UP: (u64, Duration) = (64 * 1024 * 1024, Duration::from_secs(12));
/// Timeout of the route, longer than [`MAX_TIME`].
const TIMEOUT_MS: u64 = 15_000;
/// Pause between two pieces of a slow upstream.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// What an upstream sends: a beginning, and a piece again and again.
#[derive(Clone)]
struct Endless {
    begin: String,
    piece: String,
    pause: Duration,
}

impl Endless {
    fn fast(begin: &str, piece: &str) -> Self {
        Self {
            begin: begin.to_owned(),
            piece: piece.repeat(4_096 / piece.len() + 1),
            pause: Duration::ZERO,
        }
    }

    fn slow(begin: &str, piece: &str) -> Self {
        Self {
            begin: begin.to_owned(),
            piece: piece.to_owned(),
            pause: SLOW_PAUSE,
        }
    }

    /// Writes until the other side closes; returns the number of bytes written.
    fn write(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> u64 {
        let id = request.get("Id").unwrap_or_default();
        let started = Instant::now();
        let mut written = 0;
        let mut next = self.begin.replace("ID", &id);
        while stream.write_all(next.as_bytes()).is_ok() && written < GIVE_UP.0 && started.elapsed() < GIVE_UP.1 {
            written += next.len() as u64;
            next.clone_from(&self.piece);
            thread::sleep(self.pause);
        }
        written
    }
}

/// Lets an upstream answer without end beside a sound one, and checks that its connection is closed and that callers are
/// served by the other.
fn check(repeat: RetryMode, endless: Endless) {
    let written = Arc::new(AtomicU64::new(0));
    let took_ms = Arc::new(AtomicU64::new(0));
    let (count, time) = (Arc::clone(&written), Arc::clone(&took_ms));
    let broken = Upstream::start(Box::new(move |request, stream| {
        let started = Instant::now();
        count.fetch_max(endless.write(request, stream), Ordering::Relaxed);
        time.fetch_max(started.elapsed().as_millis() as u64, Ordering::Relaxed);
        false
    }));
    let sound = Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "200 OK", "Signed: s\r\n", "found")
    }));
    let host = Host::with_timeout(repeat, 2, TIMEOUT_MS, &[&broken, &sound]);
    // Requests are spread by load, so that one of a few gets to the broken upstream.
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let mut caller = host.connect();
            thread::spawn(move || {
                caller.send("", "lookup");
                caller.read_response().status
            })
        })
        .collect();
    let statuses: Vec<u16> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    drop(host);
    let (written, took) = (
        written.load(Ordering::Relaxed),
        Duration::from_millis(took_ms.load(Ordering::Relaxed)),
    );
    assert!(broken.request_count() > 0, "the broken upstream got a request");
    assert!(
        written < MAX_BYTES && took < MAX_TIME,
        "{written} bytes taken from the upstream, closed after {took:?}"
    );
    if repeat == RetryMode::Idempotent {
        assert_eq!(statuses, [200; 4], "served by the other upstream");
    }
}

/// Guards against a head without end that keeps its connection.
#[test]
fn endless_head() {
    check(
        RetryMode::Idempotent,
        Endless::fast("HTTP/1.1 200 OK\r\nId: ID\r\n", "A: b\r\n"),
    );
}

/// Guards against a head whose bytes come too slowly to reach the limit on its length.
#[test]
fn slow_head() {
    check(
        RetryMode::Idempotent,
        Endless::slow("HTTP/1.1 200 OK\r\nId: ID\r\n", "A: b\r\n"),
    );
}

/// Guards against interim responses that follow each other without end, each of them short.
#[test]
fn interim_heads() {
    check(
        RetryMode::Idempotent,
        Endless::fast("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
    );
}

/// Guards against interim responses without end that come slowly.
#[test]
fn slow_interim() {
    check(
        RetryMode::Idempotent,
        Endless::slow("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
    );
}

/// Guards against trailer lines without end after the last chunk.
#[test]
fn trailer_lines() {
    let begin = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    check(RetryMode::Idempotent, Endless::fast(begin, "A: b\r\n"));
}

/// Guards against trailer lines without end that come slowly.
#[test]
fn slow_trailer() {
    let begin = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    check(RetryMode::Idempotent, Endless::slow(begin, "A: b\r\n"));
}

/// Guards against chunks of a byte whose extensions are long.
#[test]
fn chunk_extensions() {
    let begin = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    let piece = format!("1;{}\r\nx\r\n", "e".repeat(1_000));
    check(RetryMode::Idempotent, Endless::fast(begin, &piece));
}

/// Guards against the body without end of a response to another request, which is skipped.
#[test]
fn other_body() {
    let begin = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    check(RetryMode::Idempotent, Endless::fast(begin, "4\r\nabcd\r\n"));
}

/// Guards against such a body that comes slowly.
#[test]
fn slow_other() {
    let begin = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    check(RetryMode::Idempotent, Endless::slow(begin, "4\r\nabcd\r\n"));
}

/// Guards against a body without length and without end that is buffered for a caller.
#[test]
fn endless_body() {
    check(
        RetryMode::Idempotent,
        Endless::fast("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\n\r\n", "abcd"),
    );
}

/// Guards against an event without end in a stream.
#[test]
fn endless_event() {
    let begin = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    check(RetryMode::ResumableStream, Endless::fast(begin, "4\r\nabcd\r\n"));
}
