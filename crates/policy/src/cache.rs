//! Cache events of one engine: late, doubled and with gaps.

use std::collections::BTreeMap;

/// Something that an engine tells of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position among all events of the engine; it grows by one.
    pub sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// Stored when true, evicted when false.
    pub stored: bool,
}

/// What a batch of events means.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The events that are new, oldest first, at most one a block.
    pub fresh: Vec<CacheEvent>,
    /// Events that were lost before or between them.
    pub lost: u64,
    /// The engine counts from the start again: its cache is empty but for what the fresh events say.
    pub restarted: bool,
}

/// How far the events of one engine were read.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCursor {
    seen: u64,
}

impl EventCursor {
    /// Gives the position after which to ask for events.
    ///
    /// The newest known event is asked for once more: if it doesn't come, the engine was restarted and counts anew.
    /// Without the overlap a restarted engine would look like one to which nothing happens, and its cache would be
    /// believed in for ever.
    #[must_use]
    pub const fn after(&self) -> u64 {
        self.seen.saturating_sub(1)
    }

    /// Sorts out what is new in an answer to a question after [`EventCursor::after`].
    pub fn apply(&mut self, answer: &[CacheEvent]) -> Applied {
        let newest = answer.iter().map(|event| event.sequence).max().unwrap_or_default();
        let restarted = newest < self.seen;
        if restarted {
            *self = Self::default();
        }
        let new = answer.iter().filter(|event| event.sequence > self.seen);
        let mut fresh: BTreeMap<u64, CacheEvent> = new.map(|event| (event.sequence, *event)).collect();
        let missing = newest.saturating_sub(self.seen) - fresh.len() as u64;
        self.seen = self.seen.max(newest);
        // Only the last word on a block counts.
        let last: BTreeMap<u64, u64> = fresh.values().map(|event| (event.block, event.sequence)).collect();
        fresh.retain(|sequence, event| last.get(&event.block) == Some(sequence));
        Applied {
            fresh: fresh.into_values().collect(),
            lost: missing,
            restarted,
        }
    }
}

/// How far the belief in an engine's cached blocks is to be trusted, from 1 down to a little.
#[derive(Clone, Copy, Debug)]
pub struct CacheTrust(f64);

/// What a gap in which everything was lost takes from the trust.
///
/// Most lost events tell of other prompts that were stored, so that a gap alone says little; the engine's own counts say
/// more, and would be drowned if each gap weighed heavily.
const GAP_WEIGHT: f64 = 0.05;
/// Weight of one count of an engine against all earlier ones.
const COUNT_WEIGHT: f64 = 0.2;
/// The least trust; a little is kept, so that an engine can show by its counts that it has earned more.
const LEAST: f64 = 0.1;

impl Default for CacheTrust {
    fn default() -> Self {
        Self(1.0)
    }
}

impl CacheTrust {
    /// Gives the share of the believed words that are likely to be there.
    #[must_use]
    pub const fn share(self) -> f64 {
        self.0
    }

    /// Takes in that events were lost, each of which may have been an eviction.
    pub fn record_lost(&mut self, lost: u64, fresh: usize) {
        let share = lost as f64 / (lost + fresh as u64).max(1) as f64;
        self.0 = (self.0 * (1.0 - share * GAP_WEIGHT)).max(LEAST);
    }

    /// Takes in an engine's own count of the cached words of a prompt against what was believed.
    pub fn record_count(&mut self, believed: u64, cached: u64) {
        if believed > 0 {
            let share = (cached as f64 / believed as f64).min(1.0);
            self.0 = (self.0 + COUNT_WEIGHT * (share - self.0)).max(LEAST);
        }
    }
}
