//! Refusals and failures as problem bodies (RFC 9457).

use std::time::Duration;

use derive_more::Display;
use policy::Tick;
use serde_json::json;
use telemetry::burn::{RequestEnd, RequestMeter};

use super::http::{Broken, Reply};
use crate::admission::Refusal;

/// Header that tells whether a refused request was run.
const OUTCOME_HEADER: &str = "Gentian-Outcome";

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Run {
    /// It truly was not run.
    #[display("not-run")]
    Not,
    /// It may have run.
    #[display("unknown")]
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
    allow: Option<&'static str>,
}

impl Problem {
    fn new(status: u16, kind: &'static str, detail: impl ToString) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_string(),
            run: Run::Not,
            retry_after: None,
            allow: None,
        }
    }

    /// Tells what it is for the burn report; what is wrong with the request itself counts for nothing.
    pub(super) const fn burns(&self) -> Option<RequestEnd> {
        match self.status {
            429 => Some(RequestEnd::Limited),
            503 => Some(RequestEnd::Refused),
            500.. => Some(RequestEnd::Failed),
            _ => None,
        }
    }

    fn unknown(self) -> Self {
        Self {
            run: Run::Unknown,
            ..self
        }
    }

    fn after(self, wait: Duration) -> Self {
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

    pub(super) fn method(allowed: &'static str) -> Self {
        let problem = Self::new(405, "method", format!("this path takes {allowed} only"));
        Self {
            allow: Some(allowed),
            ..problem
        }
    }

    pub(super) fn too_slow(detail: impl ToString) -> Self {
        Self::new(408, "too-slow", detail).after(Duration::from_secs(1))
    }

    pub(super) fn too_large(detail: impl ToString) -> Self {
        Self::new(413, "too-large", detail)
    }

    pub(super) fn key_reused() -> Self {
        let detail = "the idempotency key was used before with another request";
        Self::new(422, "key-reused", detail)
    }

    pub(super) fn long_head(detail: impl ToString) -> Self {
        Self::new(431, "long-head", detail)
    }

    pub(super) fn overloaded(wait: Duration) -> Self {
        let detail = "the request could not be on time and was not run";
        Self::new(503, "overloaded", detail).after(wait)
    }

    pub(super) fn leaving() -> Self {
        let detail = "this entry host is leaving and takes nothing new; another one does";
        Self::new(503, "leaving", detail).after(Duration::from_secs(1))
    }

    pub(super) fn no_quorum() -> Self {
        let detail = "calls that must run at most once can't be claimed now";
        Self::new(503, "no-quorum", detail).after(Duration::from_secs(2))
    }

    pub(super) fn under_way() -> Self {
        let detail = "an earlier request under the key has not ended yet";
        Self::new(409, "under-way", detail)
            .unknown()
            .after(Duration::from_secs(1))
    }

    pub(super) fn unknown_outcome(detail: impl ToString) -> Self {
        Self::new(504, "unknown-outcome", detail).unknown()
    }

    pub(super) fn broken(detail: impl ToString) -> Self {
        Self::new(502, "upstream-failed", detail)
            .unknown()
            .after(Duration::from_secs(1))
    }

    /// Gives the body.
    pub(super) fn body(&self) -> serde_json::Value {
        json!({"type": format!("/problems/{}", self.kind), "title": self.kind, "status": self.status,
            "detail": self.detail, "outcome": self.run.to_string()})
    }

    /// Gives the answer that carries it.
    pub(super) fn reply(&self) -> Reply {
        let body = self.body().to_string().into_bytes();
        let mut reply =
            Reply::new(self.status, "application/problem+json", body).with(OUTCOME_HEADER, self.run.to_string());
        if let Some(wait) = self.retry_after {
            reply = reply.with("Retry-After", wait.as_secs_f64().ceil().max(1.0).to_string());
        }
        if self.status == 401 {
            reply = reply.with("WWW-Authenticate", "Bearer");
        }
        match self.allow {
            Some(allowed) => reply.with("Allow", allowed),
            None => reply,
        }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        if refusal.limited {
            let detail = "the customer's limit is used up and the request was not run";
            return Self::new(429, "limit", detail).after(refusal.retry_after);
        }
        Self::overloaded(refusal.retry_after)
    }
}

/// Counts a refusal for the burn report and gives it back.
pub(super) fn counted(problem: Problem, meter: &RequestMeter<'_>, now: Tick) -> Problem {
    if let Some(end) = problem.burns() {
        meter.finish(end, now);
    }
    problem
}

/// Gives the refusal of a request that did not come whole, if anybody is left to read it.
pub(super) fn of_broken(broken: &Broken) -> Option<Problem> {
    match broken {
        Broken::Ended => None,
        Broken::Slow(_) => Some(Problem::too_slow(broken)),
        Broken::LongHead => Some(Problem::long_head(broken)),
        Broken::LongBody => Some(Problem::too_large(broken)),
        Broken::Head(head) if *head == super::http::BadHead::TooMany => Some(Problem::long_head(head)),
        Broken::Head(head) => Some(Problem::bad_request(head)),
        Broken::Body(_) => Some(Problem::bad_request(broken)),
    }
}
