//! What all requests of an entry host share.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use contract::{ClientAccount, EngineSpec, Listed, Quota, ServiceName, Zone};
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use policy::parts::Slack;
use policy::quota::{Bucket, OverQuota};
use policy::retries::{RetryBounds, RetryWindow};
use policy::rollout;
use slog::Logger;
use telemetry::Clock;
use wire::registry::{Heartbeat, QuotaShare, ServiceLoad, UpstreamObservation};

use crate::dialect::{HeaderCodec, RequestInfo};
use crate::lender::QuotaBorrower;
use crate::pool::ConnectionPool;
use crate::routing_table::RoutingTable;
use crate::upstreams::Upstreams;
use crate::usage::UsageCounter;

/// Part of every limit that an entry host uses before it was told its own: there may be as many as a large deployment has.
const DEFAULT_QUOTA_FRACTION: f64 = 1.0 / 64.0;
/// Log lines a second for requests that were served as they should be. An entry host serves a tenth of that at the rates
/// of the users' sheets; refused, failed and late requests are always logged.
const LOG_LINES_PER_S: f64 = 100.0;
/// Time over which prompts are averaged: longer than the gaps between long prompts at one entry host.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// Shortest time that the average is taken to cover; over less, one prompt would look like a flood.
const MIN_AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Entry hosts that are assumed before their number was told.
const DEFAULT_ENTRY_COUNT: u32 = 32;

/// What the threads beside the event loop give to it, and take from it.
#[derive(Debug, Default)]
pub struct Shared {
    /// The catalog in force here.
    pub table: ArcSwapOption<RoutingTable>,
    /// The newest version of the catalog that is known of; the one in force here may be older.
    pub newest_version: AtomicU64,
    /// When no version was known to be newer than the one in force here.
    pub confirmed_at: ArcSwap<Option<Tick>>,
    /// The parts that were told last. They go on holding without news: the parts of all entry hosts that were heard of in
    /// the last half minute add up to the whole.
    pub quota_share: ArcSwap<Option<QuotaShare>>,
    /// Inner address of the leader, if known.
    pub leader: ArcSwap<Option<SocketAddr>>,
    /// A list that was read and not taken over yet, with the time at which it was asked for.
    pub new_list: Mutex<Option<(Vec<Listed>, Tick)>>,
    /// When the list that was heard of last was asked for.
    pub list_time: ArcSwap<Option<Tick>>,
    /// What others have seen of upstreams, and when it was told.
    pub observations: Mutex<Option<(Vec<UpstreamObservation>, Tick)>>,
    /// What the next beat tells.
    pub heartbeat: Mutex<Heartbeat>,
}

impl Shared {
    /// Notes the newest version that a state node knew of at a time.
    pub fn record_newest(&self, newest: u64, confirmed_at: Tick) {
        self.newest_version.fetch_max(newest, Ordering::Relaxed);
        let held = self.table.load().as_ref().map(|table| table.version());
        if held >= Some(newest) {
            let latest = (**self.confirmed_at.load()).max(Some(confirmed_at));
            self.confirmed_at.store(Arc::new(latest));
        }
    }

    /// Tells whether a table holds all that operators have been told is in force.
    #[must_use]
    pub fn is_current(&self, table: &RoutingTable, now: Tick) -> bool {
        let newest = self.newest_version.load(Ordering::Relaxed);
        rollout::is_current(table.version(), newest, **self.confirmed_at.load(), now)
    }
}

/// Fixed properties of an entry host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Its data centre.
    pub zone: Zone,
    /// Bounds of repeated sends.
    pub retries: RetryBounds,
    /// Units that may pass beyond an account's quota.
    pub quota_slack: Slack,
    /// Length of a window of usage.
    pub usage_window: Duration,
}

/// What all requests share.
pub struct Gateway {
    /// What headers say.
    pub codec: Box<dyn HeaderCodec>,
    /// What other threads share.
    pub shared: Arc<Shared>,
    /// Fixed properties.
    pub settings: HostSettings,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
    /// Upstreams.
    pub upstreams: RefCell<Upstreams>,
    /// Connections to them.
    pub pool: RefCell<ConnectionPool>,
    /// Requests that began to run.
    pub usage: RefCell<UsageCounter>,
    borrower: QuotaBorrower,
    quota_buckets: RefCell<HashMap<String, Bucket>>,
    retry_windows: RefCell<HashMap<ServiceName, RetryWindow>>,
    service_loads: RefCell<BTreeMap<String, ServiceLoad>>,
    prefill_averages: RefCell<BTreeMap<String, RateAverage>>,
    log_bucket: RefCell<Bucket>,
}

/// An average of what comes a second.
#[derive(Clone, Copy, Debug, Default)]
struct RateAverage {
    per_s: f64,
    updated_at: Tick,
    /// When the first came.
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

    /// Gives what comes a second. In the first seconds the average covers less than its time, and would tell of a small part of
    /// the load.
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

/// How units are taken.
#[derive(Clone, Copy)]
enum TakeMode {
    /// Only if all are there.
    Whole,
    /// Also if a large request leaves less than nothing.
    Overdraw,
}

impl Gateway {
    /// Makes what requests share.
    #[must_use]
    pub fn new(
        codec: Box<dyn HeaderCodec>,
        shared: Arc<Shared>,
        settings: HostSettings,
        borrower: QuotaBorrower,
        (clock, logger): (Clock, Logger),
    ) -> Self {
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
            retry_windows: RefCell::default(),
            service_loads: RefCell::default(),
            prefill_averages: RefCell::default(),
            log_bucket: RefCell::new(Bucket::new(LOG_LINES_PER_S, Tick::default())),
        }
    }

