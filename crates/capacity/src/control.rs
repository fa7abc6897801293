//! The loop that keeps capacity: what is known, what the plan says, one step after the other.
//!
//! Nothing is remembered that a successor would need. Which hosts there are and what for stands in the cloud's list,
//! what an engine has loaded is read from it, and what is registered or drained stands in the replicated
//! configuration. A process that dies between any two steps leaves a world that the next one reads and goes on with.

mod engines;
mod hosts;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use contract::{Change, ChangeId, Config, HostId, Revision, Zone};
use metrics::{counter, gauge};
use parking_lot::Mutex;
use policy::Tick;
use policy::plan::{Backoff, HostPool, ScalingRules, Step, plan};
use serde::Serialize;
use slog::{Logger, info, warn};
use telemetry::Clock;
use upstream::cloud::{CloudClient, CloudHost, StartHost};
use upstream::engine::EngineClient;
use wire::client::StateClient;
use wire::state::{Propose, Proposed};

use crate::lease::{Keeper, Tenure};
use crate::settings::Settings;
use crate::world::{self, Cloud, Row};

/// Pause between two rounds.
pub const STEP: Duration = Duration::from_millis(500);
/// Longest wait for the cloud API.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the beginning of a tenure in which the cloud's list may not yet show what the holder before has started.
pub const LIST_LAG: Duration = Duration::from_secs(3);
/// Time after the last step before hosts are drained for lack of work.
const CALM: Duration = Duration::from_mins(2);
/// Time after a host was taken in which no other is started in its zone.
const LOST: Duration = Duration::from_secs(30);
/// Factors on the busy slots up to which hosts are started and above which they are drained.
const GROW: f64 = 1.3;
const SHRINK: f64 = 1.8;

/// Who accepts changes of the configuration; the state group, or a fake in tests.
pub trait Changes {
    /// Proposes a change; `None` when nobody can decide.
    fn propose(&self, ask: &Propose) -> Option<Proposed>;
}

impl Changes for StateClient {
    fn propose(&self, ask: &Propose) -> Option<Proposed> {
        Self::propose(self, Revision::default(), ask).ok()
    }
}

/// What operators are shown.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Whether this process holds the lease.
    pub active: bool,
    /// Its fencing token.
    pub token: Option<u64>,
    /// Whether the cloud API answers.
    pub cloud: bool,
    /// The hosts.
    pub hosts: Vec<Row>,
    /// The steps that the plan would take now.
    pub plan: Vec<String>,
}

/// The loop's state; all of it can be lost.
#[derive(Debug)]
pub struct Control {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    pub(crate) cloud: CloudClient,
    pub(crate) engines: EngineClient,
    pub(crate) backoff: Backoff,
    pub(crate) pending: Vec<(CloudHost, Tick)>,
    pub(crate) unanswered: Vec<StartHost>,
    pub(crate) idle: HashMap<HostId, Tick>,
    pub(crate) missing: HashMap<HostId, Tick>,
    pub(crate) moved: Tick,
    lost: BTreeMap<Zone, Tick>,
    pub(crate) rounds: usize,
    starts: u64,
    report: Mutex<Report>,
}

impl Control {
    /// Makes the loop of a process.
    #[must_use]
    pub fn new(settings: Settings, clock: Clock, logger: Logger) -> Self {
        Self {
            cloud: CloudClient::new(settings.cloud, CLOUD_TIMEOUT),
            engines: EngineClient::new(CLOUD_TIMEOUT),
            settings,
            logger,
            backoff: Backoff::default(),
            pending: Vec::new(),
            unanswered: Vec::new(),
            idle: HashMap::new(),
            missing: HashMap::new(),
            moved: clock.now(),
            clock,
            lost: BTreeMap::new(),
            rounds: 0,
            starts: 0,
            report: Mutex::default(),
        }
    }

    /// Gives what operators are shown.
    #[must_use]
    pub fn report(&self) -> Report {
        self.report.lock().clone()
    }

