//! Engines of which some are slowed for a while.

use policy::pace::moment::Pace;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Which engines are slowed, drawn anew after each interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct EnginePaces {
    /// Share of the engines that are slowed at a time.
    pub share: f64,
    /// Factor on the times of a slowed engine.
    pub slowed: f64,
    /// Interval between two draws in milliseconds.
    pub redrawn_ms: f64,
    /// Whether engines report their pace.
    pub is_reported: bool,
}

impl EnginePaces {
    /// Returns the factor on the times of an engine.
    pub fn factor(&self, engine: usize, now_ms: f64) -> f64 {
        if self.share <= 0.0 {
            return 1.0;
        }
        let epoch = (now_ms / self.redrawn_ms) as u64;
        let mut rng = StdRng::seed_from_u64(epoch * 100_003 + engine as u64);
        if rng.random_bool(self.share) { self.slowed } else { 1.0 }
    }

    /// Returns the pace that an engine reports.
    pub fn reported(&self, engine: usize, now_ms: f64) -> Option<Pace> {
        let hundredths = self.factor(engine, now_ms) * 100.0;
        let pace = Pace::from_hundredths(hundredths).expect("the factor is a pace");
        self.is_reported.then_some(pace)
    }
}
