//! One request under way at an upstream, and what is learned from it.

use std::time::Duration;

use contract::UpstreamId;
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use policy::prefix::Prefix;
use policy::route::Ablation;

use super::Fleet;
use super::index::Row;

/// One request under way at an upstream; it ends when dropped.
#[derive(Debug)]
pub struct Visit<'a> {
    fleet: &'a Fleet,
    row: Option<Row>,
    started: Tick,
    seen: Mutex<Seen>,
}

/// What was seen of a visit so far.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    first_at: Option<Tick>,
    /// Words that own dispatches and events said were cached.
    held: u64,
    /// Words that had to be prefilled, as far as known.
    fresh: u64,
    /// When the last token came, how many pauses there were, and how many of them were longer than promised.
    token_at: Option<Tick>,
    pauses: u32,
    late: u32,
}

impl Fleet {
    /// Notes that a request goes to an upstream.
    pub fn visit(&self, upstream: &UpstreamId, now: Tick) -> Visit<'_> {
        let row = self.index.load().rows.get(upstream).cloned();
        if let Some(row) = &row {
            let mut state = row.member.state.lock();
            state.load.sent(now);
            state.sent = Some(now);
        }
        Visit {
            fleet: self,
            row,
            started: now,
            seen: Mutex::default(),
        }
    }
}

impl Visit<'_> {
    /// Notes the first token of an answer: by now the engine holds the prompt.
    pub fn first_token(&self, prefix: &Prefix, cached: u64, now: Tick) {
        let Some(row) = &self.row else { return };
        let mut history = self.fleet.history.lock();
        let held = history.cached_words(prefix, &[row.member.number]);
        history.store(prefix, row.member.number, now);
        drop(history);
        let seen = Seen {
            first_at: Some(now),
            held: held.first().copied().unwrap_or_default(),
            fresh: prefix.words().saturating_sub(cached),
            ..Seen::default()
        };
        *self.seen.lock() = seen;
        row.rates
            .lock()
            .record_first_token(seen.fresh, millis(now.since(self.started)));
    }

    /// Notes a token, and the longest pause before it that was promised.
    pub fn token(&self, promised: Option<Duration>, now: Tick) {
        let mut seen = self.seen.lock();
        if let (Some(before), Some(promised)) = (seen.token_at.replace(now), promised) {
            seen.pauses += 1;
            seen.late += u32::from(now.since(before) > promised);
        }
    }

    /// Notes an answer that is whole: the engine holds the prompt with the answer.
    pub fn whole(&self, prefix: &Prefix, now: Tick) {
        if let Some(row) = &self.row {
            self.fleet.history.lock().store(prefix, row.member.number, now);
        }
    }

    /// Takes in the engine's own count of the words of a prompt that were cached before.
    pub fn counted(&self, prefix: &Prefix, believed: u64, cached: u64) {
        counter!("gentian_cached_tokens_total", "who" => "believed").increment(believed);
        counter!("gentian_cached_tokens_total", "who" => "counted").increment(cached);
        let Some(row) = &self.row else { return };
        let held = self.seen.lock().held;
        if let Some(words) = self.fleet.home_words(row, prefix) {
            row.rates.lock().record_cached(cached as f64 / words as f64);
        }
        // Judged is what was remembered, not what was left of it after the last judgement.
        if self.fleet.rules.with(Ablation::CacheEvents) {
            row.member.state.lock().trust.record_count(held, cached);
        }
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        let now = self.fleet.clock.now();
        let Some(row) = &self.row else { return };
        row.member.state.lock().load.ended(now);
        let seen = *self.seen.lock();
        let mut rates = row.rates.lock();
        // The wait in the engine is no part of what a request keeps a slot for.
        let held = match seen.first_at {
            Some(first) => seen.fresh as f64 * rates.prefill_token_ms + millis(now.since(first)),
            None => millis(now.since(self.started)),
        };
        rates.record_hold(held);
        rates.record_pauses(seen.pauses, seen.late);
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
