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
    /// The last change is not committed yet, or the leader has not committed a record of its own term.
    #[display("the last change of the members is not committed")]
    InProgress,
    /// The member to remove or replace does not exist.
    #[display("no such member")]
    NoSuchMember,
    /// The node to add is already a member.
    #[display("a member already")]
    AlreadyMember,
    /// A member at the same address still answers.
    #[display("the member at its address still answers")]
    AddressInUse,
    /// A voter has not answered for a while, and the node would take its place if it is lost.
    #[display("a voter does not answer, but may not be lost")]
    AwaitsVoter,
}

impl Node {
    /// Adds a learner in place of a member. In place of a voter, it catches up and becomes a voter beside the old one,
    /// which is removed then; a learner that was to replace the same voter and does not answer is given up. In place of
    /// a learner, it takes over whatever that was to do.
    ///
    /// The later steps need no further call; a new leader continues them as well.
    ///
    /// # Errors
    /// Fails when the node does not lead, another change is not committed, `old` is no member or `new` is one; then
    /// nothing was written.
    pub fn replace(&mut self, old: MemberId, new: MemberId, member: Member, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let mut members = self.changeable_members()?;
        if members.0.contains_key(&new) {
            return Err(ChangeError::AlreadyMember);
        }
        let leaving = members.0.get(&old).ok_or(ChangeError::NoSuchMember)?;
        // Learners count for no majority, so that any number of them may leave at once.
        let replaces = if leaving.votes {
            let keeps = |id: &MemberId, other: &Member| other.replaces != Some(old) || self.answers(*id, now);
            members.0.retain(|id, other| other.votes || keeps(id, other));
            Some(old)
        } else {
            let replaces = leaving.replaces;
            members.0.remove(&old);
            replaces
        };
        self.add_learner(members, new, member, replaces, now)
    }

    /// Adds a learner that becomes a voter once it has caught up.
    ///
    /// # Errors
    /// Fails when the node does not lead, another change is not finished, or `new` is already a member; then nothing
    /// was written.
    pub fn add(&mut self, new: MemberId, member: Member, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let members = self.changeable_members()?;
        self.add_learner(members, new, member, None, now)
    }

    /// Appends a membership record with one more learner.
    fn add_learner(
        &mut self,
        mut members: Members,
        new: MemberId,
        member: Member,
        replaces: Option<MemberId>,
        now: Tick,
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
        Ok(self.append_members(members, now))
    }

    /// Has a learner without a task take the place of a voter.
    ///
    /// # Errors
    /// Fails when the node does not lead, another change is not finished, or one of the two is no member; then nothing
    /// was written.
    pub fn assign(&mut self, learner: MemberId, old: MemberId, now: Tick) -> Result<Index, ChangeError> {
        self.check_lease(now);
        let mut members = self.changeable_members()?;
        if !members.votes(old) {
            return Err(ChangeError::NoSuchMember);
        }
        let member = members.0.get_mut(&learner).ok_or(ChangeError::NoSuchMember)?;
        member.replaces = Some(old);
        Ok(self.append_members(members, now))
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
        Ok(self.append_members(members, now))
    }

    /// Returns whether a change of the members has further steps.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        let has_room = self.members().voters().count() < MAX_VOTERS;
        let mut all = self.members().0.values();
        all.any(|member| member.replaces.is_some() || (!member.votes && has_room))
    }

    /// Takes the next step of an unfinished change, once the previous step is committed.
    pub(super) fn continue_change(&mut self, now: Tick) {
        let Ok(members) = self.changeable_members() else {
            return;
        };
        if let Some(members) = self.next_members(&members, now) {
            self.append_members(members, now);
        } else if !members.votes(self.id) {
            self.role = Role::Follower { leader: None };
        }
    }

    /// Returns the members after the next step of an unfinished change.
    ///
    /// Whoever takes part in a change may be lost before its next step, and another node may have taken its place. No
    /// step therefore waits for one certain node, and each leaves a majority that answers, should the node that it adds
    /// be lost in that moment.
    fn next_members(&self, members: &Members, now: Tick) -> Option<Members> {
        let mut all = members.0.iter();
        all.find_map(|(id, member)| match member.replaces {
            Some(old) if member.votes => self.finish_replacement(members, *id, old, now),
            _ if member.votes => None,
            replaces => self.promote(members, *id, replaces, now),
        })
    }

    /// Returns the members without one that a voter has replaced, or with the new voter as a learner again if it is lost
    /// in its turn while the old one answers.
    fn finish_replacement(&self, members: &Members, new: MemberId, old: MemberId, now: Tick) -> Option<Members> {
        if !members.votes(old) {
            return Some(without(members, old, new));
        }
        let next = if self.answers(new, now) || !self.answers(old, now) {
            without(members, old, new)
        } else {
            with_vote(members, new, false)
        };
        self.survives(&next, now).then_some(next)
    }

    /// Returns the members with a learner that has caught up as a voter.
    fn promote(&self, members: &Members, learner: MemberId, replaces: Option<MemberId>, now: Tick) -> Option<Members> {
        if !self.has_caught_up(learner) || !self.answers(learner, now) {
            return None;
        }
        let takes_place = replaces.is_some_and(|old| members.votes(old));
        // The voters before and after a change must overlap, which holds for one replacement at a time.
        let has_room = members.voters().count() < MAX_VOTERS;
        if (takes_place && members.is_replacing()) || (!takes_place && !has_room) {
            return None;
        }
        let next = with_vote(members, learner, true);
        // A voter that was lost just before the learner came, perhaps on the same machine, has not answered since.
        let answers = |id: MemberId| self.answers(id, now) && self.answered_since_added(id, learner);
        let all_answer = members.voters().all(answers);
        let goes_on = next.is_quorum(|id| id != learner && answers(id));
        (goes_on || all_answer).then_some(next)
    }

    /// Returns whether the voters that answer are a quorum of the given members.
    fn survives(&self, members: &Members, now: Tick) -> bool {
        members.is_quorum(|id| self.answers(id, now))
    }

    /// Returns whether a learner is close enough to the end of the log to become a voter.
    ///
    /// A voter that lags far behind counts for the size of a majority but acknowledges no new records for a long time;
    /// the loss of another host in that time would stop the group.
    pub(super) fn has_caught_up(&self, id: MemberId) -> bool {
        let matched = self.matched(id);
        matched.0 + MAX_PROMOTION_LAG >= self.log.last().index.0 && matched >= self.snapshot.at.index
    }

    /// Appends a membership record, which is in force from the moment it is appended.
    fn append_members(&mut self, members: Members, now: Tick) -> Index {
        let index = self.append(Payload::Members(members));
        self.track_members(now);
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
}

/// Returns the members with one of them as a voter or a learner.
fn with_vote(members: &Members, id: MemberId, votes: bool) -> Members {
    let mut next = members.clone();
    if let Some(member) = next.0.get_mut(&id) {
        member.votes = votes;
    }
    next
}

/// Returns the members without one that was replaced by another.
fn without(members: &Members, old: MemberId, new: MemberId) -> Members {
    let mut next = members.clone();
    next.0.remove(&old);
    if let Some(member) = next.0.get_mut(&new) {
        member.replaces = None;
    }
    next
}
