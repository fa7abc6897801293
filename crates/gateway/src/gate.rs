//! What all requests of an entry host share.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use contract::{ClientAccount, ServiceName, Zone};
use parking_lot::Mutex;
use policy::Tick;
use policy::quota::{Bucket, Over};
use policy::retries::{Bounds, Repeats};
use slog::Logger;
use telemetry::Clock;
use upstream::directory::Listed;
use wire::registry::{Beat, Parts, ServiceLoad};

use crate::dialect::{Asked, Dialect};
use crate::pool::Pool;
use crate::table::Table;
use crate::upstreams::Upstreams;
use crate::usage::Began;

/// Part of every limit that an entry host uses before it was told its own: there may be as many as a large deployment has.
const UNTOLD: f64 = 1.0 / 64.0;
/// Entry hosts that are assumed before their number was told.
const UNTOLD_ENTRIES: u32 = 32;
/// Part of the slack that is used. Entry hosts that restart, or are counted late, may add to it what their part was.
const SLACK_USED: f64 = 0.75;
/// Time over which demand is averaged.
const DEMAND: Duration = Duration::from_secs(2);

/// What the threads beside the event loop give to it, and take from it.
#[derive(Debug, Default)]
pub struct Shared {
    /// The catalog in force here.
    pub table: ArcSwapOption<Table>,
    /// The parts that were told last, and until when they hold.
    pub parts: ArcSwap<Option<(Parts, Tick)>>,
    /// A list that was read and not taken over yet, with the time at which it was asked for.
    pub list: Mutex<Option<(Vec<Listed>, Tick)>>,
    /// What the next beat tells.
    pub beat: Mutex<Beat>,
}

/// Fixed properties of an entry host.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its data centre.
    pub zone: Zone,
    /// Bounds of repeated sends.
    pub repeats: Bounds,
    /// Units beyond an account's quota that all entry hosts together may let pass in a window.
    pub slack: f64,
    /// Length of a window of usage.
    pub window: Duration,
}

/// What all requests share.
pub struct Gate {
    /// What headers say.
    pub dialect: Box<dyn Dialect>,
    /// What other threads share.
    pub shared: Arc<Shared>,
    /// Fixed properties.
    pub place: Place,
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
    buckets: RefCell<HashMap<String, Bucket>>,
    repeats: RefCell<HashMap<ServiceName, Repeats>>,
    demand: RefCell<BTreeMap<String, Demand>>,
    loads: RefCell<BTreeMap<String, ServiceLoad>>,
}

impl std::fmt::Debug for Gate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate")
            .field("place", &self.place)
            .finish_non_exhaustive()
    }
}

/// What an account asks for lately, in units a second.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    at: Tick,
}

impl Demand {
    fn add(&mut self, units: f64, now: Tick) {
        self.fade(now);
        self.per_s += units / DEMAND.as_secs_f64();
    }

    fn fade(&mut self, now: Tick) {
        let passed = now.since(self.at).as_secs_f64();
        self.per_s *= (-passed / DEMAND.as_secs_f64()).exp();
        self.at = now;
    }
}

impl Gate {
    /// Makes what requests share.
    #[must_use]
    pub fn new(dialect: Box<dyn Dialect>, shared: Arc<Shared>, place: Place, clock: Clock, logger: Logger) -> Self {
        Self {
            dialect,
            shared,
            began: RefCell::new(Began::new(place.window)),
            place,
            clock,
            logger,
            upstreams: RefCell::default(),
            pool: RefCell::default(),
            buckets: RefCell::default(),
            repeats: RefCell::default(),
            demand: RefCell::default(),
            loads: RefCell::default(),
        }
    }

    /// Takes over what other threads have brought, and tells them what the next beat says.
    pub fn exchange(&self) {
        let now = self.clock.now();
        if let Some((list, asked)) = self.shared.list.lock().take() {
            let ended = self.upstreams.borrow_mut().update(list, asked);
            if !ended.is_empty() {
                slog::info!(self.logger, "upstreams leave"; "upstreams" => ended.join(","));
            }
        }
        self.pool.borrow_mut().sweep();
        let mut beat = self.shared.beat.lock();
        beat.demand = self.demands(now);
        beat.began.clone_from(self.began.borrow().counts());
        beat.load.clone_from(&self.loads.borrow());
    }

