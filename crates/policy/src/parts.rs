//! Division of the accounts' quotas among a changing set of entry hosts.
//!
//! A fixed share of each quota is divided evenly among all entry hosts that sent a heartbeat lately. An entry host that
//! is cut off goes on with its even share, so the sum stays within the quota whichever host is cut off. The rest is lent
//! to hosts that have no room for a request: requests of an account reach entry hosts at random, and with an even
//! division of everything one host would refuse some while another has room. Units that overflow a host's full bucket
//! return to the leader's pool.
//!
//! A part of what is lent belongs to the leader of the state group, and each state node has an even part of the rest,
//! which it lends with or without a leader. With hundreds of entry hosts, a host's own share holds one prompt in ten
//! seconds; if only the leader lent, most callers within their quota would be refused during an election or while the
//! group is split.
//!
//! With eighty entry hosts, an even share holds fewer tokens than one long prompt needs. Without the return of the
//! overflow, three fifths of the quota would be usable by short prompts only, and callers within their quota would be
//! refused.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{NodeId, Quota};

use crate::Tick;
use crate::quota::Bucket;

/// Share of every quota that is divided evenly among the entry hosts. Accounts use about half of their quota on ordinary
/// days, so a data centre that is cut off from the leader can go on serving its usual load.
pub const EVEN_SHARE: f64 = 0.6;
/// Largest share of every quota that is divided evenly among the state nodes, which lend it. What a node does not lend is
/// lost, and a long prompt does not fit its part, so that most of what is lent stays with the leader.
pub const NODE_SHARE: f64 = 0.2;
/// Number of entry hosts from which the state nodes have their whole share. With few hosts, the share of each holds
/// several prompts, and the loss in the nodes' parts outweighs their use.
const MANY_ENTRIES: f64 = 100.0;
/// Share of the slack that is divided evenly and added to the entry hosts' bursts.
pub const SLACK_EVEN_SHARE: f64 = 0.1;
/// Share of the slack that is added to the burst of the leader's pool, for bursts of long prompts.
pub const SLACK_POOL_SHARE: f64 = 0.25;
/// Share of the slack that the leader may lend in each window. What remains covers entry hosts that restart or are
/// counted late, and one prompt that is larger than the burst.
pub const SLACK_LENT_SHARE: f64 = 0.4;
/// Time without heartbeat after which an entry host no longer counts: longer than an ordinary network cut, since a host
/// that is cut off goes on using its even share.
const HEARTBEAT_EXPIRY: Duration = Duration::from_secs(30);
/// Time for which a leader that does not know the previous count of entry hosts only listens: several heartbeats, so
/// that it has heard every host.
const LISTEN_TIME: Duration = Duration::from_secs(1);

/// The leader's view of the entry hosts, and its pools of lendable units.
#[derive(Debug)]
pub struct QuotaAllocator {
    started: Tick,
    /// Number of entry hosts under the previous leader; zero if unknown.
    previous_count: u32,
    heartbeats: BTreeMap<NodeId, Tick>,
    pools: BTreeMap<String, Bucket>,
    /// Incarnation of each entry host, and its total overflow by account since its start.
    overflows: BTreeMap<NodeId, (u64, BTreeMap<String, u64>)>,
}

/// Units by which the use of a quota may exceed it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slack {
    /// Units in one window, over all entry hosts.
    pub units: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Slack {
    /// Returns the units that each of `entries` entry hosts may add to its burst.
    #[must_use]
    pub fn per_entry(&self, entries: u32) -> f64 {
        self.units * SLACK_EVEN_SHARE / f64::from(entries.max(1))
    }

    /// Returns the units per second that the leader may lend beyond the quota's rate.
    fn rate(&self) -> f64 {
        self.units * SLACK_LENT_SHARE / self.window.as_secs_f64().max(1.0)
    }
}

/// The even share of one entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryShare {
    /// Number of entry hosts that share.
    pub entries: u32,
    /// Share of each quota that the entry host owns, 0 to 1.
    pub fraction: f64,
}

/// Returns the share of every quota that all state nodes together lend to `entries` entry hosts.
#[must_use]
pub fn node_share(entries: u32) -> f64 {
    NODE_SHARE * (f64::from(entries) / MANY_ENTRIES).min(1.0)
}

/// Returns the share of every quota that one of `nodes` state nodes lends to `entries` entry hosts.
///
/// The quota is divided into one part more than there are nodes: a node that is cut off and replaced goes on lending, and
/// the parts of all nodes must not add up to more than the whole.
#[must_use]
pub fn node_part(nodes: u32, entries: u32) -> f64 {
    node_share(entries) / f64::from(nodes + 1)
}

