//! Whether an entry host is cut off from the upstreams of a service, judged by its own connections to them.
//!
//! A failed connection means either that the upstream is gone or that the host is cut off. Another host tells the two
//! apart: an upstream that it reaches is there. While a host is cut off, it sends requests through other hosts, and a
//! probe at a time finds out when its own connections work again.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::Tick;
use crate::reach::SILENCE;

/// Number of upstreams that have to be out of reach, as one of them may fail in a way that only some hosts notice.
const MIN_UPSTREAMS: usize = 2;
/// Time for which an upstream that only another host reached is not tried directly, and for which a broken connection
/// counts.
const BYPASS_TIME: Duration = Duration::from_secs(1);
/// Shortest and longest pause between two probes. It doubles when the host is cut off again soon after a probe.
const PROBE_PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));
/// Pause before the first probe of a host that may be wrong: upstreams that are slow or silent look like a cut.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time after a successful probe within which another cut shows that the probe was wrong.
const RELAPSE_TIME: Duration = Duration::from_secs(2);

/// How a request gets to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this host.
    Own,
    /// Through another host.
    Relay,
}

/// Why a host counts as cut off.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Evidence {
    /// Other hosts reach upstreams that this host does not reach.
    #[display("others reach upstreams that this host does not")]
    Bypassed,
    /// Requests are overdue at several upstreams, and nothing arrives from any.
    #[display("nothing arrives from any upstream")]
    Silent,
    /// Connections to several upstreams break, and nothing arrives from any.
    #[display("connections to all upstreams break")]
    Broken,
}

/// A request on a connection of this host that has had no response yet.
#[derive(Clone, Debug)]
struct Wait {
    upstream: String,
    sent: Tick,
    /// When the response is overdue.
    due: Tick,
}

#[derive(Clone, Debug, Default)]
enum State {
    #[default]
    Connected,
    Isolated {
        since: Tick,
        probe_at: Tick,
        /// Whether it is certain that upstreams are there which this host does not reach.
        confirmed: bool,
        /// The upstream that another host reached last since then.
        reached: Option<String>,
    },
}

/// The connections of an entry host to the upstreams of one service.
#[derive(Debug, Default)]
pub struct Isolation {
    state: State,
    received_at: Tick,
    connected_at: Option<Tick>,
    waits: BTreeMap<u64, Wait>,
    last_wait: u64,
    /// When another host reached an upstream that this host did not, by upstream.
    bypassed: HashMap<String, Tick>,
    /// When a connection with a request on it broke, by upstream.
    broken: HashMap<String, Tick>,
    /// When a probe last ended an isolation.
    recovered_at: Option<Tick>,
    probe_pause: Duration,
}

impl Isolation {
    /// Records a request on a connection of this host, with the time in which its response is expected; returns its
    /// number.
    pub fn record_sent(&mut self, upstream: &str, expected: Duration, now: Tick) -> u64 {
        self.last_wait += 1;
        let wait = Wait {
            upstream: upstream.to_owned(),
            sent: now,
            due: now + expected + SILENCE,
        };
        self.waits.insert(self.last_wait, wait);
        self.last_wait
    }

    /// Records that a request has had a response, or has ended without one.
    pub fn record_ended(&mut self, number: u64) {
        self.waits.remove(&number);
    }

    /// Records that anything arrived on a connection of this host.
    pub fn record_received(&mut self, now: Tick) {
        self.received_at = now;
    }

    /// Records that an upstream accepted a connection of this host.
    pub fn record_connected(&mut self, upstream: &str, now: Tick) {
        self.connected_at = Some(now);
        self.bypassed.remove(upstream);
    }

    /// Records that another host reached an upstream to which this host could not connect. Returns the evidence if this
    /// host counts as cut off from now on.
    pub fn record_bypassed(&mut self, upstream: &str, now: Tick) -> Option<Evidence> {
        self.bypassed.retain(|_, at| now.since(*at) < BYPASS_TIME);
        self.bypassed.insert(upstream.to_owned(), now);
        let since_connected = self.bypassed.values().filter(|at| Some(**at) > self.connected_at);
        let is_cut = since_connected.count() >= MIN_UPSTREAMS;
        (is_cut && !self.is_isolated()).then(|| {
            self.isolate(Evidence::Bypassed, now);
            Evidence::Bypassed
        })
    }

