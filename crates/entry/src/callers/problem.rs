//! Refusals and failures as problem bodies (RFC 9457).

use std::time::Duration;

use serde_json::json;
use tiny_http::{Header, Request, Response, StatusCode};

use crate::admission::Refusal;

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Run {
    /// It truly was not run.
    Not,
    /// It may have run.
    Unknown,
}

/// A refusal or failure as the caller sees it.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    status: u16,
    kind: &'static str,
    detail: String,
    run: Run,
    retry_after: Option<Duration>,
}

impl Problem {
    fn new(status: u16, kind: &'static str, detail: impl ToString) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_string(),
            run: Run::Not,
            retry_after: None,
        }
    }

    pub(super) fn bad_request(detail: impl ToString) -> Self {
        Self::new(400, "bad-request", detail)
    }

    pub(super) fn unauthorized() -> Self {
        Self::new(
            401,
            "unauthorized",
            "a valid bearer key is needed in the Authorization header",
        )
    }

    pub(super) fn not_found(detail: impl ToString) -> Self {
        Self::new(404, "not-found", detail)
    }

    pub(super) fn too_large(most: u64) -> Self {
        Self::new(413, "too-large", format!("the body is longer than {most} bytes"))
    }

    pub(super) fn key_reused() -> Self {
        Self::new(
            422,
            "key-reused",
            "the idempotency key was used before with another request",
        )
    }

    pub(super) fn overloaded(retry_after: Duration) -> Self {
        let problem = Self::new(503, "overloaded", "the request could not be on time and was not run");
        Self {
            retry_after: Some(retry_after),
            ..problem
        }
    }

    pub(super) fn no_quorum() -> Self {
        let problem = Self::new(
            503,
            "no-quorum",
            "calls that must run at most once can't be claimed now",
        );
        Self {
            retry_after: Some(Duration::from_secs(2)),
            ..problem
        }
    }

    pub(super) fn under_way() -> Self {
        let problem = Self::new(409, "under-way", "an earlier request under the key has not ended yet");
        Self {
            retry_after: Some(Duration::from_secs(1)),
            run: Run::Unknown,
            ..problem
        }
    }

    pub(super) fn unknown_outcome(detail: impl ToString) -> Self {
        Self {
            run: Run::Unknown,
            ..Self::new(504, "unknown-outcome", detail)
        }
    }

    pub(super) fn broken(detail: impl ToString) -> Self {
        Self {
            run: Run::Unknown,
            ..Self::new(502, "upstream-failed", detail)
        }
    }

    /// Gives the body.
    pub(super) fn body(&self) -> serde_json::Value {
        let run = if self.run == Run::Not { "not-run" } else { "unknown" };
        json!({"type": format!("/problems/{}", self.kind), "title": self.kind, "status": self.status,
            "detail": self.detail, "outcome": run})
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        if refusal.limited {
            let problem = Self::new(
                429,
                "limit",
                "the customer's limit is used up and the request was not run",
            );
            return Self {
                retry_after: Some(refusal.retry_after),
                ..problem
            };
        }
        Self::overloaded(refusal.retry_after)
    }
}

/// Sends a problem.
pub(super) fn respond(request: Request, problem: &Problem) {
    let header = |name: &str, value: &str| Header::from_bytes(name, value).expect("header text is plain");
    let mut response = Response::from_string(problem.body().to_string())
        .with_status_code(StatusCode(problem.status))
        .with_header(header("Content-Type", "application/problem+json"));
    if problem.run == Run::Not {
        response.add_header(header("Gentian-Outcome", "not-run"));
    }
    if let Some(after) = problem.retry_after {
        response.add_header(header("Retry-After", &after.as_secs_f64().ceil().max(1.0).to_string()));
    }
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}
