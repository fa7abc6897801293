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
    /// Bytes of all payloads.
    bytes: usize,
}

impl Log {
    pub(super) fn new(base: Position, records: Vec<Record>) -> Self {
        let bytes = records.iter().map(|record| record.payload.size()).sum();
        let records = records.into();
        Self { base, records, bytes }
    }

    /// Returns the bytes of all payloads.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes
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
        self.bytes += record.payload.size();
        self.records.push_back(record);
    }

    /// Removes all records from an index on.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        self.bytes -= self.size_of_range(keep, self.records.len());
        self.records.truncate(keep);
    }

    /// Returns the bytes of the payloads after one index up to another.
    pub(super) fn bytes_between(&self, after: Index, until: Index) -> usize {
        let at = |index: Index| index.0.saturating_sub(self.base.index.0) as usize;
        self.size_of_range(at(after), at(until))
    }

    fn size_of_range(&self, from: usize, to: usize) -> usize {
        let records = self.records.iter().take(to).skip(from);
        records.map(|record| record.payload.size()).sum()
    }

    /// Returns the index after which the records up to `until` are within a number and a number of bytes.
    pub(super) fn newest_within(&self, until: Index, most_records: u64, most_bytes: usize) -> Index {
        let oldest = Index(until.0.saturating_sub(most_records)).max(self.base.index);
        let (mut at, mut bytes) = (until, 0);
        while at > oldest {
            bytes += self.get(at).map_or(0, |record| record.payload.size());
            if bytes > most_bytes {
                break;
            }
            at = at.previous();
        }
        at
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
            let drop = ((base.index.0 - self.base.index.0) as usize).min(self.records.len());
            self.bytes -= self.size_of_range(0, drop);
            self.records.drain(..drop);
            self.base = base;
        }
    }
}
