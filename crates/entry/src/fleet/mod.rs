//! The runtime state of all upstreams (load, breaker, cache contents) and the routing of requests to them.

pub mod events;
mod index;
mod member;
pub mod poll;
pub mod prompt;
mod visit;
mod waves;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::{DataCenter, Revision, UpstreamId};
use metrics::counter;
use parking_lot::{Mutex, RwLock};
use policy::Tick;
use policy::load::LoadReport;
use policy::prefix::{Prefix, PrefixIndex};
use policy::route::{
    Ablation, Candidate, Choice, ProposedCandidate, Reason, RequestNeed, Routing, RoutingRules, Target, UpstreamGroup,
    choose,
};
use telemetry::Clock;
use wire::digest::LoadDigest;
use wire::entry::HostSignal;

use crate::current::View;
use crate::hosts::Hosts;
use index::{Index, Numbers, Pool, Row, short_key};
pub use visit::Visit;
use waves::Waves;

/// Prompt blocks whose location is remembered; each takes 32 bytes, 8 MiB in all.
const HISTORY: usize = 256 * 1024;
/// Age at which a load report expires, until the poll interval is known.
const EXPIRY_MS: u64 = 3_000;
/// Routing attempts for one request when other requests take the half-open breaker probe of the chosen upstream first.
const PROBE_RACES: usize = 4;

/// All upstreams of the configuration with their runtime state.
#[derive(Debug)]
pub struct Fleet {
    /// Life-cycle state of the upstreams' hosts.
    pub hosts: Hosts,
    clock: Clock,
    rules: RoutingRules,
    place: DataCenter,
    index: ArcSwap<Index>,
    numbers: Mutex<Numbers>,
    history: Mutex<PrefixIndex>,
    waves: RwLock<Waves>,
    expiry_ms: AtomicU64,
    turn: AtomicU64,
}

/// The input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
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
pub struct Size {
    /// The model or service that the slots belong to.
    pub target: Target,
    /// Number of concurrent requests.
    pub slots: usize,
    /// Expected time from sending a request to its first token; zero for services.
    pub first: Duration,
}

impl Fleet {
    /// Creates the state without upstreams; [`Self::refresh`] adds those of the configuration.
    #[must_use]
    pub fn new(clock: Clock, rules: RoutingRules, place: DataCenter) -> Self {
        Self {
            hosts: Hosts::default(),
            clock,
            rules,
            place,
            index: ArcSwap::default(),
            numbers: Mutex::default(),
            history: Mutex::new(PrefixIndex::new(HISTORY)),
            waves: RwLock::default(),
            expiry_ms: AtomicU64::new(EXPIRY_MS),
            turn: AtomicU64::new(0),
        }
    }

    /// Rebuilds the index from a configuration view if the view is newer.
    pub fn refresh(&self, view: &View) {
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
        let before = self.index.load_full();
        if before.revision < view.config.revision {
            self.index.store(Arc::new(before.next(view, &self.place, &mut numbers)));
        }
    }

    /// Chooses an upstream that serves the target. If the breaker of the upstream is half open, the choice claims its
    /// probe. Returns `None` if no upstream can take the request.
    pub fn choose(&self, view: &View, ask: &Ask<'_>, now: Tick) -> Option<Choice> {
        self.refresh(view);
        let index = self.index.load();
        let pool = index.pools.get(ask.target)?;
        for _ in 0..PROBE_RACES {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let choice = self.weigh(pool, ask, turn, now)?;
            let row = index.rows.get(&choice.chosen)?;
            if row.member.state.lock().breaker.claim(now) {
                return Some(choice);
            }
        }
        None
    }

