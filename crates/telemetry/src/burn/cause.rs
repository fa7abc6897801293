//! Attribution of missed latency targets to causes.

use std::time::Duration;

use contract::{ClassName, CustomerId, HostId, Targets, Zone};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request missed its targets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request was queued too long before admission.
    #[display("queue")]
    Queue,
    /// The upstream took too long to the first token.
    #[display("prefill")]
    Prefill,
    /// The upstream was slow after the first token, or a plain service was.
    #[display("slow")]
    Slow,
    /// The cloud reclaimed the host of the upstream.
    #[display("reclaim")]
    Reclaim,
    /// An upstream failed without a reclaim notice.
    #[display("upstream fault")]
    UpstreamFault,
    /// The request was rejected for lack of capacity, and no attempt at an upstream had failed.
    #[display("refusal")]
    Refusal,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The response was complete.
    Completed,
    /// Rejected for lack of capacity; the request did not run.
    Refused,
    /// Rejected by the customer's own limit; this consumes no error budget.
    Limited,
    /// The response was incomplete or an error.
    Failed,
    /// The caller disconnected; this consumes no error budget.
    CallerGone,
}

/// A request that has ended, with its timings.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest<'a> {
    /// Customer that made the request.
    pub customer: &'a CustomerId,
    /// Service class of the request.
    pub class: &'a ClassName,
    /// Latency targets of the class.
    pub targets: &'a Targets,
    /// How the request ended.
    pub end: RequestEnd,
    /// Time from arrival to admission; to the end if the request was not admitted.
    pub queue_time: Duration,
    /// Time from arrival to the first token; absent for plain services.
    pub first_token: Option<Duration>,
    /// 95th percentile of the gaps between tokens; absent with fewer than two tokens.
    pub token_gap: Option<Duration>,
    /// Time from arrival to the end.
    pub total_time: Duration,
    /// Number of failed attempts at upstreams.
    pub failures: u32,
    /// Whether an attempt failed on a host that was leaving.
    pub reclaimed: bool,
    /// Host to which a miss is attributed: the first one that failed, otherwise the last one tried.
    pub host: Option<(&'a HostId, &'a Zone)>,
}

/// Returns why a request missed its targets; `None` if it met them or consumes no error budget.
#[must_use]
pub fn miss_cause(request: &EndedRequest<'_>) -> Option<Cause> {
    match request.end {
        RequestEnd::Limited | RequestEnd::CallerGone => None,
        RequestEnd::Refused => Some(failure_cause(request).unwrap_or(Cause::Refusal)),
        RequestEnd::Failed => Some(failure_cause(request).unwrap_or(Cause::UpstreamFault)),
        RequestEnd::Completed => latency_cause(request),
    }
}

fn latency_cause(request: &EndedRequest<'_>) -> Option<Cause> {
    let exceeds = |limit: Option<u64>, time: Option<Duration>| {
        limit
            .zip(time)
            .is_some_and(|(limit, time)| time > Duration::from_millis(limit))
    };
    let targets = request.targets;
    let first_token_late = exceeds(targets.first_token_ms, request.first_token);
    let gaps_late = exceeds(targets.between_tokens_ms, request.token_gap);
    let total_late = exceeds(Some(targets.whole_answer_ms), Some(request.total_time));
    if !(first_token_late || gaps_late || total_late) {
        return None;
    }
    let cause = if first_token_late {
        first_token_cause(request)
    } else {
        later_cause(request)
    };
    Some(failure_cause(request).unwrap_or(cause))
}

fn failure_cause(request: &EndedRequest<'_>) -> Option<Cause> {
    if request.reclaimed {
        Some(Cause::Reclaim)
    } else {
        (request.failures > 0).then_some(Cause::UpstreamFault)
    }
}

fn first_token_cause(request: &EndedRequest<'_>) -> Cause {
    let prefill_time = request
        .first_token
        .unwrap_or_default()
        .saturating_sub(request.queue_time);
    if request.queue_time >= prefill_time {
        Cause::Queue
    } else {
        Cause::Prefill
    }
}

fn later_cause(request: &EndedRequest<'_>) -> Cause {
    if request.queue_time * 2 >= request.total_time {
        Cause::Queue
    } else {
        Cause::Slow
    }
}
