//! State of an entry host that all of its requests share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use contract::{ClientAccount, EngineSpec, ListedUpstream, NodeId, Quota, RelayHost, ServiceName, Zone};
use inbound::intake::SharedIntake;
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use policy::catalog_lag;
use policy::event_ids::EventNumberings;
use policy::intake::HostBounds;
use policy::isolation::Isolation;
use policy::limits::DemandMeter;
use policy::parts::Slack;
use policy::quota::{Bucket, OverQuota};
use policy::relays::Relays;
use policy::retries::{RetryBounds, RetryWindow, SendPermit};
use policy::slots::Brittleness;
use policy::turns::LoopTurns;
use policy::urgency::UrgencyGate;
use slog::Logger;
use telemetry::Clock;
use wire::catalog::SeenVersion;
use wire::registry::{
    BrittleNews, Heartbeat, LimitPart, PrefillSample, PrefillSamples, QuotaShare, RelayList, ServiceLoad,
    UpstreamObservation,
};
use wire::rollout::RolloutPlan;

use crate::dialect::{HeaderCodec, RequestInfo};
use crate::lender::QuotaBorrower;
use crate::origins::OriginClient;
use crate::placing::UpstreamQueue;
use crate::pool::ConnectionPool;
use crate::prefill_samples::OwnPrefills;
use crate::quarantine::{CrashReporter, KnownQuarantine};
use crate::routing_table::RoutingTable;
use crate::slots::SlotClient;
use crate::stop_watch::StopWatch;
use crate::upstreams::Upstreams;
use crate::usage::UsageCounter;
use crate::waiting::{RecentTimeouts, WaitingBounds};

/// Fraction of every quota that an entry host uses until the leader assigns its share; there may be as many hosts as in
/// a large deployment.
const DEFAULT_QUOTA_FRACTION: f64 = 1.0 / 64.0;
/// Log lines per second for requests that succeeded in time, about ten times the expected rate. Refused, failed and
/// late requests are always logged.
const LOG_LINES_PER_S: f64 = 100.0;
/// Time constant of the average prefill load; longer than the gaps between long prompts at one entry host.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// Shortest time that the average is taken to cover; over less, a single prompt would look like a surge.
const MIN_AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Prefills of other hosts that wait for the event loop; further ones are dropped, for example after a freeze.
const MAX_UNAPPLIED: usize = 256;
/// Delay told to a caller whose request leaves the quota to more urgent ones, in seconds: by then it is known whether these
/// are still refused.
const HELD_BACK_WAIT_S: f64 = 1.0;
/// Number of entry hosts that is assumed until the leader reports it.
const DEFAULT_ENTRY_COUNT: u32 = 32;

