//! What to do with the streams of a host that will be reclaimed: let them finish, move them with their KV cache, or
//! replay them elsewhere.
//!
//! A stream goes on while its cache is copied, so a move hardly delays it. A replay takes the time to prefill
//! everything again. Copies from one host share its link one after the other, so there may be too little time for all
//! of them. Streams that would miss their target with a replay go first, then those that save the most tokens in the
//! remaining time.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use derive_more::Display;

/// Fewest tokens that are worth a copy: less than two blocks are prefilled faster than a copy is requested.
const MIN_COPY_TOKENS: u64 = 32;
/// Safety margin before the announced end, since clocks and notices are inexact.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);
/// Factor on the remaining time of a stream, since batches slow down when other streams of the host finish there too.
const SLOWDOWN: f64 = 1.25;

/// What to do with a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamAction {
    /// It ends before its host does.
    #[display("finish")]
    Finish,
    /// Its KV cache is copied, and it goes on from there.
    #[display("export")]
    Export,
    /// Its prompt and tokens are prefilled again elsewhere.
    #[display("replay")]
    Replay,
}

/// A stream on a host that leaves.
#[derive(Clone, Copy, Debug)]
pub struct Stream<S> {
    /// The engine that runs it; copies from one engine share its link.
    pub source: S,
    /// Time until the host is gone.
    pub time_left: Duration,
    /// Tokens of the prompt and the answer so far; a replay computes them again.
    pub tokens: u64,
    /// Most tokens that the answer still needs.
    pub remaining: u64,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Delay of the whole answer that its target still allows.
    pub slack: Duration,
    /// Failed copies of its cache so far.
    pub failed_copies: u32,
}

/// Measured times of copies and prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveRates {
    /// Time to export one token's cache; `None` if the engines cannot export or exports are disabled.
    pub export: Option<Duration>,
    /// Time to prefill one token.
    pub prefill: Duration,
}

/// Failed copies of a stream's cache after which it is replayed.
pub const MAX_COPY_FAILURES: u32 = 2;

/// Decides for all streams together; returns their indices with the action, in the order of execution.
#[must_use]
pub fn plan<S: Copy + Eq + Hash>(streams: &[Stream<S>], rates: &MoveRates) -> Vec<(usize, StreamAction)> {
    let (finish, mut rest): (Vec<usize>, Vec<usize>) =
        (0..streams.len()).partition(|index| ends_in_time(&streams[*index]));
    rest.sort_by(|a, b| {
        let (a, b) = (&streams[*a], &streams[*b]);
        let replay_fits = |stream: &Stream<S>| !misses_target(stream, rates);
        let time_per_token = |stream: &Stream<S>| stream.time_left.as_secs_f64() / stream.tokens.max(1) as f64;
        replay_fits(a)
            .cmp(&replay_fits(b))
            .then(time_per_token(a).total_cmp(&time_per_token(b)))
    });
    let mut link_times: HashMap<S, Duration> = HashMap::new();
    let mut decide = |index: usize| {
        let stream = &streams[index];
        let busy = link_times.entry(stream.source).or_default();
        let Some(copy) = copy_time(stream, rates) else {
            return (index, StreamAction::Replay);
        };
        if *busy + copy + SAFETY_MARGIN > stream.time_left {
            return (index, StreamAction::Replay);
        }
        *busy += copy;
        (index, StreamAction::Export)
    };
    let mut actions: Vec<(usize, StreamAction)> = rest.into_iter().map(&mut decide).collect();
    actions.extend(finish.into_iter().map(|index| (index, StreamAction::Finish)));
    actions
}

/// Returns whether a stream ends before its host does.
fn ends_in_time<S>(stream: &Stream<S>) -> bool {
    let steps = u32::try_from(stream.remaining).unwrap_or(u32::MAX);
    stream.token_interval.saturating_mul(steps).as_secs_f64() * SLOWDOWN + SAFETY_MARGIN.as_secs_f64()
        <= stream.time_left.as_secs_f64()
}

/// Returns whether a replay would make a stream miss its target.
fn misses_target<S>(stream: &Stream<S>, rates: &MoveRates) -> bool {
    rates.prefill.as_secs_f64() * stream.tokens as f64 > stream.slack.as_secs_f64()
}

/// Returns the time to copy a stream's cache; `None` if a copy is impossible or not worth it.
fn copy_time<S>(stream: &Stream<S>, rates: &MoveRates) -> Option<Duration> {
    let worthwhile = stream.tokens >= MIN_COPY_TOKENS && stream.failed_copies < MAX_COPY_FAILURES;
    let export = rates.export.filter(|_| worthwhile)?;
    Some(export.mul_f64(stream.tokens as f64))
}
