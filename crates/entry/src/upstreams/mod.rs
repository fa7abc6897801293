//! The runtime state of all upstreams (load, breaker, cache contents) and the routing of requests to them.

pub mod events;
mod in_flight;
mod index;
pub mod poll;
pub mod prompt;
mod reclaim_rates;
mod state;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::{DataCenter, Revision, UpstreamId};
use metrics::counter;
use parking_lot::{Mutex, RwLock};
use policy::load::LoadReport;
use policy::prefix::{Prefix, PrefixIndex};
use policy::route::{
    Ablation, Candidate, Choice, ProposedCandidate, Reason, RequestNeed, Routing, RoutingRules, Target, UpstreamGroup,
    choose,
};
use policy::{Tick, duration_from_secs};
use telemetry::Clock;
use wire::digest::LoadDigest;
use wire::entry::HostSignal;

use crate::active_config::ConfigView;
use crate::hosts::HostTracker;
pub use in_flight::InFlight;
use index::{NumberSource, TargetPool, Upstream, UpstreamIndex, digest_key};
use reclaim_rates::ReclaimRates;

/// Prompt blocks whose location is remembered; each takes 32 bytes, 8 MiB in all.
const MAX_HISTORY_BLOCKS: usize = 256 * 1024;
/// Age at which a load report expires, until the poll interval is known.
const INITIAL_EXPIRY_MS: u64 = 3_000;
/// Routing attempts for one request when other requests take the half-open breaker probe of the chosen upstream first.
const MAX_PROBE_ATTEMPTS: usize = 4;

/// All upstreams of the configuration with their runtime state.
#[derive(Debug)]
pub struct Upstreams {
    /// Life-cycle state of the upstreams' hosts.
    pub hosts: HostTracker,
    clock: Clock,
    rules: RoutingRules,
    data_center: DataCenter,
    index: ArcSwap<UpstreamIndex>,
    numbers: Mutex<NumberSource>,
    history: Mutex<PrefixIndex>,
    reclaim_rates: RwLock<ReclaimRates>,
    expiry_ms: AtomicU64,
    turn: AtomicU64,
}

/// The input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The requested model or service.
    pub target: &'a Target,
    /// Hashed blocks of the prompt; empty for services.
    pub prefix: &'a Prefix,
    /// Expected tokens of prompt and answer.
    pub need: RequestNeed,
    /// Upstreams that must not be chosen because an attempt there failed.
    pub tried: &'a [UpstreamId],
}

/// The number of requests that this entry host may run at once at all upstreams of one target.
#[derive(Clone, Debug)]
pub struct TargetSlots {
    /// The model or service that the slots belong to.
    pub target: Target,
    /// Number of concurrent requests.
    pub slots: usize,
    /// Expected time from sending a request to its first token; zero for services.
    pub first_token: Duration,
}

impl Upstreams {
    /// Creates the state without upstreams; [`Self::refresh`] adds those of the configuration.
    #[must_use]
    pub fn new(clock: Clock, rules: RoutingRules, data_center: DataCenter) -> Self {
        Self {
            hosts: HostTracker::default(),
            clock,
            rules,
            data_center,
            index: ArcSwap::default(),
            numbers: Mutex::default(),
            history: Mutex::new(PrefixIndex::new(MAX_HISTORY_BLOCKS)),
            reclaim_rates: RwLock::default(),
            expiry_ms: AtomicU64::new(INITIAL_EXPIRY_MS),
            turn: AtomicU64::new(0),
        }
    }

    /// Rebuilds the index from a configuration view if the view is newer.
    pub fn refresh(&self, view: &ConfigView) {
        if self.index.load().revision >= view.config.revision {
            return;
        }
        // While one thread rebuilds the index, the others route with the previous one. The first index has no
        // predecessor: every thread waits for it, because requests that arrive together would otherwise be refused, all
        // but the one that builds it.
        let first = self.index.load().revision == Revision::default();
        let numbers = if first {
            Some(self.numbers.lock())
        } else {
            self.numbers.try_lock()
        };
        let Some(mut numbers) = numbers else {
            return;
        };
        let previous = self.index.load_full();
        if previous.revision < view.config.revision {
            self.index
                .store(Arc::new(previous.rebuild(view, &self.data_center, &mut numbers)));
        }
    }

