//! Division of the rate limits that upstreams name among entry hosts.
//!
//! An upstream in need names the requests per second that it takes from all entry hosts together. The leader of the
//! state group leases parts of such a limit to a few hosts, and all others send nothing there. With an even division, a
//! limit of one request per second would leave each of 58 hosts one request a minute, and most of them would go unused.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::NodeId;

use crate::Tick;

/// Time for which a host may use its part after the heartbeat that the part answers. It covers two heartbeats of 390
/// hosts; for as long, the part of a host that is lost goes unused.
pub const LEASE_TIME: Duration = Duration::from_secs(2);
/// Smallest part that is leased, in requests per second. A part saves up two requests, so that in four seconds all parts
/// together send at most one and a half times the limit.
const MIN_PART: f64 = 1.0;
/// Requests per second that are sent at least: only a response tells that a limit has ended.
const MIN_RATE: f64 = 0.1;
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
    /// Hosts with a part, and when their leases end.
    holders: BTreeMap<NodeId, Tick>,
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

    /// Records what a host heard from an upstream, and whether it holds a part, which may come from the leader before.
    pub fn report(&mut self, from: &NodeId, upstream: &str, named: NamedLimit, holds_part: bool, now: Tick) {
        let limit = self.limits.entry(upstream.to_owned()).or_default();
        limit.reported = now;
        if named.at >= limit.named.at {
            limit.named = named;
        }
        if holds_part && now.since(self.started) < LEASE_TIME {
            limit.holders.insert(from.clone(), now + LEASE_TIME);
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
        self.holders.retain(|_, until| *until > now);
        let Some(per_s) = self.named.per_s else {
            self.holders.clear();
            return 0.0;
        };
        let parts = ((per_s / MIN_PART) as usize).clamp(1, entries.max(1) as usize);
        let is_holder = self.holders.remove(to).is_some();
        // A limit that has fallen has fewer parts.
        if self.holders.len() >= parts || !(is_holder || may_grant) {
            return 0.0;
        }
        self.holders.insert(to.clone(), now + LEASE_TIME);
        per_s.max(MIN_RATE) / parts as f64
    }
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
        Duration::from_secs_f64(1.0 / self.per_s)
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
        if per_s <= 0.0 {
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

    /// Returns what the leader has to know, with whether this host holds a part; `None` if it is nothing new. A limit that
    /// the leader doesn't know is reported however old it is, or nobody would get a part of it.
    #[must_use]
    pub fn report(&self, now: Tick) -> Option<(NamedLimit, bool)> {
        let holds_part = self.named.per_s.is_some() && self.part_per_s(now) > 0.0;
        let heard = self.own && now.since(self.named.at) < MAX_REPORT_AGE;
        let confirmed = self.confirmed.is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        let is_unknown = self.named.per_s.is_some() && !confirmed;
        (holds_part || heard || is_unknown).then_some((self.named, holds_part))
    }
}
