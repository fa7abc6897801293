//! Elections: pre-votes, votes, and stepping down when the leader lease ends.

use std::collections::BTreeSet;

use policy::Tick;

use super::leader::LeaderState;
use super::node::Role;
use super::{Body, HardState, MemberId, Message, Node, Payload, Position, Term};

impl Node {
    /// Adopts a term that is newer than the node's own; returns whether the message is to be handled further.
    pub(super) fn observe_newer_term(&mut self, message: &Message, now: Tick) -> bool {
        match message.body {
            Body::AskVote { pre: true, .. }
            | Body::Vote {
                pre: true,
                granted: true,
            } => true,
            // A node that was partitioned would otherwise depose a leader that all others hear, and that leader relies
            // on its followers granting no vote until its lease ends.
            Body::AskVote { pre: false, .. } if self.withholds_votes(now) => false,
            _ => {
                self.step_down(message.term, now);
                true
            }
        }
    }

    /// Answers a message of an older term with the newer one.
    pub(super) fn reject_stale(&mut self, message: &Message) {
        match message.body {
            Body::AskVote { pre, .. } => self.queue_message(message.from, Body::Vote { pre, granted: false }),
            // The answer has no echo of the sender's clock. When it arrives, the sender may lead in the newer term,
            // even with a restarted clock, and would take the echo for an acknowledgement of that term.
            Body::Append { .. } | Body::Part { .. } => self.queue_message(message.from, Body::Old),
            Body::AskFounding => self.queue_message(message.from, Body::Founding { granted: false }),
            _ => {}
        }
    }

    /// Becomes a follower, in the given term if it is newer.
    pub(super) fn step_down(&mut self, term: Term, now: Tick) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.hard_changed = true;
        }
        self.role = Role::Follower { leader: None };
        self.reset_election_deadline(now);
    }

    /// Steps down when the leader lease has ended: no quorum has answered within it.
    ///
    /// A leader that was partitioned or paused must stop before others elect a new one; otherwise both would grant
    /// leases and report different configurations to operators. The check uses the node's own clock and runs before any
    /// tick, message or call is handled.
    pub(super) fn check_lease(&mut self, now: Tick) {
        if matches!(self.role, Role::Leader(_)) && !self.leads(now) {
            self.step_down(self.hard_state.term, now);
        }
    }

    /// Starts a pre-vote: asks whether an election could be won, without raising the term.
    pub(super) fn start_pre_vote(&mut self, now: Tick) {
        self.reset_election_deadline(now);
        if !self.members().votes(self.id) {
            self.role = Role::Follower { leader: None };
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.id]),
        };
        let next = Term(self.hard_state.term.0 + 1);
        self.request_votes(true, next);
        self.count_votes(now);
    }

    /// Raises the term and asks for votes.
    fn start_election(&mut self, now: Tick) {
        self.reset_election_deadline(now);
        self.vote_lockout = now + self.timing.election;
        let term = Term(self.hard_state.term.0 + 1);
        self.hard_state = HardState {
            term,
            vote: Some(self.id),
        };
        self.hard_changed = true;
        self.role = Role::Candidate {
            since: now,
            granted: BTreeSet::from([self.id]),
        };
        self.request_votes(false, term);
        self.count_votes(now);
    }

    /// Asks the other voters for a vote, or a pre-vote; the requests leave once the own vote is synced.
    fn request_votes(&mut self, pre: bool, term: Term) {
        let last = self.log.last();
        let others: Vec<MemberId> = self.members().voters().filter(|id| *id != self.id).collect();
        for to in others {
            let body = Body::AskVote { pre, last };
            self.after_sync.push(Message {
                from: self.id,
                to,
                term,
                body,
            });
        }
    }

    /// Grants or refuses a vote or pre-vote.
    pub(super) fn on_vote_request(&mut self, from: MemberId, term: Term, pre: bool, last: Position, now: Tick) {
        // A blank disk has no members yet. Its log may be empty because the disk was lost, not because nothing was
        // committed.
        let eligible = !self.members().is_empty() && !self.withholds_votes(now) && last >= self.log.last();
        if pre {
            let granted = eligible && term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            let body = Body::Vote { pre, granted };
            self.after_sync.push(Message {
                from: self.id,
                to: from,
                term,
                body,
            });
            return;
        }
        let again = self.hard_state.vote == Some(from);
        let granted = again || (eligible && self.hard_state.vote.is_none());
        if granted && !again {
            self.hard_state.vote = Some(from);
            self.hard_changed = true;
            // The node's own pre-vote may still be open; winning it later would break the promise that this vote makes.
            self.role = Role::Follower { leader: None };
            // The lease of the elected leader starts when it asked for the vote; until it ends nobody else may lead.
            self.vote_lockout = now + self.timing.election;
            self.reset_election_deadline(now);
        }
        self.queue_message(from, Body::Vote { pre, granted });
    }

    /// Counts a granted vote or pre-vote.
    pub(super) fn on_vote(&mut self, from: MemberId, pre: bool, granted: bool, now: Tick) {
        match &mut self.role {
            Role::PreCandidate { granted: votes } if pre && granted => votes.insert(from),
            Role::Candidate { granted: votes, .. } if !pre && granted => votes.insert(from),
            _ => return,
        };
        self.count_votes(now);
    }

    /// Starts the election or becomes leader when a quorum has granted the pre-vote or vote.
    fn count_votes(&mut self, now: Tick) {
        let members = self.members();
        let won = |votes: &BTreeSet<MemberId>| members.is_quorum(|id| votes.contains(&id));
        match &self.role {
            Role::PreCandidate { granted } if won(granted) => self.start_election(now),
            Role::Candidate { granted, since } if won(granted) => {
                let since = *since;
                self.become_leader(since, now);
            }
            _ => {}
        }
    }

    /// Becomes leader; `since` is when the votes were asked for, from which the first lease counts.
    fn become_leader(&mut self, since: Tick, now: Tick) {
        let next = self.log.last().index.next();
        let others: Vec<MemberId> = self.members().0.keys().copied().filter(|id| *id != self.id).collect();
        self.role = Role::Leader(LeaderState::new(&others, next, since, now));
        // Records of earlier terms become committed only through a record of this term.
        self.append(Payload::Empty);
    }

    /// Returns whether the node grants no vote now, since a leader may still rely on its lease.
    fn withholds_votes(&self, now: Tick) -> bool {
        match &self.role {
            Role::Leader(_) => true,
            _ => now < self.vote_lockout,
        }
    }
}
