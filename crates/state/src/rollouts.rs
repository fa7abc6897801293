//! Rollouts of a version: what entry hosts report of them, and the thread that drives them while its node leads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::{ListedUpstream, NodeId, Rollout, RolloutState, RolloutTrial, ServiceName};
use crossbeam_channel::Sender;
use metrics::{counter, gauge};
use policy::Tick;
use policy::rollout::{Capacity, EndReason, Exposure, Situation, Step, next_step};
use slog::{Logger, info, warn};
use telemetry::Clock;
use telemetry::panics;
use tokio::sync::oneshot;
use wire::rollout::{RolloutCall, RolloutPlan, RolloutReply};

use crate::applied::{Command, Reply};
use crate::core::{KnownRollouts, StateRequest};
use crate::registry::EntryRegistry;

/// Interval between two steps while a rollout runs.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two looks for rollouts while none runs.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which requests in flight at an entry host no longer count: it is stopped or cut off.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Age of the upstream list up to which capacity is judged by it.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Time for which entry hosts hear of a rollout that has ended: the upstreams of the version that lost stay listed.
const ENDED_TIME: Duration = Duration::from_mins(1);

/// The newest report of each process, with its time. A restarted host counts from zero, and what it counted before still
/// holds.
type Reports = BTreeMap<(NodeId, u64), (Tick, RolloutTrial)>;

/// What entry hosts reported of rollouts, by service.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    reports: BTreeMap<String, Reports>,
}

impl Trials {
    /// Records the trials that a process reports.
    pub(crate) fn record(&mut self, from: &NodeId, run: u64, trials: BTreeMap<String, RolloutTrial>, now: Tick) {
        for (service, trial) in trials {
            let reports = self.reports.entry(service).or_default();
            reports.retain(|_, (_, known)| known.id >= trial.id);
            let newest = reports.values().map(|(_, known)| known.id).max();
            if newest.is_none_or(|newest| newest <= trial.id) {
                reports.insert((from.clone(), run), (now, trial));
            }
        }
    }

    /// Adds up what all entry hosts have seen of a rollout.
    pub(crate) fn sum(&self, service: &ServiceName, id: u64, now: Tick) -> RolloutTrial {
        let mut sum = RolloutTrial {
            id,
            ..RolloutTrial::default()
        };
        let reports = self
            .reports
            .get(service.as_str())
            .into_iter()
            .flat_map(BTreeMap::values);
        for (at, trial) in reports.filter(|(_, trial)| trial.id == id) {
            let running = sum.old_running;
            sum.merge(trial);
            if now.since(*at) > MAX_REPORT_AGE {
                sum.old_running = running;
            }
        }
        sum
    }

    /// Drops the reports of all rollouts but those that run.
    pub(crate) fn retain(&mut self, running: &[Rollout]) {
        self.reports
            .retain(|service, _| running.iter().any(|rollout| rollout.order.service.as_str() == service));
    }
}

/// Drives rollouts while its node leads.
#[derive(Debug)]
pub struct RolloutDriver {
    /// Requests to the thread that owns the state.
    pub requests: Sender<StateRequest>,
    /// Receives the plans, and holds what entry hosts report.
    pub registry: Arc<EntryRegistry>,
    /// Clock of the node.
    pub clock: Clock,
    /// Requests that a bad version may get.
    pub exposure: Exposure,
    /// Logger of the node.
    pub logger: Logger,
}

/// What the driver remembers of a running rollout.
#[derive(Debug, Default)]
struct Progress {
    /// Id of the rollout.
    id: u64,
    /// Share of the new version that was logged last.
    share: f64,
    /// When the shift to the new version began, as time since the order.
    shifted_at: Option<Duration>,
}

impl RolloutDriver {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(self) -> std::io::Result<()> {
        let logger = self.logger.clone();
        let work = move || {
            let mut progress = BTreeMap::new();
            loop {
                let running = self.step(&mut progress);
                thread::sleep(if running { STEP_INTERVAL } else { IDLE_INTERVAL });
            }
        };
        panics::spawn_restarting("rollouts", &logger, work)
    }

    /// Takes the next step of each rollout; returns whether one runs.
    fn step(&self, progress: &mut BTreeMap<ServiceName, Progress>) -> bool {
        let known: Option<KnownRollouts> = self.ask(StateRequest::Rollouts).flatten();
        let Some(known) = known else {
            progress.clear();
            return false;
        };
        let mut plans = Vec::new();
        let mut running = known.rollouts.clone();
        running.retain(|rollout| rollout.state == RolloutState::Running);
        progress.retain(|service, _| running.iter().any(|rollout| rollout.order.service == *service));
        for rollout in &known.rollouts {
            let ended_for = rollout
                .ended_ms
                .map(|at| Duration::from_millis(known.now_ms.saturating_sub(at)));
            if ended_for.is_some_and(|time| time > ENDED_TIME) {
                continue;
            }
            let (state, share) = match rollout.state {
                RolloutState::Running => self.drive(rollout, known.now_ms, progress),
                RolloutState::Succeeded => (RolloutState::Succeeded, 1.0),
                RolloutState::RolledBack => (RolloutState::RolledBack, 0.0),
            };
            plans.push(RolloutPlan {
                service: rollout.order.service.clone(),
                version: rollout.order.version.clone(),
                id: rollout.id,
                state,
                share,
            });
        }
        self.registry.set_rollouts(known.term, plans, &running);
        !running.is_empty()
    }

