//! Requests in the order of their target, with the sum of the work before any of them.
//!
//! A plain ordered set would have to visit thousands of requests for such a sum, at every arrival during an overload.

use crate::Tick;

/// Most requests in a chunk. A sum visits one chunk and the totals of the others, which are about as many with 10,000
/// requests.
const CHUNK_SIZE: usize = 128;

/// Position of a request: its target, then its id.
pub(super) type Position = (Tick, u64);

/// Requests with their work, in order.
#[derive(Debug, Default)]
pub(super) struct SortedWork {
    /// Chunks in order; none is empty.
    chunks: Vec<Chunk>,
    total: f64,
}

#[derive(Debug, Default)]
struct Chunk {
    work: f64,
    items: Vec<(Position, f64)>,
}

impl SortedWork {
    pub(super) const fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the work of all requests.
    pub(super) const fn total(&self) -> f64 {
        self.total
    }

    /// Returns the ids in order.
    pub(super) fn ids(&self) -> impl Iterator<Item = u64> {
        self.chunks
            .iter()
            .flat_map(|chunk| &chunk.items)
            .map(|((_, id), _)| *id)
    }

    /// Returns the work of the requests before a position.
    pub(super) fn before(&self, position: Position) -> f64 {
        let index = self.chunk_of(position);
        let whole: f64 = self.chunks[..index].iter().map(|chunk| chunk.work).sum();
        let part = self.chunks.get(index).map_or(0.0, |chunk| {
            let end = chunk.items.partition_point(|(other, _)| *other < position);
            chunk.items[..end].iter().map(|(_, work)| work).sum()
        });
        whole + part
    }

    pub(super) fn insert(&mut self, position: Position, work: f64) {
        let index = self.chunk_of(position);
        if self.chunks.is_empty() {
            self.chunks.push(Chunk::default());
        }
        let chunk = &mut self.chunks[index];
        let at = chunk.items.partition_point(|(other, _)| *other < position);
        chunk.items.insert(at, (position, work));
        chunk.work += work;
        self.total += work;
        if chunk.items.len() > CHUNK_SIZE {
            let items = chunk.items.split_off(CHUNK_SIZE / 2);
            chunk.sum_up();
            let mut upper = Chunk { work: 0.0, items };
            upper.sum_up();
            self.chunks.insert(index + 1, upper);
        }
    }

    /// Removes a request; does nothing if there is none at the position.
    pub(super) fn remove(&mut self, position: Position) {
        let index = self.chunk_of(position);
        let Some(chunk) = self.chunks.get_mut(index) else {
            return;
        };
        let Ok(at) = chunk.items.binary_search_by(|(other, _)| other.cmp(&position)) else {
            return;
        };
        let (_, work) = chunk.items.remove(at);
        chunk.sum_up();
        self.total -= work;
        if chunk.items.is_empty() {
            self.chunks.remove(index);
        }
        if self.chunks.is_empty() {
            // Rounding errors would add up otherwise.
            self.total = 0.0;
        }
    }

    /// Returns the index of the chunk that a position belongs to; 0 if there is no chunk.
    fn chunk_of(&self, position: Position) -> usize {
        let after = self.chunks.partition_point(|chunk| {
            let first = chunk.items.first();
            first.is_some_and(|(first, _)| *first <= position)
        });
        after.saturating_sub(1)
    }
}

impl Chunk {
    fn sum_up(&mut self) {
        self.work = self.items.iter().map(|(_, work)| work).sum();
    }
}