/// State exchanged between the event loop and the background threads.
#[derive(Debug, Default)]
pub struct Shared {
    /// The routing table in force; `None` before the first catalog.
    pub table: ArcSwapOption<RoutingTable>,
    /// The newest known catalog version, which may be newer than the one in force.
    pub newest_version: AtomicU64,
    /// When the version in force was last known to be the newest; `None` before the first confirmation.
    pub confirmed_at: ArcSwap<Option<Tick>>,
    /// The quota share that the leader assigned last. It stays valid without contact to the leader, because the shares
    /// of all entry hosts seen within the last half minute add up to the whole quota.
    pub quota_share: ArcSwap<Option<QuotaShare>>,
    /// Internal address of the leader of the state group; `None` while it is unknown.
    pub leader: ArcSwap<Option<SocketAddr>>,
    /// Internal addresses of the state nodes; empty until one was reached.
    pub members: ArcSwap<Vec<SocketAddr>>,
    /// Internal address of the state node that answered this host last; `None` before the first answer.
    pub near_node: ArcSwap<Option<SocketAddr>>,
    /// An upstream list that the event loop has not applied yet, with the time at which it was requested.
    pub new_list: Mutex<Option<(Vec<ListedUpstream>, Tick)>>,
    /// When the latest upstream list was requested.
    pub list_time: ArcSwap<Option<Tick>>,
    /// Whether a request waits for a newer list.
    pub list_wanted: AtomicBool,
    /// Versions of services that the state group has seen on the list and that the event loop has not applied yet, with
    /// the time at which they arrived.
    pub versions: Mutex<Vec<(Vec<SeenVersion>, Tick)>>,
    /// Time as of which a state node told such versions last; `None` before the first time.
    pub versions_at: ArcSwap<Option<Tick>>,
    /// Observations of upstreams by other entry hosts that the event loop has not applied yet, with the time at which
    /// they arrived.
    pub observations: Mutex<Option<(Vec<UpstreamObservation>, Tick)>>,
    /// Parts of rate limits that the event loop has not applied yet, with the time at which they were asked for.
    pub limits: Mutex<Option<(Vec<LimitPart>, Tick)>>,
    /// Services that the leader says are brittle and that the event loop has not applied yet, with the time at which the
    /// news arrived.
    pub brittle: Mutex<Option<(Vec<BrittleNews>, Tick)>>,
    /// Plans of rollouts that the event loop has not applied yet, with the time at which they arrived.
    pub rollouts: Mutex<Option<(Vec<RolloutPlan>, Tick)>>,
    /// Hosts that pass on requests of this one, as long as the event loop has not applied them yet.
    pub relays: Mutex<Option<Vec<RelayHost>>>,
    /// Mark of these hosts, as the leader told it last; zero without any.
    pub relay_mark: AtomicU64,
    /// Requests that are not sent, as the leader told them last.
    pub quarantine: Mutex<KnownQuarantine>,
    /// Prefills timed by other entry hosts that the event loop has not learnt from yet.
    pub prefills: Mutex<Vec<PrefillSample>>,
    /// Position up to which the leader has told such prefills; zero without any.
    pub prefill_mark: AtomicU64,
    /// Content of the next heartbeat to the leader.
    pub heartbeat: Mutex<Heartbeat>,
}

impl Shared {
    /// Records the newest version that a state node knew of at `confirmed_at`.
    pub fn record_newest(&self, newest: u64, confirmed_at: Tick) {
        self.newest_version.fetch_max(newest, Ordering::Relaxed);
        let held = self.table.load().as_ref().map(|table| table.version());
        if held >= Some(newest) {
            let latest = (**self.confirmed_at.load()).max(Some(confirmed_at));
            self.confirmed_at.store(Arc::new(latest));
        }
    }

    /// Records the hosts that pass on requests of this one.
    pub fn record_relays(&self, list: RelayList) {
        *self.relays.lock() = Some(list.hosts);
        self.relay_mark.store(list.mark, Ordering::Relaxed);
    }

    /// Records prefills that other entry hosts have timed.
    pub fn record_prefills(&self, told: PrefillSamples) {
        if told.is_empty() {
            return;
        }
        self.prefill_mark.store(told.next, Ordering::Relaxed);
        let mut prefills = self.prefills.lock();
        if prefills.len() < MAX_UNAPPLIED {
            prefills.extend(told.samples);
        }
    }

    /// Returns whether a table holds everything that operators have been told is in force.
    #[must_use]
    pub fn is_current(&self, table: &RoutingTable, now: Tick) -> bool {
        let newest = self.newest_version.load(Ordering::Relaxed);
        catalog_lag::is_current(table.version(), newest, **self.confirmed_at.load(), now)
    }
}

/// Settings of an entry host that don't change while it runs.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Data centre of the host.
    pub zone: Zone,
    /// Limits on retries.
    pub retries: RetryBounds,
    /// Units that may be served beyond an account's quota.
    pub quota_slack: Slack,
    /// Length of a window in which started requests are counted.
    pub usage_window: Duration,
    /// Name of the process.
    pub node: NodeId,
    /// Address that connections to upstreams come from; `None` to let the system choose.
    pub source: Option<IpAddr>,
    /// Address at which requests of other hosts are passed on; `None` to pass on none.
    pub relay: Option<SocketAddr>,
    /// Bounds of the requests that wait for upstreams.
    pub waiting: WaitingBounds,
    /// Bounds of the connections of callers and others.
    pub bounds: HostBounds,
}

