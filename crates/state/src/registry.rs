//! What the leader knows about entry hosts: which of them share quotas, and what they report.
//!
//! None of it is written to the log: every entry host reports all of it again with its next heartbeat.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use contract::{ListedUpstream, NodeId, Quota, Rollout, RolloutState, RolloutTrial, ServiceName, Zone};
use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use policy::catalog_lag::{CatalogLag, Progress};
use policy::parts::{LoanLimit, NodeLender, QuotaAllocator, Slack, node_part};
use policy::rate_limit::{HeldPart, LimitLeases, NamedLimit};
use policy::reclaim::{ReclaimGroup, ReportedReclaims};
use policy::relays::{RelayDirectory, list_mark};
use policy::slots::{SlotLeases, SlotNeed};
use slog::Logger;
use tokio::sync::watch;
use wire::quarantine::{QuarantineMark, QuarantineNews, ReportCrashes, TryParts, TryReply};
use wire::registry::{BrittleNews, HeardLimit, Heartbeat, LeaderUpdate, LimitPart, QuotaShare, RelayList, ServiceLoad};
use wire::rollout::RolloutPlan;
use wire::slots::{ReleasedSlot, SlotEnd, TakeSlot};

use crate::core::Leadership;
use crate::list_changes::UpstreamList;
use crate::prefill_samples::SharedPrefills;
use crate::quarantine::Quarantine;
use crate::rollouts::Trials;
use crate::shared_observations::Observations;

/// Usage windows that are kept: more than three minutes with windows of five seconds.
const KEPT_WINDOWS: usize = 40;

/// Time for which an entry host that fell silent is expected back.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// What the leader of a term knows about entry hosts.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    inner: Mutex<Inner>,
    /// By how much all entry hosts together may exceed a quota in a window.
    slack: Slack,
    /// Tells the hosts that wait for it of changes of the quarantine.
    quarantine_changed: watch::Sender<()>,
    /// Tells the calls that wait for it of hosts that know of a change.
    quarantine_known: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    term: u64,
    list: UpstreamList,
    reclaims: ReportedReclaims,
    observations: Observations,
    rate_limits: LimitLeases,
    relays: RelayDirectory,
    slots: SlotLeases,
    quarantine: Quarantine,
    catalog_lag: CatalogLag,
    trials: Trials,
    prefills: SharedPrefills,
    /// Plans of rollouts, with the term in which they were made.
    rollouts: (u64, Vec<RolloutPlan>),
    /// Number of entry hosts that the replicated state holds.
    stored_count: u32,
    allocator: Option<QuotaAllocator>,
    /// What this node lends by itself, in any term.
    own_lender: NodeLender,
    /// Requests by usage window and by entry host with the incarnation of its process.
    counts: BTreeMap<u64, BTreeMap<(NodeId, u64), Counts>>,
    /// Load of each service by entry host, with the time of its heartbeat.
    loads: BTreeMap<NodeId, (Tick, BTreeMap<String, ServiceLoad>)>,
}

/// Replicated inputs of shared quotas.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits {
    /// Quotas by client account.
    pub quotas: Vec<(String, Quota)>,
    /// Number of entry hosts that share the quotas, as stored by the last leader.
    pub entry_hosts: u32,
    /// Version of the newest catalog; 0 without one.
    pub catalog_version: u64,
}

/// Number of requests by client account.
pub type Counts = BTreeMap<String, u64>;

impl Inner {
    /// Records the rate limits that a host has heard of, and returns its parts of all limits.
    fn exchange_limits(&mut self, from: &NodeId, heard: &[HeardLimit], entries: u32, now: Tick) -> Vec<LimitPart> {
        for limit in heard {
            let named = NamedLimit {
                per_s: limit.per_s,
                at: now - Duration::from_millis(u64::from(limit.age_ms)),
            };
            let held = HeldPart {
                // A host of the version before names no part; it holds an even one.
                per_s: if limit.held && limit.part <= 0.0 {
                    limit.per_s.unwrap_or_default() / f64::from(entries.max(1))
                } else {
                    limit.part
                },
                wanted: limit.wanted,
            };
            self.rate_limits.report(from, &limit.id, named, held, now);
        }
        let parts = self.rate_limits.lease(from, entries, now).into_iter();
        let part = parts.map(|part| LimitPart {
            id: part.upstream,
            per_s: part.named.per_s,
            age_ms: now.since(part.named.at).as_millis() as u32,
            part: part.per_s,
        });
        part.collect()
    }
}

