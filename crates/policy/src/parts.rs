//! How entry hosts that come and go share limits that hold over all of them.
//!
//! Half of each limit is split evenly over all entry hosts that were heard of lately; an entry host that is cut off goes on
//! with that floor, so that the sum stays within the limit whoever is cut off. The other half follows demand.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::NodeId;

use crate::Tick;

/// Part of every limit that is split evenly.
const EVEN: f64 = 0.5;
/// How long an entry host that fell silent still counts: longer than a cut lasts on an ordinary day, since it goes on
/// using its floor meanwhile.
const REMEMBERED: Duration = Duration::from_secs(30);
/// How long the demand of an entry host counts after its last beat.
const FRESH: Duration = Duration::from_millis(1_500);
/// How long a new leader listens before it gives parts: several beats, so that it has heard of every entry host.
const LISTENING: Duration = Duration::from_secs(1);
/// How long parts hold. A change of leaders takes about a second and its listening another.
pub const HOLD: Duration = Duration::from_secs(3);

/// What is known of the entry hosts.
#[derive(Debug)]
pub struct Sharers {
    since: Tick,
    known: BTreeMap<NodeId, Sharer>,
}

#[derive(Debug, Default)]
struct Sharer {
    heard: Tick,
    demand: BTreeMap<String, f64>,
}

/// The parts of one entry host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Portion {
    /// Entry hosts that share.
    pub entries: u32,
    /// Part of each client account's quota, 0 to 1.
    pub quotas: BTreeMap<String, f64>,
    /// Part that holds without news.
    pub floor: f64,
}

impl Sharers {
    /// Begins to listen.
    #[must_use]
    pub const fn new(since: Tick) -> Self {
        Self {
            since,
            known: BTreeMap::new(),
        }
    }

    /// Notes a beat and gives the entry host's parts; nothing while it is not known yet who shares.
    pub fn beat(&mut self, node: &NodeId, demand: &BTreeMap<String, f64>, now: Tick) -> Option<Portion> {
        self.known.retain(|_, sharer| now.since(sharer.heard) < REMEMBERED);
        let sharer = self.known.entry(node.clone()).or_default();
        sharer.heard = now;
        sharer.demand.clone_from(demand);
        if now.since(self.since) < LISTENING {
            return None;
        }
        let entries = self.known.len();
        let floor = EVEN / entries as f64;
        let part = |(account, own): (&String, &f64)| {
            let all = self.demand(account, now);
            let by_demand = if all > 0.0 { own / all } else { 1.0 / entries as f64 };
            (account.clone(), floor + (1.0 - EVEN) * by_demand)
        };
        Some(Portion {
            entries: entries as u32,
            quotas: demand.iter().map(part).collect(),
            floor,
        })
    }

    /// Gives the number of entry hosts that beat lately.
    #[must_use]
    pub fn live(&self, now: Tick) -> usize {
        self.known
            .values()
            .filter(|sharer| now.since(sharer.heard) < FRESH)
            .count()
    }

    fn demand(&self, account: &str, now: Tick) -> f64 {
        let live = self.known.values().filter(|sharer| now.since(sharer.heard) < FRESH);
        live.filter_map(|sharer| sharer.demand.get(account)).sum()
    }
}
