//! Requests of logs, counted by the cause of what they lost.

use ctl::losses::{Cause, count};
use serde_json::{Value, json};

fn ended(at_s: u32, more: Value) -> Value {
    let mut line = json!({"ts": format!("2026-03-20T18:02:{at_s:02}.5Z"), "msg": "request ended", "route": "plan",
        "outcome": "passed", "late": true, "prompt": 9_000, "target_ms": 1_000, "first_ms": 1_500, "reading_ms": 200,
        "predicted_ms": 250, "why": "answered 200"});
    line.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    line
}

fn cause(more: Value) -> Cause {
    let losses = count(&[ended(1, more)], 5);
    assert_eq!((losses.all, losses.served), (1, 0));
    losses.lost.keys().next().expect("one is lost").0
}

/// Operators see that a tenth of the answers is late, and must know whether more engines, better predictions or other prompts
/// would help.
#[test]
fn late_by_cause() {
    assert_eq!(cause(json!({})), Cause::Unknown);
    assert_eq!(
        cause(json!({"reading_ms": 1_200, "predicted_ms": 1_300})),
        Cause::OwnPrompt
    );
    assert_eq!(cause(json!({"predicted_ms": 1_400})), Cause::Known);
    assert_eq!(cause(json!({"first_ms": 300, "pause_ms": 900})), Cause::Paused);
    assert_eq!(cause(json!({"prompt": null})), Cause::Slow);
}

#[test]
fn ends_by_cause() {
    assert_eq!(
        cause(json!({"outcome": "broken", "why": "stream broke off: unknown: silent"})),
        Cause::Broken
    );
    assert_eq!(
        cause(json!({"outcome": "broken", "why": "the time is over"})),
        Cause::TimeOver
    );
    assert_eq!(
        cause(json!({"outcome": "failed", "why": "answered 500"})),
        Cause::Failed
    );
    assert_eq!(
        cause(json!({"outcome": "refused", "why": "502 may have run: read"})),
        Cause::Failed
    );
    assert_eq!(
        cause(json!({"msg": "request refused", "why": "the account's quota is used up"})),
        Cause::Quota
    );
    assert_eq!(
        cause(json!({"outcome": "refused", "why": "503 not run: every upstream is full"})),
        Cause::Refused
    );
}

/// A burst loses a hundred answers in two seconds of an hour; the rows of time show when.
#[test]
fn rows_of_time() {
    let lines = [
        ended(1, json!({"late": false})),
        ended(12, json!({})),
        ended(13, json!({})),
    ];
    let losses = count(&lines, 5);
    assert_eq!((losses.all, losses.served), (3, 1));
    let rows: Vec<_> = losses
        .by_time
        .iter()
        .map(|(row, causes)| (*row, causes[&Cause::Unknown]))
        .collect();
    assert_eq!(rows, [(10, 2)]);
}
