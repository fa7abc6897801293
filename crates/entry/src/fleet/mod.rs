//! What the entry knows of each upstream beyond the configuration, and the choice that rests on it.

pub mod events;
mod index;
mod member;
pub mod poll;
mod waves;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::{DataCenter, UpstreamId};
use metrics::counter;
use parking_lot::{Mutex, RwLock};
use policy::Tick;
use policy::load::Report;
use policy::prefix::{History, Prefix};
use policy::route::{Candidate, Choice, Group, Need, Proposed, Reason, Routing, Rules, Target, Without, choose};
use telemetry::Clock;
use wire::digest::LoadDigest;
use wire::entry::HostSign;

use crate::current::View;
use crate::hosts::Hosts;
use index::{Index, Numbers, Pool, Row, short_key};
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
    rules: Rules,
    place: DataCenter,
    index: ArcSwap<Index>,
    numbers: Mutex<Numbers>,
    history: Mutex<History>,
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
    pub need: Need,
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

/// One request under way at an upstream; it ends when dropped.
#[derive(Debug)]
pub struct Visit<'a> {
    fleet: &'a Fleet,
    row: Option<Row>,
    started: Tick,
    /// Predicted load there before it.
    load: f64,
    seen: Mutex<Seen>,
}

/// What was seen of a visit so far.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    first_at: Option<Tick>,
    /// Words that own dispatches and events said were cached.
    held: u64,
    /// Words that were guessed to be cached because it is the prompt's home.
    guess: u64,
    fresh: u64,
}

