//! Messages between the nodes.

use serde::{Deserialize, Serialize};

use super::{Index, MemberId, Members, Position, Record, Term};

/// A message from one incarnation to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: MemberId,
    /// Receiver; a process that holds another disk by now drops it.
    pub to: MemberId,
    /// The sender's term; for a question before an election the term that it would begin.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
///
/// `sent` is the leader's own clock in microseconds, echoed in the answer: it tells when the leader was last known to
/// lead without comparing two clocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote, or before that whether there would be one.
    AskVote {
        /// Whether it is only the question before an election.
        pre: bool,
        /// End of the sender's log.
        last: Position,
    },
    /// Answers [`Body::AskVote`].
    Vote {
        /// Whether it answers the question before an election.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends records, or none as a heartbeat.
    Append {
        /// The record before the first one.
        previous: Position,
        /// Records in order.
        records: Vec<Record>,
        /// The newest committed index.
        commit: Index,
        /// The leader's clock.
        sent: u64,
    },
    /// The log is synced and equal to the leader's up to an index.
    Appended {
        /// That index.
        matched: Index,
        /// Echo of the leader's clock.
        sent: u64,
    },
    /// The record before the first one is missing.
    Rejected {
        /// The newest index at which the logs may be equal.
        hint: Index,
        /// Echo of the leader's clock.
        sent: u64,
    },
    /// The leader's term is over; the newer one stands in the message.
    Old,
    /// A part of a snapshot.
    Part {
        /// Position of the snapshot.
        at: Position,
        /// Members at that position.
        members: Members,
        /// Offset of the bytes.
        offset: u64,
        /// Length of the whole.
        total: u64,
        /// The bytes.
        bytes: Vec<u8>,
        /// The leader's clock.
        sent: u64,
    },
    /// Parts up to an offset have arrived.
    Received {
        /// Index of the snapshot.
        index: Index,
        /// Bytes that have arrived.
        offset: u64,
        /// Echo of the leader's clock.
        sent: u64,
    },
}

impl Body {
    /// Tells whether only a leader sends it.
    #[must_use]
    pub const fn is_leaders(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Part { .. })
    }
}