impl Inner {
    /// Returns the hosts that pass on requests of a host, unless it knows them by their mark.
    fn relays_of(&self, from: &NodeId, zone: &Zone, known_mark: u64, now: Tick) -> Option<RelayList> {
        let hosts = self.relays.named_to(from, zone, now);
        let mark = list_mark(&hosts);
        (!hosts.is_empty() && mark != known_mark).then_some(RelayList { mark, hosts })
    }
}

impl Inner {
    fn brittle_services(&self, now: Tick) -> Vec<BrittleNews> {
        let services = self.slots.brittle_services(now).into_iter();
        let news = services.map(|(service, age)| BrittleNews {
            service,
            age_ms: age.as_millis() as u32,
        });
        news.collect()
    }
}

impl EntryRegistry {
    /// Creates a registry; `slack` is by how much each quota may be exceeded.
    #[must_use]
    pub fn new(slack: Slack) -> Self {
        Self {
            slack,
            ..Self::default()
        }
    }

    /// Handles a heartbeat in a term; returns the update for the entry host, `None` until its share of quotas is known.
    pub fn heartbeat(
        &self,
        term: u64,
        (from, beat): (&NodeId, Heartbeat),
        shared: &SharedLimits,
        now: Tick,
    ) -> Option<LeaderUpdate> {
        let mut inner = self.inner.lock();
        if inner.term != term {
            // Another node led in between and may have given out other shares.
            inner.allocator = None;
            inner.catalog_lag = CatalogLag::default();
            inner.rate_limits = LimitLeases::new(now);
            inner.relays = RelayDirectory::new(now);
            inner.slots = SlotLeases::new(now);
            inner.quarantine = Quarantine::default();
            inner.prefills = SharedPrefills::default();
            inner.term = term;
            inner.stored_count = shared.entry_hosts;
            // Calls that hosts began in a former term end, so that hosts learn of the new one and report to it.
            self.quarantine_changed.send_replace(());
        }
        for (window, counts) in beat.began {
            let runs = inner.counts.entry(window).or_default();
            runs.insert((from.clone(), beat.run), counts);
        }
        while inner.counts.len() > KEPT_WINDOWS {
            inner.counts.pop_first();
        }
        inner.loads.insert(from.clone(), (now, beat.load));
        inner.observations.record(from, beat.signs, now);
        inner.trials.record(from, beat.run, beat.trials, now);
        inner.prefills.record(from, beat.run, beat.prefills);
        inner.relays.record(from, &beat.zone, beat.relay, now);
        let allocator = inner
            .allocator
            .get_or_insert_with(|| QuotaAllocator::new(shared.entry_hosts, now));
        allocator.set_quotas(&shared.quotas, &self.slack, now);
        let portion = allocator.record_heartbeat(from, now);
        allocator.collect_overflow(from, beat.run, beat.spare);
        let portion = portion?;
        let parts = QuotaShare {
            entries: portion.entries,
            floor: portion.fraction,
        };
        Some(LeaderUpdate {
            parts,
            list: inner.list.changes_after(&beat.list, beat.max_listed, now),
            signs: inner.observations.of_others(from, now),
            limits: inner.exchange_limits(from, &beat.limits, portion.entries, now),
            version: shared.catalog_version,
            rollouts: if inner.rollouts.0 == term {
                inner.rollouts.1.clone()
            } else {
                Vec::new()
            },
            relays: inner.relays_of(from, &beat.zone, beat.relay_mark, now),
            brittle: inner.brittle_services(now),
            prefills: inner.prefills.of_others(from, beat.prefill_mark),
        })
    }

    /// Leases a place at a brittle upstream to a host; `None` if there is no room, or the term is not current.
    pub fn take_slot(&self, term: u64, from: &NodeId, request: &TakeSlot, now: Tick) -> Option<u64> {
        let mut inner = self.inner.lock();
        if inner.term != term {
            return None;
        }
        let need = SlotNeed {
            service: &request.service,
            upstream: &request.upstream,
            slots: request.slots,
            longest: Duration::from_millis(request.longest_ms),
            heard: request.heard_ms.map(|ms| Duration::from_millis(u64::from(ms))),
        };
        inner.slots.take(from, need, now)
    }

