//! Tracks one request at an upstream and feeds what is measured back into the routing state.

use std::time::Duration;

use contract::UpstreamId;
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use policy::prefix::Prefix;
use policy::route::Ablation;

use super::Upstreams;
use super::index::Upstream;

/// One request in flight at an upstream; dropping it ends the request.
#[derive(Debug)]
pub struct InFlight<'a> {
    upstreams: &'a Upstreams,
    upstream: Option<Upstream>,
    started: Tick,
    progress: Mutex<Progress>,
}

/// What was measured of a request so far.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    first_token: Option<Tick>,
    /// Prompt words that this host's own requests and the cache events showed as cached.
    held_words: u64,
    /// Prompt words that had to be prefilled, as far as known.
    prefill_words: u64,
    /// When the last token came.
    last_token: Option<Tick>,
    gaps: u32,
    late_gaps: u32,
}

impl Upstreams {
    /// Records that a request is sent to an upstream.
    pub fn start_request(&self, id: &UpstreamId, now: Tick) -> InFlight<'_> {
        let upstream = self.index.load().upstreams.get(id).cloned();
        if let Some(upstream) = &upstream {
            let mut stats = upstream.state.stats.lock();
            stats.load.sent(now);
            stats.last_request = Some(now);
        }
        InFlight {
            upstreams: self,
            upstream,
            started: now,
            progress: Mutex::default(),
        }
    }
}

impl InFlight<'_> {
    /// Records the first token of an answer; from now on the engine's cache holds the prompt.
    pub fn record_first_token(&self, prefix: &Prefix, cached: u64, now: Tick) {
        let Some(upstream) = &self.upstream else { return };
        let mut history = self.upstreams.history.lock();
        let held = history.cached_words(prefix, &[upstream.state.number]);
        history.store(prefix, upstream.state.number, now);
        drop(history);
        let progress = Progress {
            first_token: Some(now),
            held_words: held.first().copied().unwrap_or_default(),
            prefill_words: prefix.words().saturating_sub(cached),
            ..Progress::default()
        };
        *self.progress.lock() = progress;
        upstream
            .rates
            .lock()
            .record_first_token(progress.prefill_words, millis(now.since(self.started)));
    }

    /// Records a token; a gap before it longer than `promised`, the contract's target, counts as late.
    pub fn record_token(&self, promised: Option<Duration>, now: Tick) {
        let mut progress = self.progress.lock();
        if let (Some(previous), Some(promised)) = (progress.last_token.replace(now), promised) {
            progress.gaps += 1;
            progress.late_gaps += u32::from(now.since(previous) > promised);
        }
    }

    /// Records a complete answer: the engine's cache holds the prompt with the answer.
    pub fn record_complete(&self, prefix: &Prefix, now: Tick) {
        if let Some(upstream) = &self.upstream {
            self.upstreams.history.lock().store(prefix, upstream.state.number, now);
        }
    }

    /// Compares the number of cached words that routing expected with the number that the engine reports.
    pub fn record_cached(&self, prefix: &Prefix, expected: u64, cached: u64) {
        counter!("gentian_cached_tokens_total", "who" => "believed").increment(expected);
        counter!("gentian_cached_tokens_total", "who" => "counted").increment(cached);
        let Some(upstream) = &self.upstream else { return };
        let held = self.progress.lock().held_words;
        if let Some(words) = self.upstreams.home_cached_words(upstream, prefix) {
            upstream.rates.lock().record_cached(cached as f64 / words as f64);
        }
        // Trust is judged by the words that the history held, before the current trust scaled them down.
        if self.upstreams.rules.with(Ablation::CacheEvents) {
            upstream.state.stats.lock().trust.record_count(held, cached);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.upstreams.clock.now();
        let Some(upstream) = &self.upstream else { return };
        upstream.state.stats.lock().load.ended(now);
        let progress = *self.progress.lock();
        let mut rates = upstream.rates.lock();
        // The queueing time in the engine does not count as time for which the request holds a slot.
        let held = match progress.first_token {
            Some(first) => progress.prefill_words as f64 * rates.prefill_token_ms + millis(now.since(first)),
            None => millis(now.since(self.started)),
        };
        rates.record_hold(held);
        rates.record_pauses(progress.gaps, progress.late_gaps);
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
