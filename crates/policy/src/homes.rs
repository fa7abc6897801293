//! Whether the home of a prompt holds its shared parts, although this entry host has not sent them there.
//!
//! All entry hosts agree on one upstream for each shared part, its home. With eighty of them each has sent one in eighty of
//! the prompts that share it, so that what it remembers says little. How often it sends such prompts itself tells how often
//! the others do, and with the time for which the upstream has been there, how likely one of them has had the part read.

use std::collections::HashMap;
use std::time::Duration;

use crate::Tick;
use crate::place::Candidate;

/// Time after which what was counted weighs half, so that a change of what callers ask for shows within a minute.
const HALVED: Duration = Duration::from_secs(30);
/// Shared parts that are counted; beyond it those that are used least are taken for average.
const MAX_PARTS: usize = 8_192;

/// How often this entry host sends prompts by their innermost shared part.
#[derive(Clone, Debug, Default)]
pub struct PartUsage {
    /// When the first was sent, moved on as counts are halved.
    since: Option<Tick>,
    halved: Tick,
    all: f64,
    parts: HashMap<u64, f64>,
}

impl PartUsage {
    /// Notes a prompt by the key of its innermost shared part.
    pub fn record(&mut self, key: u64, now: Tick) {
        if self.since.is_none() {
            self.since = Some(now);
            self.halved = now;
        }
        if now.since(self.halved) >= HALVED {
            self.halve(now);
        }
        self.all += 1.0;
        if self.parts.len() < MAX_PARTS || self.parts.contains_key(&key) {
            *self.parts.entry(key).or_default() += 1.0;
        }
    }

    fn halve(&mut self, now: Tick) {
        self.halved = now;
        let Some(since) = self.since else {
            return;
        };
        self.since = Some(since + now.since(since) / 2);
        self.all /= 2.0;
        self.parts.retain(|_, count| {
            *count /= 2.0;
            *count >= 0.5
        });
    }

    /// Gives how often this entry host sends prompts of a part, a second.
    ///
    /// A part that was seen once or never is taken for one of average use; with more sights its own count tells.
    fn per_s(&self, key: u64, now: Tick) -> f64 {
        let Some(since) = self.since.filter(|_| self.all > 0.0) else {
            return 0.0;
        };
        let span = now.since(since).as_secs_f64();
        let one_each = span * self.parts.len().max(1) as f64 / self.all;
        let count = self.parts.get(&key).copied().unwrap_or_default();
        (count + 1.0) / (span + one_each).max(f64::EPSILON)
    }

    /// Gives the probability that one of so many other entry hosts has had a part read in a time.
    #[must_use]
    pub fn cached_by_others(&self, key: u64, others: u32, there: Duration, now: Tick) -> f64 {
        let uses = self.per_s(key, now) * f64::from(others) * there.as_secs_f64();
        -(-uses).exp_m1()
    }

    /// Gives for how long prompts have been sent.
    #[must_use]
    pub fn observed_span(&self, now: Tick) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// Takes the home of a prompt to hold its shared parts, so many tokens, as far as that is likely.
///
/// If only own prompts counted, all entry hosts would leave a home that is busy for a moment, read the parts at many upstreams,
/// and make these busy. If homes counted as holding everything at all times, prompts of forty thousand tokens would be sent to
/// one that has just started as if there was nothing to read, and the next ones behind them.
pub fn assume_home_cached(options: &mut [Candidate], shared: u64, likely: impl Fn(&Candidate) -> f64) {
    if let Some(home) = options.iter_mut().max_by_key(|option| option.weight) {
        let believed = (shared as f64 * likely(home)) as u64;
        home.cached = home.cached.max(believed);
    }
}
