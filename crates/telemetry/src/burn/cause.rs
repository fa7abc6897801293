//! Why a request missed its targets.

use std::time::Duration;

use contract::{ClassName, CustomerId, HostId, Targets, Zone};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request missed its targets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It waited too long for admission.
    #[display("queue")]
    Queue,
    /// The upstream took too long until the first token.
    #[display("prefill")]
    Prefill,
    /// The upstream was slow after the first token, or a plain service was.
    #[display("slow")]
    Slow,
    /// Its host was taken away by the cloud.
    #[display("reclaim")]
    Reclaim,
    /// An upstream failed without notice.
    #[display("upstream fault")]
    UpstreamFault,
    /// It was refused for want of capacity, while no upstream had failed it.
    #[display("refusal")]
    Refusal,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With the whole answer.
    Completed,
    /// Refused for want of capacity, not run.
    Refused,
    /// Refused because the customer's limit is used up; this burns no budget.
    Limited,
    /// Without the whole answer.
    Failed,
    /// The caller went away; this burns no budget.
    CallerGone,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest<'a> {
    /// The customer.
    pub customer: &'a CustomerId,
    /// The class.
    pub class: &'a ClassName,
    /// What was promised.
    pub targets: &'a Targets,
    /// How it ended.
    pub end: RequestEnd,
    /// Until it was admitted.
    pub queued: Duration,
    /// Until the first token.
    pub first: Option<Duration>,
    /// Longest pause between tokens but for the 5 in 100 longest.
    pub between: Option<Duration>,
    /// Until its end.
    pub whole: Duration,
    /// Attempts that failed.
    pub failures: u32,
    /// Whether one of them failed on a host that was leaving.
    pub reclaimed: bool,
    /// The host to which the miss is put down: the one that failed, else the last one.
    pub host: Option<(&'a HostId, &'a Zone)>,
}

/// Tells why a request missed its targets; `None` when it met them or burns no budget.
#[must_use]
pub fn miss_cause(served: &EndedRequest<'_>) -> Option<Cause> {
    match served.end {
        RequestEnd::Limited | RequestEnd::CallerGone => None,
        RequestEnd::Refused => Some(fault(served).unwrap_or(Cause::Refusal)),
        RequestEnd::Failed => Some(fault(served).unwrap_or(Cause::UpstreamFault)),
        RequestEnd::Completed => late(served),
    }
}

fn late(served: &EndedRequest<'_>) -> Option<Cause> {
    let over = |limit: Option<u64>, got: Option<Duration>| {
        limit
            .zip(got)
            .is_some_and(|(limit, got)| got > Duration::from_millis(limit))
    };
    let targets = served.targets;
    let first = over(targets.first_token_ms, served.first);
    let between = over(targets.between_tokens_ms, served.between);
    let whole = over(Some(targets.whole_answer_ms), Some(served.whole));
    if !(first || between || whole) {
        return None;
    }
    let slow = if first {
        before_first(served)
    } else {
        after_first(served)
    };
    Some(fault(served).unwrap_or(slow))
}

fn fault(served: &EndedRequest<'_>) -> Option<Cause> {
    if served.reclaimed {
        Some(Cause::Reclaim)
    } else {
        (served.failures > 0).then_some(Cause::UpstreamFault)
    }
}

fn before_first(served: &EndedRequest<'_>) -> Cause {
    let rest = served.first.unwrap_or_default().saturating_sub(served.queued);
    if served.queued >= rest {
        Cause::Queue
    } else {
        Cause::Prefill
    }
}

fn after_first(served: &EndedRequest<'_>) -> Cause {
    if served.queued * 2 >= served.whole {
        Cause::Queue
    } else {
        Cause::Slow
    }
}
