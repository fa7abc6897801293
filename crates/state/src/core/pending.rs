//! Who waits for an entry to be applied.

use std::collections::VecDeque;

use tokio::sync::oneshot;
use wire::state::Unavailable;

use crate::applied::Reply;
use crate::raft::{Index, Position, Term};

type Sender = oneshot::Sender<Result<Reply, Unavailable>>;

/// Askers in the order of their entries.
#[derive(Debug, Default)]
pub(super) struct Pending {
    waiting: VecDeque<(Position, Sender)>,
}

impl Pending {
    /// Notes who asked for the entries from an index on.
    pub(super) fn add(&mut self, term: Term, first: Index, replies: Vec<Sender>) {
        for (offset, reply) in replies.into_iter().enumerate() {
            let index = Index(first.0 + offset as u64);
            self.waiting.push_back((Position { term, index }, reply));
        }
    }

    /// Answers who asked for the entry at a position.
    pub(super) fn answer(&mut self, at: Position, answer: Reply) {
        if self.waiting.front().is_some_and(|(first, _)| *first == at)
            && let Some((_, reply)) = self.waiting.pop_front()
        {
            // An asker that has gone away needs no answer.
            let _ = reply.send(Ok(answer));
        }
    }

    /// Tells everyone that the outcome is not known: another leader may still commit the entries.
    pub(super) fn give_up(&mut self) {
        for (_, reply) in self.waiting.drain(..) {
            let reason = "the node stopped leading before a majority had written it".to_owned();
            // An asker that has gone away needs no answer.
            let _ = reply.send(Err(Unavailable::Undecided { reason }));
        }
    }
}
