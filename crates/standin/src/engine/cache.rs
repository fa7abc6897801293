//! The prefix cache: blocks of tokens, each known by the hash of everything up to its end.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block.
pub const BLOCK: usize = 16;
/// Events that are kept for readers; older ones become a gap.
const MAX_EVENTS: usize = 4_096;

/// Something that happened to a block.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Position among all events.
    pub(crate) sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub(crate) block: u64,
    /// Stored when true, evicted when false.
    pub(crate) stored: bool,
}

/// A block that is held.
#[derive(Debug)]
struct Held {
    used: u64,
    pins: u32,
}

/// Blocks in order of their last use; those in use are pinned and can't be evicted.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks: usize,
    clock: u64,
    held: HashMap<u64, Held>,
    order: BTreeMap<u64, u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(tokens: usize) -> Self {
        Self {
            blocks: (tokens / BLOCK).max(1),
            clock: 0,
            held: HashMap::new(),
            order: BTreeMap::new(),
            events: Vec::new(),
            sequence: 0,
        }
    }

    /// Gives the hash of each prefix that ends with a whole block.
    pub(crate) fn prefixes(words: &[&str]) -> Vec<u64> {
        let mut hash = 0;
        let chain = words.chunks_exact(BLOCK).map(|block| {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            hash
        });
        chain.collect()
    }

    /// Gives the number of tokens at the start that are cached.
    pub(crate) fn cached(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|hash| self.held.contains_key(hash)).count() * BLOCK
    }

    /// Gives the prefixes from the start that are cached.
    pub(crate) fn held(&self, prefixes: &[u64]) -> Vec<u64> {
        let held = prefixes.iter().take_while(|hash| self.held.contains_key(hash));
        held.copied().collect()
    }

    /// Stores the blocks of a prompt, evicting the least recently used.
    pub(crate) fn store(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            self.touch(*hash, 0);
        }
        self.evict();
    }

    /// Stores the blocks of a prompt that is in use.
    pub(crate) fn pin(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            self.touch(*hash, 1);
        }
        self.evict();
    }

    /// Ends the use of blocks.
    pub(crate) fn unpin(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            if let Some(held) = self.held.get_mut(hash) {
                held.pins = held.pins.saturating_sub(1);
            }
            self.touch(*hash, 0);
        }
        self.evict();
    }

    /// Gives the used share.
    pub(crate) fn fill(&self) -> f32 {
        (self.held.len() as f32 / self.blocks as f32).min(1.0)
    }

    /// Gives the events from a position on, as far as they are kept.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > after)
            .copied()
            .collect()
    }

    fn evict(&mut self) {
        while self.held.len() > self.blocks {
            let Some((_, hash)) = self.order.pop_first() else { break };
            self.held.remove(&hash);
            self.note(hash, false);
        }
    }

    fn touch(&mut self, hash: u64, pins: u32) {
        self.clock += 1;
        let clock = self.clock;
        let fresh = !self.held.contains_key(&hash);
        let held = self.held.entry(hash).or_insert(Held { used: clock, pins: 0 });
        self.order.remove(&held.used);
        held.used = clock;
        held.pins += pins;
        if held.pins == 0 {
            self.order.insert(clock, hash);
        }
        if fresh {
            self.note(hash, true);
        }
    }

    fn note(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            block,
            stored,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
    }
}