    /// Makes one round; without the lease it only looks.
    pub fn round(&mut self, config: &Config, keeper: &Keeper, changes: &dyn Changes) {
        let cloud = match Cloud::read(&self.cloud) {
            Ok(cloud) => cloud,
            Err(error) => return self.cut_off(keeper, &error),
        };
        let busy = world::loads(&self.engines, &cloud.hosts);
        let steps = self.plan(config, &cloud, &busy);
        let tenure = keeper.held();
        *self.report.lock() = Report {
            active: tenure.is_some(),
            token: tenure.map(|tenure| tenure.token),
            cloud: true,
            hosts: world::rows(config, &cloud, &busy),
            plan: steps.iter().map(ToString::to_string).collect(),
        };
        gauge!("gentian_capacity_hosts").set(cloud.hosts.len() as f64);
        let Some(tenure) = tenure.filter(|_| self.settings.plan) else {
            return;
        };
        self.rounds += 1;
        self.prepare(config, &cloud, keeper, changes);
        self.verify(config, &cloud, keeper, changes);
        self.clear(config, &cloud, &busy, keeper, changes);
        if self.clock.now() < tenure.since + LIST_LAG {
            return;
        }
        self.retry_starts(keeper);
        for step in steps {
            self.carry_out(&step, &tenure, &cloud, keeper, changes);
        }
    }

    /// Without the cloud API nothing can be started or stopped; what serves goes on serving.
    fn cut_off(&self, keeper: &Keeper, error: &upstream::UpstreamError) {
        counter!("gentian_cloud_failures_total").increment(1);
        let mut report = self.report.lock();
        if std::mem::take(&mut report.cloud) {
            warn!(self.logger, "cloud API does not answer"; "error" => %error);
        }
        report.active = keeper.held().is_some();
        report.plan = Vec::new();
    }

    fn plan(&mut self, config: &Config, cloud: &Cloud, busy: &BTreeMap<HostId, f64>) -> Vec<Step> {
        let now = self.clock.now();
        let listed = |host: &CloudHost| cloud.hosts.iter().any(|known| known.id == host.id);
        // A start that the list never shows has failed after all.
        self.pending
            .retain(|(host, at)| !listed(host) && now.since(*at) < 3 * LIST_LAG);
        let pending: Vec<CloudHost> = self.pending.iter().map(|(host, _)| host.clone()).collect();
        let held = world::held(config, cloud, &pending, busy);
        let needs = world::needs(config, &self.settings, &held);
        let rules = ScalingRules {
            slots: self.settings.slots,
            grow: GROW,
            shrink: SHRINK,
        };
        let pools = self.pools(cloud, now);
        let calm = now.since(self.moved) >= CALM;
        plan(&needs, &held, &pools, &config.rules, &rules, calm)
    }

    /// Gives where hosts can be started; not where some were taken lately, as long as there is another zone.
    ///
    /// A reclaim takes a whole zone. What is started there again while it goes on is refused or taken as well, after its
    /// weights were loaded for nothing.
    fn pools(&mut self, cloud: &Cloud, now: Tick) -> Vec<HostPool> {
        for host in cloud.hosts.iter().filter(|host| cloud.leaves(host)) {
            self.lost.insert(host.zone.clone(), now);
        }
        self.lost.retain(|_, at| now.since(*at) < LOST);
        let pools = cloud.pools(&self.backoff, now);
        let stays = |pool: &HostPool| pool.open && !self.lost.contains_key(&pool.zone);
        if !pools.iter().any(stays) {
            return pools;
        }
        let closed = pools.into_iter().map(|pool| HostPool {
            open: stays(&pool),
            ..pool
        });
        closed.collect()
    }

    fn carry_out(&mut self, step: &Step, tenure: &Tenure, cloud: &Cloud, keeper: &Keeper, changes: &dyn Changes) {
        info!(self.logger, "step"; "step" => %step);
        self.moved = self.clock.now();
        match step {
            Step::Start { model, zone, class, .. } => {
                self.starts += 1;
                let start = StartHost {
                    zone: zone.clone(),
                    class: *class,
                    token: format!("{}-{}", tenure.token, self.starts),
                    tag: model.to_string(),
                };
                self.start(start, keeper);
            }
            Step::Drain { host, .. } => {
                let known = cloud.hosts.iter().find(|one| one.id == *host);
                if let Some(incarnation) = known.map(|one| one.incarnation) {
                    let host = host.clone();
                    self.change("drain", Change::DrainHost { host, incarnation }, keeper, changes);
                }
            }
        }
    }

    /// Proposes a change while the lease is held; one that nobody decides is proposed again in a later round.
    pub(crate) fn change(&self, step: &str, change: Change, keeper: &Keeper, changes: &dyn Changes) -> bool {
        let Some(tenure) = keeper.held() else {
            return false;
        };
        let count = self.clock.now().0.as_micros();
        let ask = Propose {
            id: ChangeId::from(format!("capacity-{}-{step}-{count}", tenure.token)),
            base: None,
            operator: "gentian-capacity".to_owned(),
            change,
        };
        let accepted = matches!(changes.propose(&ask), Some(Proposed::Accepted(_)));
        if !accepted {
            counter!("gentian_capacity_changes_failed_total").increment(1);
        }
        accepted
    }
}