    /// Records that a connection of this host broke without a response. Returns the evidence if this host counts as cut
    /// off from now on.
    pub fn record_broken(&mut self, upstream: &str, now: Tick) -> Option<Evidence> {
        self.broken.retain(|_, at| now.since(*at) < BYPASS_TIME);
        self.broken.insert(upstream.to_owned(), now);
        let since_received = self.broken.values().filter(|at| **at > self.received_at);
        let is_cut = since_received.count() >= MIN_UPSTREAMS;
        (is_cut && !self.is_isolated()).then(|| {
            self.isolate(Evidence::Broken, now);
            Evidence::Broken
        })
    }

    /// Checks whether requests are overdue while nothing arrives. Returns the evidence if this host counts as cut off
    /// from now on.
    pub fn check_silence(&mut self, now: Tick) -> Option<Evidence> {
        if self.is_isolated() {
            return None;
        }
        let overdue = self
            .waits
            .values()
            .filter(|wait| now >= wait.due && wait.sent >= self.received_at);
        let upstreams: HashSet<&str> = overdue.map(|wait| wait.upstream.as_str()).collect();
        (upstreams.len() >= MIN_UPSTREAMS).then(|| {
            self.isolate(Evidence::Silent, now);
            Evidence::Silent
        })
    }

    fn isolate(&mut self, evidence: Evidence, now: Tick) {
        let relapsed = self.recovered_at.is_some_and(|at| now.since(at) < RELAPSE_TIME);
        self.probe_pause = if relapsed {
            (self.probe_pause * 2).clamp(PROBE_PAUSE.0, PROBE_PAUSE.1)
        } else {
            PROBE_PAUSE.0
        };
        let confirmed = evidence == Evidence::Bypassed;
        let pause = if confirmed || relapsed {
            self.probe_pause
        } else {
            FIRST_PROBE_PAUSE
        };
        self.state = State::Isolated {
            since: now,
            probe_at: now + pause,
            confirmed,
            reached: None,
        };
    }

    /// Returns whether the host counts as cut off.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        matches!(self.state, State::Isolated { .. })
    }

    /// Returns whether a request that was sent at `sent` on a connection of this host waits for nothing: it is certain
    /// that the host was cut off since, and nothing has arrived.
    #[must_use]
    pub fn is_stranded(&self, sent: Tick) -> bool {
        match self.state {
            State::Isolated { since, confirmed, .. } => confirmed && sent <= since && sent >= self.received_at,
            State::Connected => false,
        }
    }

    /// Records that another host reached an upstream for this one.
    pub fn record_relayed(&mut self, upstream: &str) {
        if let State::Isolated { reached, .. } = &mut self.state {
            *reached = Some(upstream.to_owned());
        }
    }

    /// Returns the upstream that a probe tells most about: one that another host reached.
    #[must_use]
    pub fn probe_target(&self) -> Option<&str> {
        match &self.state {
            State::Isolated { reached, .. } => reached.as_deref(),
            State::Connected => None,
        }
    }

    /// Records that a probe did not reach its upstream.
    pub fn record_probe_failure(&mut self, upstream: &str) {
        if let State::Isolated { confirmed, reached, .. } = &mut self.state {
            *confirmed |= reached.as_deref() == Some(upstream);
        }
    }

    /// Returns how a request gets to an upstream.
    #[must_use]
    pub fn path_to(&self, upstream: &str, now: Tick) -> Path {
        let bypassed = self.bypassed.get(upstream);
        if self.is_isolated() || bypassed.is_some_and(|at| now.since(*at) < BYPASS_TIME) {
            Path::Relay
        } else {
            Path::Own
        }
    }

    /// Claims the probe that is due, if any; the next one is due a pause later.
    pub fn claim_probe(&mut self, now: Tick) -> bool {
        match &mut self.state {
            State::Isolated { probe_at, .. } if *probe_at <= now => {
                *probe_at = now + self.probe_pause;
                true
            }
            _ => false,
        }
    }

    /// Records that a probe reached its upstream: the host is no longer cut off. Returns for how long it was, if it was.
    pub fn record_recovery(&mut self, now: Tick) -> Option<Duration> {
        let State::Isolated { since, .. } = self.state else {
            return None;
        };
        self.state = State::Connected;
        self.bypassed.clear();
        self.broken.clear();
        self.waits.clear();
        self.recovered_at = Some(now);
        self.connected_at = Some(now);
        Some(now.since(since))
    }
}
