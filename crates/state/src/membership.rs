//! Automatic membership: the leader adds, replaces and removes members without an operator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;

use crate::raft::{ChangeError, Member, MemberId, Node};

/// Interval between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which a member is replaced by a newcomer, or removed if the group is large enough
/// without it. A paused or killed host is usually back within a few seconds and joins again if it was removed; a lost one
/// must no longer count for majorities when the next host is lost.
const LOST_AFTER: Duration = Duration::from_secs(2);
/// Fewest voters that are left when one is removed without a replacement.
const MIN_VOTERS: usize = 3;

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
    /// A lost member was removed.
    Removed(MemberId),
    /// A learner takes the place of a lost voter.
    Assigned(MemberId, MemberId),
    /// A node that announced itself can't join now.
    Waits(Announced, ChangeError),
}

/// Adds, replaces and removes members while its node leads.
#[derive(Debug, Default)]
pub struct AutoMembership {
    next_check: Tick,
    lost_disks: Option<usize>,
    /// When each node that announces itself was first seen to do so.
    first_heard: BTreeMap<MemberId, Tick>,
}

impl AutoMembership {
    /// Creates the membership of a group that is to bear the loss of `lost_disks` disks at once; if that is not known, of
    /// as many as its number of voters allows.
    #[must_use]
    pub fn new(lost_disks: Option<usize>) -> Self {
        Self {
            lost_disks,
            ..Self::default()
        }
    }

    /// Adds a node that announced itself, in place of a lost member if there is one; if none can be added, removes a
    /// lost member or has a learner take its place. Returns what was done.
    pub fn maintain(&mut self, node: &mut Node, announced: &[Announced], now: Tick) -> Option<MemberEvent> {
        if now < self.next_check || !node.leads(now) {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL;
        let is_announced = |id: &MemberId| announced.iter().any(|newcomer| newcomer.id == *id);
        self.first_heard.retain(|id, _| is_announced(id));
        let mut waits = None;
        for newcomer in announced {
            let since = *self.first_heard.entry(newcomer.id).or_insert(now);
            match add_newcomer(node, newcomer, since, now) {
                Ok(replaced) => return Some(MemberEvent::Joins(newcomer.clone(), replaced)),
                Err(ChangeError::AlreadyMember) => {}
                Err(why) => waits = waits.or_else(|| Some(MemberEvent::Waits(newcomer.clone(), why))),
            }
        }
        remove_lost(node, self.lost_disks, now).or(waits)
    }
}

/// Starts to add a node that was first heard at `since`, in place of the older incarnation at its address or of a member that does not answer; returns
/// the member that it replaces.
fn add_newcomer(
    node: &mut Node,
    newcomer: &Announced,
    since: Tick,
    now: Tick,
) -> Result<Option<MemberId>, ChangeError> {
    let member = Member {
        node: newcomer.node.clone(),
        address: newcomer.address,
        votes: false,
        replaces: None,
    };
    if node.members().0.contains_key(&newcomer.id) {
        return Err(ChangeError::AlreadyMember);
    }
    let old = match older_incarnation(node, newcomer.address, now)? {
        Some(old) => Some(old),
        None => lost_member(node, now),
    };
    match old {
        Some(old) => node.replace(old, newcomer.id, member, now),
        // As a further voter it would make majorities larger, and with them what a voter that is gone for good costs.
        None if !all_voters_answer(node, since, now) => Err(ChangeError::AwaitsVoter),
        None => node.add(newcomer.id, member, now),
    }?;
    Ok(old)
}

/// Returns the member at an address at which a newcomer has announced itself: a learner, or else a voter that nobody has
/// replaced yet.
///
/// # Errors
/// Fails while a member there still answers. Two incarnations never run at one address, so that the announcement was
/// delayed and comes from an older one, or the member was lost just now.
fn older_incarnation(node: &Node, address: SocketAddr, now: Tick) -> Result<Option<MemberId>, ChangeError> {
    let members = &node.members().0;
    let here = || members.iter().filter(|(_, member)| member.address == address);
    if here().any(|(id, _)| node.answers(*id, now)) {
        return Err(ChangeError::AddressInUse);
    }
    let is_replaced = |id: MemberId| members.values().any(|member| member.replaces == Some(id));
    Ok(here()
        .min_by_key(|(id, member)| (member.votes, is_replaced(**id)))
        .map(|(id, _)| *id))
}

/// Returns whether each voter has answered what was sent after a time, or is being replaced. One that was lost right before
/// a newcomer came has not, although its last answer is recent.
fn all_voters_answer(node: &Node, since: Tick, now: Tick) -> bool {
    let has_answered = |id| node.answers(id, now) && node.last_ack(id).is_none_or(|at| at >= since);
    let mut voters = node.members().voters();
    voters.all(|id| has_answered(id) || is_replaced(node, id, now))
}

/// Returns whether another member that answers takes the place of a member.
fn is_replaced(node: &Node, id: MemberId, now: Tick) -> bool {
    let mut all = node.members().0.iter();
    all.any(|(new, member)| member.replaces == Some(id) && node.answers(*new, now))
}

/// Returns the member that has been lost for the longest time, without voters whose replacement is under way.
fn lost_member(node: &Node, now: Tick) -> Option<MemberId> {
    lost_members(node, now).find(|id| !is_replaced(node, *id, now))
}

/// Returns the members that have not answered for [`LOST_AFTER`], the longest silent one first.
fn lost_members(node: &Node, now: Tick) -> impl Iterator<Item = MemberId> {
    let others = node.members().0.keys().filter(|id| **id != node.id());
    let since = others.filter_map(|id| Some((node.last_ack(*id)?, *id)));
    let mut lost: Vec<(Tick, MemberId)> = since.filter(|(at, _)| now.since(*at) >= LOST_AFTER).collect();
    lost.sort_unstable();
    lost.into_iter().map(|(_, id)| id)
}

/// Removes a lost member: a learner, or a voter if the others are enough. Where the vote can't be spared, a learner that
/// waits for one takes the place of the lost voter.
fn remove_lost(node: &mut Node, lost_disks: Option<usize>, now: Tick) -> Option<MemberEvent> {
    let members = node.members().clone();
    // A learner that was only paused announces itself again.
    let learner = lost_members(node, now).find(|id| !members.votes(*id));
    if let Some(learner) = learner {
        node.remove(learner, now).ok()?;
        return Some(MemberEvent::Removed(learner));
    }
    let lost = lost_member(node, now).filter(|_| !members.is_replacing())?;
    let voters = members.voters().count();
    if voters > min_voters(voters, lost_disks) {
        node.remove(lost, now).ok()?;
        return Some(MemberEvent::Removed(lost));
    }
    // The voter that it was to replace may have been removed meanwhile.
    let has_task = |member: &Member| member.replaces.is_some_and(|old| members.votes(old));
    let is_free = |(id, member): &(&MemberId, &Member)| !has_task(member) && node.awaits_promotion(**id, now);
    let (learner, _) = members.0.iter().find(is_free)?;
    node.assign(*learner, lost, now).ok()?;
    Some(MemberEvent::Assigned(*learner, lost))
}

/// Returns the fewest voters that a group may be left with because some don't answer.
///
/// A silent voter may still have its disk. Were the group to go on with fewer voters, an entry would be on fewer disks
/// and the loss of some of these would leave no majority, although the silent voter comes back with what it holds.
fn min_voters(voters: usize, lost_disks: Option<usize>) -> usize {
    let lost_disks = lost_disks.unwrap_or(voters.saturating_sub(1) / 2);
    lost_disks.saturating_mul(2).saturating_add(1).max(MIN_VOTERS)
}
