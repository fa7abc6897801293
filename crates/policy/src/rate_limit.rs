//! Division of the rate limits that upstreams name among entry hosts.
//!
//! An upstream in need names the requests per second that it takes from all entry hosts together. The leader of the
//! state group leases parts of such a limit to hosts by what their callers ask for; where there are fewer parts than
//! hosts, all others send nothing there. With an even division, a
//! limit of one request per second would leave each of 58 hosts one request a minute, and most of them would go unused.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::NodeId;

use crate::{Tick, duration_from_secs};

/// Time for which a host may use its part after the heartbeat that the part answers. It covers two heartbeats of 390
/// hosts; for as long, the part of a host that is lost goes unused.
pub const LEASE_TIME: Duration = Duration::from_secs(2);
/// Smallest part that is leased, in requests per second. A part saves up two requests, so that in four seconds all parts
/// together send at most one and a half times the limit.
const MIN_PART: f64 = 1.0;
/// Requests per second that are sent at least: only a response tells that a limit has ended.
const MIN_RATE: f64 = 0.1;
/// Share of its even part that a host keeps without demand, so that it can serve its first callers.
const RESERVE: f64 = 0.2;
/// What a host keeps of its even part if others need more, relative to its demand.
const KEEP_FACTOR: f64 = 2.0;
/// What a host with more demand than its even part should have, relative to it.
const WANT_FACTOR: f64 = 1.25;
/// Requests per second that a host's callers ask for at least for it to count as asking.
const MIN_DEMAND: f64 = 0.1;
/// Share of the largest demand below which a host gives up a part that it doesn't use, where there are fewer parts than
/// hosts.
const IDLE_SHARE: f64 = 0.1;
/// Time for which a host's demand counts; longer than a heartbeat interval.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Time after the last report of any host after which a limit is forgotten: its upstream is gone, or it has ended.
const REPORT_EXPIRY: Duration = Duration::from_secs(10);
/// Age up to which a host reports what it heard from an upstream; longer than a heartbeat interval.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// What an upstream named last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NamedLimit {
    /// Requests per second of all entry hosts together; `None` if the upstream names no limit any more.
    pub per_s: Option<f64>,
    /// When the response arrived.
    pub at: Tick,
}

/// The leader's view of all limits, with the parts that it has leased.
#[derive(Debug, Default)]
pub struct LimitLeases {
    started: Tick,
    limits: BTreeMap<String, LeasedLimit>,
}

#[derive(Debug, Default)]
struct LeasedLimit {
    named: NamedLimit,
    reported: Tick,
    /// Parts that hosts may be using; of several leases of a host, the largest counts until it ends.
    holders: BTreeMap<NodeId, Vec<Lease>>,
    /// Requests per second that callers of each host ask for, with the time of the report.
    demands: BTreeMap<NodeId, (f64, Tick)>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    per_s: f64,
    until: Tick,
}

/// What a host reports of its part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeldPart {
    /// Requests per second that it may send; zero without a part.
    pub per_s: f64,
    /// Requests per second that its callers ask for.
    pub wanted: f64,
}

/// A host's part of a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasedPart {
    /// Name of the upstream.
    pub upstream: String,
    /// What the upstream named last.
    pub named: NamedLimit,
    /// Requests per second that the host may send; zero if others hold the limit.
    pub per_s: f64,
}

impl LimitLeases {
    /// Starts without any lease. Leases of the leader before end within [`LEASE_TIME`].
    #[must_use]
    pub fn new(now: Tick) -> Self {
        Self {
            started: now,
            limits: BTreeMap::new(),
        }
    }

    /// Records what a host heard from an upstream, and the part that it holds, which may come from the leader before.
    pub fn report(&mut self, from: &NodeId, upstream: &str, named: NamedLimit, held: HeldPart, now: Tick) {
        let limit = self.limits.entry(upstream.to_owned()).or_default();
        limit.reported = now;
        if named.at >= limit.named.at {
            limit.named = named;
        }
        limit.demands.insert(from.clone(), (held.wanted, now));
        if held.per_s > 0.0 && now.since(self.started) < LEASE_TIME {
            limit.add_lease(from, held.per_s, now);
        }
    }

