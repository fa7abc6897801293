//! One customer's limits at one entry host.

use std::collections::BTreeMap;

use contract::Limits;

use super::loans::{LEASE, Loans, Part, plan};
use crate::Tick;

/// Amounts of a customer's three limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitAmounts {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Requests that run at the same time.
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
    /// Gives the amounts in the order of the fields.
    #[must_use]
    pub const fn to_array(&self) -> [f64; 3] {
        [self.requests, self.tokens, self.running]
    }
}

/// Gives the part of the limits that the host at a rank among all entry hosts owns.
///
/// Running requests are whole: the hosts of the first ranks own one more where they can't be divided.
#[must_use]
pub fn owned_part(limits: &Limits, hosts: u32, rank: u32) -> LimitAmounts {
    let hosts = hosts.max(1);
    let count = f64::from(hosts);
    let running = limits.concurrency / hosts + u32::from(rank < limits.concurrency % hosts);
    LimitAmounts {
        requests: limits.requests_per_s / count,
        tokens: limits.tokens_per_s / count,
        running: f64::from(running),
    }
}

/// What a peer told of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerDemand {
    /// What its callers ask for.
    pub wanted: LimitAmounts,
    /// Requests that run there now.
    pub running: f64,
}

/// One customer's limits at one entry host.
#[derive(Clone, Debug)]
pub struct CustomerShare {
    loans: [Loans; 3],
    peers: BTreeMap<u32, (Tick, PeerDemand)>,
}

impl CustomerShare {
    /// Starts with nothing lent or borrowed; the host may be alone, without any peers in its settings.
    #[must_use]
    pub fn new(alone: bool, now: Tick) -> Self {
        Self {
            loans: std::array::from_fn(|_| Loans::new(alone, now)),
            peers: BTreeMap::new(),
        }
    }

    /// Takes in what a peer tells.
    pub fn record_demand(&mut self, peer: u32, told: PeerDemand, now: Tick) {
        self.peers.insert(peer, (now, told));
    }

    /// Takes over what a peer lends in answer to a demand that was sent at the given time.
    pub fn borrow(&mut self, peer: u32, lent: LimitAmounts, asked: Tick) {
        for (loans, amount) in self.loans.iter_mut().zip(lent.to_array()) {
            loans.borrow(peer, amount, asked);
        }
    }

    /// Lends to a peer what it lacks and this host doesn't need.
    ///
    /// Peers that were not heard for the time of a lease get nothing and count for nothing: they are dead or cut off
    /// and could not take a loan.
    pub fn grant(&mut self, peer: u32, part: LimitAmounts, own: LimitAmounts, now: Tick) -> LimitAmounts {
        self.peers.retain(|_, (at, _)| now.since(*at) < LEASE);
        let Some(place) = self.peers.keys().position(|other| *other == peer) else {
            return LimitAmounts::default();
        };
        let told = self.peers[&peer].1;
        let granted = std::array::from_fn(|measure| {
            let wanted: Vec<f64> = self
                .peers
                .values()
                .map(|(_, peer)| peer.wanted.to_array()[measure])
                .collect();
            let (part, own) = (parts_of(part)[measure], own.to_array()[measure]);
            let mut wish = plan(part, own, &wanted)[place];
            if measure == RUNNING {
                // Slots that are in use can't come back before the requests end. Lending them on, or using them here,
                // would run more requests than the limit allows.
                let in_use = (told.running - part.owned).max(0.0);
                wish = wish.max(in_use.min(self.loans[measure].lent_to(peer, now))).round();
            }
            self.loans[measure].grant(peer, wish, part, own, now)
        });
        let mut granted = LimitAmounts::from(granted);
        granted.running = granted.running.floor();
        granted
    }

    /// Gives what may be used now.
    #[must_use]
    pub fn usable(&self, part: LimitAmounts, now: Tick) -> LimitAmounts {
        let parts = parts_of(part);
        let usable = std::array::from_fn(|measure| self.loans[measure].usable(parts[measure], now));
        LimitAmounts::from(usable)
    }
}

/// Position of the running requests among the measures.
const RUNNING: usize = 2;

fn parts_of(amounts: LimitAmounts) -> [Part; 3] {
    let [requests, tokens, running] = amounts.to_array();
    [Part::rate(requests), Part::rate(tokens), Part::count(running)]
}
