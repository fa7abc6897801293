//! The members of the group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use contract::NodeId;
use serde::{Deserialize, Serialize};

use super::MemberId;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name that operators gave the node.
    pub node: NodeId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it votes; a learner only keeps the log.
    pub votes: bool,
    /// The member that it takes the place of once it votes.
    pub replaces: Option<MemberId>,
}

/// All members by incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<MemberId, Member>);

impl Members {
    /// Gives the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Tells whether there are none, as on a blank disk.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Tells whether a member votes.
    #[must_use]
    pub fn votes(&self, id: MemberId) -> bool {
        self.0.get(&id).is_some_and(|member| member.votes)
    }

    /// Gives the voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, member)| member.votes).map(|(id, _)| *id)
    }

    /// Gives the number of voters that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Gives the newest value that a majority of the voters has reached.
    pub fn agreed<T: Ord + Copy>(&self, of: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(of).collect();
        values.sort_unstable();
        values.len().checked_sub(self.majority()).map(|at| values[at])
    }
}
