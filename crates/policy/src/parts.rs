//! How entry hosts that come and go share limits that hold over all of them.
//!
//! A part of each limit is split evenly over all entry hosts that were heard of lately; an entry host that is cut off goes
//! on with that floor, so that the sum stays within the limit whoever is cut off. The rest is lent out by the leader of the
//! state group to whoever has no room for a request: requests of an account meet entry hosts by chance, and a split of
//! everything would refuse some at one host while another has room. What a full part gains goes back to the leader's pool.
//!
//! With eighty entry hosts a part holds fewer tokens than one long prompt asks for. If it kept what it can't use, three
//! fifths of the quota would be there for short prompts only: on a calm day 157 tries of accounts within theirs were refused, 1 since.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{NodeId, Quota};

use crate::Tick;
use crate::quota::Bucket;

/// Part of every limit that is split evenly. Accounts use about half of their quota on ordinary days; with this a data
/// centre that is cut off from the leader goes on serving what it usually does.
pub const EVEN: f64 = 0.6;
/// Part of the slack beyond a quota that is split evenly as room to save up.
pub const SLACK_SPLIT: f64 = 0.1;
/// Part of it that the leader saves up for bunches of long prompts.
pub const SLACK_POOLED: f64 = 0.25;
/// Part of it that the leader lends anew in each window. The rest of the slack is for entry hosts that restart or are counted
/// late, and for one prompt that is longer than what is saved up.
pub const SLACK_LENT: f64 = 0.4;
/// How long an entry host that fell silent still counts: longer than a cut lasts on an ordinary day, since it goes on
/// using its floor meanwhile.
const REMEMBERED: Duration = Duration::from_secs(30);
/// How long a leader listens that was not left a count of those who share: several beats, so that it has heard of every
/// entry host.
const LISTENING: Duration = Duration::from_secs(1);

/// What a leader knows of those who share, and what it can lend.
#[derive(Debug)]
pub struct QuotaAllocator {
    since: Tick,
    /// Those who shared under the leader before.
    before: u32,
    known: BTreeMap<NodeId, Tick>,
    pools: BTreeMap<String, Bucket>,
    /// Incarnation of each entry host, and what it had to spare by account since its start.
    spares: BTreeMap<NodeId, (u64, BTreeMap<String, u64>)>,
}

/// Units that may pass beyond each quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slack {
    /// In one window, over all entry hosts.
    pub units: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Slack {
    /// Gives what one of so many entry hosts may save up beyond its part of the burst.
    #[must_use]
    pub fn per_entry(&self, entries: u32) -> f64 {
        self.units * SLACK_SPLIT / f64::from(entries.max(1))
    }

    /// Gives the units a second that the leader may lend beyond the quota's rate.
    fn rate(&self) -> f64 {
        self.units * SLACK_LENT / self.window.as_secs_f64().max(1.0)
    }
}

/// The part of one entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryShare {
    /// Entry hosts that share.
    pub entries: u32,
    /// Part of every limit that is its own.
    pub fraction: f64,
}

impl QuotaAllocator {
    /// Begins to listen; so many shared under the leader before, or none is known.
    #[must_use]
    pub const fn new(before: u32, since: Tick) -> Self {
        Self {
            since,
            before,
            known: BTreeMap::new(),
            pools: BTreeMap::new(),
            spares: BTreeMap::new(),
        }
    }

    /// Notes a beat and gives the entry host's part; nothing while it is not known yet who shares.
    pub fn record_heartbeat(&mut self, node: &NodeId, now: Tick) -> Option<EntryShare> {
        self.known.retain(|_, heard| now.since(*heard) < REMEMBERED);
        self.spares.retain(|node, _| self.known.contains_key(node));
        self.known.insert(node.clone(), now);
        let entries = self.entry_count(now);
        (entries > 0).then(|| EntryShare {
            entries,
            fraction: EVEN / f64::from(entries),
        })
    }

    /// Gives the number of those who share; zero while it is not known.
    #[must_use]
    pub fn entry_count(&self, now: Tick) -> u32 {
        let heard = self.known.len() as u32;
        let passed = now.since(self.since);
        if passed < REMEMBERED && self.before > 0 {
            return heard.max(self.before);
        }
        if passed < LISTENING { 0 } else { heard }
    }

    /// Takes over the quotas in force. A pool that is new begins with little: a former leader may just have lent what was
    /// in it.
    pub fn set_quotas(&mut self, quotas: &[(String, Quota)], slack: &Slack, now: Tick) {
        self.pools
            .retain(|account, _| quotas.iter().any(|(name, _)| name == account));
        for (account, quota) in quotas {
            let own = quota.burst * (1.0 - EVEN);
            let pool = self.pools.entry(account.clone());
            let pool = pool.or_insert_with(|| Bucket::new(own, now));
            let burst = own + slack.units * SLACK_POOLED;
            pool.set(quota.per_s * (1.0 - EVEN) + slack.rate(), burst, now);
        }
    }

    /// Takes back what an entry host had to spare since it told so last; `totals` count from its start.
    ///
    /// The first totals that are heard from an incarnation only begin the count: a former leader may have taken them back.
    pub fn collect_overflow(&mut self, node: &NodeId, run: u64, totals: BTreeMap<String, u64>) {
        let before = self.spares.get(node).filter(|(known, _)| *known == run);
        if let Some((_, before)) = before {
            for (account, total) in &totals {
                let new = total.saturating_sub(before.get(account).copied().unwrap_or(0));
                if let Some(pool) = self.pools.get_mut(account) {
                    pool.refund(new as f64);
                }
            }
        }
        self.spares.insert(node.clone(), (run, totals));
    }

    /// Lends units of an account's quota.
    pub fn lend(&mut self, account: &str, units: f64, now: Tick) -> bool {
        let pool = self.pools.get_mut(account);
        pool.is_some_and(|pool| pool.take(units, now).is_ok())
    }
}
