//! Output of a node: writes and messages.

use super::{HardState, Index, Message, Record, Snapshot};

/// Writes and messages of a node, to be carried out in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that may be sent before the writes are synced.
    pub before_sync: Vec<Message>,
    /// A received snapshot, which replaces the state and the log up to its position.
    pub snapshot: Option<Snapshot>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Records to append; one whose index is already in the log replaces that record and all after it.
    pub records: Vec<Record>,
    /// Messages that depend on the writes; they may be sent only after the sync.
    pub after_sync: Vec<Message>,
    /// Newest index that the node knows to be committed. It is written with the records, but no message depends on it.
    pub committed: Index,
    /// Index of the last record with these writes, for [`Node::on_synced`](super::Node::on_synced) after the sync.
    pub log_end: Index,
}

impl Ready {
    /// Returns whether anything is to be written.
    #[must_use]
    pub fn writes(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.records.is_empty()
    }
}
