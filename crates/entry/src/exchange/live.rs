//! The entry hosts that count as live, by data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{DataCenter, NodeId};

/// The live entry hosts, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveHosts {
    hosts: BTreeMap<DataCenter, Vec<NodeId>>,
    /// Time in which every peer of the own data centre gets a digest, in whole seconds.
    pub cycle: Duration,
}

impl LiveHosts {
    /// Creates the set with this host alone.
    #[must_use]
    pub fn new(data_center: &DataCenter, node: &NodeId) -> Self {
        let mut live = Self::default();
        live.add(data_center, node);
        live
    }

    /// Adds a live host; one that is known already is not added twice.
    pub(super) fn add(&mut self, data_center: &DataCenter, node: &NodeId) {
        let nodes = self.hosts.entry(data_center.clone()).or_default();
        if !nodes.contains(node) {
            nodes.push(node.clone());
            nodes.sort_unstable();
        }
    }

    /// Returns the number of live hosts.
    #[must_use]
    pub fn count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns the number of live hosts in a data centre.
    #[must_use]
    pub fn count_in(&self, data_center: &DataCenter) -> usize {
        self.hosts.get(data_center).map_or(0, Vec::len)
    }

    /// Returns the hosts that divide the polling of a data centre's upstreams: those in it, or all live hosts if it has
    /// none.
    pub fn pollers(&self, data_center: &DataCenter) -> impl Iterator<Item = &NodeId> {
        let own = self.hosts.get(data_center);
        let all = self.hosts.values().flatten().filter(move |_| own.is_none());
        own.into_iter().flatten().chain(all)
    }
}
