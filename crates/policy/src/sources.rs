//! Choice of the state node that an entry host requests catalog changes from.
//!
//! Entry hosts spread over all nodes. A node that failed is avoided for a while, since each request to a silent one
//! costs most of a second. If a version is known that the current node does not deliver, the host asks the leader,
//! which certainly has it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::Tick;

/// Time for which a node that failed is only asked if all others have failed too.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Chooses among the state nodes.
#[derive(Debug, Default)]
pub struct NodeSelector {
    turn: usize,
    failed: BTreeMap<SocketAddr, Tick>,
}

impl NodeSelector {
    /// Starts at the node with index `turn`, modulo the number of nodes.
    #[must_use]
    pub fn new(turn: usize) -> Self {
        Self {
            turn,
            ..Self::default()
        }
    }

    /// Returns the node to ask; `None` if there are no nodes. `leader` is given if a version is known that this host
    /// lacks.
    #[must_use]
    pub fn pick(&self, nodes: &BTreeSet<SocketAddr>, leader: Option<SocketAddr>, now: Tick) -> Option<SocketAddr> {
        let usable = |node: &SocketAddr| self.failed.get(node).is_none_or(|at| now.since(*at) >= AVOID_TIME);
        if let Some(leader) = leader.filter(usable) {
            return Some(leader);
        }
        let count = nodes.len();
        let first = self.turn.checked_rem(count)?;
        let order = || nodes.iter().cycle().skip(first).take(count);
        let longest_ago = || order().min_by_key(|node| self.failed.get(node));
        order().find(|node| usable(node)).or_else(longest_ago).copied()
    }

    /// Records that a node did not answer, or answered with outdated data.
    pub fn record_failure(&mut self, node: SocketAddr, now: Tick) {
        self.failed.insert(node, now);
    }

    /// Records that a node answered.
    pub fn record_answer(&mut self, node: SocketAddr) {
        self.failed.remove(&node);
    }
}
