//! Progress of the newest catalog on the entry hosts, as reported in their heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use contract::NodeId;

use crate::Tick;

/// Most versions whose publication times are kept.
const MAX_VERSIONS: usize = 64;
/// Time without heartbeat after which a host no longer counts: it is stopped or cut off.
const HEARTBEAT_EXPIRY: Duration = Duration::from_secs(2);
/// Lag from which a host counts as late.
pub const LATE_LAG: Duration = Duration::from_secs(1);
/// Shortest interval between two reports of late hosts.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without confirmation after which a newer version may have been acknowledged. Hosts are confirmed every half
/// second while they reach a state node that hears the leader.
const CONFIRMATION_EXPIRY: Duration = Duration::from_secs(2);

/// Returns whether a route or key that is missing in an entry host's catalog is known not to exist. Otherwise it may
/// have been added in a version that the host lacks, and callers must not be told that it does not exist.
#[must_use]
pub fn is_current(held: u64, newest: u64, confirmed: Option<Tick>, now: Tick) -> bool {
    held >= newest && confirmed.is_some_and(|at| now.since(at) < CONFIRMATION_EXPIRY)
}

/// The leader's view of the catalog versions on the entry hosts.
#[derive(Debug, Default)]
pub struct CatalogLag {
    /// Versions in ascending order, with their publication times.
    published: VecDeque<(u64, Tick)>,
    /// Version that each host holds, with the time of its last heartbeat.
    hosts: BTreeMap<NodeId, (u64, Tick)>,
    /// Newest version that is in force on every host; versions up to it are not reported again.
    complete: u64,
    /// Newest version at the start of this leader.
    inherited: u64,
    last_report: Option<Tick>,
}

/// A reportable change of how far a version has spread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// A version is in force on every host that sends heartbeats.
    Complete {
        /// The version in force.
        version: u64,
        /// Time since its publication.
        took: Duration,
        /// Number of hosts.
        hosts: usize,
    },
    /// Hosts have lagged for too long.
    Late {
        /// The newest version.
        version: u64,
        /// The longest lag.
        lag: Duration,
        /// The late hosts with the versions they hold.
        hosts: Vec<(NodeId, u64)>,
    },
}

impl CatalogLag {
    /// Records the newest version; an older one is ignored.
    pub fn publish(&mut self, version: u64, now: Tick) {
        if self.published.back().is_some_and(|(newest, _)| *newest >= version) {
            return;
        }
        if self.published.is_empty() {
            self.inherited = version;
        }
        self.published.push_back((version, now));
        if self.published.len() > MAX_VERSIONS {
            self.published.pop_front();
        }
    }

    /// Records the version that a host holds.
    pub fn record_version(&mut self, host: &NodeId, version: u64, now: Tick) {
        self.hosts.insert(host.clone(), (version, now));
    }

    /// Returns the number of live hosts that do not hold the newest version.
    #[must_use]
    pub fn hosts_behind(&self, now: Tick) -> usize {
        let newest = self.newest();
        self.live(now).filter(|(_, version)| *version < newest).count()
    }

    /// Returns the progress to report since the last call.
    pub fn report(&mut self, now: Tick) -> Option<Progress> {
        self.hosts.retain(|_, (_, heard)| now.since(*heard) <= HEARTBEAT_EXPIRY);
        let (version, published) = *self.published.back()?;
        if self.hosts.is_empty() || self.complete == version {
            return None;
        }
        if self.hosts_behind(now) == 0 {
            self.complete = version;
            // It was published under a previous leader, at an unknown time.
            if version == self.inherited {
                return None;
            }
            return Some(Progress::Complete {
                version,
                took: now.since(published),
                hosts: self.hosts.len(),
            });
        }
        self.report_late(version, now)
    }

    fn report_late(&mut self, version: u64, now: Tick) -> Option<Progress> {
        if self.last_report.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return None;
        }
        let lags = self.live(now).map(|(host, held)| (host, held, self.lag(held, now)));
        let late: Vec<_> = lags.filter(|(_, _, lag)| *lag >= LATE_LAG).collect();
        let lag = late.iter().map(|(_, _, lag)| *lag).max()?;
        let hosts = late.into_iter().map(|(host, held, _)| (host.clone(), held)).collect();
        self.last_report = Some(now);
        Some(Progress::Late { version, lag, hosts })
    }

    /// Returns the time since the publication of the first version that a host with version `held` lacks.
    fn lag(&self, held: u64, now: Tick) -> Duration {
        let missing = self.published.iter().find(|(version, _)| *version > held);
        missing.map_or(Duration::ZERO, |(_, published)| now.since(*published))
    }

    fn newest(&self) -> u64 {
        self.published.back().map_or(0, |(version, _)| *version)
    }

    fn live(&self, now: Tick) -> impl Iterator<Item = (&NodeId, u64)> {
        let live = self
            .hosts
            .iter()
            .filter(move |(_, (_, heard))| now.since(*heard) <= HEARTBEAT_EXPIRY);
        live.map(|(host, (version, _))| (host, *version))
    }
}
