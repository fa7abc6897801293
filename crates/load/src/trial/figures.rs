//! Figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::caller::{CallResult, Outcome};
use super::check::Verdict;
use crate::workload::{Arrival, LatencyTargets};

/// Upper bound of the latency histograms; longer times count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Figures of a run with one policy; field names and units are those of the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the policy, as in `--policy`.
    pub policy: String,
    /// Requests with a complete and correct answer.
    pub answers: u64,
    /// Answers that met every latency target of their class.
    pub on_time: u64,
    /// Cost of the hosts in dollars for each 1,000 answers on time; absent when no answer was.
    pub cost_per_1k_on_time: Option<f64>,
    /// Prefilled tokens that an earlier run of the conversation had already computed.
    pub recomputed_tokens: u64,
    /// Time from the scheduled arrival to the first token.
    pub first_token_ms: Quantiles,
    /// Gaps between successive tokens.
    pub between_tokens_ms: Tail,
    /// Requests whose callers were told that they did not run.
    pub refused_not_run: u64,
    /// Accepted requests that were neither answered correctly nor reported as of unknown outcome.
    pub lost: u64,
    /// Idempotency keys that ran more than once.
    pub doubled: u64,
    /// Requests that ran although their callers were told that they did not.
    pub run_after_refusal: u64,
}

/// Median and 95th percentile.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
}

/// 95th percentile alone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tail {
    /// 95th percentile.
    pub p95: f64,
}

impl Run {
    /// Computes the figures; `results` are in the order of the arrivals.
    #[must_use]
    pub fn new(
        policy: &str,
        arrivals: &[Arrival],
        results: &[CallResult],
        dollars: f64,
        recomputed: u64,
        verdict: &Verdict,
    ) -> Self {
        let complete: Vec<(&Arrival, &CallResult)> = arrivals
            .iter()
            .zip(results)
            .filter(|(_, result)| result.outcome == Outcome::Complete)
            .collect();
        let on_time = complete
            .iter()
            .filter(|(arrival, result)| is_on_time(&arrival.targets, result))
            .count() as u64;
        let mut first = histogram();
        let mut token_gap = histogram();
        for (_, result) in &complete {
            result.first_token.iter().for_each(|time| record(&mut first, *time));
            result.token_gaps.iter().for_each(|time| record(&mut token_gap, *time));
        }
        Self {
            policy: policy.to_owned(),
            answers: complete.len() as u64,
            on_time,
            cost_per_1k_on_time: (on_time > 0).then(|| dollars / on_time as f64 * 1_000.0),
            recomputed_tokens: recomputed,
            first_token_ms: Quantiles {
                p50: quantile(&first, 0.5),
                p95: quantile(&first, 0.95),
            },
            between_tokens_ms: Tail {
                p95: quantile(&token_gap, 0.95),
            },
            refused_not_run: results
                .iter()
                .filter(|result| result.outcome == Outcome::NotRun)
                .count() as u64,
            lost: verdict.lost.len() as u64,
            doubled: verdict.doubled.len() as u64,
            run_after_refusal: verdict.after_refusal.len() as u64,
        }
    }
}

/// Returns whether an answer met every target: first token, complete answer, and 95th percentile of its token gaps.
#[must_use]
pub fn is_on_time(targets: &LatencyTargets, result: &CallResult) -> bool {
    let is_within = |limit: Option<Duration>, measured: Option<Duration>| match (limit, measured) {
        (Some(limit), Some(measured)) => measured <= limit,
        _ => true,
    };
    let mut gaps = result.token_gaps.clone();
    gaps.sort_unstable();
    let rank = (gaps.len() * 95).div_ceil(100).saturating_sub(1);
    result.total <= targets.total
        && is_within(targets.first_token, result.first_token)
        && is_within(targets.token_gap, gaps.get(rank).copied())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn quantile(histogram: &Histogram<u64>, fraction: f64) -> f64 {
    histogram.value_at_quantile(fraction) as f64 / 1_000.0
}
