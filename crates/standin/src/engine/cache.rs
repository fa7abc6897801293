//! The prefix cache: blocks of tokens, each identified by the hash of all tokens up to its end.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;
/// Events kept for readers; readers see a gap in the sequence numbers where older ones were dropped.
const MAX_EVENTS: usize = 4_096;

/// A block that was stored or evicted.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Sequence number, from 1 without gaps over all events of the cache.
    pub(crate) sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub(crate) block: u64,
    /// Stored when true, evicted when false.
    pub(crate) stored: bool,
}

/// Use of a cached block.
#[derive(Debug)]
struct CachedBlock {
    last_used: u64,
    pins: u32,
}

/// LRU cache of blocks; blocks of running requests are pinned and can't be evicted.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    /// Logical time, advanced by every use of a block.
    clock: u64,
    cached: HashMap<u64, CachedBlock>,
    /// Unpinned blocks by their last use.
    lru: BTreeMap<u64, u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(tokens: usize) -> Self {
        Self {
            capacity_blocks: (tokens / BLOCK_TOKENS).max(1),
            clock: 0,
            cached: HashMap::new(),
            lru: BTreeMap::new(),
            events: Vec::new(),
            sequence: 0,
        }
    }

    /// Returns the hashes of all prefixes that end with a full block, shortest first.
    pub(crate) fn prefixes(words: &[&str]) -> Vec<u64> {
        let mut hash = 0;
        let chain = words.chunks_exact(BLOCK_TOKENS).map(|block| {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            hash
        });
        chain.collect()
    }

    /// Returns the length of the longest cached prefix, in tokens.
    pub(crate) fn cached_tokens(&self, prefixes: &[u64]) -> usize {
        prefixes
            .iter()
            .take_while(|hash| self.cached.contains_key(hash))
            .count()
            * BLOCK_TOKENS
    }

    /// Returns the prefixes up to the first that is not cached.
    pub(crate) fn cached_prefixes(&self, prefixes: &[u64]) -> Vec<u64> {
        let cached = prefixes.iter().take_while(|hash| self.cached.contains_key(hash));
        cached.copied().collect()
    }

    /// Stores the blocks of a prompt and evicts the least recently used.
    pub(crate) fn store(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            self.touch(*hash, 0);
        }
        self.evict();
    }

    /// Stores the blocks of a prompt and pins them.
    pub(crate) fn pin(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            self.touch(*hash, 1);
        }
        self.evict();
    }

    /// Releases one pin of each block.
    pub(crate) fn unpin(&mut self, prefixes: &[u64]) {
        for hash in prefixes {
            if let Some(cached) = self.cached.get_mut(hash) {
                cached.pins = cached.pins.saturating_sub(1);
            }
            self.touch(*hash, 0);
        }
        self.evict();
    }

    /// Returns the used share of the capacity, from 0 to 1.
    pub(crate) fn used_share(&self) -> f32 {
        (self.cached.len() as f32 / self.capacity_blocks as f32).min(1.0)
    }

    /// Returns the events with a sequence number above `after` that are still kept.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > after)
            .copied()
            .collect()
    }

    fn evict(&mut self) {
        while self.cached.len() > self.capacity_blocks {
            let Some((_, hash)) = self.lru.pop_first() else { break };
            self.cached.remove(&hash);
            self.log_event(hash, false);
        }
    }

    fn touch(&mut self, hash: u64, pins: u32) {
        self.clock += 1;
        let clock = self.clock;
        let is_new = !self.cached.contains_key(&hash);
        let cached = self.cached.entry(hash).or_insert(CachedBlock {
            last_used: clock,
            pins: 0,
        });
        self.lru.remove(&cached.last_used);
        cached.last_used = clock;
        cached.pins += pins;
        if cached.pins == 0 {
            self.lru.insert(clock, hash);
        }
        if is_new {
            self.log_event(hash, true);
        }
    }

    fn log_event(&mut self, block: u64, stored: bool) {
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
