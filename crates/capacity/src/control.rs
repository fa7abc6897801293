//! The control loop: each round reads the cloud and the engines, plans, and executes the plan's steps one by one.
//!
//! The controller keeps no state that the next lease holder would need. Which hosts exist, and for which model, is in
//! the cloud's list; what an engine has loaded is read from the engine; and what is registered or drained is in the
//! replicated configuration. When a process dies between any two steps, the next holder reads all this and continues.

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

use crate::inventory::{self, CloudSnapshot, HostRow};
use crate::lease::{HeldLease, LeaseKeeper};
use crate::settings::Settings;

/// Pause between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for one call to the cloud API.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time until the cloud's list shows a started host or omits a stopped one.
///
/// A new lease holder starts no hosts for as long, since the list may not yet show those of the previous holder.
pub const LIST_LAG: Duration = Duration::from_secs(3);
/// Time after the last step in which no host is drained for lack of load.
const DRAIN_COOLDOWN: Duration = Duration::from_mins(2);
/// Time after a reclaim in which no host is started in the same zone.
const RECLAIM_COOLDOWN: Duration = Duration::from_secs(30);
/// Hosts are started until a model has this many times its busy slots.
const GROW_FACTOR: f64 = 1.3;
/// Hosts are drained while a model keeps more than this many times its busy slots; the gap to `GROW_FACTOR` keeps hosts
/// from being started and drained with every wave of load.
const SHRINK_FACTOR: f64 = 1.8;

/// Decides on changes of the configuration: the state group, or a fake in tests.
pub trait ConfigStore {
    /// Proposes a change; `None` when no node can decide.
    fn propose(&self, proposal: &Propose) -> Option<Proposed>;
}

impl ConfigStore for StateClient {
    fn propose(&self, proposal: &Propose) -> Option<Proposed> {
        Self::propose(self, Revision::default(), proposal).ok()
    }
}

/// The report that operators read on `/v1/capacity`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Whether this process holds the lease.
    pub active: bool,
    /// Fencing token of the lease; absent without the lease.
    pub token: Option<u64>,
    /// Whether the cloud API answered in the last round.
    pub cloud: bool,
    /// The hosts in the cloud's list, as of the last round in which it answered.
    pub hosts: Vec<HostRow>,
    /// The steps that the plan would take now; empty while the cloud API doesn't answer.
    pub plan: Vec<String>,
}

/// The controller of one process; all of its state may be lost with the process.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    pub(crate) cloud: CloudClient,
    pub(crate) engines: EngineClient,
    pub(crate) backoff: Backoff,
    /// Hosts that were started and aren't in the cloud's list yet, with the time of their start.
    pub(crate) pending: Vec<(CloudHost, Tick)>,
    /// Starts whose answer was lost.
    pub(crate) unanswered: Vec<StartHost>,
    /// Since when each drained host has been idle.
    pub(crate) idle_since: HashMap<HostId, Tick>,
    /// Since when each host of the configuration has been missing from the cloud's list.
    pub(crate) missing_since: HashMap<HostId, Tick>,
    /// When the last step of a plan was executed.
    pub(crate) last_step: Tick,
    /// When a host was last seen leaving, by zone.
    reclaimed: BTreeMap<Zone, Tick>,
    pub(crate) round_count: usize,
    /// Steps of this process that start a host; part of the start tokens, which have to be unique.
    start_count: u64,
    report: Mutex<Report>,
}