/// State that all requests share.
pub struct Gateway {
    /// Reads and writes the headers of callers and upstreams.
    pub codec: Box<dyn HeaderCodec>,
    /// State exchanged with the background threads.
    pub shared: Arc<Shared>,
    /// Settings that don't change while the host runs.
    pub settings: HostSettings,
    /// Monotonic clock that all decisions go by.
    pub clock: Clock,
    /// Logger of the process.
    pub logger: Logger,
    /// Known upstreams with their estimated load.
    pub upstreams: RefCell<Upstreams>,
    /// Idle connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    /// Started requests by window and account.
    pub usage: RefCell<UsageCounter>,
    borrower: QuotaBorrower,
    quota_buckets: RefCell<HashMap<String, Bucket>>,
    /// Accounts and services of which requests were refused lately for lack of quota.
    urgencies: RefCell<HashMap<(String, ServiceName), UrgencyGate>>,
    retry_windows: RefCell<HashMap<ServiceName, RetryWindow>>,
    service_loads: RefCell<BTreeMap<String, ServiceLoad>>,
    /// Requests per second that callers ask of each service.
    demands: RefCell<HashMap<ServiceName, DemandMeter>>,
    prefill_averages: RefCell<BTreeMap<String, RateAverage>>,
    log_bucket: RefCell<Bucket>,
    /// When a pace that could not be read was logged last.
    pub(crate) bad_pace_at: Cell<Option<Tick>>,
    /// Hosts that pass on requests of this one.
    pub(crate) relays: Rc<RefCell<Relays>>,
    /// Own links to upstreams by service.
    pub(crate) isolations: RefCell<HashMap<ServiceName, Isolation>>,
    /// Number of connections that are passed on for other hosts.
    pub(crate) relayed: Cell<usize>,
    /// Turns of the event loop.
    pub(crate) turns: Cell<LoopTurns>,
    /// Whether the process was asked to stop.
    pub(crate) stop: StopWatch,
    /// Whether upstreams are brittle, by service.
    pub(crate) brittle: RefCell<HashMap<ServiceName, Brittleness>>,
    /// Exchanges places at brittle upstreams with the leader.
    pub(crate) slots: Rc<SlotClient>,
    /// Exchanges origins of streams with state nodes.
    pub(crate) origins: OriginClient,
    /// How the events of streams are numbered.
    pub(crate) numberings: RefCell<EventNumberings>,
    /// Reports upstreams that crash under requests.
    pub(crate) crashes: CrashReporter,
    /// Prefills that this host has timed.
    pub(crate) prefills: RefCell<OwnPrefills>,
    /// Requests that wait for upstreams.
    pub(crate) waiting: UpstreamQueue,
    /// Timeouts that callers have lately set.
    pub(crate) timeouts: RefCell<RecentTimeouts>,
    /// Version of the catalog whose limits were last compared with the memory of the host.
    pub(crate) checked_version: Cell<Option<u64>>,
    /// What the connections of callers hold.
    pub(crate) intake: SharedIntake,
    /// What probes, scrapes and connections of other hosts hold.
    pub(crate) probes: SharedIntake,
    pub(crate) hosts: SharedIntake,
    /// What responses of upstreams make this host hold.
    pub(crate) responses: SharedIntake,
}

/// Exponentially decaying average of units per second.
#[derive(Clone, Copy, Debug, Default)]
struct RateAverage {
    per_s: f64,
    updated_at: Tick,
    /// When the first units were added.
    first_at: Option<Tick>,
}

