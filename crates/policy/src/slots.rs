//! Places at upstreams that fail when they have to reject more than a few requests in a second.
//!
//! Such upstreams say so in their responses. Entry hosts act on loads that are half a second old, so that many of them
//! choose the same upstream, and some of their requests are rejected. For a service whose upstreams are brittle, the
//! leader of the state group therefore leases each place before a request is sent.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use contract::{NodeId, ServiceName};

use crate::Tick;

/// Share of an upstream's slots that is leased: some hosts don't know yet that it is brittle, and health checks and new
/// connections take slots as well.
const LEASED_SHARE: f64 = 0.75;
/// Time after a rejection in which an upstream gets no requests; rejections are counted over a second.
const REST_TIME: Duration = Duration::from_secs(1);
/// Time after the last response that says so for which a service counts as brittle.
const BRITTLE_TIME: Duration = Duration::from_secs(10);
/// Time after the last response that says so in which the leader tells of a brittle service.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Time for which the place of a request without a whole response stays taken: upstreams notice a closed connection late.
const ABANDONED_TIME: Duration = Duration::from_millis(500);
/// Time in which a new leader grants half of the places, as it doesn't know those that are taken.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);

/// Returns how many places of an upstream are leased.
fn leased_slots(slots: u32, is_new: bool) -> usize {
    let share = if is_new { LEASED_SHARE / 2.0 } else { LEASED_SHARE };
    ((f64::from(slots) * share) as usize).max(1)
}

/// A request for a place.
#[derive(Clone, Copy, Debug)]
pub struct SlotNeed<'a> {
    /// Service of the upstream.
    pub service: &'a ServiceName,
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Longest time for which the place is needed.
    pub longest: Duration,
    /// Time since a response to this host said that the service is brittle; `None` if it knows it from the leader.
    pub heard: Option<Duration>,
}

/// The leader's view of the places at brittle upstreams.
#[derive(Debug, Default)]
pub struct SlotLeases {
    started: Tick,
    last_lease: u64,
    upstreams: BTreeMap<String, LeasedUpstream>,
    /// When a response to any host last said that a service is brittle.
    heard: BTreeMap<ServiceName, Tick>,
}

#[derive(Debug, Default)]
struct LeasedUpstream {
    /// Holders, and when their leases end, by number of the lease.
    leases: BTreeMap<u64, (NodeId, Tick)>,
    rejected_at: Option<Tick>,
    asked_at: Tick,
}

impl SlotLeases {
    /// Starts without any lease.
    #[must_use]
    pub fn new(now: Tick) -> Self {
        Self {
            started: now,
            ..Self::default()
        }
    }

    /// Leases a place to a host; `None` if the upstream has no room.
    pub fn take(&mut self, to: &NodeId, need: SlotNeed<'_>, now: Tick) -> Option<u64> {
        if let Some(age) = need.heard {
            let heard_at = self.heard.entry(need.service.clone()).or_default();
            *heard_at = (*heard_at).max(now - age);
        }
        self.upstreams
            .retain(|_, upstream| now.since(upstream.asked_at) < BRITTLE_TIME || !upstream.leases.is_empty());
        let is_new = now.since(self.started) < TAKEOVER_TIME;
        let upstream = self.upstreams.entry(need.upstream.to_owned()).or_default();
        upstream.asked_at = now;
        upstream.leases.retain(|_, (_, until)| *until > now);
        let rests = upstream.rejected_at.is_some_and(|at| now.since(at) < REST_TIME);
        if rests || upstream.leases.len() >= leased_slots(need.slots, is_new) {
            return None;
        }
        self.last_lease += 1;
        upstream
            .leases
            .insert(self.last_lease, (to.clone(), now + need.longest));
        Some(self.last_lease)
    }

    /// Ends the lease of a request that has had a whole response.
    pub fn release(&mut self, from: &NodeId, upstream: &str, lease: u64) {
        if let Some(upstream) = self.upstreams.get_mut(upstream)
            && upstream.is_held(from, lease)
        {
            upstream.leases.remove(&lease);
        }
    }