    /// Renews the parts of one of `entries` hosts, and leases it parts that are free.
    pub fn lease(&mut self, to: &NodeId, entries: u32, now: Tick) -> Vec<LeasedPart> {
        self.limits.retain(|_, limit| now.since(limit.reported) < REPORT_EXPIRY);
        let may_grant = now.since(self.started) >= LEASE_TIME;
        let parts = self.limits.iter_mut().map(|(upstream, limit)| LeasedPart {
            upstream: upstream.clone(),
            named: limit.named,
            per_s: limit.lease(to, entries, may_grant, now),
        });
        parts.collect()
    }

    /// Returns whether an upstream names a limit.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.limits
            .get(upstream)
            .is_some_and(|limit| limit.named.per_s.is_some())
    }
}

impl LeasedLimit {
    fn lease(&mut self, to: &NodeId, entries: u32, may_grant: bool, now: Tick) -> f64 {
        self.holders.retain(|_, leases| {
            leases.retain(|lease| lease.until > now);
            !leases.is_empty()
        });
        self.demands.retain(|_, (_, at)| now.since(*at) < DEMAND_TIME);
        let Some(per_s) = self.named.per_s else {
            self.holders.clear();
            return 0.0;
        };
        let per_s = per_s.max(MIN_RATE);
        let entries = entries.max(1) as usize;
        let parts = ((per_s / MIN_PART) as usize).clamp(1, entries);
        let even = per_s / parts as f64;
        let is_holder = self.holders.contains_key(to);
        let others = self.holders.iter().filter(|(host, _)| *host != to);
        let (count, leased) = others.fold((0, 0.0), |(count, sum), (_, leases)| (count + 1, sum + largest(leases)));
        let is_left = parts < entries && is_idle(self.demand(to), self.most_wanted(), even);
        // A limit that has fallen has fewer parts.
        if count >= parts || !(is_holder || may_grant) || is_left {
            return 0.0;
        }
        let wanted = if parts < entries {
            self.claim(to, even, parts)
        } else {
            self.target(to, even, entries)
        };
        let free = per_s - leased;
        // Leases of the leader before may not have been reported yet.
        let most = if may_grant {
            free
        } else {
            free.min(self.holders.get(to).map_or(0.0, |own| largest(own)))
        };
        let part = wanted.min(most).max(0.0);
        if part > 0.0 {
            self.add_lease(to, part, now);
        }
        part
    }

    /// Returns the largest demand of a host.
    fn most_wanted(&self) -> f64 {
        self.demands.values().map(|(wanted, _)| *wanted).fold(0.0, f64::max)
    }

    /// Returns what a host should have where there are fewer parts than hosts: one part, and of those that no host claims
    /// what its callers ask for.
    fn claim(&self, host: &NodeId, part: f64, parts: usize) -> f64 {
        let most = self.most_wanted();
        let asking = self
            .demands
            .values()
            .filter(|(wanted, _)| !is_idle(*wanted, most, part));
        let unclaimed = part * parts.saturating_sub(asking.count()) as f64;
        let lack = |wanted: f64| (wanted * WANT_FACTOR - part).max(0.0);
        let lacks: f64 = self.demands.values().map(|(wanted, _)| lack(*wanted)).sum();
        if lacks <= 0.0 {
            return part;
        }
        part + unclaimed.min(lacks) * lack(self.demand(host)) / lacks
    }

    fn demand(&self, host: &NodeId) -> f64 {
        self.demands.get(host).map_or(0.0, |(per_s, _)| *per_s)
    }

    /// Returns the part that a host should have: an even one, less what hosts with little demand give to those with more.
    fn target(&self, host: &NodeId, even: f64, entries: usize) -> f64 {
        let spare = |wanted: f64| even - (wanted * KEEP_FACTOR).clamp(even * RESERVE, even);
        let lack = |wanted: f64| (wanted * WANT_FACTOR - even).max(0.0);
        let silent = entries.saturating_sub(self.demands.len()) as f64;
        let known = self.demands.values().map(|(wanted, _)| *wanted);
        let (spares, lacks) = known.fold((silent * spare(0.0), 0.0), |(spares, lacks), wanted| {
            (spares + spare(wanted), lacks + lack(wanted))
        });
        if spares <= 0.0 || lacks <= 0.0 {
            return even;
        }
        let own = self.demand(host);
        let moved = spares.min(lacks);
        even - spare(own) * moved / spares + lack(own) * moved / lacks
    }

