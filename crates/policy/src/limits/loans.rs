//! Loans of one measure of a limit between entry hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Tick;

/// How long a borrower may use a loan, from the time at which it sent the demand that the loan answers.
pub const LEASE: Duration = Duration::from_secs(4);
/// How much longer the lender waits, for clocks that run at different speeds (5 in 100).
pub const DRIFT: Duration = Duration::from_millis(200);
/// Share of its part that a host never lends.
///
/// It serves the first requests of returning callers until loans come back, and it is all that a restarted host may
/// use until everything that its predecessor may have lent has ended.
pub const RESERVE: f64 = 0.1;
/// What a lender keeps for itself when there is too little for all, relative to its present demand.
const KEPT: f64 = 1.05;
/// What a borrower is given when there is enough, relative to its present demand.
const WANTED: f64 = 1.25;

/// One measure of a limit at one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// What the host owns.
    pub owned: f64,
    /// What it never lends.
    pub reserve: f64,
}

impl Part {
    /// Makes a part of a rate.
    #[must_use]
    pub const fn rate(owned: f64) -> Self {
        Self {
            owned,
            reserve: owned * RESERVE,
        }
    }

    /// Makes a part of a count of whole things; a single one can be lent, and of more than one some stay.
    #[must_use]
    pub fn count(owned: f64) -> Self {
        let reserve = if owned < 2.0 { 0.0 } else { (owned * RESERVE).ceil() };
        Self { owned, reserve }
    }

    /// Gives what a host keeps.
    fn kept(self, wanted: f64) -> f64 {
        (wanted * KEPT).clamp(self.reserve, self.owned)
    }

    /// Gives what a host can lend.
    fn spare(self, wanted: f64) -> f64 {
        self.owned - self.kept(wanted)
    }

    /// Gives what a host needs beyond its part.
    fn lack(self, wanted: f64) -> f64 {
        (wanted * WANTED - self.owned).max(0.0)
    }
}

/// What one host has lent and borrowed of one measure.
#[derive(Clone, Debug)]
pub struct Loans {
    settled: Tick,
    lent: BTreeMap<u32, VecDeque<Grant>>,
    borrowed: BTreeMap<u32, Grant>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    until: Tick,
    amount: f64,
}

/// Works out what a host would lend to each of its peers, given what it and they want; all own equal parts.
///
/// Every host can spare what it doesn't keep; those that want more than their part are given in proportion to what
/// they lack. Each lender gives the share that makes all lenders together just meet the lack. When views differ, more
/// or less is lent than is useful, but never more than the lender has.
#[must_use]
pub fn plan(part: Part, own: f64, peers: &[f64]) -> Vec<f64> {
    let spares: f64 = part.spare(own) + peers.iter().map(|wanted| part.spare(*wanted)).sum::<f64>();
    let lacks: f64 = part.lack(own) + peers.iter().map(|wanted| part.lack(*wanted)).sum::<f64>();
    if spares <= 0.0 || lacks <= 0.0 {
        return vec![0.0; peers.len()];
    }
    let given = part.spare(own) * (lacks / spares).min(1.0);
    peers.iter().map(|wanted| given * part.lack(*wanted) / lacks).collect()
}

impl Loans {
    /// Starts with nothing lent or borrowed, as far as this process knows.
    ///
    /// A host that has peers waits until everything has ended that an earlier process of its name may have lent; one
    /// that is alone cannot have lent anything.
    #[must_use]
    pub fn new(alone: bool, now: Tick) -> Self {
        let wait = if alone { Duration::ZERO } else { LEASE + DRIFT };
        Self {
            settled: now + wait,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
        }
    }

    /// Lends to a peer and gives the amount, which may be less than what is wished.
    ///
    /// What was lent to others stays theirs until its lease has ended; only what is neither kept nor lent is lent anew.
    pub fn grant(&mut self, peer: u32, wish: f64, part: Part, own: f64, now: Tick) -> f64 {
        if !self.is_settled(now) {
            return 0.0;
        }
        self.expire(now);
        let total: f64 = self.lent.values().map(most).sum();
        let before = self.lent.get(&peer).map_or(0.0, most);
        let room = (part.spare(own) - total).max(0.0);
        let amount = wish.min(before + room).max(0.0);
        if amount > 0.0 {
            let until = now + LEASE + DRIFT;
            let grants = self.lent.entry(peer).or_default();
            // Only the largest of the loans that still run counts.
            while grants.back().is_some_and(|grant| grant.amount <= amount) {
                grants.pop_back();
            }
            grants.push_back(Grant { until, amount });
        }
        amount
    }

    /// Gives what a peer may be using of what was lent to it.
    #[must_use]
    pub fn lent_to(&self, peer: u32, now: Tick) -> f64 {
        let running = |grants: &VecDeque<Grant>| {
            grants
                .iter()
                .filter(|grant| grant.until > now)
                .map(|grant| grant.amount)
                .fold(0.0, f64::max)
        };
        self.lent.get(&peer).map_or(0.0, running)
    }

    /// Takes over a loan that answers a demand which was sent at the given time.
    ///
    /// The lease counts from then and not from the arrival: the lender cannot have granted it earlier, so that it ends
    /// here before it ends there, however long the answer was under way.
    pub fn borrow(&mut self, peer: u32, amount: f64, asked: Tick) {
        let until = asked + LEASE;
        self.borrowed.insert(peer, Grant { until, amount });
    }

    /// Gives what may be used now.
    #[must_use]
    pub fn usable(&self, part: Part, now: Tick) -> f64 {
        let lent = if self.is_settled(now) {
            self.lent.keys().map(|peer| self.lent_to(*peer, now)).sum()
        } else {
            part.owned - part.reserve
        };
        let borrowed = self.borrowed.values().filter(|grant| grant.until > now);
        let borrowed: f64 = borrowed.map(|grant| grant.amount).sum();
        (part.owned - lent).max(0.0) + borrowed
    }

    /// Tells whether everything that an earlier process of this host may have lent has ended.
    fn is_settled(&self, now: Tick) -> bool {
        now >= self.settled
    }

    fn expire(&mut self, now: Tick) {
        self.lent.retain(|_, grants| {
            while grants.front().is_some_and(|grant| grant.until <= now) {
                grants.pop_front();
            }
            !grants.is_empty()
        });
        self.borrowed.retain(|_, grant| grant.until > now);
    }
}

fn most(grants: &VecDeque<Grant>) -> f64 {
    // They are in falling order.
    grants.front().map_or(0.0, |grant| grant.amount)
}
