//! The in-memory log: records that a snapshot does not cover, and some before it for lagging followers.

use std::collections::VecDeque;

use super::{Index, Position, Record, Term};

/// Most bytes of payload in one message, unless a single record is larger.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Most records in one message.
const MAX_MESSAGE_RECORDS: usize = 1_024;

/// Consecutive records after a base position that a snapshot covers.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    base: Position,
    records: VecDeque<Record>,
}

impl Log {
    pub(super) fn new(base: Position, records: Vec<Record>) -> Self {
        let records = records.into();
        Self { base, records }
    }

    pub(super) fn base(&self) -> Position {
        self.base
    }

    pub(super) fn last(&self) -> Position {
        self.records.back().map_or(self.base, |record| record.at)
    }

    pub(super) fn get(&self, index: Index) -> Option<&Record> {
        let at = index.0.checked_sub(self.base.index.0 + 1)?;
        self.records.get(at as usize)
    }

    pub(super) fn term_of(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|record| record.at.term)
    }

    pub(super) fn contains(&self, at: Position) -> bool {
        self.term_of(at.index) == Some(at.term)
    }

    pub(super) fn push(&mut self, record: Record) {
        self.records.push_back(record);
    }

    /// Removes all records from an index on.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        self.records.truncate(keep as usize);
    }

    /// Returns records from an index on, as many as fit into one message.
    pub(super) fn batch_from(&self, from: Index) -> Vec<Record> {
        let skip = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let first = bytes == 0;
            bytes += record.payload.size().max(1);
            first || bytes <= MAX_MESSAGE_BYTES
        };
        self.records
            .iter()
            .skip(skip)
            .take(MAX_MESSAGE_RECORDS)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Returns the records from one index to another, both included.
    pub(super) fn between(&self, from: Index, to: Index) -> Vec<Record> {
        (from.0..=to.0)
            .filter_map(|index| self.get(Index(index)).cloned())
            .collect()
    }

    /// Returns the newest index up to which the logs may match when the record at `index` conflicts: the end of the
    /// term before the conflicting one.
    pub(super) fn conflict_hint(&self, index: Index) -> Index {
        let Some(term) = self.term_of(index) else {
            return self.last().index.min(index.previous());
        };
        let mut at = index;
        while at > self.base.index && self.term_of(at) == Some(term) {
            at = at.previous();
        }
        at
    }

    /// Moves the base forward and removes the records up to it.
    pub(super) fn compact(&mut self, base: Position) {
        if base.index > self.base.index {
            let drop = (base.index.0 - self.base.index.0) as usize;
            self.records.drain(..drop.min(self.records.len()));
            self.base = base;
        }
    }
}
