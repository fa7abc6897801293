//! `gentianctl trace`: from the id of a request to the cause of its end, with logs alone.

use ctl::trace::trace;
use serde_json::{Value, json};

fn line(at_s: u32, node: &str, msg: &str, fields: Value) -> Value {
    let mut line = json!({"ts": format!("2026-03-20T18:02:{at_s:02}.5Z"), "node": node, "msg": msg, "level": "INFO"});
    line.as_object_mut()
        .unwrap()
        .extend(fields.as_object().unwrap().clone());
    line
}

fn cause(id: &str, lines: &[Value]) -> String {
    trace(id, lines).unwrap().cause
}

/// An engine is reclaimed in the middle of a stream. The request's own line only says that the connection was closed;
/// the cause is in a line of the same entry host, two seconds before.
#[test]
fn reclaimed_engine() {
    let lines = [
        line(10, "e1", "upstreams leave", json!({"upstreams": "i-1,i-2"})),
        line(10, "e2", "upstreams leave", json!({"upstreams": "i-2"})),
        line(
            12,
            "e1",
            "request ended",
            json!({"request": "q", "upstream": "i-2", "outcome": "broken",
            "why": "stream broke off: unknown: closed within the answer"}),
        ),
    ];
    let found = trace("q", &lines).unwrap();
    assert_eq!(found.lines.len(), 2, "lines of other hosts are left out");
    assert!(found.cause.contains("taken away"), "{}", found.cause);
}

/// A reclaim is faster than the list of upstreams: the stream ends first, and its entry host learns the cause a second
/// later.
#[test]
fn late_reclaim() {
    let lines = [
        line(
            12,
            "e1",
            "request ended",
            json!({"request": "q", "upstream": "i-2", "outcome": "broken",
            "why": "stream broke off: unknown: closed within the answer"}),
        ),
        line(13, "e1", "upstreams leave", json!({"upstreams": "i-1,i-2"})),
    ];
    let cause_text = cause("q", &lines);
    assert!(cause_text.contains("taken away"), "{cause_text}");
    let much_later = line(25, "e1", "upstreams leave", json!({"upstreams": "i-2"}));
    let cause_text = cause("q", &[lines[0].clone(), much_later]);
    assert!(cause_text.contains("upstream failed"), "{cause_text}");
}

/// A long answer is not complete at its deadline. Its first event was late as well, but that must not be named as the
/// cause.
#[test]
fn out_of_time() {
    let ended = line(
        12,
        "e1",
        "request ended",
        json!({"request": "q", "upstream": "i-2", "outcome": "broken", "late": true, "first_ms": 2_031, "took_ms": 2_693,
        "why": "the time is over"}),
    );
    let cause_text = cause("q", &[ended]);
    assert!(
        cause_text.contains("2031 ms") && cause_text.contains("not whole in its time"),
        "{cause_text}"
    );
}

/// A refusal by quota has three causes: the account's use, a host that was cut off from the leader, and one that has
/// just started. The operator must learn which.
#[test]
fn quota_causes() {
    let refused = line(
        20,
        "e1",
        "request refused",
        json!({"request": "q", "why": "not run: over the account's quota"}),
    );
    assert_eq!(
        cause("q", std::slice::from_ref(&refused)),
        "the account used up its quota"
    );
    let cut = line(
        15,
        "e1",
        "no parts of limits are told",
        json!({"peer": "10.0.0.1:7600"}),
    );
    assert!(cause("q", &[cut, refused.clone()]).contains("cut off"));
    let started = line(18, "e1", "serving", json!({}));
    assert!(cause("q", &[started, refused]).contains("start"));
}

/// A failure of an upstream and a late answer are confused, though they call for different actions.
#[test]
fn failed_and_late() {
    let attempt = line(
        1,
        "e1",
        "attempt failed",
        json!({"request": "q", "upstream": "i-1", "fate": "unknown: silent"}),
    );
    let ended = line(
        2,
        "e1",
        "request ended",
        json!({"request": "q", "why": "may have run: silent"}),
    );
    assert!(cause("q", &[attempt, ended]).contains("upstream failed"));
    let late = line(
        2,
        "e1",
        "request ended",
        json!({"request": "r", "why": "answered 200", "late": true, "load": 9.0,
        "predicted_ms": 30}),
    );
    assert!(cause("r", &[late]).contains("9.0 requests"));
}

/// A mistyped id must not be explained by unrelated lines.
#[test]
fn unknown_id() {
    assert_eq!(trace("nobody", &[line(1, "e1", "serving", json!({}))]), None);
}

/// A request waits at its entry host while upstreams are full, and is late for that alone. The operator looks for the cause
/// at the upstream unless the trace names the queue.
#[test]
fn late_by_wait() {
    let ended = |waited_ms: u32| {
        json!({"request": "q", "outcome": "passed", "why": "answered 200", "late": true, "first_ms": 1_480,
            "target_ms": 500, "waited_ms": waited_ms, "wait_predicted_ms": 820, "load": 4.0, "predicted_ms": 40})
    };
    let waits = line(10, "e1", "request waits", json!({"request": "q", "place": 41}));
    let lines = [waits.clone(), line(12, "e1", "request ended", ended(1_130))];
    let found = trace("q", &lines).unwrap();
    assert_eq!(found.lines.len(), 2, "the wait is shown");
    assert!(
        found.cause.contains("waited 1130 ms at the entry host"),
        "{}",
        found.cause
    );
    let lines = [waits, line(12, "e1", "request ended", ended(300))];
    assert!(
        cause("q", &lines).contains("at the upstream"),
        "its wait alone was no reason"
    );
}
