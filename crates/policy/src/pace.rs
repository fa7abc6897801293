//! Prefill speed of engines, estimated from the times to first event.
//!
//! Engines do not announce their speed, and it differs by a factor of ten between models and machines. If it is assumed
//! twice too high, prompts queue up behind each other until all are late, and only half of the engines needed are
//! ordered.

use crate::home_speed::UsualTime;

pub mod moment;

/// Slot time of a request before any has ended, in milliseconds. It is that of a plain call, and short for a stream, so
/// that an unknown service does not look full.
const INITIAL_RUN_MS: f64 = 100.0;
/// Weight of the newest slot time in the moving average, which spans about thirty answers.
const RUN_WEIGHT: f64 = 0.03;
/// Initial rates, those of a slow engine. Too low a speed costs a few extra engines for some seconds; too high a speed
/// makes all answers late.
const INITIAL_RATES: EngineRates = EngineRates {
    base_ms: 15.0,
    token_ms: 0.025,
    attention_ms: 0.3,
    run_ms: INITIAL_RUN_MS,
};
/// Bounds of each rate as factors on the initial one; no working engine lies beyond them.
const RATE_RANGE: (f64, f64) = (1.0 / 64.0, 64.0);
/// Quantile of the times to first event that the estimate follows. Requests queued behind prompts of other entry hosts
/// are late by any amount, and in a busy hour they are more than half. The fastest tenth shows the engine's own time,
/// though some of these only found more of their prompt cached than expected.
const QUANTILE: f64 = 0.2;
/// Smallest and largest step of one answer. The largest corrects a wrong start within seconds; the smallest averages
/// over about thirty answers.
const STEP_RANGE: (f64, f64) = (0.015, 0.3);
/// Factor on the step after an error in the same direction as the one before.
const STEP_GROWTH: f64 = 1.5;
/// Factor on the step after an error in the other direction.
const STEP_SHRINK: f64 = 0.6;
/// Share by which an upstream's relative speed returns to 1 with each answer; otherwise it and the service's rates
/// could drift apart in opposite directions.
const RETURN_SHARE: f64 = 0.02;
/// Bounds of an upstream's time as a factor on that of its service.
const FACTOR_RANGE: (f64, f64) = (0.25, 16.0);

/// Prefill work of a prompt at an engine that has cached its beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Prompt tokens that are cached.
    pub cached: u64,
    /// Prompt tokens that are not cached.
    pub fresh: u64,
}

impl PrefillWork {
    /// Returns the token pairs to compute attention for, in millions: each prefilled token attends to all tokens before
    /// it.
    fn pairs(&self) -> f64 {
        let (cached, fresh) = (self.cached as f64, self.fresh as f64);
        fresh * (cached + fresh / 2.0) / 1e6
    }
}

/// Times of an engine, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Time to first event of an empty prompt.
    pub base_ms: f64,
    /// Time for each prefilled token, without attention.
    pub token_ms: f64,
    /// Time for a million pairs of tokens in attention.
    pub attention_ms: f64,
    /// Time from sending a request to the end of its answer.
    pub run_ms: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        INITIAL_RATES
    }
}

impl EngineRates {
    /// Returns the predicted time of the prefill, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prefill: PrefillWork) -> f64 {
        prefill.fresh as f64 * self.token_ms + prefill.pairs() * self.attention_ms
    }

    /// Returns the rates of an engine that takes `factor` times as long.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            base_ms: self.base_ms * factor,
            token_ms: self.token_ms * factor,
            attention_ms: self.attention_ms * factor,
            run_ms: self.run_ms * factor,
        }
    }
}

/// A step size that grows while errors have the same direction and shrinks when the direction alternates.
#[derive(Clone, Copy, Debug)]
struct Step {
    size: f64,
    last_longer: Option<bool>,
}

impl Default for Step {
    fn default() -> Self {
        Self {
            size: STEP_RANGE.1 / 2.0,
            last_longer: None,
        }
    }
}

