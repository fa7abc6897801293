//! Names, numbers and records of the agreement.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::Members;

/// Number of an election; at most one node leads in it.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Place of a record in the log; the first record is at 1.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// Name of one incarnation of a node's disk.
///
/// A node whose disk was lost has forgotten its votes and its log. If it went on under its old name, the entries that it
/// had acknowledged would count as kept although they are gone, and it could vote twice in a term. A blank disk draws a
/// new name, which nobody counts until the members say so.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct MemberId(pub u64);

/// Term and index of a record.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{term}.{index}")]
pub struct Position {
    /// Term in which the record was made.
    pub term: Term,
    /// Its place.
    pub index: Index,
}

/// What a node must remember besides its log before it answers anybody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The newest term that it knows.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<MemberId>,
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where it stands.
    pub at: Position,
    /// What it holds.
    pub payload: Payload,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader begins its term with it.
    Empty,
    /// An encoded command.
    Command(Arc<[u8]>),
    /// The members from here on.
    Members(Members),
}

/// The applied state up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The newest record that is contained.
    pub at: Position,
    /// The members at that position.
    pub members: Members,
    /// The encoded state.
    pub data: Arc<[u8]>,
}

impl Index {
    /// Gives the index after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Gives the index before this one, or zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl Payload {
    /// Gives about how many bytes the payload takes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(bytes) => bytes.len(),
            Self::Members(members) => members.len() * size_of::<u64>() * 8,
        }
    }
}