    /// Takes over what other threads have brought, and tells them what the next beat says.
    pub fn sync_threads(&self) {
        if let Some((list, read_at)) = self.shared.new_list.lock().take() {
            let ended = self.upstreams.borrow_mut().update(list, read_at);
            if !ended.is_empty() {
                slog::info!(self.logger, "upstreams leave"; "upstreams" => ended.join(","));
            }
        }
        if let Some((observations, received_at)) = self.shared.observations.lock().take() {
            self.upstreams
                .borrow_mut()
                .merge_observations(&observations, received_at);
        }
        self.pool.borrow_mut().close_expired();
        let mut heartbeat = self.shared.heartbeat.lock();
        heartbeat.began.clone_from(self.usage.borrow().counts());
        heartbeat.signs = self.upstreams.borrow().observations(self.clock.now());
        heartbeat.spare = self.overflow_units();
        heartbeat.load.clone_from(&self.service_loads.borrow());
        let now = self.clock.now();
        for (service, average) in self.prefill_averages.borrow_mut().iter_mut() {
            heartbeat.load.entry(service.clone()).or_default().reading = average.per_s(now);
        }
    }

    /// Takes a request's units from its account's quota: from the own part, or else from what the leader lends.
    ///
    /// # Errors
    /// Tells how long it would have to wait when there is no room for it.
    pub async fn admit(&self, account: &ClientAccount, info: &RequestInfo) -> Result<f64, OverQuota> {
        let Some(quota) = account.quota else {
            return Ok(0.0);
        };
        let tokens = info.tokens.map(|tokens| (tokens.prompt + tokens.max_output) as f64);
        let units = if quota.tokens {
            tokens.unwrap_or(quota.plain)
        } else {
            1.0
        };
        if self.take_units(account, &quota, units, TakeMode::Whole).is_ok() {
            return Ok(units);
        }
        match self.borrower.borrow(&account.name, units).await {
            Some(true) => Ok(units),
            Some(false) => self.take_units(account, &quota, units, TakeMode::Whole).map(|()| units),
            // Without a leader each entry host goes on with its own part, and large requests may overdraw it.
            None => self
                .take_units(account, &quota, units, TakeMode::Overdraw)
                .map(|()| units),
        }
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

    /// Gives back what a request took that no upstream ran.
    pub fn refund(&self, account: &str, units: f64) {
        if let Some(bucket) = self.quota_buckets.borrow_mut().get_mut(account) {
            bucket.refund(units);
        }
    }

    /// Fills every account's bucket from now on, so that a first request finds what its part has saved up. Before the part
    /// was told, there is none to begin with.
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

    /// Gives the units of each account that came while its part was full, since the start.
    fn overflow_units(&self) -> BTreeMap<String, u64> {
        let quota_buckets = self.quota_buckets.borrow();
        let overflow = quota_buckets
            .iter()
            .map(|(account, bucket)| (account.clone(), bucket.overflow() as u64));
        overflow.filter(|(_, units)| *units > 0).collect()
    }

    /// Gives what may be saved up: the part of the burst and a part of the slack. Callers meet entry hosts by chance, so that
    /// each needs room for more than its share for a while.
    fn burst_limit(&self, burst: f64, fraction: f64) -> f64 {
        burst * fraction + self.settings.quota_slack.per_entry(self.entry_count())
    }

    fn quota_fraction(&self) -> f64 {
        self.shared
            .quota_share
            .load()
            .map_or(DEFAULT_QUOTA_FRACTION, |share| share.floor)
    }

    /// Gives what is known of a service's model engines, if it has some.
    #[must_use]
    pub fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        self.shared.table.load().as_ref()?.service(service)?.engine
    }

    /// Gives the number of entry hosts that share limits, as far as known.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        self.shared
            .quota_share
            .load()
            .map_or(DEFAULT_ENTRY_COUNT, |share| share.entries.max(1))
    }

    /// Tells whether an ordinary decision may be logged now; the others are counted.
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

    /// Notes a request for a service.
    pub fn record_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.record_request(now, &self.settings.retries);
    }

    /// Takes a repeated send from the service's budget, if one is left.
    #[must_use]
    pub fn may_retry(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.take(now, &self.settings.retries, self.entry_count())
    }

    /// Notes a prompt that was sent to an upstream, which reads for so many milliseconds.
    pub fn record_prefill(&self, service: &ServiceName, ms: f64) {
        let now = self.clock.now();
        let mut prefill_averages = self.prefill_averages.borrow_mut();
        prefill_averages
            .entry(service.to_string())
            .or_default()
            .add(ms / 1_000.0, now);
    }

    /// Notes that a service's own running requests change in number.
    pub fn record_running(&self, service: &ServiceName, change: f64) {
        let mut service_loads = self.service_loads.borrow_mut();
        let load = service_loads.entry(service.to_string()).or_default();
        load.running = (load.running + change).max(0.0);
    }
}
