//! What a node wants done.

use super::{Hard, Index, Message, Record, Snapshot};

/// What a node wants done, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that may leave before the writes are synced.
    pub early: Vec<Message>,
    /// A received snapshot that replaces the log.
    pub snapshot: Option<Snapshot>,
    /// Term and vote, when they changed.
    pub hard: Option<Hard>,
    /// Records to append; one with an index that is there already replaces it and all behind it.
    pub records: Vec<Record>,
    /// Messages that promise something about the writes; they may leave only after the sync.
    pub late: Vec<Message>,
    /// End of the log with these writes; it is handed to `Node::saved` after the sync.
    pub until: Index,
}

impl Ready {
    /// Tells whether something is to be written.
    #[must_use]
    pub fn writes(&self) -> bool {
        self.snapshot.is_some() || self.hard.is_some() || !self.records.is_empty()
    }
}
