//! What the leader knows of the entry hosts: who shares the limits, and what they count.
//!
//! None of it is written to the log: every entry host says all of it again within a beat.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use contract::{Listed, NodeId, Quota};
use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use policy::parts::{QuotaAllocator, Slack};
use policy::reclaim::{ReclaimGroup, ReportedReclaims};
use policy::rollout::{Progress, Rollout};
use wire::registry::{Heartbeat, LeaderUpdate, QuotaShare, ServiceLoad};

use crate::listing::Listing;
use crate::signs::Signs;

/// Windows of usage that are kept: at the length of five seconds, more than three minutes.
const KEPT_WINDOWS: usize = 40;

/// What the leader of a term knows of the entry hosts.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    inner: Mutex<Inner>,
    /// Units beyond a quota that may pass in a window, over all entry hosts.
    slack: Slack,
}

#[derive(Debug, Default)]
struct Inner {
    term: u64,
    list: Listing,
    reclaims: ReportedReclaims,
    signs: Signs,
    rollout: Rollout,
    /// Number of sharers that the log holds.
    counted: u32,
    sharers: Option<QuotaAllocator>,
    counts: BTreeMap<u64, BTreeMap<(NodeId, u64), Counts>>,
    loads: BTreeMap<NodeId, (Tick, BTreeMap<String, ServiceLoad>)>,
}

/// What the log says of shared limits.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits {
    /// Quotas by client account.
    pub quotas: Vec<(String, Quota)>,
    /// Entry hosts that share, as last counted.
    pub entry_hosts: u32,
    /// Version of the newest catalog.
    pub catalog_version: u64,
}

/// Requests by client account.
pub type Counts = BTreeMap<String, u64>;

impl EntryRegistry {
    /// Makes a registry that may let so many units beyond each quota pass.
    #[must_use]
    pub fn new(slack: Slack) -> Self {
        Self {
            inner: Mutex::default(),
            slack,
        }
    }

    /// Takes a beat in a term; gives the entry host's parts once they are known.
    pub fn heartbeat(
        &self,
        term: u64,
        (from, beat): (&NodeId, Heartbeat),
        shared: &SharedLimits,
        now: Tick,
    ) -> Option<LeaderUpdate> {
        let mut inner = self.inner.lock();
        if inner.term != term {
            // Another led in between, and may have given other parts.
            inner.sharers = None;
            inner.rollout = Rollout::default();
            inner.term = term;
            inner.counted = shared.entry_hosts;
        }
        for (window, counts) in beat.began {
            let runs = inner.counts.entry(window).or_default();
            runs.insert((from.clone(), beat.run), counts);
        }
        while inner.counts.len() > KEPT_WINDOWS {
            inner.counts.pop_first();
        }
        inner.loads.insert(from.clone(), (now, beat.load));
        inner.signs.note(from, beat.signs, now);
        let sharers = inner
            .sharers
            .get_or_insert_with(|| QuotaAllocator::new(shared.entry_hosts, now));
        sharers.set_quotas(&shared.quotas, &self.slack, now);
        let portion = sharers.record_heartbeat(from, now);
        sharers.collect_overflow(from, beat.run, beat.spare);
        let portion = portion?;
        let parts = QuotaShare {
            entries: portion.entries,
            floor: portion.fraction,
        };
        Some(LeaderUpdate {
            parts,
            list: inner.list.news(&beat.list, beat.max_listed, now),
            signs: inner.signs.others(from, now),
            version: shared.catalog_version,
        })
    }

    /// Notes the version that an entry host holds; gives what has become worth telling of the rollout.
    pub fn record_version(&self, from: &NodeId, held: u64, newest: u64, now: Tick) -> Option<Progress> {
        let mut inner = self.inner.lock();
        inner.rollout.publish(newest, now);
        inner.rollout.record_version(from, held, now);
        gauge!("gentian_state_hosts_behind_count").set(inner.rollout.hosts_behind(now) as f64);
        inner.rollout.report(now)
    }

    /// Takes over a list of upstreams that was asked for at a time, in a term.
    pub fn set_list(&self, term: u64, mut list: Vec<Listed>, asked: Tick) {
        let mut inner = self.inner.lock();
        inner.reclaims.apply(&mut list, asked);
        inner.list.set(term, list, asked);
    }

    /// Notes a reclaim that engines told of in a term; the list names their group as leaving at once.
    pub fn record_reclaim(&self, term: u64, group: ReclaimGroup, ends: Tick, now: Tick) {
        let mut inner = self.inner.lock();
        inner.reclaims.record(group, ends, now);
        if let Some((list, asked)) = inner.list.list() {
            let mut list = list.to_vec();
            inner.reclaims.apply(&mut list, asked);
            inner.list.set(term, list, asked);
        }
    }

    /// Gives the newest list, if it was asked for within a time.
    pub fn list(&self, now: Tick, fresh: Duration) -> Option<Arc<Vec<Listed>>> {
        let inner = self.inner.lock();
        let (list, asked) = inner.list.list()?;
        (now.since(asked) < fresh).then(|| Arc::clone(list))
    }

    /// Gives the number of those who share if it has changed since it was last asked for.
    pub fn changed_count(&self, now: Tick) -> Option<u32> {
        let mut inner = self.inner.lock();
        let count = inner.sharers.as_ref()?.entry_count(now);
        let changed = count > 0 && count != inner.counted;
        if changed {
            inner.counted = count;
        }
        changed.then_some(count)
    }

    /// Lends units of an account's quota in a term.
    pub fn lend(&self, term: u64, account: &str, units: f64, now: Tick) -> bool {
        let mut inner = self.inner.lock();
        let same = inner.term == term;
        let sharers = inner.sharers.as_mut().filter(|_| same);
        sharers.is_some_and(|sharers| sharers.lend(account, units, now))
    }

    /// Tells whether entry hosts were there when a window ended, so that its usage can be told.
    #[must_use]
    pub fn knows(&self, window: u64) -> bool {
        let inner = self.inner.lock();
        inner
            .counts
            .first_key_value()
            .is_some_and(|(first, _)| *first <= window)
    }

    /// Gives the requests that began in a window, over all entry hosts.
    #[must_use]
    pub fn counts(&self, window: u64) -> Counts {
        let inner = self.inner.lock();
        let mut sum = Counts::new();
        for counts in inner.counts.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (account, count) in counts {
                *sum.entry(account.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Gives the load of each service over the entry hosts that beat within a time.
    #[must_use]
    pub fn loads(&self, now: Tick, fresh: Duration) -> BTreeMap<String, ServiceLoad> {
        let inner = self.inner.lock();
        let mut sum: BTreeMap<String, ServiceLoad> = BTreeMap::new();
        for (at, loads) in inner.loads.values() {
            if now.since(*at) > fresh {
                continue;
            }
            for (service, load) in loads {
                let all = sum.entry(service.clone()).or_default();
                all.running += load.running;
                all.reading += load.reading;
            }
        }
        sum
    }
}
