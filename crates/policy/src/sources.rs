//! Which state node an entry host asks for changes of the catalog.
//!
//! Hosts spread over all nodes. A node that fails is left alone for a while, since each question to a silent one costs
//! most of a second. A host that knows of a version that its node does not bring asks the leader, who has it for certain.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::Tick;

/// How long a node that failed is asked only if all others have failed since.
const AVOIDED: Duration = Duration::from_secs(5);

/// The choice among state nodes.
#[derive(Debug, Default)]
pub struct NodeSelector {
    turn: usize,
    failed: BTreeMap<SocketAddr, Tick>,
}

impl NodeSelector {
    /// Begins at a place among the nodes.
    #[must_use]
    pub fn new(turn: usize) -> Self {
        Self {
            turn,
            ..Self::default()
        }
    }

    /// Gives the node to ask. `leader` is given where a version is known that this host lacks.
    #[must_use]
    pub fn pick(&self, nodes: &BTreeSet<SocketAddr>, leader: Option<SocketAddr>, now: Tick) -> Option<SocketAddr> {
        let sound = |node: &SocketAddr| self.failed.get(node).is_none_or(|at| now.since(*at) >= AVOIDED);
        if let Some(leader) = leader.filter(sound) {
            return Some(leader);
        }
        let count = nodes.len();
        let first = self.turn.checked_rem(count)?;
        let order = || nodes.iter().cycle().skip(first).take(count);
        let longest_ago = || order().min_by_key(|node| self.failed.get(node));
        order().find(|node| sound(node)).or_else(longest_ago).copied()
    }

    /// Notes that a node did not answer, or that its word is too old.
    pub fn record_failure(&mut self, node: SocketAddr, now: Tick) {
        self.failed.insert(node, now);
    }

    /// Notes that a node answers.
    pub fn hear(&mut self, node: SocketAddr) {
        self.failed.remove(&node);
    }
}