    /// Chooses an upstream that serves the target. If the breaker of the upstream is half open, the choice claims its
    /// probe. Returns `None` if no upstream can take the request.
    pub fn choose(&self, view: &ConfigView, request: &RouteRequest<'_>, now: Tick) -> Option<Choice> {
        self.refresh(view);
        let index = self.index.load();
        let pool = index.pools.get(request.target)?;
        for _ in 0..MAX_PROBE_ATTEMPTS {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let choice = self.pick(pool, request, turn, now)?;
            let upstream = index.upstreams.get(&choice.chosen)?;
            if upstream.state.stats.lock().breaker.claim(now) {
                return Some(choice);
            }
        }
        None
    }

    fn pick(&self, pool: &TargetPool, request: &RouteRequest<'_>, turn: u64, now: Tick) -> Option<Choice> {
        let need = RequestNeed { turn, ..request.need };
        let homes = self.homes(&pool.group, request.prefix);
        let proposed = self.propose(&pool.group, &homes, request.prefix, turn);
        if let Some(session) = request.prefix.session() {
            pool.rates.lock().record_turn(session.earlier_words > 0);
        }
        let rates = *pool.rates.lock();
        let choice = choose(
            &self.rules,
            &self.candidates(pool, &proposed, &homes, request, now),
            &need,
            &rates,
        );
        if choice.is_some() || proposed.len() == pool.upstreams.len() {
            return choice;
        }
        // All proposed candidates are barred, as when the hosts of a data centre leave together: consider every
        // upstream.
        counter!("gentian_choices_widened_total").increment(1);
        let reason = Reason::All;
        let all_upstreams: Vec<ProposedCandidate> = (0..pool.upstreams.len())
            .map(|at| ProposedCandidate { index: at, reason })
            .collect();
        let mut available = self.candidates(pool, &all_upstreams, &homes, request, now);
        available.retain(|candidate| candidate.exclusion.is_none());
        choose(&self.rules, &available, &need, &rates)
    }

    fn propose(&self, group: &UpstreamGroup, homes: &[usize], prefix: &Prefix, turn: u64) -> Vec<ProposedCandidate> {
        if self.rules.routing != Routing::Cost {
            return group.rotation(turn);
        }
        let with_prefix = !prefix.blocks().is_empty();
        let holders: Vec<u32> = if with_prefix && self.rules.with(Ablation::Affinity) {
            let held = self.history.lock().holders(prefix);
            held.iter().map(|holder| holder.upstream).collect()
        } else {
            Vec::new()
        };
        let lead = (with_prefix && self.rules.with(Ablation::Rendezvous)).then(|| prefix.leading_hash());
        group.propose(homes, lead, &holders, turn)
    }

    /// Returns the upstreams that the conversation of a prompt is assigned to by rendezvous hashing, in order of
    /// preference.
    fn homes(&self, group: &UpstreamGroup, prefix: &Prefix) -> Vec<usize> {
        let use_home = self.rules.routing == Routing::Cost && self.rules.with(Ablation::Home);
        let session = prefix.session().filter(|_| use_home);
        session.map_or_else(Vec::new, |session| group.homes(session.key).to_vec())
    }

    /// Returns the first of the homes whose host takes work; all entry hosts soon agree on it.
    fn active_home(&self, pool: &TargetPool, homes: &[usize]) -> Option<usize> {
        let takes_work = |at: &&usize| {
            pool.upstreams
                .get(**at)
                .is_some_and(|upstream| self.hosts.takes_work(&upstream.spec.host))
        };
        homes.iter().find(takes_work).copied()
    }

