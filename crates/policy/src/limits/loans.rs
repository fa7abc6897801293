//! Loans of one resource of a limit between entry hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Tick;

/// Time for which a borrower may use a loan, counted from when it sent the demand that the loan answers.
pub const LEASE: Duration = Duration::from_secs(4);
/// Additional time for which the lender waits, since clocks may run at different speeds (up to 5 in 100).
pub const DRIFT: Duration = Duration::from_millis(200);
/// Share of its part that a host never lends.
///
/// It serves the first requests of returning callers until loans end. It is also all that a restarted host may use
/// until every loan that its predecessor may have granted has ended.
pub const RESERVE: f64 = 0.1;
/// What a lender keeps when there is too little for all, relative to its current demand.
const KEEP_FACTOR: f64 = 1.05;
/// What a borrower has in total when there is enough for all, relative to its current demand.
const WANT_FACTOR: f64 = 1.25;

/// A host's part of one resource of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnedPart {
    /// What the host owns, in units of the resource.
    pub owned: f64,
    /// What it never lends, in units of the resource.
    pub reserve: f64,
}

impl OwnedPart {
    /// Creates the part of a rate, which can be divided at will.
    #[must_use]
    pub const fn rate(owned: f64) -> Self {
        Self {
            owned,
            reserve: owned * RESERVE,
        }
    }

    /// Creates the part of a count of indivisible units. A single unit can be lent; of more, some are always kept.
    #[must_use]
    pub fn count(owned: f64) -> Self {
        let reserve = if owned < 2.0 { 0.0 } else { (owned * RESERVE).ceil() };
        Self { owned, reserve }
    }

    /// Returns what a host with this demand keeps.
    fn kept(self, wanted: f64) -> f64 {
        (wanted * KEEP_FACTOR).clamp(self.reserve, self.owned)
    }

    /// Returns what a host with this demand can lend.
    fn surplus(self, wanted: f64) -> f64 {
        self.owned - self.kept(wanted)
    }

    /// Returns what a host with this demand needs beyond its own part.
    fn shortfall(self, wanted: f64) -> f64 {
        (wanted * WANT_FACTOR - self.owned).max(0.0)
    }
}

/// What one host has lent and borrowed of one resource.
#[derive(Clone, Debug)]
pub struct Loans {
    /// When all loans of earlier processes of this host have ended.
    settled_at: Tick,
    /// Running loans to each peer, oldest and largest first.
    lent: BTreeMap<u32, VecDeque<Loan>>,
    borrowed: BTreeMap<u32, Loan>,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    until: Tick,
    amount: f64,
}

/// Computes what a host lends to each of its peers, given its own demand and theirs; all hosts own equal parts.
///
/// Every host can lend what it does not keep. Hosts that need more than their part receive in proportion to what they
/// lack. Each lender gives the share with which all lenders together just meet the lack. When the views of the hosts
/// differ, more or less than needed is lent, but never more than the lender has.
#[must_use]
pub fn plan(part: OwnedPart, own: f64, peers: &[f64]) -> Vec<f64> {
    let surpluses: f64 = part.surplus(own) + peers.iter().map(|wanted| part.surplus(*wanted)).sum::<f64>();
    let shortfalls: f64 = part.shortfall(own) + peers.iter().map(|wanted| part.shortfall(*wanted)).sum::<f64>();
    if surpluses <= 0.0 || shortfalls <= 0.0 {
        return vec![0.0; peers.len()];
    }
    let given = part.surplus(own) * (shortfalls / surpluses).min(1.0);
    peers
        .iter()
        .map(|wanted| given * part.shortfall(*wanted) / shortfalls)
        .collect()
}

impl Loans {
    /// Starts with nothing lent or borrowed, as far as this process knows.
    ///
    /// A host with peers lends nothing until every loan that an earlier process of the host may have granted has ended.
    /// A host that is alone cannot have granted any.
    #[must_use]
    pub fn new(alone: bool, now: Tick) -> Self {
        let wait = if alone { Duration::ZERO } else { LEASE + DRIFT };
        Self {
            settled_at: now + wait,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
        }
    }

    /// Grants a loan to a peer and returns its amount, which may be less than `wanted`.
    ///
    /// Running loans to others stay in force until their leases end; only what is neither kept nor lent can be granted.
    pub fn grant(&mut self, peer: u32, wanted: f64, part: OwnedPart, own: f64, now: Tick) -> f64 {
        if !self.is_settled(now) {
            return 0.0;
        }
        self.expire(now);
        let total: f64 = self.lent.values().map(largest).sum();
        let before = self.lent.get(&peer).map_or(0.0, largest);
        let room = (part.surplus(own) - total).max(0.0);
        let amount = wanted.min(before + room).max(0.0);
        if amount > 0.0 {
            let until = now + LEASE + DRIFT;
            let loans = self.lent.entry(peer).or_default();
            // Of the running loans to a peer, only the largest counts.
            while loans.back().is_some_and(|loan| loan.amount <= amount) {
                loans.pop_back();
            }
            loans.push_back(Loan { until, amount });
        }
        amount
    }

    /// Returns what a peer may be using of its loans.
    #[must_use]
    pub fn lent_to(&self, peer: u32, now: Tick) -> f64 {
        let running = |loans: &VecDeque<Loan>| {
            loans
                .iter()
                .filter(|loan| loan.until > now)
                .map(|loan| loan.amount)
                .fold(0.0, f64::max)
        };
        self.lent.get(&peer).map_or(0.0, running)
    }

    /// Records a loan from a peer in answer to a demand sent at `sent_at`.
    ///
    /// The lease is counted from `sent_at` and not from the arrival. The lender cannot have granted the loan earlier,
    /// so it ends here before it ends there, however long the answer took.
    pub fn borrow(&mut self, peer: u32, amount: f64, sent_at: Tick) {
        let until = sent_at + LEASE;
        self.borrowed.insert(peer, Loan { until, amount });
    }

    /// Returns what may be used now: the own part without loans to others, and what is borrowed.
    #[must_use]
    pub fn usable(&self, part: OwnedPart, now: Tick) -> f64 {
        let lent = if self.is_settled(now) {
            self.lent.keys().map(|peer| self.lent_to(*peer, now)).sum()
        } else {
            part.owned - part.reserve
        };
        let borrowed = self.borrowed.values().filter(|loan| loan.until > now);
        let borrowed: f64 = borrowed.map(|loan| loan.amount).sum();
        (part.owned - lent).max(0.0) + borrowed
    }

    /// Returns whether all loans of earlier processes of this host have ended.
    fn is_settled(&self, now: Tick) -> bool {
        now >= self.settled_at
    }

    fn expire(&mut self, now: Tick) {
        self.lent.retain(|_, loans| {
            while loans.front().is_some_and(|loan| loan.until <= now) {
                loans.pop_front();
            }
            !loans.is_empty()
        });
        self.borrowed.retain(|_, loan| loan.until > now);
    }
}

fn largest(loans: &VecDeque<Loan>) -> f64 {
    // The amounts are in descending order.
    loans.front().map_or(0.0, |loan| loan.amount)
}
