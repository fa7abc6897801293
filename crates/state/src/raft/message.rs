//! Raft messages between the nodes.

use serde::{Deserialize, Serialize};

use super::{Index, MemberId, Members, Position, Record, Term};

/// A message from one incarnation of a node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation.
    pub from: MemberId,
    /// The receiver's incarnation; a process whose disk has another one drops the message.
    pub to: MemberId,
    /// The sender's term; in a pre-vote request and a granted pre-vote the term that the election would have.
    pub term: Term,
    /// What the message asks or answers.
    pub body: Body,
}

/// Content of a message.
///
/// `sent` is the leader's own clock in microseconds. The answer echoes it, so that the leader can compute its lease
/// without comparing two clocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote or a pre-vote.
    AskVote {
        /// Whether this is a pre-vote.
        pre: bool,
        /// End of the sender's log.
        last: Position,
    },
    /// Answers [`Body::AskVote`].
    Vote {
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends records, or none as a heartbeat.
    Append {
        /// Position of the record before the first one.
        previous: Position,
        /// Consecutive records.
        records: Vec<Record>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's clock, in microseconds.
        sent: u64,
    },
    /// Acknowledges records or a snapshot: the log is synced and matches the leader's up to an index.
    Appended {
        /// The newest matching index.
        matched: Index,
        /// Echo of the leader's clock.
        sent: u64,
    },
    /// Rejects [`Body::Append`]: the log does not contain the record before the first one.
    Rejected {
        /// The newest index up to which the logs may match.
        hint: Index,
        /// Echo of the leader's clock.
        sent: u64,
    },
    /// Rejects a message of an old term; [`Message::term`] holds the newer one.
    Old,
    /// Sends a part of a snapshot, or no bytes as a heartbeat.
    Part {
        /// Position of the snapshot.
        at: Position,
        /// Members at that position.
        members: Members,
        /// Offset of `bytes` in the snapshot data.
        offset: u64,
        /// Bytes of the whole snapshot data.
        total: u64,
        /// Consecutive bytes of the snapshot data.
        bytes: Vec<u8>,
        /// The leader's clock, in microseconds.
        sent: u64,
    },
    /// Acknowledges the parts of a snapshot up to an offset.
    Received {
        /// Index of the snapshot.
        index: Index,
        /// Bytes that have arrived so far.
        offset: u64,
        /// Echo of the leader's clock.
        sent: u64,
    },
    /// Asks a blank node to let the sender found the group in this term.
    AskFounding,
    /// Answers [`Body::AskFounding`].
    Founding {
        /// Whether the sender may found it.
        granted: bool,
    },
}

impl Body {
    /// Returns whether only a leader sends this kind of message.
    #[must_use]
    pub const fn is_from_leader(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Part { .. })
    }
}