impl Step {
    /// Returns the change to apply, as a logarithm, after an answer that took longer than expected or not.
    ///
    /// Only the direction of the error counts, not its size: an answer that took a hundred times as long changes the
    /// estimate no more than one that took slightly longer.
    fn take(&mut self, longer: bool) -> f64 {
        if let Some(last_longer) = self.last_longer.replace(longer) {
            let factor = if last_longer == longer {
                STEP_GROWTH
            } else {
                STEP_SHRINK
            };
            self.size = (self.size * factor).clamp(STEP_RANGE.0, STEP_RANGE.1);
        }
        let weight = if longer { QUANTILE } else { QUANTILE - 1.0 };
        2.0 * weight * self.size
    }
}

/// Estimated rates of a service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    rates: EngineRates,
    /// The usual answer time, relative to which the lasting speeds of upstreams are reported.
    pub usual: UsualTime,
    step: Step,
}

impl SpeedEstimate {
    /// Returns the current estimate.
    #[must_use]
    pub const fn rates(&self) -> EngineRates {
        self.rates
    }

    /// Updates the rates with the time to first event of a request that was not queued, at an engine that takes
    /// `relative_time` times as long as the service average.
    pub fn learn(&mut self, prefill: PrefillWork, elapsed_ms: f64, relative_time: f64) {
        let parts = [
            self.rates.base_ms,
            prefill.fresh as f64 * self.rates.token_ms,
            prefill.pairs() * self.rates.attention_ms,
        ];
        let expected: f64 = parts.iter().sum();
        let change = self.step.take(elapsed_ms > expected * relative_time);
        // Each rate is changed in proportion to its part of the expected time.
        let adjusted = |rate: f64, part: f64, initial: f64| {
            let next = rate * (change * part / expected).exp();
            next.clamp(initial * RATE_RANGE.0, initial * RATE_RANGE.1)
        };
        self.rates = EngineRates {
            base_ms: adjusted(self.rates.base_ms, parts[0], INITIAL_RATES.base_ms),
            token_ms: adjusted(self.rates.token_ms, parts[1], INITIAL_RATES.token_ms),
            attention_ms: adjusted(self.rates.attention_ms, parts[2], INITIAL_RATES.attention_ms),
            ..self.rates
        };
    }

    /// Updates the slot time with that of a request that ended after `ms` milliseconds.
    pub fn learn_run(&mut self, ms: f64) {
        let run_ms = self.rates.run_ms + RUN_WEIGHT * (ms - self.rates.run_ms);
        self.rates.run_ms = run_ms.max(f64::MIN_POSITIVE);
    }
}

/// The time that one upstream takes, relative to that of its service.
#[derive(Clone, Copy, Debug)]
pub struct RelativeSpeed {
    factor: f64,
    step: Step,
}

impl Default for RelativeSpeed {
    fn default() -> Self {
        Self {
            factor: 1.0,
            step: Step {
                size: STEP_RANGE.0,
                last_longer: None,
            },
        }
    }
}

impl RelativeSpeed {
    /// Returns the factor on the service's times; above 1 for a slower upstream.
    #[must_use]
    pub const fn factor(&self) -> f64 {
        self.factor
    }

    /// Updates the factor with an answer that began after `elapsed_ms`, where the service's rates predict
    /// `expected_ms`.
    pub fn learn(&mut self, elapsed_ms: f64, expected_ms: f64) {
        self.learn_paced(elapsed_ms, expected_ms, 1.0);
    }

    /// Updates the factor as [`RelativeSpeed::learn`] does, with an answer for which a momentary factor of `pace` was
    /// expected.
    ///
    /// The bounds give way by that factor, so that the lasting factor can make up for an upstream whose reports are far
    /// off.
    pub fn learn_paced(&mut self, elapsed_ms: f64, expected_ms: f64, pace: f64) {
        let change = self.step.take(elapsed_ms / pace > expected_ms * self.factor);
        let factor = self.factor.powf(1.0 - RETURN_SHARE) * change.exp();
        self.factor = factor.clamp(FACTOR_RANGE.0 / pace.max(1.0), FACTOR_RANGE.1 / pace.min(1.0));
    }
}
