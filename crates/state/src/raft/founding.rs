//! Founding of a group: blank nodes vote for the one that decides on the first members.
//!
//! This is one round of Paxos among the seeds. Seeds that grant a term accept no group that was founded in an older one,
//! and a seed that belongs to a group grants nothing. Of all groups that are founded, at most one is therefore accepted by
//! a majority of the seeds, and no other one has a majority of its members.

use std::collections::BTreeSet;

use policy::Tick;

use super::{Body, HardState, MemberId, Message, Node, Position, Snapshot, Term};

/// The founding that a blank node has asked for last.
#[derive(Clone, Debug)]
pub(super) struct Founding {
    term: Term,
    asked_at: Tick,
    granted: BTreeSet<MemberId>,
}

impl Node {
    /// Lets a blank node found a group, and let others do so: the whole system starts for the first time.
    pub const fn allow_founding(&mut self) {
        self.may_found = true;
    }

    /// Asks other blank nodes to let this one found the group, in a new term. Does nothing unless this node may.
    pub fn ask_founding(&mut self, others: &[MemberId], now: Tick) {
        if !self.may_found || !self.members().is_empty() {
            return;
        }
        let term = Term(self.hard_state.term.0 + 1);
        self.hard_state = HardState {
            term,
            vote: Some(self.id),
        };
        self.hard_changed = true;
        self.founding = Some(Founding {
            term,
            asked_at: now,
            granted: BTreeSet::from([self.id]),
        });
        for to in others {
            // After the sync of the own vote.
            self.after_sync.push(Message {
                from: self.id,
                to: *to,
                term,
                body: Body::AskFounding,
            });
        }
    }

    /// Returns when this node asked last to found the group, and the nodes that have granted it, itself included.
    #[must_use]
    pub fn founding(&self) -> Option<(Tick, &BTreeSet<MemberId>)> {
        let current = |founding: &&Founding| founding.term == self.hard_state.term && self.members().is_empty();
        let founding = self.founding.as_ref().filter(current)?;
        Some((founding.asked_at, &founding.granted))
    }

    /// Returns the position of the first snapshot of a group that is founded now. Each founding has an index of its own,
    /// so that a node that knows only an older one takes it over.
    #[must_use]
    pub const fn first_position(&self) -> Position {
        let term = self.hard_state.term;
        Position {
            term,
            index: super::Index(term.0),
        }
    }

    /// Grants or refuses the founding of a group in the current term.
    pub(super) fn on_ask_founding(&mut self, from: MemberId) {
        let vote = self.hard_state.vote;
        let granted = self.may_found && self.members().is_empty() && vote.is_none_or(|vote| vote == from);
        if granted && vote.is_none() {
            self.hard_state.vote = Some(from);
            self.hard_changed = true;
        }
        self.queue_message(from, Body::Founding { granted });
    }

    /// Counts a granted founding.
    pub(super) fn on_founding(&mut self, from: MemberId, granted: bool) {
        let term = self.hard_state.term;
        if let Some(founding) = self.founding.as_mut().filter(|founding| founding.term == term)
            && granted
        {
            founding.granted.insert(from);
        }
    }

    /// Returns whether a snapshot is the first one of a group.
    #[must_use]
    pub const fn is_first(snapshot: &Snapshot) -> bool {
        snapshot.at.index.0 == snapshot.at.term.0
    }
}
