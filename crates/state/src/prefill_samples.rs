//! Prefills timed by entry hosts, shared among all of them.
//!
//! With dozens of hosts, each one times few prefills, and fewer at each upstream. By its own samples alone a host takes
//! most of a minute to learn the speed of the engines, and each restart begins anew; meanwhile it predicts wrongly, and the
//! fleet is sized by a multiple of the load.

use std::collections::{BTreeMap, VecDeque};

use contract::NodeId;
use wire::registry::{PrefillSample, PrefillSamples};

/// Samples that the leader keeps: those of all hosts in the interval between two heartbeats of one.
const MAX_KEPT: usize = 64;
/// Samples in one answer. More would take a noticeable share of the leader's processor at hundreds of hosts.
const MAX_TOLD: usize = 16;
/// Hosts whose position is kept; more are forgotten, and at worst a sample counts twice.
const MAX_HOSTS: usize = 4_096;

/// The newest samples of all entry hosts.
#[derive(Debug, Default)]
pub(crate) struct SharedPrefills {
    kept: VecDeque<(NodeId, PrefillSample)>,
    /// Number of the sample after the last one.
    next: u64,
    /// Incarnation of each host, and the number of its sample that is expected next.
    hosts: BTreeMap<NodeId, (u64, u64)>,
}

impl SharedPrefills {
    /// Adds the samples of a host that it has not told before; `run` is its incarnation.
    pub(crate) fn record(&mut self, from: &NodeId, run: u64, told: PrefillSamples) {
        if told.is_empty() {
            return;
        }
        if self.hosts.len() > MAX_HOSTS {
            self.hosts.clear();
        }
        let known = self.hosts.insert(from.clone(), (run, told.next));
        let expected = known.filter(|(of_run, _)| *of_run == run).map_or(0, |(_, next)| next);
        let fresh = told.next.saturating_sub(expected).min(told.samples.len() as u64) as usize;
        let repeated = told.samples.len() - fresh;
        for sample in told.samples.into_iter().skip(repeated) {
            if self.kept.len() >= MAX_KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back((from.clone(), sample));
            self.next += 1;
        }
    }

    /// Returns the newest samples of other hosts after the position `mark` that `to` was told last.
    pub(crate) fn of_others(&self, to: &NodeId, mark: u64) -> PrefillSamples {
        // A mark of a former leader says nothing about these numbers.
        let mark = if mark > self.next { 0 } else { mark };
        let unknown = usize::try_from(self.next - mark).unwrap_or(usize::MAX);
        let of_others = self.kept.iter().rev().take(unknown).filter(|(from, _)| from != to);
        let mut samples: Vec<PrefillSample> = of_others.take(MAX_TOLD).map(|(_, sample)| sample.clone()).collect();
        samples.reverse();
        PrefillSamples {
            next: self.next,
            samples,
        }
    }
}
