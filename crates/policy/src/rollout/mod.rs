//! Rollouts of a version: which orders are accepted, how many requests the new version gets, and when a rollout ends.
//!
//! Until the new version has proved itself it gets a small share of the requests, so that a bad one does little harm.
//! Then it gets all of them, and the rollout succeeds once nothing runs on the old version, whose upstreams stop at that
//! moment. A rollout in doubt is rolled back: the old version is known to serve.

mod choice;
mod judge;

use std::time::Duration;

use contract::{Rollout, RolloutOrder, RolloutState, RolloutTrial};

pub use choice::{VersionChoice, choose_canaries, choose_version};
pub use judge::{Finding, Symptom, is_failing, is_suspect, judge};

/// Share of the allowed exposure that is used before the new version gets all requests. The rest covers the requests
/// that it still gets between the first bad answer at full load and the end of the rollout.
const CANARY_BUDGET: f64 = 0.6;
/// Share of the allowed extra requests that is used before the new version gets all requests.
const CANARY_EXTRA: f64 = 0.25;
/// Bounds of the new version's share before it gets all requests.
const CANARY_SHARES: (f64, f64) = (0.005, 0.3);
/// Share of the duration after which the new version may get all requests.
const SHIFT_AT: f64 = 0.6;
/// Shares of the new version from the begin of the shift on. Its caches are empty at first, so the load grows in steps.
const SHIFT_STEPS: [(Duration, f64); 3] = [
    (Duration::ZERO, 0.1),
    (Duration::from_millis(500), 0.35),
    (Duration::from_secs(1), 1.0),
];
/// Time at full load after which a rollout may succeed: outcomes reach the leader within two heartbeats.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Share of the duration before the deadline at which a rollout is decided in any case, and the bounds of that time. It
/// covers the election of a new leader.
const DECISION_MARGIN: f64 = 0.12;
const DECISION_MARGINS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(3));
/// Known outcomes of the new version without which it is not trusted.
const MIN_OUTCOMES: u64 = 30;
/// Known outcomes of the new version on each route without which it is not trusted there.
const MIN_ROUTE_OUTCOMES: u64 = 3;
/// Outcomes of the old version on a route from which on the new one must have shown itself there.
const USED_ROUTE_OUTCOMES: u64 = 100;
/// Slots of the new version for each slot of the old one without which it can't carry the whole load.
const MIN_CAPACITY: f64 = 0.8;

/// What becomes of an order of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission<'a> {
    /// It starts a rollout.
    New,
    /// It repeats the order of the known rollout, or asks for the version that the service has.
    Repeated,
    /// Another rollout of the service is running.
    Busy(&'a Rollout),
}

/// Decides on an order. A caller that got no answer sends its order again within `repeat_time`, also when the rollout
/// has ended meanwhile; a later order is a new one.
#[must_use]
pub fn admit<'a>(
    known: Option<&'a Rollout>,
    order: &RolloutOrder,
    repeat_time: Duration,
    now_ms: u64,
) -> Admission<'a> {
    let Some(known) = known else {
        return Admission::New;
    };
    let age = Duration::from_millis(now_ms.saturating_sub(known.started_ms));
    let same = known.order == *order;
    match known.state {
        RolloutState::Running if same => Admission::Repeated,
        RolloutState::Running => Admission::Busy(known),
        RolloutState::Succeeded if known.order.version == order.version => Admission::Repeated,
        RolloutState::RolledBack if same && age < repeat_time => Admission::Repeated,
        RolloutState::Succeeded | RolloutState::RolledBack => Admission::New,
    }
}

/// Requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Share of the service's requests between the order and the deadline.
    pub share: f64,
    /// Requests beyond that share.
    pub extra: f64,
}

/// Slots of a service's upstreams that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Slots of the old version.
    pub old: f64,
    /// Slots of the new version.
    pub new: f64,
}

/// What the next step of a rollout depends on.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order to the deadline.
    pub duration: Duration,
    /// What all entry hosts have seen.
    pub trial: &'a RolloutTrial,
    /// Upstreams of both versions.
    pub capacity: Capacity,
    /// When the shift to the new version began, as time since the order; `None` before it.
    pub shifted_at: Option<Duration>,
    /// Requests that a bad version may get.
    pub exposure: Exposure,
}

/// The next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The new version gets a small share of the requests.
    Canary(f64),
    /// The new version gets a growing share of the requests, and all of them at the end.
    Shift(f64),
    /// The rollout ends.
    End(RolloutState, EndReason),
}

