//! The prefix index is bounded, and cache events that are late, doubled or missing correct it.

use policy::Tick;
use policy::cache::{CacheEvent, CacheTrust, EventCursor};
use policy::prefix::{BLOCK_WORDS, Prefix, PrefixIndex};
use quickcheck::{Gen, QuickCheck};

fn words(count: usize, seed: usize) -> Vec<String> {
    (0..count).map(|at| format!("w{seed}-{at}")).collect()
}

fn prefix(words: &[String]) -> Prefix {
    Prefix::of(words.iter().map(String::as_str))
}

#[test]
fn grows_with_prompt() {
    let mut index = PrefixIndex::new(1_024);
    let mut text = words(100, 1);
    index.store(&prefix(&text), 7, Tick::default());
    text.extend(words(50, 2));
    let holders = index.holders(&prefix(&text));
    assert_eq!(holders.len(), 1);
    assert_eq!((holders[0].upstream, holders[0].words), (7, 96));
    assert_eq!(index.cached_words(&prefix(&text), &[6, 7]), [0, 96]);
    assert_eq!(index.cached_words(&prefix(&words(100, 3)), &[7]), [0]);
}

/// Hundreds of engines have cached the same system prompt, more than are recorded for one block. The one that has the
/// rest of the conversation must still be found.
#[test]
fn crowded_start() {
    let mut index = PrefixIndex::new(4_096);
    let start = words(5 * BLOCK_WORDS, 1);
    let mut session = start.clone();
    session.extend(words(20 * BLOCK_WORDS, 2));
    index.store(&prefix(&session), 1_000, Tick::default());
    for upstream in 0..100 {
        index.store(&prefix(&start), upstream, Tick::from_millis(u64::from(upstream)));
    }
    let holders = index.holders(&prefix(&session));
    assert_eq!(
        (holders[0].upstream, holders[0].words),
        (1_000, 25 * BLOCK_WORDS as u64)
    );
}

/// An endless sequence of prompts must not grow the index; the oldest blocks give way to the newest.
#[test]
fn bounded_memory() {
    let mut index = PrefixIndex::new(1_000);
    let bytes = index.bytes();
    assert_eq!(bytes, 1_024 * 32);
    for seed in 0..1_000 {
        index.store(&prefix(&words(160, seed)), seed as u32, Tick::from_millis(seed as u64));
    }
    assert_eq!(index.bytes(), bytes);
    let newest = prefix(&words(160, 999));
    assert_eq!(index.holders(&newest)[0].upstream, 999);
}

/// The network repeats and reorders the events of an engine. However the events of one block are spread over answers,
/// the last one published must decide.
#[test]
fn doubled_events() {
    fn holds(stored: Vec<bool>, read_ends: Vec<u8>, order: Vec<u16>) -> bool {
        let block = 5;
        let events: Vec<CacheEvent> = (1..)
            .zip(&stored)
            .map(|(sequence, stored)| CacheEvent {
                sequence,
                block,
                stored: *stored,
            })
            .collect();
        let mut cursor = EventCursor::default();
        let mut last_stored = None;
        let mut read = 0;
        for end in read_ends.iter().map(|end| usize::from(*end)).chain([usize::MAX]) {
            read = read.max(end.min(events.len()));
            let after = cursor.after() as usize;
            let mut answer: Vec<CacheEvent> = events[after.min(read)..read].to_vec();
            answer.extend(answer.clone());
            for (at, other) in order.iter().enumerate().take(answer.len()) {
                let other = usize::from(*other) % answer.len();
                answer.swap(at, other);
            }
            let applied = cursor.apply(&answer);
            if applied.lost > 0 || applied.restarted {
                return false;
            }
            last_stored = applied.fresh.last().map_or(last_stored, |event| Some(event.stored));
        }
        last_stored == stored.last().copied()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(500)
        .quickcheck(holds as fn(Vec<bool>, Vec<u8>, Vec<u16>) -> bool);
}

/// Engines keep a bounded number of events, so a slow reader finds a gap; and a restarted engine counts from the start
/// with an empty cache. If either went unnoticed, prompts would be sent where nothing of them is cached.
#[test]
fn gap_and_restart() {
    let event = |sequence| CacheEvent {
        sequence,
        block: sequence,
        stored: true,
    };
    let mut cursor = EventCursor::default();
    cursor.apply(&[event(1), event(2)]);
    let applied = cursor.apply(&[event(8), event(9), event(10)]);
    assert_eq!((applied.lost, applied.fresh.len(), applied.restarted), (5, 3, false));
    let mut trust = CacheTrust::default();
    trust.record_lost(applied.lost, applied.fresh.len());
    assert!(trust.share() < 1.0);
    assert_eq!(cursor.after(), 9);
    assert!(!cursor.apply(&[event(10)]).restarted);
    let applied = cursor.apply(&[]);
    assert!(applied.restarted);
    assert_eq!(cursor.apply(&[event(1)]).fresh.len(), 1);
}

/// An engine finds nothing of what is assumed to be cached. The trust must fall, and rise again with its hits.
#[test]
fn trust_adapts() {
    let mut trust = CacheTrust::default();
    for _ in 0..50 {
        trust.record_count(1_000, 0);
    }
    assert!(trust.share() < 0.2);
    for _ in 0..50 {
        trust.record_count(1_000, 1_000);
    }
    assert!(trust.share() > 0.95);
}
