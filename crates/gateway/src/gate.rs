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
use crate::pool::Pool;
use crate::routing_table::Table;
use crate::upstreams::Upstreams;
use crate::usage::Began;

/// Part of every limit that an entry host uses before it was told its own: there may be as many as a large deployment has.
const UNTOLD: f64 = 1.0 / 64.0;
/// Log lines a second for requests that were served as they should be. An entry host serves a tenth of that at the rates
/// of the users' sheets; refused, failed and late requests are always logged.
const LINES_PER_S: f64 = 100.0;
/// Time over which prompts are averaged: longer than the gaps between long prompts at one entry host.
const AVERAGED: Duration = Duration::from_secs(4);
/// Shortest time that the average is taken to cover; over less, one prompt would look like a flood.
const SHORTEST: Duration = Duration::from_secs(1);
/// Entry hosts that are assumed before their number was told.
const UNTOLD_ENTRIES: u32 = 32;

/// What the threads beside the event loop give to it, and take from it.
#[derive(Debug, Default)]
pub struct Shared {
    /// The catalog in force here.
    pub table: ArcSwapOption<Table>,
    /// The newest version of the catalog that is known of; the one in force here may be older.
    pub newest: AtomicU64,
    /// When no version was known to be newer than the one in force here.
    pub confirmed: ArcSwap<Option<Tick>>,
    /// The parts that were told last. They go on holding without news: the parts of all entry hosts that were heard of in
    /// the last half minute add up to the whole.
    pub parts: ArcSwap<Option<QuotaShare>>,
    /// Inner address of the leader, if known.
    pub leader: ArcSwap<Option<SocketAddr>>,
    /// A list that was read and not taken over yet, with the time at which it was asked for.
    pub list: Mutex<Option<(Vec<Listed>, Tick)>>,
    /// When the list that was heard of last was asked for.
    pub listed: ArcSwap<Option<Tick>>,
    /// What others have seen of upstreams, and when it was told.
    pub signs: Mutex<Option<(Vec<UpstreamObservation>, Tick)>>,
    /// What the next beat tells.
    pub beat: Mutex<Heartbeat>,
}

impl Shared {
    /// Notes the newest version that a state node knew of at a time.
    pub fn hear_newest(&self, newest: u64, at: Tick) {
        self.newest.fetch_max(newest, Ordering::Relaxed);
        let held = self.table.load().as_ref().map(|table| table.version());
        if held >= Some(newest) {
            let latest = (**self.confirmed.load()).max(Some(at));
            self.confirmed.store(Arc::new(latest));
        }
    }

    /// Tells whether a table holds all that operators have been told is in force.
    #[must_use]
    pub fn is_current(&self, table: &Table, now: Tick) -> bool {
        let newest = self.newest.load(Ordering::Relaxed);
        rollout::is_current(table.version(), newest, **self.confirmed.load(), now)
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
    pub dialect: Box<dyn HeaderCodec>,
    /// What other threads share.
    pub shared: Arc<Shared>,
    /// Fixed properties.
    pub place: HostSettings,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
    /// Upstreams.
    pub upstreams: RefCell<Upstreams>,
    /// Connections to them.
    pub pool: RefCell<Pool>,
    /// Requests that began to run.
    pub began: RefCell<Began>,
    lender: QuotaBorrower,
    buckets: RefCell<HashMap<String, Bucket>>,
    repeats: RefCell<HashMap<ServiceName, RetryWindow>>,
    loads: RefCell<BTreeMap<String, ServiceLoad>>,
    readings: RefCell<BTreeMap<String, Average>>,
    lines: RefCell<Bucket>,
}

/// An average of what comes a second.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    per_s: f64,
    at: Tick,
    /// When the first came.
    since: Option<Tick>,
}

impl Average {
    fn add(&mut self, units: f64, now: Tick) {
        self.since.get_or_insert(now);
        self.fade(now);
        self.per_s += units / AVERAGED.as_secs_f64();
    }