impl Controller {
    /// Creates the controller of a process.
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
            idle_since: HashMap::new(),
            missing_since: HashMap::new(),
            last_step: clock.now(),
            clock,
            reclaimed: BTreeMap::new(),
            round_count: 0,
            start_count: 0,
            report: Mutex::default(),
        }
    }

    /// Returns the report of the last round.
    #[must_use]
    pub fn report(&self) -> Report {
        self.report.lock().clone()
    }

    /// Runs one round; without the lease, or with the plan switched off, it only updates the report.
    pub fn round(&mut self, config: &Config, keeper: &LeaseKeeper, store: &dyn ConfigStore) {
        let cloud = match CloudSnapshot::read(&self.cloud) {
            Ok(cloud) => cloud,
            Err(error) => return self.report_outage(keeper, &error),
        };
        let loads = inventory::read_loads(&self.engines, &cloud.hosts);
        let steps = self.plan(config, &cloud, &loads);
        let lease = keeper.held();
        *self.report.lock() = Report {
            active: lease.is_some(),
            token: lease.map(|lease| lease.token),
            cloud: true,
            hosts: inventory::host_rows(config, &cloud, &loads),
            plan: steps.iter().map(ToString::to_string).collect(),
        };
        gauge!("gentian_capacity_hosts").set(cloud.hosts.len() as f64);
        let Some(lease) = lease.filter(|_| self.settings.plan_enabled) else {
            return;
        };
        self.round_count += 1;
        self.prepare_engines(config, &cloud, keeper, store);
        self.verify_engine(config, &cloud, keeper, store);
        self.remove_hosts(config, &cloud, &loads, keeper, store);
        if self.clock.now() < lease.acquired + LIST_LAG {
            return;
        }
        self.retry_starts(keeper);
        for step in steps {
            self.execute_step(&step, &lease, &cloud, keeper, store);
        }
    }

    /// Reports that the cloud API doesn't answer: nothing can be started or stopped, and serving hosts go on serving.
    fn report_outage(&self, keeper: &LeaseKeeper, error: &upstream::UpstreamError) {
        counter!("gentian_cloud_failures_total").increment(1);
        let mut report = self.report.lock();
        if std::mem::take(&mut report.cloud) {
            warn!(self.logger, "cloud API does not answer"; "error" => %error);
        }
        report.active = keeper.held().is_some();
        report.plan = Vec::new();
    }

    /// Returns the steps that the plan takes from the hosts of this round.
    fn plan(&mut self, config: &Config, cloud: &CloudSnapshot, loads: &BTreeMap<HostId, f64>) -> Vec<Step> {
        let now = self.clock.now();
        let listed = |host: &CloudHost| cloud.hosts.iter().any(|listed_host| listed_host.id == host.id);
        // A started host that isn't in the list after three times its lag has failed to start.
        self.pending
            .retain(|(host, at)| !listed(host) && now.since(*at) < 3 * LIST_LAG);
        let pending: Vec<CloudHost> = self.pending.iter().map(|(host, _)| host.clone()).collect();
        let held = inventory::held_hosts(config, cloud, &pending, loads);
        let needs = inventory::model_needs(config, &self.settings, &held);
        let rules = ScalingRules {
            slots: self.settings.slots,
            grow: GROW_FACTOR,
            shrink: SHRINK_FACTOR,
        };
        let pools = self.pools(cloud, now);
        let cooled_down = now.since(self.last_step) >= DRAIN_COOLDOWN;
        plan(&needs, &held, &pools, &config.rules, &rules, cooled_down)
    }

    /// Returns where hosts can be started: not in zones with a recent reclaim, as long as another zone is open.
    ///
    /// A reclaim affects a whole zone. A host that is started there while it lasts is refused, or reclaimed as well
    /// after its weights were loaded in vain.
    fn pools(&mut self, cloud: &CloudSnapshot, now: Tick) -> Vec<HostPool> {
        for host in cloud.hosts.iter().filter(|host| cloud.is_leaving(host)) {
            self.reclaimed.insert(host.zone.clone(), now);
        }
        self.reclaimed.retain(|_, at| now.since(*at) < RECLAIM_COOLDOWN);
        let pools = cloud.pools(&self.backoff, now);
        let is_usable = |pool: &HostPool| pool.open && !self.reclaimed.contains_key(&pool.zone);
        if !pools.iter().any(is_usable) {
            return pools;
        }
        let filtered = pools.into_iter().map(|pool| HostPool {
            open: is_usable(&pool),
            ..pool
        });
        filtered.collect()
    }

    /// Executes one step of the plan.
    fn execute_step(
        &mut self,
        step: &Step,
        lease: &HeldLease,
        cloud: &CloudSnapshot,
        keeper: &LeaseKeeper,
        store: &dyn ConfigStore,
    ) {
        info!(self.logger, "step"; "step" => %step);
        self.last_step = self.clock.now();
        match step {
            Step::Start { model, zone, class, .. } => {
                self.start_count += 1;
                let start = StartHost {
                    zone: zone.clone(),
                    class: *class,
                    token: format!("{}-{}", lease.token, self.start_count),
                    tag: model.to_string(),
                };
                self.start(start, keeper);
            }
            Step::Drain { host, .. } => {
                let listed_host = cloud.hosts.iter().find(|listed| listed.id == *host);
                if let Some(incarnation) = listed_host.map(|listed| listed.incarnation) {
                    let host = host.clone();
                    self.propose_change("drain", Change::DrainHost { host, incarnation }, keeper, store);
                }
            }
        }
    }

    /// Proposes a change if the lease is held, and returns whether it was accepted.
    ///
    /// A change that isn't decided is proposed again in a later round, if it's still needed.
    pub(crate) fn propose_change(
        &self,
        step: &str,
        change: Change,
        keeper: &LeaseKeeper,
        store: &dyn ConfigStore,
    ) -> bool {
        let Some(lease) = keeper.held() else {
            return false;
        };
        let micros = self.clock.now().0.as_micros();
        let proposal = Propose {
            id: ChangeId::from(format!("capacity-{}-{step}-{micros}", lease.token)),
            base: None,
            operator: "gentian-capacity".to_owned(),
            change,
        };
        let accepted = matches!(store.propose(&proposal), Some(Proposed::Accepted(_)));
        if !accepted {
            counter!("gentian_capacity_changes_failed_total").increment(1);
        }
        accepted
    }
}
