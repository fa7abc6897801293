//! Callers that wait for their log entry to be applied.

use std::collections::VecDeque;

use tokio::sync::oneshot;
use wire::state::Unavailable;

use crate::applied::Reply;
use crate::raft::{Index, Position, Term};

type Sender = oneshot::Sender<Result<Reply, Unavailable>>;

/// Reply channels in the order of their log entries.
#[derive(Debug, Default)]
pub(super) struct Pending {
    waiting: VecDeque<(Position, Sender)>,
}

impl Pending {
    /// Adds the reply channels of consecutive entries from an index on.
    pub(super) fn add(&mut self, term: Term, first: Index, replies: Vec<Sender>) {
        for (offset, reply) in replies.into_iter().enumerate() {
            let index = Index(first.0 + offset as u64);
            self.waiting.push_back((Position { term, index }, reply));
        }
    }

    /// Sends the reply of the applied entry at a position.
    pub(super) fn answer(&mut self, at: Position, answer: Reply) {
        if self.waiting.front().is_some_and(|(first, _)| *first == at)
            && let Some((_, reply)) = self.waiting.pop_front()
        {
            // A dropped receiver needs no answer.
            let _ = reply.send(Ok(answer));
        }
    }

    /// Answers all callers that the outcome is unknown: another leader may still commit the entries.
    pub(super) fn fail_all(&mut self) {
        for (_, reply) in self.waiting.drain(..) {
            let reason = "the node stopped leading before a majority had written it".to_owned();
            // A dropped receiver needs no answer.
            let _ = reply.send(Err(Unavailable::Undecided { reason }));
        }
    }
}
