//! Responses to changes, and error responses.

use rouille::Response;
use serde_json::json;
use wire::state::{Proposed, Unavailable};

/// Value of `Retry-After` in seconds; an election takes about one second.
const RETRY_AFTER: &str = "1";

pub(super) fn proposed(answer: &Proposed) -> Response {
    match answer {
        Proposed::Accepted(revision) => Response::json(&json!({"revision": revision})),
        Proposed::Conflict(revision) => problem(409, &format!("another change came first, at revision {revision}")),
        Proposed::Invalid(problems) => problem(422, problems),
        Proposed::Unavailable(why) => unavailable(why),
    }
}

pub(super) fn unavailable(why: &Unavailable) -> Response {
    let leader = match why {
        Unavailable::NotLeader { leader } => *leader,
        _ => None,
    };
    let written = matches!(why, Unavailable::Undecided { .. });
    let body = json!({
        "title": "unavailable",
        "status": 503,
        "detail": why.to_string(),
        "leader": leader,
        "may_be_written": written,
    });
    Response::json(&body)
        .with_status_code(503)
        .with_unique_header("Content-Type", "application/problem+json")
        .with_unique_header("Retry-After", RETRY_AFTER)
}

pub(super) fn problem(status: u16, detail: &str) -> Response {
    let body = json!({"title": "refused", "status": status, "detail": detail});
    let answer = Response::json(&body)
        .with_status_code(status)
        .with_unique_header("Content-Type", "application/problem+json");
    if status == 503 {
        answer.with_unique_header("Retry-After", RETRY_AFTER)
    } else {
        answer
    }
}
