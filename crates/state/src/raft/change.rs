//! Changes of the members, one at a time.

use derive_more::{Display, Error};
use policy::Tick;

use super::node::Role;
use super::{Index, Member, MemberId, Members, Node, Payload};

/// Records that a learner may miss and still be made a voter.
const CAUGHT_UP: u64 = 64;
/// Most voters; more members stay learners. Seven bear the loss of three, one more than the largest deployment asks for,
/// and each further voter would only make every sync wait for more hosts.
const MAX_VOTERS: usize = 7;

/// A change of the members that was not begun.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeError {
    /// The node does not lead.
    #[display("not the leader")]
    NotLeading,
    /// Another change is not finished.
    #[display("another change of the members is not finished")]
    Busy,
    /// There is no such member.
    #[display("no such member")]
    Unknown,
    /// It is a member already.
    #[display("a member already")]
    Present,
}

impl Node {
    /// Adds a learner that takes the place of a member: it catches up, votes, and then the old member is removed.
    ///
    /// The leader, whoever it is by then, carries out the later steps by itself.
    ///
    /// # Errors
    /// Fails when the node does not lead or another change is not finished; nothing was written then.
    pub fn replace(&mut self, old: MemberId, new: MemberId, member: Member, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let members = self.may_change()?;
        if members.0.values().any(|member| member.replaces.is_some()) {
            return Err(ChangeError::Busy);
        }
        if !members.0.contains_key(&old) {
            return Err(ChangeError::Unknown);
        }
        self.learn(members, new, member, Some(old))
    }

    /// Adds a learner that becomes a voter once it has caught up.
    ///
    /// # Errors
    /// Fails when the node does not lead or another change is not finished; nothing was written then.
    pub fn add(&mut self, new: MemberId, member: Member, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let members = self.may_change()?;
        self.learn(members, new, member, None)
    }

    /// Appends the members with a learner more.
    fn learn(
        &mut self,
        mut members: Members,
        new: MemberId,
        member: Member,
        replaces: Option<MemberId>,
    ) -> Result<Index, ChangeError> {
        if members.0.contains_key(&new) {
            return Err(ChangeError::Present);
        }
        let learner = Member {
            votes: false,
            replaces,
            ..member
        };
        members.0.insert(new, learner);
        Ok(self.change(members))
    }

    /// Removes a member.
    ///
    /// # Errors
    /// Fails when the node does not lead or another change is not finished; nothing was written then.
    pub fn remove(&mut self, old: MemberId, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let mut members = self.may_change()?;
        members.0.remove(&old).ok_or(ChangeError::Unknown)?;
        Ok(self.change(members))
    }

    /// Takes the next step of a replacement when the one before is committed.
    pub(super) fn continue_change(&mut self, _now: Tick) {
        let Ok(members) = self.may_change() else {
            return;
        };
        let replacing = members
            .0
            .iter()
            .find_map(|(id, member)| Some((*id, member.votes, member.replaces?)));
        let Some((new, votes, old)) = replacing else {
            self.promote(members);
            self.leave_if_removed();
            return;
        };
        let mut members = members;
        if votes {
            // The new voter holds everything by now. Removing the old one first would leave a group of two, in which
            // the loss of one host stops all.
            members.0.remove(&old);
            if let Some(member) = members.0.get_mut(&new) {
                member.replaces = None;
            }
            self.change(members);
        } else if self.has_caught_up(new) {
            if let Some(member) = members.0.get_mut(&new) {
                member.votes = true;
            }
            self.change(members);
        }
    }

    /// Makes a voter of the first learner that has caught up, while there is room for one.
    fn promote(&mut self, mut members: Members) {
        if members.voters().count() >= MAX_VOTERS {
            return;
        }
        let ready = |(id, member): &(&MemberId, &Member)| !member.votes && self.has_caught_up(**id);
        let Some(learner) = members.0.iter().find(ready).map(|(id, _)| *id) else {
            return;
        };
        if let Some(member) = members.0.get_mut(&learner) {
            member.votes = true;
        }
        self.change(members);
    }

    /// Tells whether a learner may vote.
    ///
    /// A voter that misses records would count towards a majority that it can't help for a long time; a second host lost
    /// in that time would stop the group.
    fn has_caught_up(&self, id: MemberId) -> bool {
        let matched = self.matched(id);
        matched.0 + CAUGHT_UP >= self.log.last().index.0 && matched >= self.snapshot.at.index
    }

    fn change(&mut self, members: Members) -> Index {
        let index = self.append(Payload::Members(members));
        self.match_members();
        index
    }

    /// Gives the members if they may be changed now.
    ///
    /// Two changes at once, or one before a record of the own term is committed, could give two majorities that don't
    /// overlap.
    fn may_change(&self) -> Result<Members, ChangeError> {
        if !matches!(self.role, Role::Leader(_)) {
            return Err(ChangeError::NotLeading);
        }
        let pending = self.members.last().is_some_and(|(index, _)| *index > self.commit);
        if pending || self.log.term_of(self.commit) != Some(self.current_term()) {
            return Err(ChangeError::Busy);
        }
        Ok(self.members().clone())
    }

    fn leave_if_removed(&mut self) {
        if !self.members().votes(self.id) {
            self.role = Role::Follower { leader: None };
        }
    }
}
