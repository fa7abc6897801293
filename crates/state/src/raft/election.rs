//! Elections: asking first, voting, and the time for which a leader may lead.

use std::collections::BTreeSet;

use policy::Tick;

use super::lead::Leading;
use super::node::Role;
use super::{Body, Hard, MemberId, Message, Node, Payload, Position, Term};

impl Node {
    /// Handles a term that is newer than the node's own; returns whether the message is to be handled further.
    pub(super) fn raise(&mut self, message: &Message, now: Tick) -> bool {
        match message.body {
            Body::AskVote { pre: true, .. }
            | Body::Vote {
                pre: true,
                granted: true,
            } => true,
            // A node that was cut off and missed the leader would otherwise unseat one that all others hear, and that
            // leader counts on the followers' promise until its lease ends.
            Body::AskVote { pre: false, .. } if self.promised(now) => false,
            _ => {
                self.step_down(message.term, now);
                true
            }
        }
    }

    /// Tells the sender of an old term that there is a newer one.
    pub(super) fn refuse_old(&mut self, message: &Message) {
        match message.body {
            Body::AskVote { pre, .. } => self.say(message.from, Body::Vote { pre, granted: false }),
            // No echo of the sender's clock: by the time it arrives, the sender may lead in the newer term, after a
            // restart even with a clock that began anew, and would take the echo for an answer to itself.
            Body::Append { .. } | Body::Part { .. } => self.say(message.from, Body::Old),
            _ => {}
        }
    }

    /// Becomes a follower, in a newer term if given.
    pub(super) fn step_down(&mut self, term: Term, now: Tick) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.dirty = true;
        }
        self.role = Role::Follower { leader: None };
        self.reset_deadline(now);
    }

    /// Steps down when a majority has not answered for the length of the lease.
    ///
    /// A leader that is cut off or was frozen must stop before others elect one: else both would grant leases and tell
    /// operators what is in force. Its own clock decides, before anything else is done with the time or message.
    pub(super) fn check_lease(&mut self, now: Tick) {
        if matches!(self.role, Role::Leader(_)) && !self.leads(now) {
            self.step_down(self.hard.term, now);
        }
    }

    /// Asks whether an election could be won, which changes no term.
    pub(super) fn ask(&mut self, now: Tick) {
        self.reset_deadline(now);
        if !self.members().votes(self.id) {
            self.role = Role::Follower { leader: None };
            return;
        }
        self.role = Role::Asking {
            granted: BTreeSet::from([self.id]),
        };
        let next = Term(self.hard.term.0 + 1);
        self.ask_all(true, next);
        self.count(now);
    }

    fn campaign(&mut self, now: Tick) {
        self.reset_deadline(now);
        self.quiet = now + self.timing.election;
        let term = Term(self.hard.term.0 + 1);
        self.hard = Hard {
            term,
            vote: Some(self.id),
        };
        self.dirty = true;
        self.role = Role::Candidate {
            since: now,
            granted: BTreeSet::from([self.id]),
        };
        self.ask_all(false, term);
        self.count(now);
    }

    fn ask_all(&mut self, pre: bool, term: Term) {
        let last = self.log.last();
        let others: Vec<MemberId> = self.members().voters().filter(|id| *id != self.id).collect();
        for to in others {
            let body = Body::AskVote { pre, last };
            self.late.push(Message {
                from: self.id,
                to,
                term,
                body,
            });
        }
    }

    pub(super) fn on_ask(&mut self, from: MemberId, term: Term, pre: bool, last: Position, now: Tick) {
        // A blank disk has no members yet. Its log is empty because it was lost, not because nothing was agreed.
        let able = !self.members().is_empty() && !self.promised(now) && last >= self.log.last();
        if pre {
            let granted = able && term > self.hard.term;
            let term = if granted { term } else { self.hard.term };
            let body = Body::Vote { pre, granted };
            self.late.push(Message {
                from: self.id,
                to: from,
                term,
                body,
            });
            return;
        }
        let again = self.hard.vote == Some(from);
        let granted = again || (able && self.hard.vote.is_none());
        if granted && !again {
            self.hard.vote = Some(from);
            self.dirty = true;
            // An own question may still be open; if it were won later, the node would break the promise it makes now.
            self.role = Role::Follower { leader: None };
            // The one that is elected leads from the moment at which it asked; until that time is over nobody else may.
            self.quiet = now + self.timing.election;
            self.reset_deadline(now);
        }
        self.say(from, Body::Vote { pre, granted });
    }

    pub(super) fn on_vote(&mut self, from: MemberId, pre: bool, granted: bool, now: Tick) {
        match &mut self.role {
            Role::Asking { granted: votes } if pre && granted => votes.insert(from),
            Role::Candidate { granted: votes, .. } if !pre && granted => votes.insert(from),
            _ => return,
        };
        self.count(now);
    }

    fn count(&mut self, now: Tick) {
        let members = self.members();
        let won =
            |votes: &BTreeSet<MemberId>| votes.iter().filter(|id| members.votes(**id)).count() >= members.majority();
        match &self.role {
            Role::Asking { granted } if won(granted) => self.campaign(now),
            Role::Candidate { granted, since } if won(granted) => {
                let since = *since;
                self.lead(since, now);
            }
            _ => {}
        }
    }

    fn lead(&mut self, since: Tick, now: Tick) {
        let next = self.log.last().index.next();
        let others: Vec<MemberId> = self.members().0.keys().copied().filter(|id| *id != self.id).collect();
        self.role = Role::Leader(Leading::new(&others, next, since, now));
        // Records of earlier terms count as committed only together with one of this term.
        self.append(Payload::Empty);
    }

    /// Tells whether the node has promised for now to help nobody against a leader.
    fn promised(&self, now: Tick) -> bool {
        match &self.role {
            Role::Leader(_) => true,
            _ => now < self.quiet,
        }
    }
}
