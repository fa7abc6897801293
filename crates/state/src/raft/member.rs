//! The members of the Raft group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use contract::NodeId;
use serde::{Deserialize, Serialize};

use super::MemberId;

/// One member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node from its settings.
    pub node: NodeId,
    /// Inner address of the node.
    pub address: SocketAddr,
    /// Whether it is a voter; a learner only replicates the log.
    pub votes: bool,
    /// The member that is removed once this one is a voter; `None` if it replaces nobody.
    pub replaces: Option<MemberId>,
}

/// All members by the incarnation of their disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<MemberId, Member>);

impl Members {
    /// Returns the number of members, voters and learners.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are none, as on a blank disk.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a node is a voter; `false` for one that is no member.
    #[must_use]
    pub fn votes(&self, id: MemberId) -> bool {
        self.0.get(&id).is_some_and(|member| member.votes)
    }

    /// Iterates over the ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, member)| member.votes).map(|(id, _)| *id)
    }

    /// Returns the number of voters that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the greatest value that a majority of the voters has reached; `None` without voters.
    pub fn majority_value<T: Ord + Copy>(&self, of: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(of).collect();
        values.sort_unstable();
        values.len().checked_sub(self.majority()).map(|at| values[at])
    }
}