    fn demands(&self, now: Tick) -> BTreeMap<String, f64> {
        let mut demand = self.demand.borrow_mut();
        for one in demand.values_mut() {
            one.fade(now);
        }
        demand
            .iter()
            .map(|(account, one)| (account.clone(), one.per_s))
            .collect()
    }

    /// Takes a request's units from its account's quota.
    ///
    /// # Errors
    /// Tells how long it would have to wait when there is no room for it.
    pub fn admit(&self, account: &ClientAccount, asked: &Asked) -> Result<f64, Over> {
        let Some(quota) = account.quota else {
            return Ok(0.0);
        };
        let now = self.clock.now();
        let tokens = asked.tokens.map(|tokens| (tokens.prompt + tokens.answer) as f64);
        let units = if quota.tokens {
            tokens.unwrap_or(quota.plain)
        } else {
            1.0
        };
        self.demand
            .borrow_mut()
            .entry(account.name.clone())
            .or_default()
            .add(units, now);
        let part = self.part(&account.name, now);
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(account.name.clone()).or_insert_with(|| Bucket::new(now));
        bucket.set(quota.per_s * part, self.burst(quota.burst, part), now);
        bucket.take(units, now).map(|()| units)
    }

    /// Gives back what a request took that no upstream ran.
    pub fn give_back(&self, account: &str, units: f64) {
        if let Some(bucket) = self.buckets.borrow_mut().get_mut(account) {
            bucket.give_back(units);
        }
    }

    /// Fills every account's bucket from now on, so that a first request finds what its part has saved up.
    pub fn fill_buckets(&self) {
        let Some(table) = self.shared.table.load_full() else {
            return;
        };
        let now = self.clock.now();
        let mut buckets = self.buckets.borrow_mut();
        for account in &table.catalog().accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let part = self.part(&account.name, now);
            let bucket = buckets.entry(account.name.clone()).or_insert_with(|| Bucket::new(now));
            bucket.set(quota.per_s * part, self.burst(quota.burst, part), now);
        }
    }

    /// Gives what may be saved up: the part of the burst and an even part of the slack. Callers meet entry hosts by chance,
    /// so that each needs room for more than its share for a while.
    fn burst(&self, burst: f64, part: f64) -> f64 {
        burst * part + self.place.slack * SLACK_USED / f64::from(self.entries())
    }

    fn part(&self, account: &str, now: Tick) -> f64 {
        match &**self.shared.parts.load() {
            Some((parts, until)) if now < *until => {
                let even = 1.0 / f64::from(parts.entries.max(1));
                parts.quotas.get(account).copied().unwrap_or(even)
            }
            Some((parts, _)) => parts.floor,
            None => UNTOLD,
        }
    }

    /// Gives the number of entry hosts that share limits, as far as known.
    #[must_use]
    pub fn entries(&self) -> u32 {
        match &**self.shared.parts.load() {
            Some((parts, _)) => parts.entries.max(1),
            None => UNTOLD_ENTRIES,
        }
    }

    /// Notes a request for a service.
    pub fn note_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        let mut repeats = self.repeats.borrow_mut();
        let repeats = repeats.entry(service.clone()).or_default();
        repeats.request(now, &self.place.repeats);
    }

    /// Takes a repeated send from the service's budget, if one is left.
    #[must_use]
    pub fn may_repeat(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let mut repeats = self.repeats.borrow_mut();
        let repeats = repeats.entry(service.clone()).or_default();
        repeats.take(now, &self.place.repeats, self.entries())
    }

    /// Notes that a service's own running requests change in number.
    pub fn note_running(&self, service: &ServiceName, by: f64) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(service.to_string()).or_default();
        load.running = (load.running + by).max(0.0);
    }
}