    /// Takes the next step of a running rollout; returns its state and the share of the new version.
    fn drive(
        &self,
        rollout: &Rollout,
        now_ms: u64,
        progress: &mut BTreeMap<ServiceName, Progress>,
    ) -> (RolloutState, f64) {
        let service = &rollout.order.service;
        let now = self.clock.now();
        let trial = self.registry.trial(service, rollout.id, now);
        let list = self.registry.list(now, MAX_LIST_AGE).unwrap_or_default();
        let capacity = capacity_of(&list, service, &rollout.order.version);
        let known = progress.entry(service.clone()).or_default();
        if known.id != rollout.id {
            *known = Progress {
                id: rollout.id,
                ..Progress::default()
            };
        }
        let elapsed = Duration::from_millis(now_ms.saturating_sub(rollout.started_ms));
        let situation = Situation {
            elapsed,
            duration: Duration::from_millis(rollout.order.duration_ms),
            trial: &trial,
            capacity,
            shifted_at: known.shifted_at,
            exposure: self.exposure,
        };
        let step = next_step(&situation);
        let share = match step {
            Step::Canary(share) => share,
            Step::Shift(share) => {
                known.shifted_at.get_or_insert(elapsed);
                share
            }
            Step::End(state, reason) => {
                if let Some(stored) = self.end(rollout, state, &reason, &situation) {
                    return (stored, f64::from(u8::from(stored == RolloutState::Succeeded)));
                }
                // Another leader may decide otherwise, but nothing more is sent to a version that this one found bad.
                let halted = state == RolloutState::RolledBack;
                if halted { 0.0 } else { known.share }
            }
        };
        self.report_share(rollout, known, share, &situation);
        (RolloutState::Running, share)
    }

    /// Stores the end of a rollout; returns the state that is committed, on which hosts may act, if any is.
    fn end(
        &self,
        rollout: &Rollout,
        state: RolloutState,
        reason: &EndReason,
        situation: &Situation<'_>,
    ) -> Option<RolloutState> {
        let service = &rollout.order.service;
        if state == RolloutState::RolledBack {
            // Storing the end takes time on a slow disk.
            self.registry.halt_rollout(service);
        }
        let command = Command::Rollout(RolloutCall::End {
            service: service.clone(),
            id: rollout.id,
            state,
        });
        let reply = self.ask(|reply| StateRequest::Command(Box::new(command), reply));
        let Some(Ok(Reply::RolloutReply(RolloutReply::Known(Some(ended))))) = reply else {
            warn!(self.logger, "end of a rollout not stored"; "service" => %service,
                "rollout" => rollout.id, "state" => %state, "why" => %reason);
            return None;
        };
        let (old, new) = situation.trial.sent();
        counter!("gentian_state_rollouts_ended_total", "state" => ended.state.to_string()).increment(1);
        info!(self.logger, "rollout ended"; "service" => %service, "version" => &rollout.order.version,
            "rollout" => rollout.id, "state" => %ended.state, "why" => %reason,
            "elapsed_ms" => situation.elapsed.as_millis() as u64, "old" => old, "new" => new);
        Some(ended.state)
    }

    fn report_share(&self, rollout: &Rollout, known: &mut Progress, share: f64, situation: &Situation<'_>) {
        gauge!("gentian_state_rollout_requests_share", "service" => rollout.order.service.to_string()).set(share);
        // Most steps change the share by next to nothing.
        if (share - known.share).abs() < 0.25 * known.share.max(0.01) {
            return;
        }
        known.share = share;
        let (old, new) = situation.trial.sent();
        info!(self.logger, "rollout step"; "service" => %rollout.order.service, "version" => &rollout.order.version,
            "rollout" => rollout.id, "share" => share, "elapsed_ms" => situation.elapsed.as_millis() as u64,
            "old" => old, "new" => new, "old_running" => situation.trial.old_running,
            "old_slots" => situation.capacity.old, "new_slots" => situation.capacity.new);
    }

    /// Sends a request to the thread that owns the state and waits for the answer.
    fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> StateRequest) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(ask(reply)).ok()?;
        answer.blocking_recv().ok()
    }
}

fn capacity_of(list: &[ListedUpstream], service: &ServiceName, version: &str) -> Capacity {
    let ready = list
        .iter()
        .filter(|upstream| upstream.service == *service && !upstream.leaving);
    let mut capacity = Capacity::default();
    for upstream in ready {
        let slots = f64::from(upstream.slots);
        if upstream.version == version {
            capacity.new += slots;
        } else {
            capacity.old += slots;
        }
    }
    capacity
}