    /// Ends leases of a host.
    pub fn release_slots(&self, from: &NodeId, released: &[ReleasedSlot], now: Tick) {
        let mut inner = self.inner.lock();
        for slot in released {
            let slots = &mut inner.slots;
            if slot.end == SlotEnd::Rejected {
                slots.record_rejection(&slot.upstream, now);
            }
            match (slot.lease, slot.end) {
                (Some(lease), SlotEnd::Abandoned) => slots.abandon(from, &slot.upstream, lease, now),
                (Some(lease), _) => slots.release(from, &slot.upstream, lease),
                (None, _) => {}
            }
        }
    }

    /// Records upstreams that crashed under requests, and tells the hosts that wait if the quarantine changes. Returns the
    /// number of crashes under the request of each reported one, and whether the quarantine has changed; `None` if the
    /// term is not current.
    pub fn report_crashes(
        &self,
        term: u64,
        (from, report): (&NodeId, &ReportCrashes),
        logger: &Logger,
        now: Tick,
    ) -> Option<(Vec<u32>, bool)> {
        let mut inner = self.inner.lock();
        if inner.term != term {
            return None;
        }
        let (counts, changed) = inner.quarantine.record(from, report, logger, now);
        drop(inner);
        if changed {
            self.quarantine_changed.send_replace(());
        }
        Some((counts, changed))
    }

    /// Decides whether a host may send a request with suspected prompt parts; `None` if the term is not current.
    pub fn try_parts(
        &self,
        term: u64,
        (from, asked): (&NodeId, &TryParts),
        logger: &Logger,
        now: Tick,
    ) -> Option<TryReply> {
        let mut inner = self.inner.lock();
        (inner.term == term).then(|| inner.quarantine.try_parts(from, asked, logger, now))
    }

    /// Returns whether all hosts that follow the quarantine know it, but for one.
    #[must_use]
    pub fn knows_quarantine(&self, except: &NodeId, now: Tick) -> bool {
        self.inner.lock().quarantine.is_known(except, now)
    }

    /// Records up to which change a host knows the quarantine of a term.
    pub fn record_follower(&self, from: &NodeId, known: QuarantineMark, now: Tick) {
        let mut inner = self.inner.lock();
        if inner.term == known.term && inner.quarantine.record_follower(from, known.number, now) {
            drop(inner);
            self.quarantine_known.send_replace(());
        }
    }

    /// Returns a receiver that is told of each host that knows of a change of the quarantine.
    #[must_use]
    pub fn quarantine_followers(&self) -> watch::Receiver<()> {
        self.quarantine_known.subscribe()
    }

    /// Returns the quarantine; `None` if the term is not current, so that nothing is known of it.
    #[must_use]
    pub fn quarantine(&self, term: u64, now: Tick) -> Option<QuarantineNews> {
        let inner = self.inner.lock();
        (inner.term == term).then(|| inner.quarantine.news(term, now))
    }

    /// Returns a receiver that is told of each change of the quarantine.
    #[must_use]
    pub fn quarantine_changes(&self) -> watch::Receiver<()> {
        self.quarantine_changed.subscribe()
    }

    /// Records the catalog version that an entry host holds; returns progress of the newest version that is to be logged.
    pub fn record_version(&self, from: &NodeId, held: u64, newest: u64, now: Tick) -> Option<Progress> {
        let mut inner = self.inner.lock();
        inner.catalog_lag.publish(newest, now);
        inner.catalog_lag.record_version(from, held, now);
        gauge!("gentian_state_hosts_behind_count").set(inner.catalog_lag.hosts_behind(now) as f64);
        inner.catalog_lag.report(now)
    }

    /// Replaces the plans of rollouts by those of a term, and drops the trials of rollouts that no longer run.
    pub fn set_rollouts(&self, term: u64, plans: Vec<RolloutPlan>, running: &[Rollout]) {
        let mut inner = self.inner.lock();
        inner.rollouts = (term, plans);
        inner.trials.retain(running);
    }

