//! Membership changes, one at a time.

use derive_more::{Display, Error};
use policy::Tick;

use super::node::Role;
use super::{Index, Member, MemberId, Members, Node, Payload};

/// Most records that a learner may lag behind the leader's log and still be promoted to a voter.
const MAX_PROMOTION_LAG: u64 = 64;
/// Most voters; further members stay learners. Seven tolerate the loss of three, one more than the largest deployment
/// requires, and each further voter would make every commit wait for more hosts.
const MAX_VOTERS: usize = 7;

/// Reason why a membership change was not started.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeError {
    /// The node does not lead.
    #[display("not the leader")]
    NotLeading,
    /// Another change is not committed yet, or the leader has not committed a record of its own term.
    #[display("another change of the members is not finished")]
    InProgress,
    /// The member to remove or replace does not exist.
    #[display("no such member")]
    NoSuchMember,
    /// The node to add is already a member.
    #[display("a member already")]
    AlreadyMember,
}

impl Node {
    /// Adds a learner that replaces a member: it catches up, becomes a voter, and then the old member is removed.
    ///
    /// The later steps need no further call; a new leader continues them as well.
    ///
    /// # Errors
    /// Fails when the node does not lead, another change is not finished, `old` is no member or `new` is one; then
    /// nothing was written.
    pub fn replace(&mut self, old: MemberId, new: MemberId, member: Member, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let members = self.changeable_members()?;
        if members.0.values().any(|member| member.replaces.is_some()) {
            return Err(ChangeError::InProgress);
        }
        if !members.0.contains_key(&old) {
            return Err(ChangeError::NoSuchMember);
        }
        self.add_learner(members, new, member, Some(old))
    }

    /// Adds a learner that becomes a voter once it has caught up.
    ///
    /// # Errors
    /// Fails when the node does not lead, another change is not finished, or `new` is already a member; then nothing
    /// was written.
    pub fn add(&mut self, new: MemberId, member: Member, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let members = self.changeable_members()?;
        self.add_learner(members, new, member, None)
    }

    /// Appends a membership record with one more learner.
    fn add_learner(
        &mut self,
        mut members: Members,
        new: MemberId,
        member: Member,
        replaces: Option<MemberId>,
    ) -> Result<Index, ChangeError> {
        if members.0.contains_key(&new) {
            return Err(ChangeError::AlreadyMember);
        }
        let learner = Member {
            votes: false,
            replaces,
            ..member
        };
        members.0.insert(new, learner);
        Ok(self.append_members(members))
    }

    /// Removes a member.
    ///
    /// # Errors
    /// Fails when the node does not lead, another change is not finished, or `old` is no member; then nothing was
    /// written.
    pub fn remove(&mut self, old: MemberId, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let mut members = self.changeable_members()?;
        members.0.remove(&old).ok_or(ChangeError::NoSuchMember)?;
        Ok(self.append_members(members))
    }

    /// Takes the next step of a replacement, or promotes a learner, once the previous change is committed.
    pub(super) fn continue_change(&mut self, _now: Tick) {
        let Ok(members) = self.changeable_members() else {
            return;
        };
        let replacing = members
            .0
            .iter()
            .find_map(|(id, member)| Some((*id, member.votes, member.replaces?)));
        let Some((new, votes, old)) = replacing else {
            self.promote_learner(members);
            self.step_down_if_removed();
            return;
        };
        let mut members = members;
        if votes {
            // The new voter has caught up. Removing the old member first would leave a group of two, which the loss of
            // one host would stop.
            members.0.remove(&old);
            if let Some(member) = members.0.get_mut(&new) {
                member.replaces = None;
            }
            self.append_members(members);
        } else if self.has_caught_up(new) {
            if let Some(member) = members.0.get_mut(&new) {
                member.votes = true;
            }
            self.append_members(members);
        }
    }

    /// Promotes the first learner that has caught up, unless there are [`MAX_VOTERS`] voters.
    fn promote_learner(&mut self, mut members: Members) {
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
        self.append_members(members);
    }

    /// Returns whether a learner is close enough to the end of the log to become a voter.
    ///
    /// A voter that lags far behind counts for the size of a majority but acknowledges no new records for a long time;
    /// the loss of another host in that time would stop the group.
    fn has_caught_up(&self, id: MemberId) -> bool {
        let matched = self.matched(id);
        matched.0 + MAX_PROMOTION_LAG >= self.log.last().index.0 && matched >= self.snapshot.at.index
    }

    /// Appends a membership record, which is in force from the moment it is appended.
    fn append_members(&mut self, members: Members) -> Index {
        let index = self.append(Payload::Members(members));
        self.track_members();
        index
    }

    /// Returns the current members if they may be changed now.
    ///
    /// Two changes at once, or one before a record of the leader's own term is committed, could result in two
    /// majorities that do not overlap.
    fn changeable_members(&self) -> Result<Members, ChangeError> {
        if !matches!(self.role, Role::Leader(_)) {
            return Err(ChangeError::NotLeading);
        }
        let pending = self.members.last().is_some_and(|(index, _)| *index > self.commit);
        if pending || self.log.term_of(self.commit) != Some(self.current_term()) {
            return Err(ChangeError::InProgress);
        }
        Ok(self.members().clone())
    }

    /// Gives up leadership once the node is no longer a voter.
    fn step_down_if_removed(&mut self) {
        if !self.members().votes(self.id) {
            self.role = Role::Follower { leader: None };
        }
    }
}
