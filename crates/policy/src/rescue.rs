//! What becomes of the streams on a host that will be taken away: finished there, moved with their KV cache, or
//! replayed elsewhere.
//!
//! A stream goes on where it is while its cache is copied, so a move costs its caller almost nothing, and a replay costs
//! the time to prefill everything again. The link of a host carries one copy after the other, so there may be too little
//! time for all: streams that would miss their target by a replay come first, then those that save the most tokens for
//! the time that is left.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use derive_more::Display;

/// Fewest tokens that are worth a copy; less than two blocks are prefilled faster than they are asked for.
const FEWEST: u64 = 32;
/// Time before the announced end that is not counted on; clocks and notices are not exact.
const SAFETY: Duration = Duration::from_millis(200);
/// Factor on the time that a stream needs to its end, since batches slow down when others finish there as well.
const SLOWER: f64 = 1.25;

/// What becomes of a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamAction {
    /// It ends before its host does.
    #[display("finish")]
    Finish,
    /// Its KV cache is copied and it goes on from there.
    #[display("export")]
    Export,
    /// Prompt and tokens are prefilled again elsewhere.
    #[display("replay")]
    Replay,
}

/// A stream on a host that leaves.
#[derive(Clone, Copy, Debug)]
pub struct Stream<S> {
    /// The engine that it runs on; copies from one engine queue for its link.
    pub source: S,
    /// Time until the host is gone.
    pub time_left: Duration,
    /// Tokens of prompt and answer so far; a replay computes them again.
    pub tokens: u64,
    /// Tokens that the answer still needs at most.
    pub remaining: u64,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Time by which the whole answer may be delayed and still be on target.
    pub slack: Duration,
    /// Copies of its cache that failed.
    pub failed_copies: u32,
}

/// How fast tokens move and are computed, as measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveRates {
    /// Time to export one token's cache; `None` when engines can't or it's switched off.
    pub export: Option<Duration>,
    /// Time to prefill one token.
    pub prefill: Duration,
}

/// Copies of a stream's cache that may fail before it's replayed.
pub const MAX_COPY_FAILURES: u32 = 2;

/// Decides on all streams together; gives them in the order in which they are to be dealt with.
#[must_use]
pub fn plan<S: Copy + Eq + Hash>(streams: &[Stream<S>], rates: &MoveRates) -> Vec<(usize, StreamAction)> {
    let (finish, mut rest): (Vec<usize>, Vec<usize>) = (0..streams.len()).partition(|at| fits(&streams[*at]));
    rest.sort_by(|a, b| {
        let (a, b) = (&streams[*a], &streams[*b]);
        let late = |stream: &Stream<S>| !misses(stream, rates);
        let per_token = |stream: &Stream<S>| stream.time_left.as_secs_f64() / stream.tokens.max(1) as f64;
        late(a).cmp(&late(b)).then(per_token(a).total_cmp(&per_token(b)))
    });
    let mut links: HashMap<S, Duration> = HashMap::new();
    let mut decide = |at: usize| {
        let stream = &streams[at];
        let busy = links.entry(stream.source).or_default();
        let Some(copy) = copy_time(stream, rates) else {
            return (at, StreamAction::Replay);
        };
        if *busy + copy + SAFETY > stream.time_left {
            return (at, StreamAction::Replay);
        }
        *busy += copy;
        (at, StreamAction::Export)
    };
    let mut steps: Vec<(usize, StreamAction)> = rest.into_iter().map(&mut decide).collect();
    steps.extend(finish.into_iter().map(|at| (at, StreamAction::Finish)));
    steps
}

/// Tells whether a stream ends before its host does.
fn fits<S>(stream: &Stream<S>) -> bool {
    let steps = u32::try_from(stream.remaining).unwrap_or(u32::MAX);
    stream.token_interval.saturating_mul(steps).as_secs_f64() * SLOWER + SAFETY.as_secs_f64()
        <= stream.time_left.as_secs_f64()
}

/// Tells whether a replay would make a stream miss its target.
fn misses<S>(stream: &Stream<S>, rates: &MoveRates) -> bool {
    rates.prefill.as_secs_f64() * stream.tokens as f64 > stream.slack.as_secs_f64()
}

/// Gives the time to copy a stream's cache, if that can be done and is worth it.
fn copy_time<S>(stream: &Stream<S>, rates: &MoveRates) -> Option<Duration> {
    let worth = stream.tokens >= FEWEST && stream.failed_copies < MAX_COPY_FAILURES;
    let export = rates.export.filter(|_| worth)?;
    Some(export.mul_f64(stream.tokens as f64))
}