    fn weigh(&self, pool: &Pool, ask: &Ask<'_>, turn: u64, now: Tick) -> Option<Choice> {
        let need = RequestNeed { turn, ..ask.need };
        let homes = self.homes(&pool.group, ask.prefix);
        let proposed = self.propose(&pool.group, &homes, ask.prefix, turn);
        if let Some(session) = ask.prefix.session() {
            pool.rates.lock().record_turn(session.earlier_words > 0);
        }
        let rates = *pool.rates.lock();
        let found = choose(
            &self.rules,
            &self.candidates(pool, &proposed, &homes, ask, now),
            &need,
            &rates,
        );
        if found.is_some() || proposed.len() == pool.rows.len() {
            return found;
        }
        // All proposed candidates are barred, as when the hosts of a data centre leave together: consider every
        // upstream.
        counter!("gentian_choices_widened_total").increment(1);
        let reason = Reason::All;
        let all: Vec<ProposedCandidate> = (0..pool.rows.len())
            .map(|at| ProposedCandidate { at, reason })
            .collect();
        let mut open = self.candidates(pool, &all, &homes, ask, now);
        open.retain(|candidate| candidate.exclusion.is_none());
        choose(&self.rules, &open, &need, &rates)
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
        let home = self.rules.routing == Routing::Cost && self.rules.with(Ablation::Home);
        let session = prefix.session().filter(|_| home);
        session.map_or_else(Vec::new, |session| group.homes(session.key).to_vec())
    }

    /// Returns the first of the homes whose host takes work; all entry hosts soon agree on it.
    fn home(&self, pool: &Pool, homes: &[usize]) -> Option<usize> {
        let takes_work = |at: &&usize| {
            pool.rows
                .get(**at)
                .is_some_and(|row| self.hosts.takes_work(&row.spec.host))
        };
        homes.iter().find(takes_work).copied()
    }

    /// Returns the number of words that an upstream would have in its cache as the home of the prompt's conversation.
    fn home_words(&self, row: &Row, prefix: &Prefix) -> Option<u64> {
        let begun = prefix
            .session()
            .map(|session| session.earlier_words)
            .filter(|begun| *begun > 0)?;
        let index = self.index.load();
        let pool = index.pools.get(&Target::of(&row.spec))?;
        let at = self.home(pool, &self.homes(&pool.group, prefix))?;
        (pool.rows[at].spec.id == row.spec.id).then_some(begun)
    }