impl RateAverage {
    fn add(&mut self, units: f64, now: Tick) {
        self.first_at.get_or_insert(now);
        self.decay(now);
        self.per_s += units / AVERAGING_TIME.as_secs_f64();
    }

    fn decay(&mut self, now: Tick) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_s *= (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.updated_at = now;
    }

    /// Returns the average in units per second. It is corrected for the first seconds, in which the average covers less
    /// than its time constant and would show only a part of the load.
    fn per_s(&mut self, now: Tick) -> f64 {
        self.decay(now);
        let span = now.since(self.first_at.unwrap_or(now)).max(MIN_AVERAGING_TIME);
        let covered = 1.0 - (-span.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.per_s / covered
    }
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// How units are taken from a bucket.
#[derive(Clone, Copy)]
enum TakeMode {
    /// Only if the bucket holds all of them.
    Whole,
    /// Also if a large request leaves the bucket in debt.
    Overdraw,
}

impl Gateway {
    /// Creates the shared state; nothing is known of catalog and upstreams yet.
    #[must_use]
    pub fn new(
        codec: Box<dyn HeaderCodec>,
        shared: Arc<Shared>,
        settings: HostSettings,
        borrower: QuotaBorrower,
        (clock, logger): (Clock, Logger),
    ) -> Self {
        let waiting = UpstreamQueue::new(settings.waiting);
        let bounds = settings.bounds;
        let intake = |name, bounds| SharedIntake::new(name, bounds, clock.clone(), logger.clone());
        let (callers, probes) = (intake("callers", bounds.callers), intake("probes", bounds.probes));
        let (hosts, responses) = (intake("hosts", bounds.hosts), intake("upstreams", bounds.upstreams));
        Self {
            codec,
            shared,
            borrower,
            usage: RefCell::new(UsageCounter::new(settings.usage_window)),
            settings,
            clock,
            logger,
            upstreams: RefCell::default(),
            pool: RefCell::default(),
            quota_buckets: RefCell::default(),
            urgencies: RefCell::default(),
            retry_windows: RefCell::default(),
            service_loads: RefCell::default(),
            demands: RefCell::default(),
            prefill_averages: RefCell::default(),
            log_bucket: RefCell::new(Bucket::new(LOG_LINES_PER_S, Tick::default())),
            bad_pace_at: Cell::default(),
            relays: Rc::default(),
            isolations: RefCell::default(),
            relayed: Cell::default(),
            turns: Cell::default(),
            stop: StopWatch::default(),
            brittle: RefCell::default(),
            slots: Rc::default(),
            origins: OriginClient::default(),
            numberings: RefCell::default(),
            crashes: CrashReporter::default(),
            prefills: RefCell::default(),
            waiting,
            timeouts: RefCell::default(),
            checked_version: Cell::default(),
            intake: callers,
            probes,
            hosts,
            responses,
        }
    }

    /// Applies the versions of services that the state group has seen, and the newest list.
    pub(crate) fn apply_list(&self) {
        // Read before what they are the times of, which may be newer but not older.
        let (versions_at, list_time) = (**self.shared.versions_at.load(), **self.shared.list_time.load());
        let mut upstreams = self.upstreams.borrow_mut();
        for (seen, told_at) in std::mem::take(&mut *self.shared.versions.lock()) {
            upstreams.record_seen_versions(&seen, told_at);
        }
        let new_list = self.shared.new_list.lock().take();
        let ended = new_list.map(|(list, list_time)| upstreams.update(list, list_time));
        versions_at.inspect(|at| upstreams.coverage.record_told(*at));
        list_time.inspect(|at| upstreams.coverage.record_list(*at));
        let has_mixed = upstreams.take_mixed();
        drop(upstreams);
        if has_mixed {
            slog::info!(self.logger, "upstreams have several versions");
            self.retell_origins();
        }
        if let Some(ended) = ended.filter(|ended| !ended.is_empty()) {
            slog::info!(self.logger, "upstreams leave"; "upstreams" => ended.join(","));
        }
    }

    /// Applies what the background threads have received, and fills in the next heartbeat.
    pub fn exchange_state(&self) {
        let mut turns = self.turns.get();
        turns.record(self.clock.now());
        self.turns.set(turns);
        self.apply_list();
        if let Some((observations, received_at)) = self.shared.observations.lock().take() {
            self.upstreams
                .borrow_mut()
                .merge_observations(&observations, received_at);
        }
        let prefills = std::mem::take(&mut *self.shared.prefills.lock());
        self.upstreams.borrow_mut().learn_prefills(&prefills);
        if let Some((parts, asked_at)) = self.shared.limits.lock().take() {
            self.apply_limits(&parts, asked_at);
        }
        if let Some((news, received_at)) = self.shared.brittle.lock().take() {
            self.record_brittle_news(&news, received_at);
        }
        if let Some((plans, received_at)) = self.shared.rollouts.lock().take() {
            self.upstreams.borrow_mut().rollouts.update(plans, received_at);
        }
        if let Some(hosts) = self.shared.relays.lock().take() {
            self.adopt_relays(hosts);
        }
        // Lists, load reports and pauses may have changed what upstreams take.
        self.waiting.wake();
        self.renew_crash_reports();
        let now = self.clock.now();
        self.urgencies.borrow_mut().retain(|_, gate| !gate.is_idle(now));
        self.pool.borrow_mut().close_expired();
        let mut heartbeat = self.shared.heartbeat.lock();
        heartbeat.began.clone_from(self.usage.borrow().counts());
        heartbeat.signs = self.upstreams.borrow().observations(self.clock.now());
        let now = self.clock.now();
        let wanted = |service: &ServiceName| self.demand(service, now);
        heartbeat.limits = self.upstreams.borrow().heard_limits(wanted, now);
        heartbeat.trials = self.upstreams.borrow().trials();
        heartbeat.spare = self.overflow_units();
        heartbeat.load.clone_from(&self.service_loads.borrow());
        heartbeat.zone.clone_from(&self.settings.zone);
        heartbeat.relay = self.relay_offer();
        heartbeat.prefills = self.prefills.borrow().newest();
        let now = self.clock.now();
        for (service, average) in self.prefill_averages.borrow_mut().iter_mut() {
            heartbeat.load.entry(service.clone()).or_default().reading = average.per_s(now);
        }
    }

    /// Takes a request's units from its account's quota, first from the host's own share, then as a loan from the
    /// leader. Returns the units taken.
    ///
    /// # Errors
    /// Returns how long the request would have to wait for room in the quota.
    pub async fn admit(
        &self,
        account: &ClientAccount,
        (service, priority): (&ServiceName, u8),
        info: &RequestInfo,
    ) -> Result<f64, OverQuota> {
        let Some(quota) = account.quota else {
            return Ok(0.0);
        };
        let key = (account.name.clone(), service.clone());
        let held_back = self
            .urgencies
            .borrow_mut()
            .get_mut(&key)
            .is_some_and(|gate| !gate.passes(priority, self.clock.now()));
        if held_back {
            counter!("gentian_gateway_quota_held_back_total", "service" => service.to_string()).increment(1);
            return Err(self.held_back(account, &quota));
        }
        let taken = self.take_or_borrow(account, &quota, info).await;
        if taken.is_err() {
            let mut urgencies = self.urgencies.borrow_mut();
            urgencies
                .entry(key)
                .or_default()
                .record_refused(priority, self.clock.now());
        }
        taken
    }

    /// Returns the refusal of a request that leaves the quota to more urgent ones of its account.
    fn held_back(&self, account: &ClientAccount, quota: &Quota) -> OverQuota {
        let buckets = self.quota_buckets.borrow();
        let rate = quota.per_s * self.quota_fraction();
        OverQuota {
            wait_s: HELD_BACK_WAIT_S,
            balance: buckets.get(&account.name).map_or(0.0, Bucket::balance),
            rate,
            held_back: true,
        }
    }

    async fn take_or_borrow(
        &self,
        account: &ClientAccount,
        quota: &Quota,
        info: &RequestInfo,
    ) -> Result<f64, OverQuota> {
        let tokens = info.tokens.map(|tokens| (tokens.prompt + tokens.max_output) as f64);
        let units = if quota.tokens {
            tokens.unwrap_or(quota.plain)
        } else {
            1.0
        };
        if self.take_units(account, quota, units, TakeMode::Whole).is_ok() {
            return Ok(units);
        }
        // A long prompt needs more than a host's share holds. What the share holds goes into it, so that the leader's pool
        // lasts for more of them.
        let own = self.take_available(account, units);
        match self.borrower.borrow(&account.name, units - own).await {
            Some(true) => Ok(units),
            lent => {
                self.refund(&account.name, own);
                // While the leader can't be reached, each entry host goes by its own share, which large requests may
                // overdraw.
                let mode = if lent.is_some() {
                    TakeMode::Whole
                } else {
                    TakeMode::Overdraw
                };
                self.take_units(account, quota, units, mode).map(|()| units)
            }
        }
    }

    /// Takes as many units as the host's share of the account's quota holds; returns their number.
    fn take_available(&self, account: &ClientAccount, units: f64) -> f64 {
        let mut quota_buckets = self.quota_buckets.borrow_mut();
        let bucket = quota_buckets.get_mut(&account.name);
        bucket.map_or(0.0, |bucket| bucket.take_available(units, self.clock.now()))
    }

    fn take_units(&self, account: &ClientAccount, quota: &Quota, units: f64, mode: TakeMode) -> Result<(), OverQuota> {
        let now = self.clock.now();
        let fraction = self.quota_fraction();
        let mut quota_buckets = self.quota_buckets.borrow_mut();
        let bucket = quota_buckets.entry(account.name.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(quota.burst * fraction, now));
        bucket.set(quota.per_s * fraction, self.burst_limit(quota.burst, fraction), now);
        match mode {
            TakeMode::Whole => bucket.take_whole(units, now),
            TakeMode::Overdraw => bucket.take(units, now),
        }
    }

    /// Gives an account the units of a request back that no upstream ran.
    pub fn refund(&self, account: &str, units: f64) {
        if let Some(bucket) = self.quota_buckets.borrow_mut().get_mut(account) {
            bucket.refund(units);
        }
    }

    /// Starts to fill the buckets of all accounts, so that a first request finds what its share has accumulated. Does
    /// nothing before the share is known.
    pub fn fill_buckets(&self) {
        if self.shared.quota_share.load().is_none() {
            return;
        }
        let Some(table) = self.shared.table.load_full() else {
            return;
        };
        let now = self.clock.now();
        let mut quota_buckets = self.quota_buckets.borrow_mut();
        for account in table.accounts() {
            let Some(quota) = account.quota else {
                continue;
            };
            let fraction = self.quota_fraction();
            let bucket = quota_buckets.entry(account.name.clone());
            let bucket = bucket.or_insert_with(|| Bucket::new(quota.burst * fraction, now));
            bucket.set(quota.per_s * fraction, self.burst_limit(quota.burst, fraction), now);
        }
    }

    /// Returns by account the units that overflowed a full bucket since the start.
    fn overflow_units(&self) -> BTreeMap<String, u64> {
        let quota_buckets = self.quota_buckets.borrow();
        let overflow = quota_buckets
            .iter()
            .map(|(account, bucket)| (account.clone(), bucket.overflow() as u64));
        overflow.filter(|(_, units)| *units > 0).collect()
    }

    /// Returns the most units that a bucket holds: the host's fraction of the burst and a part of the slack. Callers
    /// reach entry hosts at random, so each host needs room for more than its fraction for a while.
    fn burst_limit(&self, burst: f64, fraction: f64) -> f64 {
        burst * fraction + self.settings.quota_slack.per_entry(self.entry_count())
    }

    fn quota_fraction(&self) -> f64 {
        self.shared
            .quota_share
            .load()
            .map_or(DEFAULT_QUOTA_FRACTION, |share| share.floor)
    }

    /// Returns the engine properties of a service; `None` for an unknown or plain service.
    #[must_use]
    pub fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        self.shared.table.load().as_ref()?.service(service)?.engine
    }

    /// Returns the time to copy the KV cache of one token between upstreams of a service, in milliseconds; `None` if they
    /// can't copy.
    #[must_use]
    pub fn copy_ms(&self, service: &ServiceName) -> Option<f64> {
        Some(self.engine_spec(service)?.copy_ns? as f64 / 1e6)
    }

    /// Returns the number of entry hosts that share quotas; an assumed one until the leader reports it.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        self.shared
            .quota_share
            .load()
            .map_or(DEFAULT_ENTRY_COUNT, |share| share.entries.max(1))
    }