    fn fade(&mut self, now: Tick) {
        let passed = now.since(self.at).as_secs_f64();
        self.per_s *= (-passed / AVERAGED.as_secs_f64()).exp();
        self.at = now;
    }

    /// Gives what comes a second. In the first seconds the average covers less than its time, and would tell of a small part of
    /// the load.
    fn get(&mut self, now: Tick) -> f64 {
        self.fade(now);
        let span = now.since(self.since.unwrap_or(now)).max(SHORTEST);
        let covered = 1.0 - (-span.as_secs_f64() / AVERAGED.as_secs_f64()).exp();
        self.per_s / covered
    }
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate")
            .field("place", &self.place)
            .finish_non_exhaustive()
    }
}

/// How units are taken.
#[derive(Clone, Copy)]
enum Take {
    /// Only if all are there.
    Whole,
    /// Also if a large request leaves less than nothing.
    Overdraw,
}

impl Gateway {
    /// Makes what requests share.
    #[must_use]
    pub fn new(
        dialect: Box<dyn HeaderCodec>,
        shared: Arc<Shared>,
        place: HostSettings,
        lender: QuotaBorrower,
        (clock, logger): (Clock, Logger),
    ) -> Self {
        Self {
            dialect,
            shared,
            lender,
            began: RefCell::new(Began::new(place.usage_window)),
            place,
            clock,
            logger,
            upstreams: RefCell::default(),
            pool: RefCell::default(),
            buckets: RefCell::default(),
            repeats: RefCell::default(),
            loads: RefCell::default(),
            readings: RefCell::default(),
            lines: RefCell::new(Bucket::new(LINES_PER_S, Tick::default())),
        }
    }

    /// Takes over what other threads have brought, and tells them what the next beat says.
    pub fn exchange(&self) {
        if let Some((list, asked)) = self.shared.list.lock().take() {
            let ended = self.upstreams.borrow_mut().update(list, asked);
            if !ended.is_empty() {
                slog::info!(self.logger, "upstreams leave"; "upstreams" => ended.join(","));
            }
        }
        if let Some((signs, told)) = self.shared.signs.lock().take() {
            self.upstreams.borrow_mut().take_signs(&signs, told);
        }
        self.pool.borrow_mut().sweep();
        let mut beat = self.shared.beat.lock();
        beat.began.clone_from(self.began.borrow().counts());
        beat.signs = self.upstreams.borrow().signs(self.clock.now());
        beat.spare = self.spare();
        beat.load.clone_from(&self.loads.borrow());
        let now = self.clock.now();
        for (service, average) in self.readings.borrow_mut().iter_mut() {
            beat.load.entry(service.clone()).or_default().reading = average.get(now);
        }
    }

    /// Takes a request's units from its account's quota: from the own part, or else from what the leader lends.
    ///
    /// # Errors
    /// Tells how long it would have to wait when there is no room for it.
    pub async fn admit(&self, account: &ClientAccount, asked: &RequestInfo) -> Result<f64, OverQuota> {
        let Some(quota) = account.quota else {
            return Ok(0.0);
        };
        let tokens = asked.tokens.map(|tokens| (tokens.prompt + tokens.max_output) as f64);
        let units = if quota.tokens {
            tokens.unwrap_or(quota.plain)
        } else {
            1.0
        };
        if self.take(account, &quota, units, Take::Whole).is_ok() {
            return Ok(units);
        }
        match self.lender.lend(&account.name, units).await {
            Some(true) => Ok(units),
            Some(false) => self.take(account, &quota, units, Take::Whole).map(|()| units),
            // Without a leader each entry host goes on with its own part, and large requests may overdraw it.
            None => self.take(account, &quota, units, Take::Overdraw).map(|()| units),
        }
    }