    fn candidates<'a>(
        &self,
        pool: &'a Pool,
        proposed: &[ProposedCandidate],
        homes: &[usize],
        ask: &Ask<'_>,
        now: Tick,
    ) -> Vec<Candidate<'a>> {
        let numbers: Vec<u32> = proposed.iter().map(|p| pool.rows[p.at].member.number).collect();
        let held = if self.rules.with(Ablation::Affinity) {
            self.history.lock().cached_words(ask.prefix, &numbers)
        } else {
            vec![0; numbers.len()]
        };
        let expiry = self.expiry();
        let waves = self.waves.read();
        let begun = ask.prefix.session().map_or(0, |session| session.earlier_words) as f64;
        let rates = *pool.rates.lock();
        let kept = begun * rates.cached_share;
        let home = self.home(pool, homes);
        let candidate = |(proposed, held): (&ProposedCandidate, u64)| {
            let row = &pool.rows[proposed.at];
            let spec = row.spec.as_ref();
            let state = row.member.state.lock();
            let trust = if self.rules.with(Ablation::CacheEvents) {
                state.trust.share()
            } else {
                1.0
            };
            Candidate {
                id: &spec.id,
                reason: proposed.reason,
                class: spec.host.class,
                price: spec.host.price,
                slots: (f64::from(spec.slots) * rates.usable_share).ceil() as u32,
                near: spec.host.data_center == self.place,
                reclaims_per_hour: waves.reclaims(&spec.host.zone, now),
                load: state.load.predict(now, expiry, self.rules.with(Ablation::Corrections)),
                cached: (held as f64 * trust).max(if home == Some(proposed.at) { kept } else { 0.0 }) as u64,
                home: home.is_none_or(|at| at == proposed.at),
                exclusion: state.barred(!self.hosts.takes_work(&spec.host), ask.tried.contains(&spec.id), now),
            }
        };
        proposed.iter().zip(held).map(candidate).collect()
    }

    /// Records that an upstream's cache holds a prefix that was copied there.
    pub fn holds(&self, upstream: &UpstreamId, prefix: &Prefix, now: Tick) {
        if let Some(row) = self.index.load().rows.get(upstream) {
            self.history.lock().store(prefix, row.member.number, now);
        }
    }

    /// Records the result of an attempt in the upstream's breaker.
    pub fn ended(&self, upstream: &UpstreamId, good: bool, now: Tick) {
        if let Some(row) = self.index.load().rows.get(upstream) {
            let mut state = row.member.state.lock();
            if good {
                state.breaker.succeeded();
            } else {
                state.breaker.failed(now);
            }
        }
    }

    /// Applies a life-cycle event of a host that another process or the cloud reported.
    pub fn sign(&self, sign: &HostSignal, now: Tick) {
        if !self.hosts.hear(sign, now) {
            return;
        }
        if let Some(spec) = self.index.load().host(&sign.host) {
            self.waves.write().note(&spec.host.zone, now);
        }
    }

    /// Records a load report that a peer polled; its age is the age on arrival.
    pub fn hear(&self, load: &LoadDigest, now: Tick) {
        let index = self.index.load();
        let Some(row) = index.keys.get(&load.upstream).and_then(|id| index.rows.get(id)) else {
            counter!("gentian_digest_loads_unknown_total").increment(1);
            return;
        };
        let report = LoadReport {
            measured_at: now - Duration::from_millis(u64::from(load.age_ms)),
            running: load.running,
            waiting: load.waiting,
            kv_used: f32::from(load.kv_used) / 1_000.0,
        };
        row.member.state.lock().load.update(report);
        // Only one entry host polls each upstream. After a refused connection the others rely on its reports to learn
        // that the host is back; otherwise they would suspect the host for ever and refuse their callers.
        self.hosts.answered(&row.spec.host, now);
    }

    /// Returns the load reports that this host polled itself after a point in time.
    #[must_use]
    pub fn polled(&self, after: Option<Tick>, now: Tick) -> Vec<LoadDigest> {
        let index = self.index.load();
        let rows = index.rows.values().filter_map(|row| {
            let state = row.member.state.lock();
            if state.polled <= after {
                return None;
            }
            let report = state.load.newest()?;
            Some(LoadDigest {
                upstream: short_key(&row.spec.id),
                age_ms: now.since(report.measured_at).as_millis() as u32,
                running: report.running,
                waiting: report.waiting,
                kv_used: (report.kv_used * 1_000.0) as u16,
            })
        });
        rows.collect()
    }

    /// Returns this host's part of the upstreams' slots, by target.
    ///
    /// Each host keeps the slots of its running requests and takes a part of the free slots in the last reports, in
    /// proportion to the requests that it runs. The parts of all hosts add up to the free slots, so that the hosts
    /// can't all fill the same slots before the next report. A host always gets at least an equal part of all slots, so
    /// that earlier hosts can't keep a new one out. Without this division, engines would queue requests that entry
    /// hosts should refuse in time.
    #[must_use]
    pub fn sizes(&self, hosts: usize, now: Tick) -> Vec<Size> {
        let index = self.index.load();
        let expiry = self.expiry();
        let size = |row: &Row, ease: f64| {
            let state = row.member.state.lock();
            let load = state.load.predict(now, expiry, true);
            let own = f64::from(load.own_requests);
            // A host that takes no new work counts only for the requests that still run there.
            if !self.hosts.takes_work(&row.spec.host) {
                return own;
            }
            if !state.breaker.allows(now) || state.breaker.probe_at().is_some() {
                // The probe needs a slot, or the breaker would never close.
                return own.max(1.0);
            }
            let slots = f64::from(row.spec.slots) * ease;
            let hosts = hosts.max(1) as f64;
            let total = load.reported.unwrap_or(slots).max(own);
            let part = (own + 1.0) / (total + hosts);
            (own + (slots - total) * part).max(slots / hosts)
        };
        let sizes = index.pools.iter().map(|(target, pool)| {
            let rates = *pool.rates.lock();
            let slots: f64 = pool.rows.iter().map(|row| size(row, rates.usable_share)).sum();
            Size {
                target: target.clone(),
                slots: slots.floor() as usize,
                first: Duration::from_secs_f64(rates.first_token_ms / 1_000.0),
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
