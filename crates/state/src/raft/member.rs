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
    /// The member whose place this one takes, which is removed once this one is a voter; `None` if it replaces nobody.
    pub replaces: Option<MemberId>,
}

/// All members by the incarnation of their disk.
///
/// While a voter and the voter that it replaces are both members, every decision needs a majority of the voters without
/// the new one and another without the old one. The loss of both then stops the group no sooner than the loss of one.
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

    /// Returns whether a voter is taking the place of another one.
    #[must_use]
    pub fn is_replacing(&self) -> bool {
        self.0.values().any(|member| self.is_successor(member))
    }

    /// Returns whether the voters for which `agrees` is true may decide for the group.
    pub fn is_quorum(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        self.quorum_value(agrees).unwrap_or_default()
    }

    /// Returns the greatest value that a quorum of the voters has reached; `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, of: impl Fn(MemberId) -> T) -> Option<T> {
        let before = self.0.iter().filter(|(_, member)| !self.is_successor(member));
        let after = self.0.iter().filter(|(id, _)| !self.is_replaced(**id));
        let votes = |(id, member): (&MemberId, &Member)| member.votes.then_some(*id);
        let before = majority_value(before.filter_map(votes).map(&of))?;
        let after = majority_value(after.filter_map(votes).map(&of))?;
        Some(before.min(after))
    }

    fn is_successor(&self, member: &Member) -> bool {
        member.votes && member.replaces.is_some_and(|old| self.votes(old))
    }

    fn is_replaced(&self, id: MemberId) -> bool {
        let mut all = self.0.values();
        all.any(|member| member.votes && member.replaces == Some(id))
    }
}

/// Returns the greatest value that a majority has reached; `None` if there are no values.
fn majority_value<T: Ord>(values: impl Iterator<Item = T>) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    let below_majority = values.len().checked_sub(values.len() / 2 + 1)?;
    values.into_iter().nth(below_majority)
}
