//! How entry hosts that come and go share limits that hold over all of them.
//!
//! A part of each limit is split evenly over all entry hosts that were heard of lately; an entry host that is cut off goes
//! on with that floor, so that the sum stays within the limit whoever is cut off. The rest is lent out by the leader of the
//! state group to whoever has no room for a request: requests of an account meet entry hosts by chance, and a split of
//! everything would refuse some at one host while another has room.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{NodeId, Quota};

use crate::Tick;
use crate::quota::Bucket;

/// Part of every limit that is split evenly. Accounts use about half of their quota on ordinary days; with this a data
/// centre that is cut off from the leader goes on serving what it usually does.
pub const EVEN: f64 = 0.6;
/// Part of the slack beyond a quota that is used, half of it split and half of it lent. Entry hosts that restart, or are
/// counted late, may add to it what their part was.
pub const SLACK_USED: f64 = 0.7;
/// How long an entry host that fell silent still counts: longer than a cut lasts on an ordinary day, since it goes on
/// using its floor meanwhile.
const REMEMBERED: Duration = Duration::from_secs(30);
/// How long a leader listens that was not left a count of those who share: several beats, so that it has heard of every
/// entry host.
const LISTENING: Duration = Duration::from_secs(1);

/// What a leader knows of those who share, and what it can lend.
#[derive(Debug)]
pub struct Sharers {
    since: Tick,
    /// Those who shared under the leader before.
    before: u32,
    known: BTreeMap<NodeId, Tick>,
    pools: BTreeMap<String, Bucket>,
}

/// The part of one entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Portion {
    /// Entry hosts that share.
    pub entries: u32,
    /// Part of every limit that is its own.
    pub floor: f64,
}

impl Sharers {
    /// Begins to listen; so many shared under the leader before, or none is known.
    #[must_use]
    pub const fn new(before: u32, since: Tick) -> Self {
        Self {
            since,
            before,
            known: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Notes a beat and gives the entry host's part; nothing while it is not known yet who shares.
    pub fn beat(&mut self, node: &NodeId, now: Tick) -> Option<Portion> {
        self.known.retain(|_, heard| now.since(*heard) < REMEMBERED);
        self.known.insert(node.clone(), now);
        let entries = self.count(now);
        (entries > 0).then(|| Portion {
            entries,
            floor: EVEN / f64::from(entries),
        })
    }

    /// Gives the number of those who share; zero while it is not known.
    #[must_use]
    pub fn count(&self, now: Tick) -> u32 {
        let heard = self.known.len() as u32;
        let passed = now.since(self.since);
        if passed < REMEMBERED && self.before > 0 {
            return heard.max(self.before);
        }
        if passed < LISTENING { 0 } else { heard }
    }

    /// Takes over the quotas in force. A pool that is new begins with little: a former leader may just have lent what was
    /// in it.
    pub fn set_quotas(&mut self, quotas: &[(String, Quota)], slack: f64, now: Tick) {
        self.pools
            .retain(|account, _| quotas.iter().any(|(name, _)| name == account));
        for (account, quota) in quotas {
            let own = quota.burst * (1.0 - EVEN);
            let pool = self.pools.entry(account.clone());
            let pool = pool.or_insert_with(|| Bucket::new(own, now));
            let burst = own + slack * SLACK_USED / 2.0;
            pool.set(quota.per_s * (1.0 - EVEN), burst, now);
        }
    }

    /// Lends units of an account's quota.
    pub fn lend(&mut self, account: &str, units: f64, now: Tick) -> bool {
        let pool = self.pools.get_mut(account);
        pool.is_some_and(|pool| pool.take(units, now).is_ok())
    }
}