impl Fleet {
    /// Makes an empty fleet.
    #[must_use]
    pub fn new(clock: Clock, rules: Rules, place: DataCenter) -> Self {
        Self {
            hosts: Hosts::default(),
            clock,
            rules,
            place,
            index: ArcSwap::default(),
            numbers: Mutex::default(),
            history: Mutex::new(History::new(HISTORY)),
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
        // Requests go on with the index before while another thread makes the next one.
        let Some(mut numbers) = self.numbers.try_lock() else {
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
        let need = Need { turn, ..ask.need };
        let proposed = self.propose(&pool.group, ask.prefix, turn);
        let rates = *pool.rates.lock();
        let found = choose(&self.rules, &self.candidates(pool, &proposed, ask, now), &need, &rates);
        if found.is_some() || proposed.len() == pool.rows.len() {
            return found;
        }
        // All of the few candidates are barred, as when a data centre's hosts leave at once: whoever is left will do.
        counter!("gentian_choices_widened_total").increment(1);
        let reason = Reason::All;
        let all: Vec<Proposed> = (0..pool.rows.len()).map(|at| Proposed { at, reason }).collect();
        let mut open = self.candidates(pool, &all, ask, now);
        open.retain(|candidate| candidate.barred.is_none());
        choose(&self.rules, &open, &need, &rates)
    }

    fn propose(&self, group: &Group, prefix: &Prefix, turn: u64) -> Vec<Proposed> {
        if self.rules.routing != Routing::Cost {
            return group.window(turn);
        }
        let with_prefix = !prefix.blocks().is_empty();
        let holders: Vec<u32> = if with_prefix && self.rules.with(Without::Affinity) {
            let held = self.history.lock().holders(prefix);
            held.iter().map(|holder| holder.upstream).collect()
        } else {
            Vec::new()
        };
        group.propose(&self.leads(prefix), &holders, turn)
    }

    /// Gives the hashes of the beginnings by which a prompt is placed.
    fn leads(&self, prefix: &Prefix) -> Vec<u64> {
        let leads = prefix.leads();
        let used = leads.iter().filter(|_| self.rules.with(Without::Rendezvous));
        used.map(|lead| lead.hash).collect()
    }

    /// Gives where a prompt is at home with the words that are likely to be cached there, longest beginning first.
    ///
    /// Entry hosts don't tell each other what they sent where. But all of them prefer the same home, so that a
    /// conversation whose earlier turns came through another entry host is most likely there.
    fn homes(&self, pool: &Pool, prefix: &Prefix) -> Vec<(usize, u64)> {
        if !self.rules.with(Without::Rendezvous) || !self.rules.with(Without::Affinity) {
            return Vec::new();
        }
        let share = pool.rows.first().map_or(0.0, |row| row.home.lock().share());
        let leads = prefix.leads();
        let homes = leads.iter().filter_map(|lead| {
            let at = pool.group.home(lead.hash)?;
            Some((at, (lead.words as f64 * share) as u64))
        });
        homes.collect()
    }

    fn candidates<'a>(&self, pool: &'a Pool, proposed: &[Proposed], ask: &Ask<'_>, now: Tick) -> Vec<Candidate<'a>> {
        let numbers: Vec<u32> = proposed.iter().map(|p| pool.rows[p.at].member.number).collect();
        let held = if self.rules.with(Without::Affinity) {
            self.history.lock().held(ask.prefix, &numbers)
        } else {
            vec![0; numbers.len()]
        };
        let expiry = self.expiry();
        let homes = self.homes(pool, ask.prefix);
        let waves = self.waves.read();
        let candidate = |(proposed, held): (&Proposed, u64)| {
            let row = &pool.rows[proposed.at];
            let spec = row.spec.as_ref();
            let state = row.member.state.lock();
            let trust = if self.rules.with(Without::CacheEvents) {
                state.trust.share()
            } else {
                1.0
            };
            let home = homes.iter().find(|(at, _)| *at == proposed.at);
            let guess = home.map_or(0, |(_, words)| *words);
            Candidate {
                id: &spec.id,
                reason: proposed.reason,
                class: spec.host.class,
                price: spec.host.price,
                slots: spec.slots,
                near: spec.host.data_center == self.place,
                reclaims: waves.reclaims(&spec.host.zone, now),
                load: state.load.predict(now, expiry, self.rules.with(Without::Corrections)),
                cached: ((held as f64 * trust) as u64).max(guess),
                barred: state.barred(!self.hosts.takes_work(&spec.host), ask.tried.contains(&spec.id), now),
            }
        };
        proposed.iter().zip(held).map(candidate).collect()
    }

    /// Notes that a request goes to an upstream.
    pub fn visit(&self, upstream: &UpstreamId, now: Tick) -> Visit<'_> {
        let row = self.index.load().rows.get(upstream).cloned();
        let load = row.as_ref().map_or(0.0, |row| {
            let mut state = row.member.state.lock();
            let before = state.load.predict(now, self.expiry(), true);
            state.load.sent(now);
            state.sent = Some(now);
            before.reported.unwrap_or(f64::from(before.own))
        });
        Visit {
            fleet: self,
            row,
            started: now,
            load,
            seen: Mutex::default(),
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
    pub fn sign(&self, sign: &HostSign, now: Tick) {
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
        let report = Report {
            measured: now - Duration::from_millis(u64::from(load.age_ms)),
            running: load.running,
            waiting: load.waiting,
            kv_used: f32::from(load.kv_used) / 1_000.0,
        };
        row.member.state.lock().load.report(report);
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
                age_ms: now.since(report.measured).as_millis() as u32,
                running: report.running,
                waiting: report.waiting,
                kv_used: (report.kv_used * 1_000.0) as u16,
            })
        });
        rows.collect()
    }

    /// Gives what this host may run at once at upstreams that are up, by what they serve.
    ///
    /// Each entry host keeps what it runs and takes half of what is free, but at least the part that would be its own if
    /// all had the same. Reports lag: if each took all that looks free, all of them would fill the same slots at once,
    /// and the wait would be in the engines, where it can't be ordered by contract or refused any more.
    #[must_use]
    pub fn sizes(&self, hosts: usize, now: Tick) -> Vec<Size> {
        let index = self.index.load();
        let expiry = self.expiry();
        let hosts = hosts.max(1) as f64;
        let size = |row: &Row, ease: f64| {
            let state = row.member.state.lock();
            let load = state.load.predict(now, expiry, true);
            let own = f64::from(load.own);
            // Requests that still run where nothing new goes keep their places and take none elsewhere.
            if !self.hosts.takes_work(&row.spec.host) {
                return own;
            }
            if !state.breaker.allows(now) || state.breaker.probe_at().is_some() {
                // A probe needs a slot, or the breaker would never close.
                return own.max(1.0);
            }
            let slots = f64::from(row.spec.slots) * ease;
            let free = load.reported.map_or(slots - own, |reported| slots - reported);
            let taken = if free > 0.0 && hosts > 1.0 { free / 2.0 } else { free };
            (own + taken).max(slots / hosts).min(slots)
        };
        let sizes = index.pools.iter().map(|(target, pool)| {
            let rates = *pool.rates.lock();
            let slots: f64 = pool.rows.iter().map(|row| size(row, rates.ease)).sum();
            Size {
                target: target.clone(),
                slots: slots.round() as usize,
                first: Duration::from_secs_f64(rates.first_ms / 1_000.0),
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
        if self.rules.with(Without::ReportExpiry) {
            Duration::from_millis(self.expiry_ms.load(Ordering::Relaxed))
        } else {
            Duration::MAX
        }
    }
}

impl Visit<'_> {
    /// Notes the first token of an answer: by now the engine holds the prompt.
    pub fn first_token(&self, prefix: &Prefix, cached: u64, now: Tick) {
        let Some(row) = &self.row else { return };
        let mut history = self.fleet.history.lock();
        let held = history.held(prefix, &[row.member.number]);
        history.store(prefix, row.member.number, now);
        drop(history);
        let mut seen = self.seen.lock();
        seen.first_at = Some(now);
        seen.held = held.first().copied().unwrap_or_default();
        seen.guess = self.guess(row, prefix);
        seen.fresh = prefix.words().saturating_sub(cached);
        let ms = millis(now.since(self.started));
        row.rates.lock().first_token(seen.fresh, self.load, ms);
    }

    /// Notes an answer that is whole: the engine holds the prompt with the answer.
    pub fn whole(&self, prefix: &Prefix, now: Tick) {
        let Some(row) = &self.row else { return };
        self.fleet.history.lock().store(prefix, row.member.number, now);
    }

    /// Takes in the engine's own count of the words of a prompt that were cached before.
    pub fn counted(&self, believed: u64, cached: u64) {
        counter!("gentian_cached_tokens_total", "who" => "believed").increment(believed);
        counter!("gentian_cached_tokens_total", "who" => "counted").increment(cached);
        let seen = *self.seen.lock();
        if let Some(row) = &self.row
            && self.fleet.rules.with(Without::CacheEvents)
        {
            row.member.state.lock().trust.counted(seen.held, cached);
            // Only where nothing was known does the count tell how good the guess is.
            if seen.held < seen.guess {
                row.home.lock().counted(seen.guess, cached);
            }
        }
    }

    /// Gives the longest beginning of a prompt that has its home here.
    fn guess(&self, row: &Row, prefix: &Prefix) -> u64 {
        let index = self.fleet.index.load();
        let pool = index.pools.get(&Target::of(&row.spec));
        let at = pool.and_then(|pool| pool.group.position(row.member.number));
        let Some((pool, at)) = pool.zip(at) else { return 0 };
        let leads = prefix.leads();
        let home = leads.iter().find(|lead| pool.group.home(lead.hash) == Some(at));
        home.map_or(0, |lead| lead.words)
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        let now = self.fleet.clock.now();
        let Some(row) = &self.row else { return };
        row.member.state.lock().load.ended(now);
        let seen = *self.seen.lock();
        let mut rates = row.rates.lock();
        let held = match seen.first_at {
            Some(first) => seen.fresh as f64 * rates.prefill_ms + millis(now.since(first)),
            None => millis(now.since(self.started)),
        };
        rates.held(held);
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
