//! What the entry knows of each upstream beyond the configuration, and the choice that rests on it.

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

/// Blocks of prompts that are remembered; each takes 32 bytes, 8 MiB in all.
const HISTORY: usize = 256 * 1024;
/// Age at which a load report no longer counts until the pace of polling is known.
const EXPIRY_MS: u64 = 3_000;
/// How often a choice is made anew when another request took the probe of a breaker.
const PROBE_RACES: usize = 4;

/// All upstreams.
#[derive(Debug)]
pub struct Fleet {
    /// The lives of the hosts.
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

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The model or service.
    pub target: &'a Target,
    /// The prompt's blocks; empty for services.
    pub prefix: &'a Prefix,
    /// Lengths of prompt and answer.
    pub need: RequestNeed,
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamId],
}

/// What one host may run at once at everything that serves one thing.
#[derive(Clone, Debug)]
pub struct Size {
    /// The model or service.
    pub target: Target,
    /// Requests at once.
    pub slots: usize,
    /// Time from the sending of a request to its first token; zero for services.
    pub first: Duration,
}

impl Fleet {
    /// Makes an empty fleet.
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

    /// Takes over the upstreams of a view if it is newer than the index.
    pub fn refresh(&self, view: &View) {
        if self.index.load().revision >= view.config.revision {
            return;
        }
        // Requests go on with the index before while another thread makes the next one. Before the first one there is
        // nothing to go on with: requests that came together would be refused but for the one that makes it.
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

    /// Chooses an upstream among those that serve what is needed; a probe of an open breaker is taken with it.
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
        // All of the few candidates are barred, as when a data centre's hosts leave at once: whoever is left will do.
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

    /// Gives the homes of the prompt's conversation, if it has one.
    fn homes(&self, group: &UpstreamGroup, prefix: &Prefix) -> Vec<usize> {
        let home = self.rules.routing == Routing::Cost && self.rules.with(Ablation::Home);
        let session = prefix.session().filter(|_| home);
        session.map_or_else(Vec::new, |session| group.homes(session.key).to_vec())
    }

    /// Gives the home that counts now: the first whose host takes work, on which all entry hosts soon agree.
    fn home(&self, pool: &Pool, homes: &[usize]) -> Option<usize> {
        let takes_work = |at: &&usize| {
            pool.rows
                .get(**at)
                .is_some_and(|row| self.hosts.takes_work(&row.spec.host))
        };
        homes.iter().find(takes_work).copied()
    }

    /// Gives the words that an upstream would hold as the home of the prompt's conversation.
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

    /// Notes that an upstream holds a prefix that was moved there.
    pub fn holds(&self, upstream: &UpstreamId, prefix: &Prefix, now: Tick) {
        if let Some(row) = self.index.load().rows.get(upstream) {
            self.history.lock().store(prefix, row.member.number, now);
        }
    }

    /// Notes how an attempt ended.
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

    /// Takes in what another process or the cloud told about a host.
    pub fn sign(&self, sign: &HostSignal, now: Tick) {
        if !self.hosts.hear(sign, now) {
            return;
        }
        if let Some(spec) = self.index.load().host(&sign.host) {
            self.waves.write().note(&spec.host.zone, now);
        }
    }

    /// Takes over a load report from a peer; the age is that at the time of arrival.
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
        // An upstream that refused a connection is read by one entry host only. Unless the others take that one's word,
        // they would doubt its host for ever, and their callers would be refused although it has long been back.
        self.hosts.answered(&row.spec.host, now);
    }

    /// Gives the load reports that this host read itself after a time.
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

    /// Gives the requests that this host may run at once, by what they need, of those that all entry hosts may run.
    ///
    /// Each host keeps what it runs and takes a part of the room that the last reports show, in proportion to what it
    /// runs already. The parts of all hosts add up to the room, so that they can't all rush into the same free slots
    /// before the next report; a host always has its even part of the slots, so that none is kept out by those that
    /// came first. Without this, engines queue what entry hosts should refuse in time.
    #[must_use]
    pub fn sizes(&self, hosts: usize, now: Tick) -> Vec<Size> {
        let index = self.index.load();
        let expiry = self.expiry();
        let size = |row: &Row, ease: f64| {
            let state = row.member.state.lock();
            let load = state.load.predict(now, expiry, true);
            let own = f64::from(load.own_requests);
            // Requests that still run where nothing new goes keep their places and take none elsewhere.
            if !self.hosts.takes_work(&row.spec.host) {
                return own;
            }
            if !state.breaker.allows(now) || state.breaker.probe_at().is_some() {
                // A probe needs a slot, or the breaker would never close.
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

    /// Gives the memory that the history of prefixes takes, in bytes.
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
