//! Momentary pace of upstreams: the factor by which work on an upstream's machine takes longer than usual right now.
//!
//! The load pattern is one in which some upstreams take a multiple of their usual time for a few hundred milliseconds,
//! then others. Learnt speeds follow over dozens of answers and are too slow for it. Upstreams report their factor in
//! responses, and hosts share the figures, so that a figure is some tenths of a second old when it is used. How much it
//! is still worth then depends on how fast figures change, which is learnt for each service.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::Tick;

/// Largest figure in hundredths; anything above is taken for a fault of the sender.
const MAX_HUNDREDTHS: u16 = 10_000;
/// Hundredths in a factor of one.
const HUNDREDTHS: f64 = 100.0;
/// Lifetimes of figures to choose from: times after which a figure's difference from the mean has shrunk by a factor of
/// e. A figure changes many times per second at most deployments that report one, and loads expire after 2.5 s.
const LIFETIMES: [Duration; 9] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
    Duration::from_millis(320),
    Duration::from_millis(640),
    Duration::from_millis(1_280),
    Duration::from_millis(2_560),
    Duration::from_millis(5_120),
];
/// Index of the lifetime that is assumed at first, near the time that a figure takes to reach all hosts.
const INITIAL_LIFETIME: usize = 4;
/// Pairs of figures from which the lifetime is learnt at least.
const MIN_PAIRS: f64 = 64.0;
/// Number of pairs after which an observation counts only a third: some seconds with a hundred upstreams.
const MEMORY_PAIRS: f64 = 4_096.0;
/// Shortest time between two figures that says anything about their change, half of the shortest lifetime.
const MIN_GAP: Duration = Duration::from_millis(10);
/// Longest time for which one pair of figures counts in the mean. Upstreams that are slow get few requests and report
/// rarely, so that the mean has to go by time and not by reports.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Weight of the assumption that figures are 1.0 on average, in seconds of figures.
const PRIOR_S: f64 = 1.0;
/// Largest factor that counts in what is learnt of a service, so that a single wrong figure does not decide it.
const MAX_LEARNT: f64 = 8.0;
/// Time by which a figure of another host has to be newer to replace a known one. Hosts take the age of a figure up to a
/// synchronisation interval of 100 ms before they send it, so that it looks newer than it is by half of that on average.
const SHARED_SLACK: Duration = Duration::from_millis(50);

/// Why a figure is not a pace.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BadPace {
    /// It is not a number.
    #[display("the pace is not a number")]
    NotNumber,
    /// It is zero or negative.
    #[display("the pace is not above zero")]
    NotPositive,
    /// It is above the largest pace.
    #[display("the pace is above {MAX_HUNDREDTHS}")]
    TooLarge,
}

/// A factor on the times of an upstream's machine, from 0.01 to 100; 1.0 is as usual.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{:.2}", self.factor())]
pub struct Pace(u16);

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(100);

    /// Creates a pace from hundredths; fractions are rounded, but never to zero.
    ///
    /// # Errors
    /// Fails when the figure is not a number, is not above zero, or is above 10,000.
    pub fn from_hundredths(figure: f64) -> Result<Self, BadPace> {
        if figure.is_nan() {
            Err(BadPace::NotNumber)
        } else if figure <= 0.0 {
            Err(BadPace::NotPositive)
        } else if figure > f64::from(MAX_HUNDREDTHS) {
            Err(BadPace::TooLarge)
        } else {
            Ok(Self((figure.round() as u16).max(1)))
        }
    }

    /// Returns the factor on times.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / HUNDREDTHS
    }

    /// Returns the factor in hundredths.
    #[must_use]
    pub fn hundredths(self) -> u32 {
        u32::from(self.0)
    }
}

/// A pace with the time at which it was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// The pace.
    pub pace: Pace,
    /// When it was measured, by this host's clock.
    pub at: Tick,
}

/// The factor that is expected of an upstream at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedPace {
    /// Factor on the learnt times.
    pub factor: f64,
    /// Age of the figure behind it; `None` without one.
    pub age: Option<Duration>,
}

impl Default for ExpectedPace {
    fn default() -> Self {
        Self { factor: 1.0, age: None }
    }
}

impl ExpectedPace {
    /// Returns the factor; `None` if the service reports no paces.
    #[must_use]
    pub fn known_factor(&self) -> Option<f64> {
        (*self != Self::default()).then_some(self.factor)
    }

    /// Returns the age of the figure in milliseconds; `None` without one.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        self.age.map(|age| age.as_millis() as u64)
    }
}

/// The newest figure of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct MomentPace {
    newest: Option<Figure>,
    /// Whether the newest figure came in a response to this host.
    is_own: bool,
    /// The figure that the trust has learnt from last.
    learnt: Option<Figure>,
}

impl MomentPace {
    /// Records a figure from a response to this host, and teaches the trust of the service.
    pub fn record_own(&mut self, figure: Figure, trust: &mut PaceTrust) {
        if self.newest.is_none_or(|newest| newest.at < figure.at) {
            self.replace(figure, true, trust);
        }
    }

