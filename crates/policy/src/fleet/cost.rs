//! What a number of upstreams costs: the answers that come late with it.

/// Spread of the load among the upstreams of a service, as the standard deviation of its logarithm: some are homes of parts that
/// are asked for often, and prompts differ in length a hundredfold.
const UNEVEN: f64 = 0.35;
/// Points and weights at which that spread is averaged.
const POINTS: [(f64, f64); 5] = [(-1.8, 0.06), (-0.9, 0.24), (0.0, 0.4), (0.9, 0.24), (1.8, 0.06)];
/// Counts that are tried at most for one choice; with more upstreams the choice is as fine as a part of that many.
const TRIED: u32 = 32;

/// What the load asks of the upstreams of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Upstreams that the reading of prompts keeps busy: levels that are as likely as each other.
    pub busy: Vec<f64>,
    /// Upstreams whose slots running requests fill.
    pub filled: f64,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Time that an answer may take to begin, as a multiple of the mean time for which one prompt waits behind another that
    /// is being read.
    pub patience: f64,
}

/// Tells the cost of late answers.
#[derive(Debug)]
pub(super) struct Lateness<'a> {
    demand: &'a Demand,
    worth: f64,
}

impl<'a> Lateness<'a> {
    pub(super) const fn new(demand: &'a Demand, worth: f64) -> Self {
        Self { demand, worth }
    }

    /// Gives what late answers cost in a second with so many upstreams.
    pub(super) fn cost(&self, upstreams: f64) -> f64 {
        let levels = self.demand.busy.len().max(1) as f64;
        let cost = |busy: &f64| {
            let size = busy.max(self.demand.filled);
            let late = average(|uneven| self.late(busy * uneven, self.demand.filled * uneven, upstreams));
            // What can't be read at all holds up what comes next besides.
            let unread = (busy - upstreams).max(0.0);
            self.worth * (size * late + unread)
        };
        self.demand.busy.iter().map(cost).sum::<f64>() / levels
    }

    /// Gives the part of the answers that are late.
    fn late(&self, busy: f64, filled: f64, upstreams: f64) -> f64 {
        let waits = behind(busy / upstreams.max(f64::EPSILON), self.demand.patience);
        // With many slots few are taken by chance when most are free; with few, often.
        let power = f64::from(self.demand.slots.max(1)).sqrt();
        let no_slot = (filled / upstreams.max(f64::EPSILON)).min(1.0).powf(power);
        waits.max(no_slot)
    }

    /// Gives the expected cost over states, each with its weight and the upstreams that are left, with so many more.
    pub(super) fn expected(&self, states: &[(f64, u32)], more: u32) -> f64 {
        let cost = |(weight, left): &(f64, u32)| weight * self.cost(f64::from(left + more));
        states.iter().map(cost).sum()
    }
}

/// Gives the part of prompts that wait too long behind others at an upstream which reads for so much of its time.
///
/// A prompt finds the upstream reading with that probability, and waits the longer the less of its time is free.
fn behind(reading: f64, patience: f64) -> f64 {
    if reading < 1.0 {
        reading * (-(1.0 - reading) * patience).exp()
    } else {
        1.0
    }
}

fn average(of: impl Fn(f64) -> f64) -> f64 {
    POINTS.iter().map(|(at, weight)| weight * of((at * UNEVEN).exp())).sum()
}

/// Gives the count from 0 to a most with the least cost.
pub(super) fn cheapest(most: u32, cost: impl Fn(u32) -> f64) -> u32 {
    let step = (most / TRIED).max(1) as usize;
    let counts = (0..=most).step_by(step);
    let costs = counts.map(|count| (count, cost(count)));
    costs
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map_or(0, |(count, _)| count)
}

/// Gives the upstreams that are left after so many of the fullest data centres are reclaimed, with the probability of each,
/// where so many reclaims are expected.
pub(super) fn losses(counts: &[u32], expected: f64) -> Vec<(f64, u32)> {
    let mut counts = counts.to_vec();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    let mut states = Vec::new();
    let mut left: u32 = counts.iter().sum();
    let (mut weight, mut rest) = ((-expected).exp(), 1.0);
    for (at, lost) in counts.iter().enumerate() {
        states.push((weight, left));
        rest -= weight;
        weight *= expected / (at + 1) as f64;
        left -= lost;
    }
    states.push((rest.max(0.0), left));
    states
}

/// Gives how likely so many of the data centres are without reclaimable upstreams, each of them for a part of the time.
pub(super) fn outages(zones: u32, out: f64) -> Vec<(f64, u32)> {
    let mut ways = 1.0;
    let mut states = Vec::new();
    for lost in 0..=zones {
        let weight = ways * out.powi(lost as i32) * (1.0 - out).powi((zones - lost) as i32);
        states.push((weight, lost));
        ways *= f64::from(zones - lost) / f64::from(lost + 1);
    }
    states
}
