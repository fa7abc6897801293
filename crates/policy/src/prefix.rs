//! Index of the prompt prefixes that each upstream is assumed to have cached, in bounded memory.
//!
//! A prompt is divided into blocks of [`BLOCK_WORDS`] words. The hash of a block covers the prompt up to the end of the
//! block, as in the cache events of the engines: XXH3 (64 bits) of the block's words joined by single spaces, seeded
//! with the hash of the previous block, or zero for the first.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Tick;

/// Words in one block.
pub const BLOCK_WORDS: usize = 16;
/// Most blocks of one prompt that are indexed; words beyond them count as not cached.
pub const MAX_BLOCKS: usize = 4_096;
/// Most upstreams recorded for one block.
const MAX_HOLDERS: usize = 4;
/// Entries in one set of the set-associative index; a new block replaces the least recently used entry of its set.
const WAYS: usize = 8;
/// Marks an unused holder of an entry.
const NO_HOLDER: u32 = u32::MAX;

/// The hashes of a prompt's complete blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    blocks: Vec<u64>,
    words: u64,
    session: Option<Session>,
}

/// The conversation that a prompt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Session {
    /// Identifies the conversation; equal for all of its turns and at every entry host.
    pub key: u64,
    /// Words at the start of the prompt that an engine already had in an earlier turn; zero for the first turn.
    pub earlier_words: u64,
}

impl Prefix {
    /// Hashes the words of a prompt.
    #[must_use]
    pub fn of<'a>(words: impl IntoIterator<Item = &'a str>) -> Self {
        let mut prefix = Self::default();
        let mut block = String::new();
        let mut hash = 0;
        for word in words {
            prefix.words += 1;
            if !block.is_empty() {
                block.push(' ');
            }
            block.push_str(word);
            if prefix.words.is_multiple_of(BLOCK_WORDS as u64) {
                hash = xxh3_64_with_seed(block.as_bytes(), hash);
                block.clear();
                if prefix.blocks.len() < MAX_BLOCKS {
                    prefix.blocks.push(hash);
                }
            }
        }
        prefix
    }

    /// Sets the conversation that the prompt belongs to.
    #[must_use]
    pub fn with_session(self, session: Session) -> Self {
        let session = Some(session);
        Self { session, ..self }
    }

    /// Returns the conversation; `None` if it is not known.
    #[must_use]
    pub const fn session(&self) -> Option<Session> {
        self.session
    }

    /// Returns the number of words, those of an incomplete last block included.
    #[must_use]
    pub const fn words(&self) -> u64 {
        self.words
    }

    /// Returns the hashes of the complete blocks, at most [`MAX_BLOCKS`].
    #[must_use]
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }

    /// Returns a hash that prompts with the same beginning share; all prompts shorter than a block have the same.
    ///
    /// It covers two blocks if there are as many, so that conversations that share only their first words are spread.
    #[must_use]
    pub fn leading_hash(&self) -> u64 {
        self.blocks.get(1).or(self.blocks.first()).copied().unwrap_or_default()
    }
}

/// An upstream with the length of the prefix that it is assumed to have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Number of the upstream.
    pub upstream: u32,
    /// Words at the start of the prompt that it has cached.
    pub words: u64,
}

/// The blocks that upstreams are assumed to have cached.
///
/// The memory is allocated once: 32 bytes for each block.
#[derive(Debug)]
pub struct PrefixIndex {
    sets: Vec<[Entry; WAYS]>,
}

/// Entry of one block, with its holders by last use, newest first.
#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    holders: [u32; MAX_HOLDERS],
    used_ms: u32,
    /// Whether a holder was dropped because there were too many, so that absence from `holders` proves nothing.
    crowded: bool,
}

const EMPTY_ENTRY: Entry = Entry {
    hash: 0,
    holders: [NO_HOLDER; MAX_HOLDERS],
    used_ms: 0,
    crowded: false,
};

impl PrefixIndex {
    /// Creates an empty index for about `blocks` blocks; the number of sets is rounded up to a power of two.
    #[must_use]
    pub fn new(blocks: usize) -> Self {
        let sets = blocks.div_ceil(WAYS).next_power_of_two();
        Self {
            sets: vec![[EMPTY_ENTRY; WAYS]; sets],
        }
    }

