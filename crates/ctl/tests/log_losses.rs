//! `gentianctl losses`: requests in logs, counted by the cause of their loss.

use ctl::losses::{Cause, count_losses};
use serde_json::{Value, json};

/// Creates a log line of a late request, with some fields replaced.
fn ended(at_s: u32, fields: Value) -> Value {
    let mut line = json!({"ts": format!("2026-03-20T18:02:{at_s:02}.5Z"), "msg": "request ended", "route": "plan",
        "outcome": "passed", "late": true, "prompt": 9_000, "target_ms": 1_000, "first_ms": 1_500, "reading_ms": 200,
        "predicted_ms": 250, "why": "answered 200"});
    line.as_object_mut()
        .unwrap()
        .extend(fields.as_object().unwrap().clone());
    line
}

/// Returns the cause for one log line, which must count as lost.
fn cause(fields: Value) -> Cause {
    let losses = count_losses(&[ended(1, fields)], 5);
    assert_eq!((losses.total, losses.in_time), (1, 0));
    losses.lost.keys().next().expect("one is lost").0
}

/// Late answers are counted under the wrong cause, and the operator can't tell whether more engines, better predictions
/// or other prompts would help.
#[test]
fn late_by_cause() {
    assert_eq!(cause(json!({})), Cause::Unpredicted);
    assert_eq!(
        cause(json!({"reading_ms": 1_200, "predicted_ms": 1_300})),
        Cause::LongPrompt
    );
    assert_eq!(cause(json!({"predicted_ms": 1_400})), Cause::PredictedLate);
    assert_eq!(cause(json!({"first_ms": 300, "pause_ms": 900})), Cause::Paused);
    assert_eq!(cause(json!({"prompt": null})), Cause::SlowCall);
    assert_eq!(cause(json!({"waited_ms": 900})), Cause::Waited);
    assert_eq!(cause(json!({"waited_ms": 900, "prompt": null})), Cause::Waited);
    assert_eq!(
        cause(json!({"waited_ms": 300})),
        Cause::Unpredicted,
        "it would have been late without its wait"
    );
    assert_eq!(
        cause(json!({"waited_ms": 300, "first_ms": 800, "pause_ms": 900})),
        Cause::Paused
    );
}

/// Failed, interrupted and refused requests are counted under the wrong cause.
#[test]
fn ends_by_cause() {
    assert_eq!(
        cause(json!({"outcome": "broken", "why": "stream broke off: unknown: silent"})),
        Cause::StreamBroken
    );
    assert_eq!(
        cause(json!({"outcome": "broken", "why": "the time is over"})),
        Cause::DeadlinePassed
    );
    assert_eq!(
        cause(json!({"outcome": "failed", "why": "answered 500"})),
        Cause::UpstreamFailed
    );
    assert_eq!(
        cause(json!({"outcome": "refused", "why": "502 may have run: read"})),
        Cause::UpstreamFailed
    );
    assert_eq!(
        cause(json!({"msg": "request refused", "why": "the account's quota is used up"})),
        Cause::QuotaExceeded
    );
    assert_eq!(
        cause(json!({"outcome": "refused", "why": "503 not run: every upstream is full"})),
        Cause::Refused
    );
}

/// Requests that an entry host refuses while upstreams are full are counted under the wrong cause, and the operator can't
/// tell a bound that is too small from a lack of upstreams.
#[test]
fn queue_by_cause() {
    let refused = |why: &str| cause(json!({"outcome": "refused", "why": format!("503 not run: {why}")}));
    assert_eq!(refused("the queue for upstreams is full"), Cause::QueueFull);
    assert_eq!(refused("dropped from the full queue for upstreams"), Cause::QueueFull);
    assert_eq!(refused("it would start too late"), Cause::TooLate);
    assert_eq!(refused("no upstream had room in time"), Cause::TooLate);
    assert_eq!(refused("its first event would come too late"), Cause::TooLate);
    assert_eq!(refused("the host stops"), Cause::Refused);
}

/// A short burst of losses in a long log can't be located. The rows of time must show when it happened.
#[test]
fn time_rows() {
    let lines = [
        ended(1, json!({"late": false})),
        ended(12, json!({})),
        ended(13, json!({})),
    ];
    let losses = count_losses(&lines, 5);
    assert_eq!((losses.total, losses.in_time), (3, 1));
    let rows: Vec<_> = losses
        .by_time
        .iter()
        .map(|(row, causes)| (*row, causes[&Cause::Unpredicted]))
        .collect();
    assert_eq!(rows, [(10, 2)]);
}