    /// Returns whether a request that succeeded in time may be logged now; counts those that may not.
    #[must_use]
    pub fn may_log(&self) -> bool {
        let now = self.clock.now();
        let mut log_bucket = self.log_bucket.borrow_mut();
        log_bucket.set(LOG_LINES_PER_S, LOG_LINES_PER_S, now);
        let allowed = log_bucket.take_whole(1.0, now).is_ok();
        if !allowed {
            counter!("gentian_gateway_lines_left_out_total").increment(1);
        }
        allowed
    }

    /// Records a request for a service; retries are limited in proportion to these. Returns the permit for its first
    /// arrival at an upstream.
    pub fn record_request(&self, service: &ServiceName) -> SendPermit {
        let now = self.clock.now();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.record_request(now, &self.settings.retries)
    }

    /// Takes a retry from the service's budget; `None` if it is used up.
    #[must_use]
    pub fn take_retry(&self, service: &ServiceName) -> Option<SendPermit> {
        let now = self.clock.now();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.take(now, &self.settings.retries, self.entry_count())
    }

    /// Logs that a request is not retried because the service's budget is used up.
    pub(crate) fn log_no_retry(&self, service: &ServiceName, request: &str, arrivals: u32) {
        counter!("gentian_gateway_retries_refused_total", "service" => service.to_string()).increment(1);
        let windows = self.retry_windows.borrow();
        let usage = windows.get(service).map(RetryWindow::usage).unwrap_or_default();
        slog::info!(self.logger, "retry budget used up"; "request" => request, "service" => %service,
            "arrivals" => arrivals, "retries" => usage.retries, "requests" => usage.requests,
            "entries" => self.entry_count());
    }

    /// Records a prompt that was sent to an upstream, whose prefill takes `ms` milliseconds.
    pub fn record_prefill(&self, service: &ServiceName, ms: f64) {
        let now = self.clock.now();
        let mut prefill_averages = self.prefill_averages.borrow_mut();
        prefill_averages
            .entry(service.to_string())
            .or_default()
            .add(ms / 1_000.0, now);
    }

    /// Records that a caller asks for a service.
    pub(crate) fn record_demand(&self, service: &ServiceName) {
        let mut demands = self.demands.borrow_mut();
        demands.entry(service.clone()).or_default().add(1.0, self.clock.now());
    }

    /// Returns the requests per second that callers ask of a service.
    fn demand(&self, service: &ServiceName, now: Tick) -> f64 {
        self.demands
            .borrow()
            .get(service)
            .map_or(0.0, |demand| demand.rate(now))
    }

    /// Adds `change` to the number of a service's requests that run on this entry host.
    pub fn record_running(&self, service: &ServiceName, change: f64) {
        let mut service_loads = self.service_loads.borrow_mut();
        let load = service_loads.entry(service.to_string()).or_default();
        load.running = (load.running + change).max(0.0);
    }
}
