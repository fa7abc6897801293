//! Rollouts as an entry host knows them: the leader's plans, and what the host has seen of both versions.

use std::collections::HashMap;
use std::time::Duration;

use contract::{RolloutState, RolloutTrial, ServiceName, TrialCounts, Zone};
use policy::Tick;
use policy::rollout::{VersionChoice, choose_canaries, choose_version};
use wire::rollout::RolloutPlan;

use crate::upstreams::{Upstream, UpstreamNeed};

/// Time after which a plan that the leader no longer sends is dropped.
const PLAN_TTL: Duration = Duration::from_mins(1);

/// The rollouts that an entry host knows, by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    known: HashMap<ServiceName, KnownRollout>,
}

#[derive(Debug)]
struct KnownRollout {
    plan: RolloutPlan,
    received_at: Tick,
    trial: RolloutTrial,
}

/// What is counted of a request that is part of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialSubject {
    /// Id of the rollout.
    id: u64,
    service: ServiceName,
    route: String,
    /// Data centre of the upstream if it has the new version.
    new_in: Option<Zone>,
}

impl Rollouts {
    /// Replaces the plans by those that the leader sent.
    pub fn update(&mut self, plans: Vec<RolloutPlan>, received_at: Tick) {
        for plan in plans {
            let trial = match self.known.remove(&plan.service) {
                Some(known) if known.plan.id > plan.id => {
                    // A former leader's plan arrives late.
                    self.known.insert(plan.service, known);
                    continue;
                }
                Some(known) if known.plan.id == plan.id => known.trial,
                _ => RolloutTrial {
                    id: plan.id,
                    ..RolloutTrial::default()
                },
            };
            let service = plan.service.clone();
            let known = KnownRollout {
                plan,
                received_at,
                trial,
            };
            self.known.insert(service, known);
        }
        self.known
            .retain(|_, known| received_at.since(known.received_at) < PLAN_TTL);
    }

    /// Keeps the upstreams of the version that a request goes to.
    pub(crate) fn retain_version(&self, serving: &mut Vec<&Upstream>, need: &UpstreamNeed<'_>, now: Tick) {
        let Some(known) = self.known.get(need.service) else {
            return;
        };
        let plan = &known.plan;
        let is_new = |upstream: &&Upstream| upstream.listed.version == plan.version;
        let age = now.since(known.received_at);
        let choice = choose_version(plan.state, plan.share, age, need.draw, !need.tried.is_empty());
        match choice {
            VersionChoice::NeverNew => serving.retain(|upstream| !is_new(upstream)),
            // A stream goes on at the version that began it, whatever the share of the new one is by now.
            _ if need.version.is_some() => {}
            VersionChoice::New if serving.iter().any(is_new) => {
                if plan.state == RolloutState::Running && plan.share < 1.0 {
                    retain_canaries(serving, plan);
                } else {
                    serving.retain(is_new);
                }
            }
            VersionChoice::Old if !serving.iter().all(is_new) => serving.retain(|upstream| !is_new(upstream)),
            VersionChoice::New | VersionChoice::Old => {}
        }
    }

    /// Starts to count a request; `None` if no rollout of the service is running.
    pub(crate) fn start_trial(
        &mut self,
        service: &ServiceName,
        route: &str,
        upstream: &Upstream,
    ) -> Option<TrialSubject> {
        let known = self.known.get(service)?;
        if known.plan.state != RolloutState::Running {
            return None;
        }
        let is_new = upstream.listed.version == known.plan.version;
        let subject = TrialSubject {
            id: known.plan.id,
            service: service.clone(),
            route: route.to_owned(),
            new_in: is_new.then(|| upstream.listed.zone.clone()),
        };
        self.record(&subject, |counts| counts.sent += 1);
        Some(subject)
    }

    /// Changes the counts that a request belongs to.
    pub(crate) fn record(&mut self, subject: &TrialSubject, change: impl FnOnce(&mut TrialCounts)) {
        let known = self.known.get_mut(&subject.service);
        let Some(known) = known.filter(|known| known.plan.id == subject.id) else {
            return;
        };
        let route = known.trial.routes.entry(subject.route.clone()).or_default();
        change(match &subject.new_in {
            Some(zone) => route.new.entry(zone.clone()).or_default(),
            None => &mut route.old,
        });
    }

    /// Returns what the host has seen of running rollouts, by service. `old_running` returns the number of requests that
    /// run at upstreams of a service without a version.
    pub(crate) fn trials(
        &self,
        old_running: impl Fn(&ServiceName, &str) -> u64,
    ) -> impl Iterator<Item = (String, RolloutTrial)> {
        let running = self
            .known
            .iter()
            .filter(|(_, known)| known.plan.state == RolloutState::Running);
        running.map(move |(service, known)| {
            let trial = RolloutTrial {
                old_running: old_running(service, &known.plan.version),
                ..known.trial.clone()
            };
            (service.to_string(), trial)
        })
    }
}

/// Keeps the upstreams of the new version that share the requests of the trial.
fn retain_canaries(serving: &mut Vec<&Upstream>, plan: &RolloutPlan) {
    let count = serving.len();
    serving.retain(|upstream| upstream.listed.version == plan.version);
    let new: Vec<_> = serving
        .iter()
        .map(|upstream| (&upstream.listed.zone, upstream.id_hash))
        .collect();
    let chosen = choose_canaries(&new, count - new.len(), plan.share);
    let mut chosen = chosen.into_iter();
    serving.retain(|_| chosen.next().unwrap_or_default());
}
