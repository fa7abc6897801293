//! The figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::caller::{End, Told};
use super::check::Verdict;
use crate::workload::{Arrival, Promise};

/// Longest time that a histogram holds, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// What one policy gave; the names and units are those of the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The policy.
    pub policy: String,
    /// Requests that were answered whole and right.
    pub answers: u64,
    /// Answers of these within every target of their class.
    pub on_time: u64,
    /// Dollars for the hosts held, for 1,000 answers on time; absent when none was.
    pub cost_per_1k_on_time: Option<f64>,
    /// Tokens that were prefilled though an earlier run of the conversation had computed them.
    pub recomputed_tokens: u64,
    /// From the arrival to the first token.
    pub first_token_ms: Quantiles,
    /// Between two tokens.
    pub between_tokens_ms: Tail,
    /// Requests whose callers were told that they were not run.
    pub refused_not_run: u64,
    /// Accepted requests whose callers were told nothing.
    pub lost: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Requests that ran after their callers were told that they did not.
    pub run_after_refusal: u64,
}

/// Median and tail.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Half of them are lower.
    pub p50: f64,
    /// 95 in 100 are lower.
    pub p95: f64,
}

/// The tail alone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tail {
    /// 95 in 100 are lower.
    pub p95: f64,
}

impl Run {
    /// Works the figures out.
    #[must_use]
    pub fn new(
        policy: &str,
        arrivals: &[Arrival],
        told: &[Told],
        dollars: f64,
        recomputed: u64,
        found: &Verdict,
    ) -> Self {
        let whole: Vec<(&Arrival, &Told)> = arrivals
            .iter()
            .zip(told)
            .filter(|(_, told)| told.end == End::Whole)
            .collect();
        let on_time = whole
            .iter()
            .filter(|(arrival, told)| is_on_time(&arrival.promise, told))
            .count() as u64;
        let mut first = histogram();
        let mut between = histogram();
        for (_, told) in &whole {
            told.first.iter().for_each(|time| note(&mut first, *time));
            told.gaps.iter().for_each(|time| note(&mut between, *time));
        }
        Self {
            policy: policy.to_owned(),
            answers: whole.len() as u64,
            on_time,
            cost_per_1k_on_time: (on_time > 0).then(|| dollars / on_time as f64 * 1_000.0),
            recomputed_tokens: recomputed,
            first_token_ms: Quantiles {
                p50: quantile(&first, 0.5),
                p95: quantile(&first, 0.95),
            },
            between_tokens_ms: Tail {
                p95: quantile(&between, 0.95),
            },
            refused_not_run: told.iter().filter(|told| told.end == End::NotRun).count() as u64,
            lost: found.lost.len() as u64,
            doubled: found.doubled.len() as u64,
            run_after_refusal: found.after_refusal.len() as u64,
        }
    }
}

/// Tells whether an answer met every target: first token, whole answer, and 95 in 100 of its pauses between tokens.
#[must_use]
pub fn is_on_time(promise: &Promise, told: &Told) -> bool {
    let within = |limit: Option<Duration>, got: Option<Duration>| match (limit, got) {
        (Some(limit), Some(got)) => got <= limit,
        _ => true,
    };
    let mut gaps = told.gaps.clone();
    gaps.sort_unstable();
    let place = (gaps.len() * 95).div_ceil(100).saturating_sub(1);
    told.whole <= promise.whole
        && within(promise.first, told.first)
        && within(promise.between, gaps.get(place).copied())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("constant bounds are valid")
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn quantile(histogram: &Histogram<u64>, part: f64) -> f64 {
    histogram.value_at_quantile(part) as f64 / 1_000.0
}
