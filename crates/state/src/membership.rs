//! Automatic membership: the leader adds, replaces and removes members without an operator.

use std::net::SocketAddr;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;

use crate::raft::{ChangeError, Member, MemberId, Node};

/// Interval between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which a member may be replaced by a newcomer. A paused or killed host is usually back
/// within a few seconds and joins again if it was replaced; a lost one must be replaced before the next host is lost.
const REPLACE_AFTER: Duration = Duration::from_secs(2);
/// Time without an answer after which a member is removed without a replacement, so that it no longer counts for
/// majorities.
const REMOVE_AFTER: Duration = Duration::from_secs(12);
/// The same for a group with a spare member, because a newcomer joined before the loss was noticed: the lost member and
/// one further loss would leave only half of such a group.
const REMOVE_EARLY_AFTER: Duration = Duration::from_secs(3);
/// Voters, the leader included, that must have answered within [`REPLACE_AFTER`] before a member is removed without a
/// replacement.
const MIN_ANSWERING: usize = 3;
/// The same for [`REMOVE_EARLY_AFTER`]: the usual number of members, so that the lost one is surplus.
const MIN_ANSWERING_EARLY: usize = 4;

/// A node that announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Incarnation of its disk.
    pub id: MemberId,
    /// Name of the node.
    pub node: NodeId,
    /// Inner address of the node.
    pub address: SocketAddr,
}

/// What the leader has done about the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A node joins, in place of a member if one is given.
    Joins(Announced, Option<MemberId>),
    /// A member was removed; it had been silent for at least the time given.
    Removed(MemberId, Duration),
    /// A node that announced itself can't join now.
    Waits(Announced, ChangeError),
}

/// Adds, replaces and removes members while its node leads.
#[derive(Debug, Default)]
pub struct AutoMembership {
    next_check: Tick,
}

impl AutoMembership {
    /// Adds a node that announced itself, in place of a lost member if there is one; without newcomers removes a lost
    /// member. Returns what was done.
    pub fn maintain(&mut self, node: &mut Node, announced: &[Announced], now: Tick) -> Option<MemberEvent> {
        if now < self.next_check || !node.leads(now) {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL;
        let newcomer = announced.iter().find(|other| !node.members().0.contains_key(&other.id));
        match newcomer {
            Some(newcomer) => Some(add_newcomer(node, newcomer, now)),
            None => remove_lost(node, now),
        }
    }
}

/// Starts to add a node, in place of the older incarnation at its address or of a member that does not answer.
fn add_newcomer(node: &mut Node, newcomer: &Announced, now: Tick) -> MemberEvent {
    let member = Member {
        node: newcomer.node.clone(),
        address: newcomer.address,
        votes: false,
        replaces: None,
    };
    let members = &node.members().0;
    // Two incarnations never run at one address, so that the disk of the older one is lost.
    let same_address = members.iter().find(|(_, other)| other.address == newcomer.address);
    let old = same_address
        .map(|(id, _)| *id)
        .or_else(|| longest_silent(node, REPLACE_AFTER, now));
    let begun = match old {
        Some(old) => node.replace(old, newcomer.id, member, now),
        None => node.add(newcomer.id, member, now),
    };
    match begun {
        Ok(_) => MemberEvent::Joins(newcomer.clone(), old),
        Err(why) => MemberEvent::Waits(newcomer.clone(), why),
    }
}

/// Returns the other member that has not answered for the longest time, if that is at least `limit`.
fn longest_silent(node: &Node, limit: Duration, now: Tick) -> Option<MemberId> {
    let others = node.members().0.keys().filter(|id| **id != node.id());
    let since = others.filter_map(|id| Some((node.last_ack(*id)?, *id)));
    let (at, id) = since.min()?;
    (now.since(at) >= limit).then_some(id)
}

/// Removes a member that does not answer, if enough others do.
fn remove_lost(node: &mut Node, now: Tick) -> Option<MemberEvent> {
    let answers = |id: &MemberId| node.last_ack(*id).is_some_and(|at| now.since(at) < REPLACE_AFTER);
    let answering = 1 + node.members().voters().filter(answers).count();
    let limit = if answering >= MIN_ANSWERING_EARLY {
        REMOVE_EARLY_AFTER
    } else {
        REMOVE_AFTER
    };
    let lost = longest_silent(node, limit, now).filter(|_| answering >= MIN_ANSWERING)?;
    node.remove(lost, now).ok()?;
    Some(MemberEvent::Removed(lost, limit))
}
