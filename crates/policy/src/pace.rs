//! How fast engines read prompts, learnt from the answers that they give.
//!
//! Nobody tells an entry host the speed of an engine, and it differs by a factor of ten between models and machines. Where it
//! is taken for twice what it is, prompts are sent behind one another until all of them are late, and half of the engines that
//! the load needs are ordered.

/// Milliseconds that a request keeps a slot until something has been learnt: a plain call, and little of a stream, so that a
/// service that nobody knows is not taken for full.
const START_RUN_MS: f64 = 100.0;
/// Part by which one answer moves the time that requests keep a slot: an average over some thirty.
const RUN_SHARE: f64 = 0.03;
/// Rates until something has been learnt: those of a slow engine. Too low a speed costs some engines for a few seconds, too high
/// a one makes everything late.
const START: EngineRates = EngineRates {
    base_ms: 15.0,
    token_ms: 0.025,
    attention_ms: 0.3,
    run_ms: START_RUN_MS,
};
/// Least and most of each rate, as factors on the start; beyond them lie no engines but faults.
const RANGE: (f64, f64) = (1.0 / 64.0, 64.0);
/// Part of the answers that begin sooner than learnt. Requests that meet prompts which this entry host doesn't know of are
/// late by any amount, and make up more than the half of a busy hour; the quickest tenth shows what the engine takes itself, and
/// some of these only found more in its cache than was known.
const QUANTILE: f64 = 0.2;
/// Least and most by which one answer moves a rate: the most to leave a wrong start within seconds, the least to average over
/// some thirty answers.
const STEP: (f64, f64) = (0.015, 0.3);
/// Factors on the step after an answer that errs to the same side as the one before, and after one that does not.
const QUICKER: f64 = 1.5;
const SLOWER: f64 = 0.6;
/// Part by which an upstream's own speed returns to that of its kin with each answer, so that both can't drift apart.
const RETURN: f64 = 0.02;
/// Least and most of an upstream's time as a factor on that of its kin.
const OWN_RANGE: (f64, f64) = (0.25, 16.0);

/// What a prompt asks of an engine that holds its beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Tokens that are cached.
    pub cached: u64,
    /// Tokens that are to be read.
    pub fresh: u64,
}

impl PrefillWork {
    /// Gives the pairs of tokens that look at each other, in millions: each token that is read looks at all before it.
    fn pairs(&self) -> f64 {
        let (cached, fresh) = (self.cached as f64, self.fresh as f64);
        fresh * (cached + fresh / 2.0) / 1e6
    }
}

/// Milliseconds that an engine takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// For the first event of a prompt without a token.
    pub base_ms: f64,
    /// For a token of a prompt.
    pub token_ms: f64,
    /// For a million pairs of tokens.
    pub attention_ms: f64,
    /// For a whole request, from when it is sent to the end of its answer.
    pub run_ms: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        START
    }
}

impl EngineRates {
    /// Gives the milliseconds in which an engine reads the rest of a prompt.
    #[must_use]
    pub fn prefill_ms(&self, reading: PrefillWork) -> f64 {
        reading.fresh as f64 * self.token_ms + reading.pairs() * self.attention_ms
    }

    /// Gives the rates of an engine that takes so many times as long.
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

/// A step that grows while answers err to one side, and shrinks where they err to both.
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
    /// Gives by how much to move, as a logarithm, after an answer that took longer than expected or not.
    ///
    /// Only the side counts, not the distance, so that an answer which took a hundred times as long moves no more than one
    /// which took a little longer.
    fn take(&mut self, longer: bool) -> f64 {
        if let Some(rising) = self.rising.replace(longer) {
            let factor = if rising == longer { QUICKER } else { SLOWER };
            self.size = (self.size * factor).clamp(STEP.0, STEP.1);
        }
        let weight = if longer { QUANTILE } else { QUANTILE - 1.0 };
        2.0 * weight * self.size
    }
}

/// The rates of a service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    rates: EngineRates,
    step: Step,
}

impl SpeedEstimate {
    /// Gives what has been learnt.
    #[must_use]
    pub const fn rates(&self) -> EngineRates {
        self.rates
    }

    /// Learns from an answer that began after so many milliseconds at an engine of such a relative time, with nothing known to
    /// go before it.
    pub fn learn(&mut self, reading: PrefillWork, seen_ms: f64, own: f64) {
        let parts = [
            self.rates.base_ms,
            reading.fresh as f64 * self.rates.token_ms,
            reading.pairs() * self.rates.attention_ms,
        ];
        let expected: f64 = parts.iter().sum();
        let by = self.step.take(seen_ms > expected * own);
        // Each rate answers for the part of the time that it accounts for.
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

    /// Learns how long a request kept its slot.
    pub fn learn_run(&mut self, ms: f64) {
        let run_ms = self.rates.run_ms + RUN_SHARE * (ms - self.rates.run_ms);
        self.rates.run_ms = run_ms.max(f64::MIN_POSITIVE);
    }
}

/// The time that one upstream takes, relative to its kin.
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
    /// Gives the factor on the time of its kin.
    #[must_use]
    pub const fn factor(&self) -> f64 {
        self.factor
    }

    /// Learns from an answer that began after so many milliseconds, where its kin would have taken so many.
    pub fn learn(&mut self, seen_ms: f64, kin_ms: f64) {
        let by = self.step.take(seen_ms > kin_ms * self.factor);
        let factor = self.factor.powf(1.0 - RETURN) * by.exp();
        self.factor = factor.clamp(OWN_RANGE.0, OWN_RANGE.1);
    }
}