    /// Records a figure that another host has shared, unless what is known is as new, and teaches the trust of the
    /// service.
    pub fn record_shared(&mut self, figure: Figure, trust: &mut PaceTrust) {
        if self.newest.is_none_or(|newest| newest.at + SHARED_SLACK < figure.at) {
            self.replace(figure, false, trust);
        }
    }

    /// Returns the newest figure.
    #[must_use]
    pub const fn newest(&self) -> Option<Figure> {
        self.newest
    }

    /// Returns the newest figure if it came in a response to this host.
    #[must_use]
    pub fn own(&self) -> Option<Figure> {
        self.newest.filter(|_| self.is_own)
    }

    fn replace(&mut self, figure: Figure, is_own: bool, trust: &mut PaceTrust) {
        self.newest = Some(figure);
        self.is_own = is_own;
        match self.learnt {
            None => trust.begin(),
            Some(before) if figure.at.since(before.at) < MIN_GAP => return,
            Some(before) => trust.learn(before, figure),
        }
        self.learnt = Some(figure);
    }
}

/// What is learnt of the figures of a service: their mean, and how fast a figure loses its value.
///
/// Each of several lifetimes predicts every figure from the one before it, and the lifetime with the smallest squared
/// error is used.
#[derive(Clone, Copy, Debug)]
pub struct PaceTrust {
    /// Whether any upstream has reported a figure.
    is_reported: bool,
    /// Sum of figures, weighted by time, and the sum of the weights.
    sum: f64,
    weight_s: f64,
    /// Squared errors of each lifetime.
    errors: [f64; LIFETIMES.len()],
    /// Number of pairs behind the errors.
    pairs: f64,
    lifetime: Duration,
}

impl Default for PaceTrust {
    fn default() -> Self {
        Self {
            is_reported: false,
            sum: PRIOR_S,
            weight_s: PRIOR_S,
            errors: [0.0; LIFETIMES.len()],
            pairs: 0.0,
            lifetime: LIFETIMES[INITIAL_LIFETIME],
        }
    }
}

impl PaceTrust {
    /// Returns the mean factor; 1.0 before any figure.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sum / self.weight_s
    }

    /// Returns the time after which a figure's difference from the mean has shrunk by a factor of e.
    #[must_use]
    pub const fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns whether any upstream of the service has reported a figure.
    #[must_use]
    pub const fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns the factor that is expected of an upstream now. Without any figure of the service it is exactly 1.0.
    ///
    /// A figure that seems to come from the future counts as measured now.
    #[must_use]
    pub fn expected(&self, moment: &MomentPace, now: Tick) -> ExpectedPace {
        if !self.is_reported {
            return ExpectedPace::default();
        }
        let mean = self.mean();
        let Some(figure) = moment.newest else {
            return ExpectedPace {
                factor: mean,
                age: None,
            };
        };
        let age = now.since(figure.at);
        let factor = mean + (figure.pace.factor() - mean) * value_left(age, self.lifetime);
        ExpectedPace { factor, age: Some(age) }
    }

    /// Returns the mean factor that is expected over a time that began when `factor` was expected.
    ///
    /// A stream runs for longer than most figures last.
    #[must_use]
    pub fn mean_over(&self, factor: f64, span: Duration) -> f64 {
        let lifetimes = span.as_secs_f64() / self.lifetime.as_secs_f64();
        if !self.is_reported || lifetimes < f64::EPSILON {
            return factor;
        }
        let mean = self.mean();
        mean + (factor - mean) * (1.0 - (-lifetimes).exp()) / lifetimes
    }

    const fn begin(&mut self) {
        self.is_reported = true;
    }

    /// Learns from two successive figures of an upstream.
    fn learn(&mut self, before: Figure, after: Figure) {
        let gap = after.at.since(before.at);
        let keep = 1.0 - 1.0 / MEMORY_PAIRS;
        let (first, second) = (learnt_factor(before.pace), learnt_factor(after.pace));
        let weight_s = gap.min(MAX_GAP).as_secs_f64();
        self.sum = self.sum * keep + first.midpoint(second) * weight_s;
        self.weight_s = self.weight_s * keep + weight_s;
        let mean = self.mean();
        let difference = first - mean;
        // A figure far from the mean would otherwise outweigh hundreds of others.
        let scale = 1.0 / (difference * difference).max(1.0);
        for (error, lifetime) in self.errors.iter_mut().zip(LIFETIMES) {
            let missed = second - mean - difference * value_left(gap, lifetime);
            *error = *error * keep + missed * missed * scale;
        }
        self.pairs = self.pairs * keep + 1.0;
        if self.pairs >= MIN_PAIRS {
            self.lifetime = self.best_lifetime();
        }
    }

    fn best_lifetime(&self) -> Duration {
        let by_error = |(a, _): &(&f64, Duration), (b, _): &(&f64, Duration)| a.total_cmp(b);
        let best = self.errors.iter().zip(LIFETIMES).min_by(by_error);
        best.map_or(self.lifetime, |(_, lifetime)| lifetime)
    }
}

/// Returns the share of a figure's difference from the mean that is left at an age.
fn value_left(age: Duration, lifetime: Duration) -> f64 {
    (-age.as_secs_f64() / lifetime.as_secs_f64()).exp()
}

fn learnt_factor(pace: Pace) -> f64 {
    pace.factor().min(MAX_LEARNT)
}