    /// Returns the number of words that an upstream would have in its cache as the home of the prompt's conversation.
    fn home_cached_words(&self, upstream: &Upstream, prefix: &Prefix) -> Option<u64> {
        let earlier_words = prefix
            .session()
            .map(|session| session.earlier_words)
            .filter(|earlier_words| *earlier_words > 0)?;
        let index = self.index.load();
        let pool = index.pools.get(&Target::of(&upstream.spec))?;
        let at = self.active_home(pool, &self.homes(&pool.group, prefix))?;
        (pool.upstreams[at].spec.id == upstream.spec.id).then_some(earlier_words)
    }

    fn candidates<'a>(
        &self,
        pool: &'a TargetPool,
        proposed: &[ProposedCandidate],
        homes: &[usize],
        request: &RouteRequest<'_>,
        now: Tick,
    ) -> Vec<Candidate<'a>> {
        let numbers: Vec<u32> = proposed
            .iter()
            .map(|member| pool.upstreams[member.index].state.number)
            .collect();
        let held = if self.rules.with(Ablation::Affinity) {
            self.history.lock().cached_words(request.prefix, &numbers)
        } else {
            vec![0; numbers.len()]
        };
        let expiry = self.expiry();
        let reclaim_rates = self.reclaim_rates.read();
        let earlier_words = request.prefix.session().map_or(0, |session| session.earlier_words) as f64;
        let rates = *pool.rates.lock();
        let home_words = earlier_words * rates.cached_share;
        let home = self.active_home(pool, homes);
        let candidate = |(proposed, held): (&ProposedCandidate, u64)| {
            let upstream = &pool.upstreams[proposed.index];
            let spec = upstream.spec.as_ref();
            let stats = upstream.state.stats.lock();
            let trust = if self.rules.with(Ablation::CacheEvents) {
                stats.trust.share()
            } else {
                1.0
            };
            Candidate {
                id: &spec.id,
                reason: proposed.reason,
                class: spec.host.class,
                price: spec.host.price,
                slots: (f64::from(spec.slots) * rates.usable_share).ceil() as u32,
                local: spec.host.data_center == self.data_center,
                reclaims_per_hour: reclaim_rates.per_hour(&spec.host.zone, now),
                load: stats.load.predict(now, expiry, self.rules.with(Ablation::Corrections)),
                cached: (held as f64 * trust).max(if home == Some(proposed.index) { home_words } else { 0.0 }) as u64,
                home: home.is_none_or(|at| at == proposed.index),
                exclusion: stats.exclusion(
                    !self.hosts.takes_work(&spec.host),
                    request.tried.contains(&spec.id),
                    now,
                ),
            }
        };
        proposed.iter().zip(held).map(candidate).collect()
    }

    /// Records that an upstream's cache holds a prefix that was copied there.
    pub fn record_copy(&self, id: &UpstreamId, prefix: &Prefix, now: Tick) {
        if let Some(upstream) = self.index.load().upstreams.get(id) {
            self.history.lock().store(prefix, upstream.state.number, now);
        }
    }

    /// Records the result of an attempt in the upstream's breaker.
    pub fn record_result(&self, id: &UpstreamId, succeeded: bool, now: Tick) {
        if let Some(upstream) = self.index.load().upstreams.get(id) {
            let mut stats = upstream.state.stats.lock();
            if succeeded {
                stats.breaker.succeeded();
            } else {
                stats.breaker.failed(now);
            }
        }
    }

    /// Applies a signal about the life cycle of a host, from another process or from the cloud API.
    pub fn apply_signal(&self, signal: &HostSignal, now: Tick) {
        if !self.hosts.apply_signal(signal, now) {
            return;
        }
        if let Some(spec) = self.index.load().upstream_on(&signal.host) {
            self.reclaim_rates.write().record(&spec.host.zone, now);
        }
    }

    /// Records a load report that a peer polled; its age is the age on arrival.
    pub fn record_report(&self, load: &LoadDigest, now: Tick) {
        let index = self.index.load();
        let Some(upstream) = index.keys.get(&load.upstream).and_then(|id| index.upstreams.get(id)) else {
            counter!("gentian_digest_loads_unknown_total").increment(1);
            return;
        };
        let report = LoadReport {
            measured_at: now - Duration::from_millis(u64::from(load.age_ms)),
            running: load.running,
            waiting: load.waiting,
            kv_used: f32::from(load.kv_used) / 1_000.0,
        };
        upstream.state.stats.lock().load.update(report);
        // Only one entry host polls each upstream. After a refused connection the others rely on its reports to learn
        // that the host is back; otherwise they would suspect the host for ever and refuse their callers.
        self.hosts.record_response(&upstream.spec.host, now);
    }

    /// Returns the load reports that this host polled itself after a point in time.
    #[must_use]
    pub fn polled_since(&self, after: Option<Tick>, now: Tick) -> Vec<LoadDigest> {
        let index = self.index.load();
        let reports = index.upstreams.values().filter_map(|upstream| {
            let stats = upstream.state.stats.lock();
            if stats.last_poll <= after {
                return None;
            }
            let report = stats.load.newest()?;
            Some(LoadDigest {
                upstream: digest_key(&upstream.spec.id),
                age_ms: now.since(report.measured_at).as_millis() as u32,
                running: report.running,
                waiting: report.waiting,
                kv_used: (report.kv_used * 1_000.0) as u16,
            })
        });
        reports.collect()
    }

    /// Returns this host's part of the upstreams' slots, by target.
    ///
    /// Each host keeps the slots of its running requests and takes a part of the free slots in the last reports, in
    /// proportion to the requests that it runs. The parts of all hosts add up to the free slots, so that the hosts
    /// can't all fill the same slots before the next report. A host always gets at least an equal part of all slots, so
    /// that earlier hosts can't keep a new one out. Without this division, engines would queue requests that entry
    /// hosts should refuse in time.
    #[must_use]
    pub fn slot_shares(&self, hosts: usize, now: Tick) -> Vec<TargetSlots> {
        let index = self.index.load();
        let expiry = self.expiry();
        let host_slots = |upstream: &Upstream, usable_share: f64| {
            let stats = upstream.state.stats.lock();
            let load = stats.load.predict(now, expiry, true);
            let own_requests = f64::from(load.own_requests);
            // A host that takes no new work counts only for the requests that still run there.
            if !self.hosts.takes_work(&upstream.spec.host) {
                return own_requests;
            }
            if !stats.breaker.allows(now) || stats.breaker.probe_at().is_some() {
                // The probe needs a slot, or the breaker would never close.
                return own_requests.max(1.0);
            }
            let slots = f64::from(upstream.spec.slots) * usable_share;
            let hosts = hosts.max(1) as f64;
            let total = load.reported.unwrap_or(slots).max(own_requests);
            let part = (own_requests + 1.0) / (total + hosts);
            (own_requests + (slots - total) * part).max(slots / hosts)
        };
        let sizes = index.pools.iter().map(|(target, pool)| {
            let rates = *pool.rates.lock();
            let slots: f64 = pool
                .upstreams
                .iter()
                .map(|upstream| host_slots(upstream, rates.usable_share))
                .sum();
            TargetSlots {
                target: target.clone(),
                slots: slots.floor() as usize,
                first_token: duration_from_secs(rates.first_token_ms / 1_000.0),
            }
        });
        sizes.collect()
    }

    /// Returns the memory of the prefix history, in bytes.
    #[must_use]
    pub fn history_bytes(&self) -> usize {
        self.history.lock().bytes()
    }

    fn expiry(&self) -> Duration {
        if self.rules.with(Ablation::ReportExpiry) {
            Duration::from_millis(self.expiry_ms.load(Ordering::Relaxed))
        } else {
            Duration::MAX
        }
    }
}
