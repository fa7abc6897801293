//! KV cache events of one engine, which may arrive late, twice or with gaps.

use std::collections::BTreeMap;

/// A change of one block in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number among all events of the engine, in steps of one.
    pub sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The outcome of applying a batch of events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// New events, oldest first, at most one for each block.
    pub fresh: Vec<CacheEvent>,
    /// Number of missing events before or between the new ones.
    pub lost: u64,
    /// Whether the engine restarted its sequence: its cache is empty except for the blocks in `fresh`.
    pub restarted: bool,
}

/// Read position in the events of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCursor {
    last_seen: u64,
}

impl EventCursor {
    /// Returns the sequence number after which to request events.
    ///
    /// The newest known event is requested again. If the answer lacks it, the engine was restarted and counts from the
    /// start. Without this overlap, a restarted engine would look like an idle one and its old cache contents would be
    /// assumed for ever.
    #[must_use]
    pub const fn after(&self) -> u64 {
        self.last_seen.saturating_sub(1)
    }

    /// Extracts the new events from the answer to a request after [`EventCursor::after`].
    pub fn apply(&mut self, answer: &[CacheEvent]) -> Applied {
        let newest = answer.iter().map(|event| event.sequence).max().unwrap_or_default();
        let restarted = newest < self.last_seen;
        if restarted {
            *self = Self::default();
        }
        let new = answer.iter().filter(|event| event.sequence > self.last_seen);
        let mut fresh: BTreeMap<u64, CacheEvent> = new.map(|event| (event.sequence, *event)).collect();
        let missing = newest.saturating_sub(self.last_seen) - fresh.len() as u64;
        self.last_seen = self.last_seen.max(newest);
        // Only the latest event of a block counts.
        let latest: BTreeMap<u64, u64> = fresh.values().map(|event| (event.block, event.sequence)).collect();
        fresh.retain(|sequence, event| latest.get(&event.block) == Some(sequence));
        Applied {
            fresh: fresh.into_values().collect(),
            lost: missing,
            restarted,
        }
    }
}

/// Confidence in the assumed cache contents of an engine: at most 1 and never 0.
#[derive(Clone, Copy, Debug)]
pub struct CacheTrust(f64);

/// Share of the trust that is lost with a gap in which all events are missing.
///
/// Most missing events store blocks of other prompts, so a gap alone says little. The engine's own counts are a better
/// signal, and a large weight of each gap would drown them out.
const GAP_WEIGHT: f64 = 0.05;
/// Weight of the newest cache hit count in the moving average.
const COUNT_WEIGHT: f64 = 0.2;
/// Lower bound of the trust, above zero so that prompts still reach the engine and its hit counts can raise the trust
/// again.
const MIN_TRUST: f64 = 0.1;

impl Default for CacheTrust {
    fn default() -> Self {
        Self(1.0)
    }
}

impl CacheTrust {
    /// Returns the share of the words assumed to be cached that are likely to be there.
    #[must_use]
    pub const fn share(self) -> f64 {
        self.0
    }

    /// Lowers the trust for `lost` missing events, each of which may have been an eviction, beside `fresh` received
    /// ones.
    pub fn record_lost(&mut self, lost: u64, fresh: usize) {
        let share = lost as f64 / (lost + fresh as u64).max(1) as f64;
        self.0 = (self.0 * (1.0 - share * GAP_WEIGHT)).max(MIN_TRUST);
    }

    /// Adjusts the trust by the cached words that an engine counted in a prompt, against the words assumed to be
    /// cached.
    pub fn record_count(&mut self, assumed: u64, cached: u64) {
        if assumed > 0 {
            let share = (cached as f64 / assumed as f64).min(1.0);
            self.0 = (self.0 + COUNT_WEIGHT * (share - self.0)).max(MIN_TRUST);
        }
    }
}
