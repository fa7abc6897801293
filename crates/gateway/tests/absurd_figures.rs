//! Figures of an upstream that no clock can count with, and other responses on which a host fails.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Host, Upstream, respond};
use contract::RetryMode;

const IDLE_SECONDS: [u64; 6] = [
    0,
    1,
    99_999_999_999,
    9_223_372_036_854_775_807,
    9_223_372_036_854_775_808,
    u64::MAX,
];

/// Guards against an idle time that overflows the clock: each request runs, and its caller's connection closes without a
/// response.
#[test]
fn idle_times() {
    let count = AtomicUsize::new(0);
    let upstream = Upstream::start(Box::new(move |request, stream| {
        let seconds = IDLE_SECONDS[count.fetch_add(1, Ordering::Relaxed) % IDLE_SECONDS.len()];
        let headers = format!("Signed: s\r\nKeep-S: {seconds}\r\n");
        respond(request, stream, "200 OK", &headers, "booked")
    }));
    let host = Host::start(RetryMode::Once, 1, &[&upstream]);
    let mut caller = host.connect();
    for at in 0..3 * IDLE_SECONDS.len() {
        caller.send("", "deposit");
        let response = caller.read_response();
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "booked"),
            "request {at}"
        );
    }
    assert_eq!(upstream.request_count(), 3 * IDLE_SECONDS.len());
}

/// Guards against a panic on a response that leaves the caller without an answer, or takes more than the request with it.
#[test]
fn failing_host() {
    let upstream = Upstream::start(Box::new(|request, stream| {
        let fatal = if request.body == b"fatal" { "Fatal: yes\r\n" } else { "" };
        respond(request, stream, "200 OK", &format!("Signed: s\r\n{fatal}"), "booked")
    }));
    let host = Host::start(RetryMode::Once, 1, &[&upstream]);
    for _ in 0..3 {
        let response = host.request("", "fatal");
        assert_eq!(response.status, 500);
        assert!(response.body.contains("may have run"), "{}", response.body);
        assert_eq!(host.request("", "deposit").status, 200);
    }
}
