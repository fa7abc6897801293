//! A customer's limits at one entry host.

use std::collections::BTreeMap;

use contract::CustomerLimits;

use super::loans::{LEASE, Loans, OwnedPart, plan};
use crate::Tick;

/// Amounts of the three resources that a customer's limits bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitAmounts {
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Concurrent requests.
    pub running: f64,
}

impl From<[f64; 3]> for LimitAmounts {
    fn from([requests, tokens, running]: [f64; 3]) -> Self {
        Self {
            requests,
            tokens,
            running,
        }
    }
}

impl LimitAmounts {
    /// Returns the amounts in the order of the fields.
    #[must_use]
    pub const fn to_array(&self) -> [f64; 3] {
        [self.requests, self.tokens, self.running]
    }
}

/// Returns the part of the limits that the host with `rank` among all entry hosts owns.
///
/// Concurrent requests are indivisible: if they do not divide evenly, the hosts with the lowest ranks own one more.
#[must_use]
pub fn owned_part(limits: &CustomerLimits, hosts: u32, rank: u32) -> LimitAmounts {
    let hosts = hosts.max(1);
    let count = f64::from(hosts);
    let running = limits.concurrency / hosts + u32::from(rank < limits.concurrency % hosts);
    LimitAmounts {
        requests: limits.requests_per_s / count,
        tokens: limits.tokens_per_s / count,
        running: f64::from(running),
    }
}

/// The state of a customer at another entry host, as that host reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerDemand {
    /// Demand of its callers.
    pub demand: LimitAmounts,
    /// Requests that run there now.
    pub running: f64,
}

/// A customer's limits at one entry host.
#[derive(Clone, Debug)]
pub struct CustomerShare {
    loans: [Loans; 3],
    peers: BTreeMap<u32, (Tick, PeerDemand)>,
}

impl CustomerShare {
    /// Starts with nothing lent or borrowed. `alone` means that the settings name no peers.
    #[must_use]
    pub fn new(alone: bool, now: Tick) -> Self {
        Self {
            loans: std::array::from_fn(|_| Loans::new(alone, now)),
            peers: BTreeMap::new(),
        }
    }

    /// Records the state that a peer reported.
    pub fn record_demand(&mut self, peer: u32, reported: PeerDemand, now: Tick) {
        self.peers.insert(peer, (now, reported));
    }

    /// Records the loans of a peer in answer to a demand sent at `sent_at`.
    pub fn borrow(&mut self, peer: u32, lent: LimitAmounts, sent_at: Tick) {
        for (loans, amount) in self.loans.iter_mut().zip(lent.to_array()) {
            loans.borrow(peer, amount, sent_at);
        }
    }

    /// Grants a peer what it lacks and this host does not need.
    ///
    /// Peers not heard for the length of a lease receive nothing and are not counted: they are down or cut off, and
    /// could not use a loan.
    pub fn grant(&mut self, peer: u32, part: LimitAmounts, own: LimitAmounts, now: Tick) -> LimitAmounts {
        self.peers.retain(|_, (at, _)| now.since(*at) < LEASE);
        let Some(position) = self.peers.keys().position(|other| *other == peer) else {
            return LimitAmounts::default();
        };
        let reported = self.peers[&peer].1;
        let granted = std::array::from_fn(|resource| {
            let wanted: Vec<f64> = self
                .peers
                .values()
                .map(|(_, peer)| peer.demand.to_array()[resource])
                .collect();
            let (part, own) = (resource_parts(part)[resource], own.to_array()[resource]);
            let mut loan = plan(part, own, &wanted)[position];
            if resource == CONCURRENT {
                // Slots in use stay taken until the requests end. Lending them to others, or using them here, would run
                // more requests than the limit allows.
                let in_use = (reported.running - part.owned).max(0.0);
                loan = loan.max(in_use.min(self.loans[resource].lent_to(peer, now))).round();
            }
            self.loans[resource].grant(peer, loan, part, own, now)
        });
        let mut granted = LimitAmounts::from(granted);
        granted.running = granted.running.floor();
        granted
    }

    /// Returns what may be used now.
    #[must_use]
    pub fn usable(&self, part: LimitAmounts, now: Tick) -> LimitAmounts {
        let parts = resource_parts(part);
        let usable = std::array::from_fn(|resource| self.loans[resource].usable(parts[resource], now));
        LimitAmounts::from(usable)
    }
}

/// Index of the concurrent requests among the resources.
const CONCURRENT: usize = 2;

fn resource_parts(amounts: LimitAmounts) -> [OwnedPart; 3] {
    let [requests, tokens, running] = amounts.to_array();
    [
        OwnedPart::rate(requests),
        OwnedPart::rate(tokens),
        OwnedPart::count(running),
    ]
}
