//! Whether an upstream fetches cached prompt parts from another one instead of prefilling them.
//!
//! When homes of prompts are lost or move, their parts are missing where the next prompts go. Prefilling all of them
//! again at once lets queues grow, which spreads the prompts further; copying a part takes a fraction of that time.

use crate::pace::PrefillWork;
use crate::place::Candidate;

/// Time that a fetch has to save, in milliseconds. The source may lack the parts, and the copy then costs a round trip.
const MIN_GAIN_MS: f64 = 10.0;
/// Longest copy, as a share of the reading time that it replaces. Copies take up links and memory of both upstreams, so
/// that one which is hardly quicker than reading is not worth it.
const MAX_COPY_SHARE: f64 = 0.33;
/// Queued work of a source, in milliseconds, from which nothing is fetched from it: it may be silent.
const MAX_SOURCE_BACKLOG_MS: f64 = 500.0;
/// Factor on the copy time of a token between data centres, whose links have half the bandwidth.
pub const REMOTE_COPY_FACTOR: f64 = 2.0;

/// A fetch of prompt parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FetchPlan {
    /// Index of the upstream to fetch from.
    pub source: usize,
    /// Work that is left after the fetch.
    pub prefill: PrefillWork,
    /// Time of the fetch and of that work, in milliseconds.
    pub ms: f64,
}

/// Plans a fetch for a prompt of `tokens` tokens that goes to `target`; `None` if none saves enough time. `copy_ms` is
/// the time to copy the KV cache of one token.
#[must_use]
pub fn plan_fetch(candidates: &[Candidate], target: &Candidate, tokens: u64, copy_ms: f64) -> Option<FetchPlan> {
    let sources = candidates
        .iter()
        .filter(|source| source.index != target.index && source.backlog_ms < MAX_SOURCE_BACKLOG_MS);
    let source = sources.max_by_key(|source| (source.cached, source.weight))?;
    // What other hosts have sent to the target is a guess; a fetch of what it has copies nothing.
    let fetched = source.cached.saturating_sub(target.sent);
    let cached = target.cached.max(target.sent + fetched);
    let prefill = PrefillWork {
        cached,
        fresh: tokens.saturating_sub(cached),
    };
    let copy_ms = (cached - target.sent) as f64 * copy_ms * REMOTE_COPY_FACTOR;
    let read_ms = target.rates.prefill_ms(prefill);
    let without = PrefillWork {
        cached: target.sent,
        fresh: tokens.saturating_sub(target.sent),
    };
    let saved_ms = target.rates.prefill_ms(without) - read_ms;
    let worthwhile = saved_ms - copy_ms >= MIN_GAIN_MS && copy_ms <= saved_ms * MAX_COPY_SHARE;
    worthwhile.then_some(FetchPlan {
        source: source.index,
        prefill,
        ms: copy_ms + read_ms,
    })
}
