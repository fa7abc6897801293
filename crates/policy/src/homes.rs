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
const HALVING_INTERVAL: Duration = Duration::from_secs(30);
/// Most shared parts that are counted; any beyond that count as average.
const MAX_COUNTED_PARTS: usize = 8_192;
/// Most former homes that are assumed to hold a part.
const MAX_FORMER_HOMES: usize = 3;

/// Prompts sent by this entry host, counted by their innermost shared part.
#[derive(Clone, Debug, Default)]
pub struct PartUsage {
    /// Time of the first prompt, moved forward whenever the counts are halved.
    started: Option<Tick>,
    last_halved: Tick,
    total: f64,
    counts: HashMap<u64, f64>,
}

impl PartUsage {
    /// Counts a prompt by the key of its innermost shared part.
    pub fn record(&mut self, key: u64, now: Tick) {
        if self.started.is_none() {
            self.started = Some(now);
            self.last_halved = now;
        }
        if now.since(self.last_halved) >= HALVING_INTERVAL {
            self.halve(now);
        }
        self.total += 1.0;
        if self.counts.len() < MAX_COUNTED_PARTS || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_default() += 1.0;
        }
    }

    fn halve(&mut self, now: Tick) {
        self.last_halved = now;
        let Some(started) = self.started else {
            return;
        };
        self.started = Some(started + now.since(started) / 2);
        self.total /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= 0.5
        });
    }

    /// Returns the rate, per second, at which this entry host sends prompts with a part.
    ///
    /// One more prompt, and the mean interval between prompts of one part, are added to the count and its time span. So
    /// unknown and rare parts get about the average rate, and frequent parts their own.
    fn per_s(&self, key: u64, now: Tick) -> f64 {
        let Some(started) = self.started.filter(|_| self.total > 0.0) else {
            return 0.0;
        };
        let span = now.since(started).as_secs_f64();
        let mean_interval = span * self.counts.len().max(1) as f64 / self.total;
        let count = self.counts.get(&key).copied().unwrap_or_default();
        (count + 1.0) / (span + mean_interval).max(f64::EPSILON)
    }

    /// Returns the probability that one of `others` entry hosts has sent a prompt with the part within `uptime`.
    #[must_use]
    pub fn cached_by_others(&self, key: u64, others: u32, uptime: Duration, now: Tick) -> f64 {
        let expected_uses = self.per_s(key, now) * f64::from(others) * uptime.as_secs_f64();
        -(-expected_uses).exp_m1()
    }

    /// Returns the time for which prompts have been counted.
    #[must_use]
    pub fn observed_span(&self, now: Tick) -> Duration {
        self.started.map_or(Duration::ZERO, |started| now.since(started))
    }
}

/// Raises the cached tokens of the home to the `shared` tokens of the prompt's shared parts, times the `probability`
/// that they are cached there.
///
/// With own prompts only, all entry hosts would leave a home that is busy for a moment, prefill the parts at many
/// upstreams and overload those. With everything assumed cached, prompts of 40,000 tokens would go to a home that has
/// just started as if there was nothing to prefill, and the next prompts would queue behind them.
pub fn assume_home_cached(candidates: &mut [Candidate], shared: u64, probability: impl Fn(&Candidate) -> f64) {
    if let Some(home) = candidates.iter_mut().max_by_key(|candidate| candidate.weight) {
        let expected = (shared as f64 * probability(home)) as u64;
        home.cached = home.cached.max(expected);
    }
}

/// Raises the cached tokens of former homes: upstreams that were the home until others with a higher weight were listed.
/// `listed_for` returns how long an upstream has been listed, `probability` that of the parts being cached at a home of
/// that long.
///
/// A new upstream takes over a share of all homes at once. Without this, all their parts would be prefilled again there,
/// although the former homes still hold them.
pub fn assume_former_homes_cached(
    candidates: &mut [Candidate],
    shared: u64,
    listed_for: impl Fn(&Candidate) -> Duration,
    probability: impl Fn(Duration) -> f64,
) {
    candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.weight));
    let Some((home, others)) = candidates.split_first_mut() else {
        return;
    };
    let mut newest = listed_for(home);
    let mut found = 0;
    for candidate in others {
        let listed = listed_for(candidate);
        if listed <= newest {
            continue;
        }
        let expected = (shared as f64 * probability(listed.saturating_sub(newest))) as u64;
        candidate.cached = candidate.cached.max(expected);
        newest = listed;
        found += 1;
        if found == MAX_FORMER_HOMES {
            return;
        }
    }
}
