//! Identifiers, positions, records and snapshots of the Raft log.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::Members;

/// Election term; at most one node leads in it.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Index of a record in the log; the first record has index 1.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// Id of one incarnation of a node: of the disk that holds its votes and its log.
///
/// A node whose disk was lost has lost its votes and its log. Under its old id, records that it had acknowledged would
/// count as replicated although they are gone, and it could vote twice in a term. A blank disk therefore gets a new
/// random id, which counts for nothing until it is a member.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct MemberId(pub u64);

/// Term and index of a record.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{term}.{index}")]
pub struct Position {
    /// Term of the leader that appended the record.
    pub term: Term,
    /// Index of the record.
    pub index: Index,
}

/// Raft's persistent state besides the log; a node must sync it before it answers anybody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that the node knows.
    pub term: Term,
    /// The candidate that it voted for in that term, if any.
    pub vote: Option<MemberId>,
}

/// One record of the Raft log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position of the record.
    pub at: Position,
    /// What the record changes.
    pub payload: Payload,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No change; a new leader appends it first, to commit the records before it.
    Empty,
    /// An encoded [`LogEntry`](crate::applied::LogEntry).
    Command(Arc<[u8]>),
    /// The members in force from this record on.
    Members(Members),
}

/// The state after all records up to a position were applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the newest record that the snapshot covers.
    pub at: Position,
    /// The members at that position.
    pub members: Members,
    /// The encoded [`AppliedState`](crate::applied::AppliedState); empty on a blank disk.
    pub data: Arc<[u8]>,
}

impl Index {
    /// Returns the index after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl Payload {
    /// Returns roughly how many bytes the payload takes in a message.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(bytes) => bytes.len(),
            Self::Members(members) => members.len() * size_of::<u64>() * 8,
        }
    }
}
