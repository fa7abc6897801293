//! Probability that the home of a prompt has cached its shared parts, although this entry host has not sent them there.
//!
//! All entry hosts agree on one upstream for each shared part, its home. With eighty entry hosts, each sends one in
//! eighty of the prompts that share a part, so its own history says little. Its own rate of such prompts estimates that
//! of the others. With the uptime of the upstream, this gives the probability that one of them has already had the part
//! prefilled there.

use std::collections::HashMap;
use std::time::Duration;

use crate::Tick;
use crate::place::Candidate;

/// Interval after which the counts are halved, so that a change of the traffic shows within a minute.
const HALVED: Duration = Duration::from_secs(30);
/// Most shared parts that are counted; any beyond that count as average.
const MAX_PARTS: usize = 8_192;

/// Prompts sent by this entry host, counted by their innermost shared part.
#[derive(Clone, Debug, Default)]
pub struct PartUsage {
    /// Time of the first prompt, moved forward whenever the counts are halved.
    since: Option<Tick>,
    halved: Tick,
    all: f64,
    parts: HashMap<u64, f64>,
}

impl PartUsage {
    /// Counts a prompt by the key of its innermost shared part.
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

    /// Returns the rate, per second, at which this entry host sends prompts with a part.
    ///
    /// One average sighting is added to the count, so that unknown and rare parts get about the average rate and
    /// frequent parts their own.
    fn per_s(&self, key: u64, now: Tick) -> f64 {
        let Some(since) = self.since.filter(|_| self.all > 0.0) else {
            return 0.0;
        };
        let span = now.since(since).as_secs_f64();
        let one_each = span * self.parts.len().max(1) as f64 / self.all;
        let count = self.parts.get(&key).copied().unwrap_or_default();
        (count + 1.0) / (span + one_each).max(f64::EPSILON)
    }

    /// Returns the probability that one of `others` entry hosts has sent a prompt with the part within `uptime`.
    #[must_use]
    pub fn cached_by_others(&self, key: u64, others: u32, there: Duration, now: Tick) -> f64 {
        let uses = self.per_s(key, now) * f64::from(others) * there.as_secs_f64();
        -(-uses).exp_m1()
    }

    /// Returns the time for which prompts have been counted.
    #[must_use]
    pub fn observed_span(&self, now: Tick) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// Raises the cached tokens of the home to the `shared` tokens of the prompt's shared parts, times the probability
/// `likely` that they are cached there.
///
/// With own prompts only, all entry hosts would leave a home that is busy for a moment, prefill the parts at many
/// upstreams and overload those. With everything assumed cached, prompts of 40,000 tokens would go to a home that has
/// just started as if there was nothing to prefill, and the next prompts would queue behind them.
pub fn assume_home_cached(options: &mut [Candidate], shared: u64, likely: impl Fn(&Candidate) -> f64) {
    if let Some(home) = options.iter_mut().max_by_key(|option| option.weight) {
        let believed = (shared as f64 * likely(home)) as u64;
        home.cached = home.cached.max(believed);
    }
}
