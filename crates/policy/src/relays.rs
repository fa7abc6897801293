//! Which entry hosts pass on the requests of others that are cut off from upstreams.
//!
//! The leader names a few hosts to each host ahead of time, since a host that is cut off may have lost the leader too.
//! Each host has its own few, so that many hosts that are cut off together spread over all others.

use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use contract::{NodeId, RelayHost, ServiceName, Zone};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::Tick;

/// Most hosts of the own data centre, and of all others, that are named to a host.
const MAX_LOCAL: usize = 4;
const MAX_REMOTE: usize = 6;
/// Most hosts of one other data centre that are named to a host.
const MAX_PER_ZONE: usize = 2;
/// Age of the last heartbeat up to which a host is named; several heartbeats of a large deployment.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time for which a host that refused to pass a request on is not asked again.
const REFUSED_TIME: Duration = Duration::from_millis(500);
/// Requests by which a host of the own data centre may be busier than one of another, before the latter is preferred.
const LOCAL_BONUS: u32 = 8;

/// Time in which a new leader names no hosts: it has not heard of most of them yet, and hosts keep those that the leader
/// before has named.
const FIRST_REPORTS_TIME: Duration = Duration::from_secs(1);

/// The leader's view of all hosts that pass on requests.
#[derive(Debug, Default)]
pub struct RelayDirectory {
    started: Tick,
    /// By data centre, and by hash of the name, so that the successors of a host are drawn at random.
    hosts: BTreeMap<Zone, BTreeMap<u64, (RelayHost, Tick)>>,
}

impl RelayDirectory {
    /// Starts without any host.
    #[must_use]
    pub fn new(now: Tick) -> Self {
        Self {
            started: now,
            hosts: BTreeMap::new(),
        }
    }

    /// Records what a host reported; `None` if it takes no requests of others.
    pub fn record(&mut self, node: &NodeId, zone: &Zone, host: Option<RelayHost>, now: Tick) {
        let key = node_key(node);
        match host {
            Some(host) => drop(self.hosts.entry(zone.clone()).or_default().insert(key, (host, now))),
            None => {
                if let Some(hosts) = self.hosts.get_mut(zone) {
                    hosts.remove(&key);
                }
            }
        }
    }

    /// Returns the hosts that a host may ask, those of its own data centre first; empty while this leader is new.
    #[must_use]
    pub fn named_to(&self, node: &NodeId, zone: &Zone, now: Tick) -> Vec<RelayHost> {
        if now.since(self.started) < FIRST_REPORTS_TIME {
            return Vec::new();
        }
        let key = node_key(node);
        let mut named: Vec<RelayHost> = self.successors(zone, key, now).take(MAX_LOCAL).cloned().collect();
        // Starts with the data centre after the own one, so that hosts of different ones differ in their choice.
        let after = self.hosts.keys().filter(|other| *other > zone);
        let before = self.hosts.keys().filter(|other| *other < zone);
        let remote: Vec<&Zone> = after.chain(before).collect();
        let mut successors: Vec<_> = remote
            .iter()
            .map(|other| self.successors(other, key, now).take(MAX_PER_ZONE))
            .collect();
        for _ in 0..MAX_PER_ZONE {
            named.extend(successors.iter_mut().filter_map(Iterator::next).cloned());
        }
        named.truncate(MAX_LOCAL + MAX_REMOTE);
        named
    }

    /// Returns the usable hosts of a data centre after a key; those that are cut off from any service come last.
    fn successors(&self, zone: &Zone, key: u64, now: Tick) -> impl Iterator<Item = &RelayHost> {
        let hosts = self.hosts.get(zone);
        let ring = move || {
            let hosts = hosts.into_iter();
            let after = hosts.clone().flat_map(move |hosts| hosts.range(key + 1..));
            let before = hosts.flat_map(move |hosts| hosts.range(..key));
            let live = after.chain(before).filter(move |(_, (_, at))| now.since(*at) < MAX_AGE);
            live.map(|(_, (host, _))| host)
        };
        let connected = ring().filter(|host| host.isolated.is_empty());
        connected.chain(ring().filter(|host| !host.isolated.is_empty()))
    }

    /// Forgets hosts that have not been heard of for long.
    pub fn expire(&mut self, now: Tick) {
        for hosts in self.hosts.values_mut() {
            hosts.retain(|_, (_, at)| now.since(*at) < MAX_AGE);
        }
        self.hosts.retain(|_, hosts| !hosts.is_empty());
    }
}

/// Returns a mark by which a list of hosts is recognised; never zero, which stands for no list.
#[must_use]
pub fn list_mark(hosts: &[RelayHost]) -> u64 {
    let mut hasher = Xxh3::new();
    hosts.hash(&mut hasher);
    hasher.finish().max(1)
}

/// Returns the position of a host among those of its data centre; never the largest, so that one can be added.
fn node_key(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes()) >> 1
}

/// The hosts that this host may ask to pass requests on.
#[derive(Debug, Default)]
pub struct Relays {
    hosts: Vec<RelayHost>,
    /// Connections that are open through each host.
    open: HashMap<SocketAddr, u32>,
    /// When a host last refused, by service.
    refused: HashMap<(SocketAddr, ServiceName), Tick>,
}

impl Relays {
    /// Replaces the hosts by those that the leader names. An empty list comes from a leader that knows no host yet, and
    /// replaces nothing.
    pub fn adopt(&mut self, hosts: Vec<RelayHost>) {
        if !hosts.is_empty() {
            self.hosts = hosts;
        }
    }

    /// Returns the hosts that the leader has named.
    #[must_use]
    pub fn hosts(&self) -> &[RelayHost] {
        &self.hosts
    }

    /// Returns whether a host is still named.
    #[must_use]
    pub fn names(&self, address: SocketAddr) -> bool {
        self.hosts.iter().any(|host| host.address == address)
    }

    /// Chooses the host to ask for an upstream of a service: the one with the fewest connections from here, the own data
    /// centre first.
    #[must_use]
    pub fn choose(&self, service: &ServiceName, zone: &Zone, tried: &[SocketAddr], now: Tick) -> Option<SocketAddr> {
        let refused = |host: &RelayHost| {
            let at = self.refused.get(&(host.address, service.clone()));
            at.is_some_and(|at| now.since(*at) < REFUSED_TIME)
        };
        let usable = self
            .hosts
            .iter()
            .filter(|host| !host.isolated.contains(service) && !tried.contains(&host.address) && !refused(host));
        let cost = |host: &&RelayHost| {
            let open = self.open.get(&host.address).copied().unwrap_or(0);
            open + if host.zone == *zone { 0 } else { LOCAL_BONUS }
        };
        usable.min_by_key(cost).map(|host| host.address)
    }

    /// Records that a connection through a host was opened.
    pub fn record_opened(&mut self, address: SocketAddr) {
        *self.open.entry(address).or_default() += 1;
    }

    /// Records that a connection through a host was closed.
    pub fn record_closed(&mut self, address: SocketAddr) {
        if let Some(open) = self.open.get_mut(&address) {
            *open = open.saturating_sub(1);
        }
        self.open.retain(|_, open| *open > 0);
    }

    /// Records that a host refused to pass on a request to a service, or did not answer.
    pub fn record_refused(&mut self, address: SocketAddr, service: &ServiceName, now: Tick) {
        self.refused.retain(|_, at| now.since(*at) < REFUSED_TIME);
        self.refused.insert((address, service.clone()), now);
    }
}