    fn add_lease(&mut self, host: &NodeId, per_s: f64, now: Tick) {
        let leases = self.holders.entry(host.clone()).or_default();
        // A smaller lease that ends earlier no longer counts.
        leases.retain(|lease| lease.per_s > per_s);
        let until = now + LEASE_TIME;
        leases.push(Lease { per_s, until });
    }
}

/// Returns whether a host would hardly use a part, with callers asking other hosts for the upstream.
fn is_idle(wanted: f64, most_wanted: f64, part: f64) -> bool {
    most_wanted >= MIN_DEMAND && wanted < most_wanted * IDLE_SHARE && wanted * KEEP_FACTOR < part
}

fn largest(leases: &[Lease]) -> f64 {
    leases.iter().map(|lease| lease.per_s).fold(0.0, f64::max)
}

/// A limit as one entry host keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostLimit {
    named: NamedLimit,
    /// Whether this host heard it from the upstream itself.
    own: bool,
    /// When the leader last showed that it knows the limit.
    confirmed: Option<Tick>,
    part: Option<HostPart>,
}

#[derive(Clone, Copy, Debug)]
struct HostPart {
    per_s: f64,
    until: Tick,
    /// When the next request may be sent. It lies at most one interval in the past, so that two requests are saved up.
    next: Tick,
}

impl HostPart {
    fn interval(&self) -> Duration {
        duration_from_secs(1.0 / self.per_s)
    }
}

impl HostLimit {
    /// Records what a response of the upstream names. That it names nothing is news only after a limit.
    pub fn record_response(&mut self, per_s: Option<f64>, now: Tick) {
        if per_s.is_none() && self.named.per_s.is_none() {
            return;
        }
        self.named = NamedLimit { per_s, at: now };
        self.own = true;
    }

    /// Records the part that the leader assigned in its answer to a heartbeat of `asked_at`.
    ///
    /// A part that replaces one which has ended starts empty.
    pub fn record_part(&mut self, named: NamedLimit, per_s: f64, asked_at: Tick, now: Tick) {
        self.confirmed = Some(now);
        if named.at > self.named.at {
            self.named = named;
            self.own = false;
        }
        if per_s.is_nan() || per_s <= 0.0 {
            self.part = None;
            return;
        }
        let until = asked_at + LEASE_TIME;
        let current = self.part.filter(|part| part.until > now);
        let mut part = HostPart {
            per_s,
            until,
            next: now,
        };
        part.next = match current {
            Some(current) => current.next,
            None => now + part.interval(),
        };
        self.part = Some(part);
    }

    /// Returns the limit that the upstream names.
    #[must_use]
    pub const fn per_s(&self) -> Option<f64> {
        self.named.per_s
    }

    /// Returns the part of the limit that this host may use now, in requests per second.
    #[must_use]
    pub fn part_per_s(&self, now: Tick) -> f64 {
        let part = self.part.filter(|part| part.until > now);
        part.map_or(0.0, |part| part.per_s)
    }

    /// Returns how long a request has to wait; zero without a limit, `None` without a part of it.
    #[must_use]
    pub fn wait(&self, now: Tick) -> Option<Duration> {
        if self.named.per_s.is_none() {
            return Some(Duration::ZERO);
        }
        let part = self.part.filter(|part| part.until > now)?;
        Some(part.next.since(now))
    }

    /// Takes one request from this host's part; returns whether the request may be sent now.
    pub fn take(&mut self, now: Tick) -> bool {
        let allowed = self.wait(now) == Some(Duration::ZERO);
        if let Some(part) = self.part.as_mut().filter(|_| allowed) {
            part.next = (part.next + part.interval()).max(now);
        }
        allowed
    }

    /// Returns what the leader has to know, with this host's part, given the requests per second that callers ask for;
    /// `None` if it is nothing new. A limit that the leader doesn't know is reported however old it is, or nobody would
    /// get a part of it.
    #[must_use]
    pub fn report(&self, wanted: f64, now: Tick) -> Option<(NamedLimit, HeldPart)> {
        let is_limited = self.named.per_s.is_some();
        let per_s = if is_limited { self.part_per_s(now) } else { 0.0 };
        let is_wanted = is_limited && wanted >= MIN_DEMAND;
        let heard = self.own && now.since(self.named.at) < MAX_REPORT_AGE;
        let confirmed = self.confirmed.is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        let is_unknown = self.named.per_s.is_some() && !confirmed;
        (per_s > 0.0 || heard || is_unknown || is_wanted).then_some((self.named, HeldPart { per_s, wanted }))
    }
}