impl EntryShare {
    /// Returns the even share of one of `entries` entry hosts; `None` without any.
    #[must_use]
    pub fn even(entries: u32) -> Option<Self> {
        (entries > 0).then(|| Self {
            entries,
            fraction: EVEN_SHARE / f64::from(entries),
        })
    }
}

impl QuotaAllocator {
    /// Starts listening for entry hosts; `previous_count` is their number under the previous leader, zero if unknown.
    #[must_use]
    pub const fn new(previous_count: u32, started: Tick) -> Self {
        Self {
            started,
            previous_count,
            heartbeats: BTreeMap::new(),
            pools: BTreeMap::new(),
            overflows: BTreeMap::new(),
        }
    }

    /// Records a heartbeat and returns the host's even share; `None` while the number of entry hosts is not known.
    pub fn record_heartbeat(&mut self, node: &NodeId, now: Tick) -> Option<EntryShare> {
        self.heartbeats.retain(|_, heard| now.since(*heard) < HEARTBEAT_EXPIRY);
        self.overflows.retain(|node, _| self.heartbeats.contains_key(node));
        self.heartbeats.insert(node.clone(), now);
        EntryShare::even(self.entry_count(now))
    }

    /// Returns the number of entry hosts; zero while it is not known.
    #[must_use]
    pub fn entry_count(&self, now: Tick) -> u32 {
        let heard = self.heartbeats.len() as u32;
        let elapsed = now.since(self.started);
        if elapsed < HEARTBEAT_EXPIRY && self.previous_count > 0 {
            return heard.max(self.previous_count);
        }
        if elapsed < LISTEN_TIME { 0 } else { heard }
    }

    /// Applies the quotas in force. A new pool starts with little, since a previous leader may just have lent its
    /// contents.
    pub fn set_quotas(&mut self, quotas: &[(String, Quota)], slack: &Slack, now: Tick) {
        self.pools
            .retain(|account, _| quotas.iter().any(|(name, _)| name == account));
        // While their number is unknown, there may be many hosts.
        let entries = Some(self.entry_count(now)).filter(|entries| *entries > 0);
        let leader_share = 1.0 - EVEN_SHARE - node_share(entries.unwrap_or(u32::MAX));
        for (account, quota) in quotas {
            let lendable = quota.burst * leader_share;
            let pool = self.pools.entry(account.clone());
            let pool = pool.or_insert_with(|| Bucket::new(lendable, now));
            let burst = lendable + slack.units * SLACK_POOL_SHARE;
            pool.set(quota.per_s * leader_share + slack.rate(), burst, now);
        }
    }

    /// Adds an entry host's overflow since its last report to the pools; `totals` count from the start of the
    /// incarnation.
    ///
    /// The first totals of an incarnation only set the baseline, since a previous leader may have collected them.
    pub fn collect_overflow(&mut self, node: &NodeId, incarnation: u64, totals: BTreeMap<String, u64>) {
        let before = self.overflows.get(node).filter(|(known, _)| *known == incarnation);
        if let Some((_, before)) = before {
            for (account, total) in &totals {
                let added = total.saturating_sub(before.get(account).copied().unwrap_or(0));
                if let Some(pool) = self.pools.get_mut(account) {
                    pool.refund(added as f64);
                }
            }
        }
        self.overflows.insert(node.clone(), (incarnation, totals));
    }

    /// Lends units of an account's quota; returns whether the pool had as many.
    pub fn lend(&mut self, account: &str, units: f64, now: Tick) -> bool {
        let pool = self.pools.get_mut(account);
        pool.is_some_and(|pool| pool.take(units, now).is_ok())
    }
}

/// The pools of one state node.
#[derive(Debug, Default)]
pub struct NodeLender {
    pools: BTreeMap<String, Bucket>,
}

/// Which requests a state node lends to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanLimit {
    /// Those that its pool has room for.
    Whole,
    /// Also one that is larger than the pool, which is then overdrawn.
    Overdraw,
}

impl NodeLender {
    /// Lends units of an account's quota, of which the node has the share `part`; returns whether the pool had room.
    pub fn lend(
        &mut self,
        (account, quota): (&str, &Quota),
        part: f64,
        units: f64,
        limit: LoanLimit,
        now: Tick,
    ) -> bool {
        let burst = quota.burst * part;
        let pool = self.pools.entry(account.to_owned());
        let pool = pool.or_insert_with(|| Bucket::new(burst, now));
        pool.set(quota.per_s * part, burst, now);
        let lent = match limit {
            LoanLimit::Whole => pool.take_whole(units, now),
            LoanLimit::Overdraw => pool.take(units, now),
        };
        lent.is_ok()
    }
}