    /// Ends the lease of a request without a whole response, once the upstream has stopped to work on it.
    pub fn abandon(&mut self, from: &NodeId, upstream: &str, lease: u64, now: Tick) {
        if let Some(upstream) = self.upstreams.get_mut(upstream)
            && upstream.is_held(from, lease)
            && let Some((_, until)) = upstream.leases.get_mut(&lease)
        {
            *until = (*until).min(now + ABANDONED_TIME);
        }
    }

    /// Records that an upstream rejected a request, with or without a lease.
    pub fn record_rejection(&mut self, upstream: &str, now: Tick) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.rejected_at = Some(now);
        }
    }

    /// Returns the services whose upstreams are brittle, with the time since a response last said so.
    #[must_use]
    pub fn brittle_services(&self, now: Tick) -> Vec<(ServiceName, Duration)> {
        let ages = self.heard.iter().map(|(service, at)| (service.clone(), now.since(*at)));
        ages.filter(|(_, age)| *age < NEWS_TIME).collect()
    }
}

impl LeasedUpstream {
    /// Returns whether a host holds a lease; one of the leader before may have the same number.
    fn is_held(&self, host: &NodeId, lease: u64) -> bool {
        self.leases.get(&lease).is_some_and(|(holder, _)| holder == host)
    }
}

/// Whether the upstreams of a service are brittle, as one entry host knows it.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    /// When a response to this host last said so.
    heard_at: Option<Tick>,
    /// When a response to any host last said so.
    said_at: Option<Tick>,
    /// When a response last said otherwise.
    denied_at: Option<Tick>,
    /// When an upstream last rejected a request, by upstream.
    rejected: HashMap<String, Tick>,
}

impl Brittleness {
    /// Records what a response says. Returns whether the service counts as brittle from now on, if that has changed.
    pub fn record_response(&mut self, is_brittle: bool, now: Tick) -> Option<bool> {
        let before = self.is_brittle(now);
        if is_brittle {
            self.heard_at = Some(now);
            self.said_at = Some(now);
        } else if before {
            self.denied_at = Some(now);
        }
        Some(self.is_brittle(now)).filter(|after| *after != before)
    }

    /// Records that the leader told of other hosts for whom the service was brittle at a time.
    pub fn record_news(&mut self, at: Tick) {
        self.said_at = self.said_at.max(Some(at));
    }

    /// Returns the time since a response to this host said that the service is brittle, unless it was denied since.
    #[must_use]
    pub fn heard_age(&self, now: Tick) -> Option<Duration> {
        let heard_at = self.heard_at.filter(|heard_at| Some(*heard_at) > self.denied_at)?;
        Some(now.since(heard_at))
    }

    /// Returns whether the upstreams of the service are brittle.
    #[must_use]
    pub fn is_brittle(&self, now: Tick) -> bool {
        let said_at = self.said_at.filter(|said_at| Some(*said_at) > self.denied_at);
        said_at.is_some_and(|said_at| now.since(said_at) < BRITTLE_TIME)
    }

    /// Records that an upstream rejected a request.
    pub fn record_rejection(&mut self, upstream: &str, now: Tick) {
        self.rejected.retain(|_, at| now.since(*at) < REST_TIME);
        self.rejected.insert(upstream.to_owned(), now);
    }

    /// Returns the upstreams that get no requests for now, as they have rejected one.
    pub fn resting(&self, now: Tick) -> impl Iterator<Item = &str> {
        let resting = self.rejected.iter().filter(move |(_, at)| now.since(**at) < REST_TIME);
        resting.map(|(upstream, _)| upstream.as_str())
    }
}

/// Returns whether a host may send a request without a lease, while no leader can be reached.
///
/// The places of all upstreams are divided evenly among the hosts. If there are fewer places than hosts, a different
/// part of the hosts gets one each second; `draw` is uniform in 0 to 1 for each host and second.
#[must_use]
pub fn may_send_alone(own_running: usize, all_slots: u32, hosts: u32, draw: f64) -> bool {
    let share = LEASED_SHARE * f64::from(all_slots) / f64::from(hosts.max(1));
    let places = share.floor() + f64::from(u8::from(draw < share.fract()));
    (own_running as f64) < places
}
