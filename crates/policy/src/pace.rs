//! Prefill speed of engines, estimated from the times to first event.
//!
//! Engines do not announce their speed, and it differs by a factor of ten between models and machines. If it is assumed
//! twice too high, prompts queue up behind each other until all are late, and only half of the engines needed are
//! ordered.

/// Slot time of a request before any has ended, in milliseconds. It is that of a plain call, and short for a stream, so
/// that an unknown service does not look full.
const START_RUN_MS: f64 = 100.0;
/// Weight of the newest slot time in the moving average, which spans about thirty answers.
const RUN_SHARE: f64 = 0.03;
/// Initial rates, those of a slow engine. Too low a speed costs a few extra engines for some seconds; too high a speed
/// makes all answers late.
const START: EngineRates = EngineRates {
    base_ms: 15.0,
    token_ms: 0.025,
    attention_ms: 0.3,
    run_ms: START_RUN_MS,
};
/// Bounds of each rate as factors on the initial one; no working engine lies beyond them.
const RANGE: (f64, f64) = (1.0 / 64.0, 64.0);
/// Quantile of the times to first event that the estimate follows. Requests queued behind prompts of other entry hosts
/// are late by any amount, and in a busy hour they are more than half. The fastest tenth shows the engine's own time,
/// though some of these only found more of their prompt cached than expected.
const QUANTILE: f64 = 0.2;
/// Smallest and largest step of one answer. The largest corrects a wrong start within seconds; the smallest averages
/// over about thirty answers.
const STEP: (f64, f64) = (0.015, 0.3);
/// Factors on the step after an error in the same direction as the one before, and after one in the other direction.
const QUICKER: f64 = 1.5;
const SLOWER: f64 = 0.6;
/// Share by which an upstream's relative speed returns to 1 with each answer; otherwise it and the service's rates
/// could drift apart in opposite directions.
const RETURN: f64 = 0.02;
/// Bounds of an upstream's time as a factor on that of its service.
const OWN_RANGE: (f64, f64) = (0.25, 16.0);

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
        START
    }
}

impl EngineRates {
    /// Returns the predicted time of the prefill, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, reading: PrefillWork) -> f64 {
        reading.fresh as f64 * self.token_ms + reading.pairs() * self.attention_ms
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
    rising: Option<bool>,
}

impl Default for Step {
    fn default() -> Self {
        Self {
            size: STEP.1 / 2.0,
            rising: None,
        }
    }
}

impl Step {
    /// Returns the change to apply, as a logarithm, after an answer that took longer than expected or not.
    ///
    /// Only the direction of the error counts, not its size: an answer that took a hundred times as long changes the
    /// estimate no more than one that took slightly longer.
    fn take(&mut self, longer: bool) -> f64 {
        if let Some(rising) = self.rising.replace(longer) {
            let factor = if rising == longer { QUICKER } else { SLOWER };
            self.size = (self.size * factor).clamp(STEP.0, STEP.1);
        }
        let weight = if longer { QUANTILE } else { QUANTILE - 1.0 };
        2.0 * weight * self.size
    }
}

/// Estimated rates of a service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    rates: EngineRates,
    step: Step,
}

impl SpeedEstimate {
    /// Returns the current estimate.
    #[must_use]
    pub const fn rates(&self) -> EngineRates {
        self.rates
    }

    /// Updates the rates with the time to first event of a request that was not queued, at an engine with the relative
    /// time `own`.
    pub fn learn(&mut self, reading: PrefillWork, seen_ms: f64, own: f64) {
        let parts = [
            self.rates.base_ms,
            reading.fresh as f64 * self.rates.token_ms,
            reading.pairs() * self.rates.attention_ms,
        ];
        let expected: f64 = parts.iter().sum();
        let by = self.step.take(seen_ms > expected * own);
        // Each rate is changed in proportion to its part of the expected time.
        let moved = |rate: f64, part: f64, start: f64| {
            let next = rate * (by * part / expected).exp();
            next.clamp(start * RANGE.0, start * RANGE.1)
        };
        self.rates = EngineRates {
            base_ms: moved(self.rates.base_ms, parts[0], START.base_ms),
            token_ms: moved(self.rates.token_ms, parts[1], START.token_ms),
            attention_ms: moved(self.rates.attention_ms, parts[2], START.attention_ms),
            ..self.rates
        };
    }

    /// Updates the slot time with that of a request that ended after `ms` milliseconds.
    pub fn learn_run(&mut self, ms: f64) {
        let run_ms = self.rates.run_ms + RUN_SHARE * (ms - self.rates.run_ms);
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
                size: STEP.0,
                rising: None,
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

    /// Updates the factor with an answer that began after `seen_ms`, where the service's rates predict `kin_ms`.
    pub fn learn(&mut self, seen_ms: f64, kin_ms: f64) {
        let by = self.step.take(seen_ms > kin_ms * self.factor);
        let factor = self.factor.powf(1.0 - RETURN) * by.exp();
        self.factor = factor.clamp(OWN_RANGE.0, OWN_RANGE.1);
    }
}