    fn take(&self, account: &ClientAccount, quota: &Quota, units: f64, how: Take) -> Result<(), OverQuota> {
        let now = self.clock.now();
        let part = self.part();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(account.name.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(quota.burst * part, now));
        bucket.set(quota.per_s * part, self.burst(quota.burst, part), now);
        match how {
            Take::Whole => bucket.take_whole(units, now),
            Take::Overdraw => bucket.take(units, now),
        }
    }

    /// Gives back what a request took that no upstream ran.
    pub fn give_back(&self, account: &str, units: f64) {
        if let Some(bucket) = self.buckets.borrow_mut().get_mut(account) {
            bucket.refund(units);
        }
    }

    /// Fills every account's bucket from now on, so that a first request finds what its part has saved up. Before the part
    /// was told, there is none to begin with.
    pub fn fill_buckets(&self) {
        if self.shared.parts.load().is_none() {
            return;
        }
        let Some(table) = self.shared.table.load_full() else {
            return;
        };
        let now = self.clock.now();
        let mut buckets = self.buckets.borrow_mut();
        for account in table.accounts() {
            let Some(quota) = account.quota else {
                continue;
            };
            let part = self.part();
            let bucket = buckets.entry(account.name.clone());
            let bucket = bucket.or_insert_with(|| Bucket::new(quota.burst * part, now));
            bucket.set(quota.per_s * part, self.burst(quota.burst, part), now);
        }
    }

    /// Gives the units of each account that came while its part was full, since the start.
    fn spare(&self) -> BTreeMap<String, u64> {
        let buckets = self.buckets.borrow();
        let spare = buckets
            .iter()
            .map(|(account, bucket)| (account.clone(), bucket.overflow() as u64));
        spare.filter(|(_, units)| *units > 0).collect()
    }

    /// Gives what may be saved up: the part of the burst and a part of the slack. Callers meet entry hosts by chance, so that
    /// each needs room for more than its share for a while.
    fn burst(&self, burst: f64, part: f64) -> f64 {
        burst * part + self.place.quota_slack.per_entry(self.entries())
    }

    fn part(&self) -> f64 {
        self.shared.parts.load().map_or(UNTOLD, |parts| parts.floor)
    }

    /// Gives what is known of a service's model engines, if it has some.
    #[must_use]
    pub fn engine(&self, service: &ServiceName) -> Option<EngineSpec> {
        self.shared.table.load().as_ref()?.service(service)?.engine
    }

    /// Gives the number of entry hosts that share limits, as far as known.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.shared
            .parts
            .load()
            .map_or(UNTOLD_ENTRIES, |parts| parts.entries.max(1))
    }

    /// Tells whether an ordinary decision may be logged now; the others are counted.
    #[must_use]
    pub fn may_log(&self) -> bool {
        let now = self.clock.now();
        let mut lines = self.lines.borrow_mut();
        lines.set(LINES_PER_S, LINES_PER_S, now);
        let may = lines.take_whole(1.0, now).is_ok();
        if !may {
            counter!("gentian_gateway_lines_left_out_total").increment(1);
        }
        may
    }

    /// Notes a request for a service.
    pub fn note_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        let mut repeats = self.repeats.borrow_mut();
        let repeats = repeats.entry(service.clone()).or_default();
        repeats.record_request(now, &self.place.retries);
    }

    /// Takes a repeated send from the service's budget, if one is left.
    #[must_use]
    pub fn may_repeat(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let mut repeats = self.repeats.borrow_mut();
        let repeats = repeats.entry(service.clone()).or_default();
        repeats.take(now, &self.place.retries, self.entries())
    }

    /// Notes a prompt that was sent to an upstream, which reads for so many milliseconds.
    pub fn note_reading(&self, service: &ServiceName, ms: f64) {
        let now = self.clock.now();
        let mut readings = self.readings.borrow_mut();
        readings.entry(service.to_string()).or_default().add(ms / 1_000.0, now);
    }

    /// Notes that a service's own running requests change in number.
    pub fn note_running(&self, service: &ServiceName, by: f64) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(service.to_string()).or_default();
        load.running = (load.running + by).max(0.0);
    }
}
