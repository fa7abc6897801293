//! Lasting speeds of upstreams, as far as the homes of prompt parts follow them.
//!
//! Addressed load: engines of which some take 2.4 times as long as others for as long as they run. With homes shared out
//! evenly, prompts queue at the slow ones. One entry host sees an engine answer every few seconds at most, too rarely to
//! know its speed, and hosts that judge it differently prefill shared parts at different homes. So hosts report their
//! answer times to the leader, which tells all of them the same step.

/// Answers after which an upstream has a step. The queue before an answer varies more than speeds differ.
const MIN_ANSWERS: f64 = 30.0;
/// Answers at which the sum is halved, so that a changed speed shows.
const MAX_ANSWERS: f64 = 400.0;
/// Distance of the measured speed from the step in use, in steps, beyond which another step is taken. With three quarters
/// of a step, the noise of 30 answers moved homes between equal engines.
const MAX_STEP_DISTANCE: f64 = 1.0;
/// Highest step in either direction, the most that answers bounded by [`MAX_LOG`] can show.
const MAX_STEP: f64 = 3.0;
/// Bound of a single answer's logarithm to base 2, relative to the usual answer of the service. Answers that waited in a
/// queue take many times as long, and would hide the speed.
const MAX_LOG: f64 = 1.5;
/// Weight of the newest answer in the usual one, which spans about fifty answers; earlier ones count as in a mean.
const USUAL_WEIGHT: f64 = 0.02;
/// Answers after which the usual time is known well enough to relate others to it.
const MIN_USUAL: u32 = 8;

/// The usual answer time of a service at this host, relative to what its rates predict. Rates follow the fastest answers,
/// so most take longer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualTime {
    log: f64,
    answers: u32,
}

impl UsualTime {
    /// Returns the logarithm to base 2 of an answer's time relative to the usual one, and follows it; `None` if it is not
    /// a number or too few were seen.
    fn relate(&mut self, elapsed_ms: f64, expected_ms: f64) -> Option<f64> {
        let log = (elapsed_ms / expected_ms).log2();
        if !log.is_finite() {
            return None;
        }
        self.answers = self.answers.saturating_add(1);
        let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.answers));
        let known = self.answers > MIN_USUAL;
        let difference = log - self.log;
        let relative = if known {
            difference.clamp(-MAX_LOG, MAX_LOG)
        } else {
            difference
        };
        self.log += weight * relative;
        known.then_some(relative)
    }
}

/// Answer times of an upstream relative to the usual ones of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerTimes {
    /// Sum of the logarithms to base 2.
    logs: f64,
    answers: f64,
}

impl AnswerTimes {
    /// Records an answer that began after `elapsed_ms`.
    pub fn record(&mut self, usual: &mut UsualTime, elapsed_ms: f64, expected_ms: f64) {
        if let Some(log) = usual.relate(elapsed_ms, expected_ms) {
            self.logs += log;
            self.answers += 1.0;
        }
    }

    /// Takes what was recorded since the last call: the sum of the logarithms to base 2 in hundredths, and the number of
    /// answers. `None` without any.
    pub fn take(&mut self) -> Option<(i32, u32)> {
        let AnswerTimes { logs, answers } = std::mem::take(self);
        (answers > 0.0).then_some(((logs * 100.0) as i32, answers as u32))
    }

    /// Adds what another host took. A sum that its number of answers can't have is cut off.
    pub fn add(&mut self, (hundredths, answers): (i32, u32)) {
        let answers = f64::from(answers).min(MAX_ANSWERS);
        let bound = answers * MAX_LOG;
        self.logs += (f64::from(hundredths) / 100.0).clamp(-bound, bound);
        self.answers += answers;
        if self.answers > MAX_ANSWERS {
            self.logs /= 2.0;
            self.answers /= 2.0;
        }
    }

    /// Returns whether there are enough answers for a step.
    #[must_use]
    pub fn are_enough(&self) -> bool {
        self.answers >= MIN_ANSWERS
    }

    /// Returns the mean in powers of the square root of 2; `None` before there are enough answers.
    fn mean_step(&self) -> Option<f64> {
        self.are_enough().then(|| 2.0 * self.logs / self.answers)
    }
}

/// The lasting time of an upstream relative to its service, in whole powers of the square root of 2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedStep(i8);

impl SpeedStep {
    /// Creates a step; one beyond the range counts as its end.
    #[must_use]
    pub fn new(step: i8) -> Self {
        Self(step.clamp(-MAX_STEP as i8, MAX_STEP as i8))
    }

    /// Returns the power of the square root of 2; above 0 for a slower upstream.
    #[must_use]
    pub const fn get(self) -> i8 {
        self.0
    }

    /// Returns the step for what was measured: this one if the difference is small.
    #[must_use]
    pub fn follow(self, times: &AnswerTimes) -> Self {
        let mean = times.mean_step();
        let far = mean.filter(|mean| (mean - f64::from(self.0)).abs() > MAX_STEP_DISTANCE);
        far.map_or(self, |mean| Self(mean.round().clamp(-MAX_STEP, MAX_STEP) as i8))
    }

    /// Returns the weight of an upstream in weighted rendezvous hashing, from the `hash` of prompt part and upstream. The
    /// share of an upstream in the homes is inverse to its time.
    ///
    /// With the hash as `u` in 0 to 1, the weight is `u` to the power of the time. At the usual speed it is the hash, and
    /// among upstreams of equal steps the order of the hashes stays.
    #[must_use]
    pub fn weigh(self, hash: u64) -> u64 {
        if self.0 == 0 {
            return hash;
        }
        let time = (f64::from(self.0) / 2.0).exp2();
        ((hash as f64 / u64::MAX as f64).powf(time) * u64::MAX as f64) as u64
    }
}
