//! Error responses as problem details (RFC 9457).

use std::time::Duration;

use derive_more::Display;
use policy::Tick;
use serde_json::json;
use telemetry::burn::{RequestEnd, RequestMeter};

use super::http::{ReadError, Reply};
use crate::admission::Refusal;

/// Retry delay for a caller that found no room; a connection that has stalled may be closed for another one by then.
pub(super) const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Response header that says whether a refused request was run.
const OUTCOME_HEADER: &str = "Gentian-Outcome";

/// Whether a refused or failed request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Execution {
    /// It certainly was not run.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// An error response.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    status: u16,
    kind: &'static str,
    detail: String,
    execution: Execution,
    retry_after: Option<Duration>,
    allow: Option<&'static str>,
}

impl Problem {
    fn new(status: u16, kind: &'static str, detail: impl ToString) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_string(),
            execution: Execution::NotRun,
            retry_after: None,
            allow: None,
        }
    }

    /// Returns how the burn report counts the error; errors of the caller itself are not counted.
    pub(super) const fn counted_end(&self) -> Option<RequestEnd> {
        match self.status {
            429 => Some(RequestEnd::Limited),
            503 => Some(RequestEnd::Refused),
            500.. => Some(RequestEnd::Failed),
            _ => None,
        }
    }

    fn possibly_run(self) -> Self {
        Self {
            execution: Execution::Unknown,
            ..self
        }
    }

    fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    pub(super) fn bad_request(detail: impl ToString) -> Self {
        Self::new(400, "bad-request", detail)
    }

    pub(super) fn unauthorized() -> Self {
        let detail = "a valid bearer key is needed in the Authorization header";
        Self::new(401, "unauthorized", detail)
    }

    pub(super) fn not_found(detail: impl ToString) -> Self {
        Self::new(404, "not-found", detail)
    }

    pub(super) fn method_not_allowed(allowed: &'static str) -> Self {
        let problem = Self::new(405, "method", format!("this path takes {allowed} only"));
        Self {
            allow: Some(allowed),
            ..problem
        }
    }

    pub(super) fn too_slow(detail: impl ToString) -> Self {
        Self::new(408, "too-slow", detail).retry_after(Duration::from_secs(1))
    }

    pub(super) fn too_large(detail: impl ToString) -> Self {
        Self::new(413, "too-large", detail)
    }

    pub(super) fn key_reused() -> Self {
        let detail = "the idempotency key was used before with another request";
        Self::new(422, "key-reused", detail)
    }

    pub(super) fn head_too_long(detail: impl ToString) -> Self {
        Self::new(431, "long-head", detail)
    }

    pub(super) fn overloaded(wait: Duration) -> Self {
        let detail = "the request could not be on time and was not run";
        Self::new(503, "overloaded", detail).retry_after(wait)
    }

    pub(super) fn leaving() -> Self {
        let detail = "this entry host is leaving and takes nothing new; another one does";
        Self::new(503, "leaving", detail).retry_after(Duration::from_secs(1))
    }

    pub(super) fn no_quorum() -> Self {
        let detail = "calls that must run at most once can't be claimed now";
        Self::new(503, "no-quorum", detail).retry_after(Duration::from_secs(2))
    }

    pub(super) fn still_running() -> Self {
        let detail = "an earlier request under the key has not ended yet";
        Self::new(409, "under-way", detail)
            .possibly_run()
            .retry_after(Duration::from_secs(1))
    }

    pub(super) fn unknown_outcome(detail: impl ToString) -> Self {
        Self::new(504, "unknown-outcome", detail).possibly_run()
    }

    pub(super) fn upstream_failed(detail: impl ToString) -> Self {
        Self::new(502, "upstream-failed", detail)
            .possibly_run()
            .retry_after(Duration::from_secs(1))
    }

    /// Returns the problem details object.
    pub(super) fn body(&self) -> serde_json::Value {
        json!({"type": format!("/problems/{}", self.kind), "title": self.kind, "status": self.status,
            "detail": self.detail, "outcome": self.execution.to_string()})
    }

    /// Returns the HTTP response.
    pub(super) fn reply(&self) -> Reply {
        let body = self.body().to_string().into_bytes();
        let mut reply = Reply::new(self.status, "application/problem+json", body)
            .with_header(OUTCOME_HEADER, self.execution.to_string());
        if let Some(wait) = self.retry_after {
            reply = reply.with_header("Retry-After", wait.as_secs_f64().ceil().max(1.0).to_string());
        }
        if self.status == 401 {
            reply = reply.with_header("WWW-Authenticate", "Bearer");
        }
        match self.allow {
            Some(allowed) => reply.with_header("Allow", allowed),
            None => reply,
        }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        if refusal.limited {
            let detail = "the customer's limit is used up and the request was not run";
            return Self::new(429, "limit", detail).retry_after(refusal.retry_after);
        }
        Self::overloaded(refusal.retry_after)
    }
}

/// Counts an error in the burn report and returns it.
pub(super) fn count_problem(problem: Problem, meter: &RequestMeter<'_>, now: Tick) -> Problem {
    if let Some(end) = problem.counted_end() {
        meter.finish(end, now);
    }
    problem
}

/// Returns the response to a request that could not be read completely; `None` if the caller is gone.
pub(super) fn from_read_error(error: &ReadError) -> Option<Problem> {
    match error {
        ReadError::Closed => None,
        ReadError::TimedOut(_) => Some(Problem::too_slow(error)),
        ReadError::LongHead => Some(Problem::head_too_long(error)),
        ReadError::LongBody => Some(Problem::too_large(error)),
        ReadError::Head(head) if *head == super::http::InvalidHead::TooManyHeaders => {
            Some(Problem::head_too_long(head))
        }
        ReadError::Head(head) => Some(Problem::bad_request(head)),
        ReadError::Body(_) => Some(Problem::bad_request(error)),
        ReadError::Full(_) => Some(Problem::overloaded(FULL_RETRY_AFTER)),
    }
}