    /// Returns the allocated memory in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.sets.len() * size_of::<[Entry; WAYS]>()
    }

    /// Records that an upstream has cached every block of a prefix.
    pub fn store(&mut self, prefix: &Prefix, upstream: u32, now: Tick) {
        for hash in &prefix.blocks {
            self.store_block(*hash, upstream, now);
        }
    }

    /// Records that an upstream has cached a block.
    pub fn store_block(&mut self, hash: u64, upstream: u32, now: Tick) {
        let set = self.set(hash);
        let index = set.iter().position(|entry| entry.is(hash)).unwrap_or_else(|| {
            let oldest = (0..WAYS).min_by_key(|index| (set[*index].is_used(), set[*index].used_ms));
            let index = oldest.unwrap_or_default();
            set[index] = Entry { hash, ..EMPTY_ENTRY };
            index
        });
        set[index].add(upstream, now);
    }

    /// Records that an upstream has evicted a block.
    pub fn evict_block(&mut self, hash: u64, upstream: u32) {
        if let Some(entry) = self.set(hash).iter_mut().find(|entry| entry.is(hash)) {
            entry.remove(upstream);
        }
    }

    /// Removes an upstream, for example after a restart with an empty cache.
    pub fn forget(&mut self, upstream: u32) {
        for entry in self.sets.iter_mut().flatten() {
            entry.remove(upstream);
        }
    }

    /// Returns the upstreams that have cached the longest prefixes of a prompt, longest first.
    #[must_use]
    pub fn holders(&self, prefix: &Prefix) -> Vec<PrefixHolder> {
        let mut found: Vec<PrefixHolder> = Vec::with_capacity(MAX_HOLDERS);
        let known: Vec<&Entry> = prefix.blocks.iter().map_while(|hash| self.find(*hash)).collect();
        // The last blocks are the rarest and best identify the upstreams that served the conversation.
        for entry in known.iter().rev() {
            for upstream in entry.holders.iter().filter(|holder| **holder != NO_HOLDER) {
                if found.len() < 2 * MAX_HOLDERS && found.iter().all(|other| other.upstream != *upstream) {
                    let words = cached_blocks(&known, *upstream) * BLOCK_WORDS as u64;
                    found.push(PrefixHolder {
                        upstream: *upstream,
                        words,
                    });
                }
            }
            if found.len() >= 2 * MAX_HOLDERS {
                break;
            }
        }
        found.sort_by_key(|holder| std::cmp::Reverse(holder.words));
        found.truncate(MAX_HOLDERS);
        found
    }

    /// Returns the words at the start of a prompt that each of `upstreams` is assumed to have cached, in their order.
    #[must_use]
    pub fn cached_words(&self, prefix: &Prefix, upstreams: &[u32]) -> Vec<u64> {
        let known: Vec<&Entry> = prefix.blocks.iter().map_while(|hash| self.find(*hash)).collect();
        let words = upstreams
            .iter()
            .map(|number| cached_blocks(&known, *number) * BLOCK_WORDS as u64);
        words.collect()
    }

    fn find(&self, hash: u64) -> Option<&Entry> {
        let set = &self.sets[self.position(hash)];
        set.iter().find(|entry| entry.is(hash))
    }

    fn set(&mut self, hash: u64) -> &mut [Entry; WAYS] {
        let index = self.position(hash);
        &mut self.sets[index]
    }

    const fn position(&self, hash: u64) -> usize {
        (hash as usize) & (self.sets.len() - 1)
    }
}

/// Counts the leading blocks that an upstream has cached.
///
/// A crowded block does not end the count, since the upstream may have been dropped from it. The count ends after the
/// last block that names the upstream as a holder.
fn cached_blocks(known: &[&Entry], upstream: u32) -> u64 {
    let mut confirmed = 0;
    for (index, entry) in known.iter().enumerate() {
        if entry.holders.contains(&upstream) {
            confirmed = index as u64 + 1;
        } else if !entry.crowded {
            break;
        }
    }
    confirmed
}

impl Entry {
    fn is(&self, hash: u64) -> bool {
        self.hash == hash && self.is_used()
    }

    fn is_used(&self) -> bool {
        self.holders[0] != NO_HOLDER
    }

    fn add(&mut self, upstream: u32, now: Tick) {
        let known = self.holders.iter().position(|holder| *holder == upstream);
        let last = known.unwrap_or(MAX_HOLDERS - 1);
        self.crowded |= known.is_none() && self.holders[last] != NO_HOLDER;
        self.holders.copy_within(..last, 1);
        self.holders[0] = upstream;
        self.used_ms = now.0.as_millis() as u32;
    }

    fn remove(&mut self, upstream: u32) {
        if let Some(index) = self.holders.iter().position(|holder| *holder == upstream) {
            self.holders.copy_within(index + 1.., index);
            self.holders[MAX_HOLDERS - 1] = NO_HOLDER;
        }
    }
}