    /// Sends no more requests to the new version of a service.
    pub fn halt_rollout(&self, service: &ServiceName) {
        let mut inner = self.inner.lock();
        let plans = inner.rollouts.1.iter_mut();
        for plan in plans.filter(|plan| plan.service == *service && plan.state == RolloutState::Running) {
            plan.share = 0.0;
        }
    }

    /// Adds up what all entry hosts have seen of a rollout.
    #[must_use]
    pub fn trial(&self, service: &ServiceName, id: u64, now: Tick) -> RolloutTrial {
        self.inner.lock().trials.sum(service, id, now)
    }

    /// Replaces the list of upstreams by one that the leader of a term requested at `asked`.
    pub fn set_list(&self, term: u64, mut list: Vec<ListedUpstream>, asked: Tick) {
        let mut inner = self.inner.lock();
        inner.reclaims.apply(&mut list, asked);
        inner.list.set(term, list, asked);
    }

    /// Records a reclaim that engines reported in a term; the list shows the group as leaving at once.
    pub fn record_reclaim(&self, term: u64, group: ReclaimGroup, ends: Tick, now: Tick) {
        let mut inner = self.inner.lock();
        inner.reclaims.record(group, ends, now);
        if let Some((list, asked)) = inner.list.list() {
            let mut list = list.to_vec();
            inner.reclaims.apply(&mut list, asked);
            inner.list.set(term, list, asked);
        }
    }

    /// Returns the newest list if it was requested less than `fresh` ago.
    pub fn list(&self, now: Tick, fresh: Duration) -> Option<Arc<Vec<ListedUpstream>>> {
        let inner = self.inner.lock();
        let (list, asked) = inner.list.list()?;
        (now.since(asked) < fresh).then(|| Arc::clone(list))
    }

    /// Returns whether an upstream names a rate limit.
    #[must_use]
    pub fn is_limited(&self, upstream: &str) -> bool {
        self.inner.lock().rate_limits.is_limited(upstream)
    }

    /// Returns the number of entry hosts that share quotas if it differs from the one returned or stored last.
    pub fn changed_count(&self, now: Tick) -> Option<u32> {
        let mut inner = self.inner.lock();
        let count = inner.allocator.as_ref()?.entry_count(now);
        let changed = count > 0 && count != inner.stored_count;
        if changed {
            inner.stored_count = count;
        }
        changed.then_some(count)
    }

    /// Lends units of an account's quota beyond the shares; returns whether the quota has room for them and the term is
    /// current.
    pub fn lend(&self, term: u64, account: &str, units: f64, now: Tick) -> bool {
        let mut inner = self.inner.lock();
        let same = inner.term == term;
        let allocator = inner.allocator.as_mut().filter(|_| same);
        allocator.is_some_and(|allocator| allocator.lend(account, units, now))
    }

    /// Lends units of an account's quota from this node's own part; returns whether it has room for them. Without a
    /// leader, a request that is larger than the part may overdraw it. `entries` is the number of entry hosts.
    pub fn lend_own(
        &self,
        account: (&str, &Quota),
        leadership: &Leadership,
        entries: u32,
        units: f64,
        now: Tick,
    ) -> bool {
        let limit = if leadership.leader.is_some() {
            LoanLimit::Whole
        } else {
            LoanLimit::Overdraw
        };
        let mut inner = self.inner.lock();
        let part = node_part(leadership.nodes, entries);
        inner.own_lender.lend(account, part, units, limit, now)
    }

    /// Returns whether entry hosts have reported since a window or earlier, so that its counts are complete.
    #[must_use]
    pub fn has_window(&self, window: u64) -> bool {
        let inner = self.inner.lock();
        inner
            .counts
            .first_key_value()
            .is_some_and(|(first, _)| *first <= window)
    }

    /// Returns whether an entry host that was heard of lately has sent no heartbeat since `end`, the end of a usage window:
    /// it may be cut off, and may have counted requests of that window.
    #[must_use]
    pub fn awaits_counts(&self, end: Tick, now: Tick) -> bool {
        let inner = self.inner.lock();
        let is_awaited = |at: Tick| at < end && now.since(at) < RETURN_TIME;
        inner.loads.values().any(|(at, _)| is_awaited(*at))
    }

    /// Returns the requests that began in a window, summed over all entry hosts.
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

    /// Returns the load of each service, summed over the entry hosts whose last heartbeat is at most `fresh` old.
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