/// Why a rollout ends.
#[derive(Clone, Debug, derive_more::Display, PartialEq)]
pub enum EndReason {
    /// The new version is bad.
    #[display("{_0}")]
    Bad(Finding),
    /// Nothing runs on the old version any more.
    #[display("the new version serves all requests")]
    Replaced,
    /// The deadline is close, and the new version serves all requests.
    #[display("the deadline is close; {_0} requests still run at the old version")]
    Due(u64),
    /// The deadline is close, and too little is known of the new version or it lacks capacity.
    #[display("the deadline is close, and the new version is not proved")]
    Doubt,
}

/// Decides on the next step of a running rollout.
#[must_use]
pub fn next_step(situation: &Situation<'_>) -> Step {
    if let Some(finding) = judge(situation.trial) {
        return Step::End(RolloutState::RolledBack, EndReason::Bad(finding));
    }
    let Situation { elapsed, duration, .. } = *situation;
    let margin = duration
        .mul_f64(DECISION_MARGIN)
        .clamp(DECISION_MARGINS.0.min(duration / 2), DECISION_MARGINS.1);
    let decide_at = duration.saturating_sub(margin);
    let trusted = is_proved(situation.trial) && !is_suspect(situation.trial) && has_capacity(situation.capacity);
    let old_running = situation.trial.old_running;
    let shift_time = situation.shifted_at.map(|at| elapsed.saturating_sub(at));
    let settled = shift_time.is_some_and(|time| time >= full_load_after() + SETTLE_TIME);
    if trusted && settled && old_running == 0 {
        return Step::End(RolloutState::Succeeded, EndReason::Replaced);
    }
    if elapsed >= decide_at {
        let (state, reason) = if trusted {
            (RolloutState::Succeeded, EndReason::Due(old_running))
        } else {
            (RolloutState::RolledBack, EndReason::Doubt)
        };
        return Step::End(state, reason);
    }
    match shift_time {
        // A bad version that passed the canary by luck would get ten times the requests until it is convicted.
        Some(_) if is_failing(situation.trial) => Step::Shift(SHIFT_STEPS[0].1),
        Some(time) => Step::Shift(shift_share(time)),
        None if trusted && elapsed >= duration.mul_f64(SHIFT_AT) => Step::Shift(shift_share(Duration::ZERO)),
        None => Step::Canary(canary_share(situation)),
    }
}

/// Returns the share of the requests that the new version gets while little is known of it: what is left of its budget,
/// spread over the time until the shift.
fn canary_share(situation: &Situation<'_>) -> f64 {
    let (old, new) = situation.trial.sent();
    let (elapsed, duration) = (situation.elapsed.as_secs_f64(), situation.duration.as_secs_f64());
    let Exposure { share, extra } = situation.exposure;
    // Before the first reports the rate is unknown, and a share of all requests is safe at any rate.
    let rate = (old + new) as f64 / elapsed.max(1.0);
    let budget = CANARY_BUDGET * share * rate * duration + CANARY_EXTRA * extra;
    let left = budget - new as f64;
    let time_left = (duration * SHIFT_AT - elapsed).max(0.1 * duration);
    let affordable = if old + new == 0 {
        CANARY_BUDGET * share
    } else {
        left / (rate * time_left).max(1.0)
    };
    affordable.clamp(CANARY_SHARES.0, CANARY_SHARES.1)
}

fn shift_share(time: Duration) -> f64 {
    let reached = SHIFT_STEPS.iter().rev().find(|(from, _)| *from <= time);
    reached.map_or(SHIFT_STEPS[0].1, |(_, share)| *share)
}

const fn full_load_after() -> Duration {
    SHIFT_STEPS[SHIFT_STEPS.len() - 1].0
}

/// Returns whether enough is known of the new version, over all and on each route that is in use.
fn is_proved(trial: &RolloutTrial) -> bool {
    let ended = |route: &contract::RouteTrial| route.new.values().map(contract::TrialCounts::ended).sum::<u64>();
    let sum: u64 = trial.routes.values().map(ended).sum();
    let shown = trial
        .routes
        .values()
        .all(|route| route.old.ended() < USED_ROUTE_OUTCOMES || ended(route) >= MIN_ROUTE_OUTCOMES);
    sum >= MIN_OUTCOMES && shown
}

fn has_capacity(capacity: Capacity) -> bool {
    capacity.new > 0.0 && capacity.new >= MIN_CAPACITY * capacity.old
}
