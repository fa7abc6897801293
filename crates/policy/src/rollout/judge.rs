//! Judges a new version by what callers got from it and from the old one at the same time.
//!
//! A fault that strikes both versions, such as a cut or a burst, changes both counts and convicts neither.

use std::collections::BTreeMap;

use contract::{Histogram, RolloutTrial, RouteTrial, TrialCounts, Zone};
use derive_more::Display;

/// Probability that a good version is convicted within a rollout. A false alarm costs a repeated rollout, a bad version
/// that is found late costs callers their answers.
const FALSE_ALARMS: f64 = 0.01;
/// Likelihood ratio that a conviction needs without the data centre that speaks most against the version.
const CORROBORATION: f64 = 10.0;
/// Likelihood ratio from which a version that is not convicted is not trusted either.
const SUSPICION: f64 = 3.0;
/// Likelihood ratio of the failures on all routes together from which a version is not trusted. There are enough of these
/// responses to show that a version is good.
const SUSPICION_OVERALL: f64 = 0.05;
/// By how much the bad share of the new version may exceed that of the old one: versions differ a little, and a new
/// upstream has empty caches.
const FAILURE_TOLERANCE: f64 = 0.002;
const SLOW_TOLERANCE: f64 = 0.03;
/// Increases of the bad share that are tested for.
const INCREASES: [f64; 3] = [0.05, 0.2, 0.6];
/// Bad outcomes without which a version is not convicted.
const MIN_BAD: u64 = 3;
/// Outcomes of the old version without which there is nothing to compare times with.
const MIN_COMPARED: u64 = 50;
/// Outcomes of the old version on a route from which on the route is compared by itself in the failures on all routes.
/// Routes with fewer are compared by their sum: the margins of many small samples would add up and hide a fault.
const MIN_STRATUM: u64 = 100;
/// Share of the old version's times up to which a time is ordinary.
const ORDINARY_SHARE: f64 = 0.9;
/// Ranges of a histogram by which a slow time exceeds the ordinary ones: a factor of 1.5.
const SLOW_RANGES: u8 = 1;
/// Largest bad share that is tested for.
const MAX_SHARE: f64 = 0.99;

/// What speaks against a version.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Symptom {
    /// Responses fail.
    #[display("failures")]
    Failures,
    /// Responses begin late.
    #[display("late first parts")]
    SlowStart,
    /// Streams pause.
    #[display("long intervals")]
    SlowStream,
}

/// Why a version is bad.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{symptom} on {}: {bad} of {count}, old version {:.3}", route.as_deref().unwrap_or("all routes"), old_share)]
pub struct Finding {
    /// What speaks against the version.
    pub symptom: Symptom,
    /// Route on which it does; `None` for all routes together.
    pub route: Option<String>,
    /// Bad outcomes of the new version.
    pub bad: u64,
    /// All outcomes of the new version.
    pub count: u64,
    /// Bad share of the old version.
    pub old_share: f64,
}

/// Numbers of bad and of all outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sample {
    bad: u64,
    count: u64,
}

impl Sample {
    const fn plus(self, other: Self) -> Self {
        Self {
            bad: self.bad + other.bad,
            count: self.count + other.count,
        }
    }

    /// Returns an upper estimate of the bad share: its mean plus one standard error.
    fn upper_share(self) -> f64 {
        let count = self.count as f64 + 2.0;
        let share = (self.bad as f64 + 1.0) / count;
        share + (share * (1.0 - share) / count).sqrt()
    }

    fn share(self) -> f64 {
        self.bad as f64 / (self.count as f64).max(1.0)
    }

    /// Returns the logarithm of how many times likelier the outcomes are with a bad share that is increased by `increase`
    /// than with `share`.
    fn log_ratio(self, share: f64, increase: f64) -> f64 {
        let (bad, good) = (self.bad as f64, (self.count - self.bad) as f64);
        let raised = (share + increase).min(MAX_SHARE);
        bad * (raised / share).ln() + good * ((1.0 - raised) / (1.0 - share)).ln()
    }
}

/// Outcomes of both versions on one route, or on several that have few.
#[derive(Debug)]
struct Stratum {
    old: Sample,
    /// By data centre; one is named several times where several routes are summed.
    new: Vec<(Zone, Sample)>,
}

impl Stratum {
    fn plus(mut self, other: Self) -> Self {
        self.old = self.old.plus(other.old);
        self.new.extend(other.new);
        self
    }

    /// Returns the outcomes of the new version, without those of a data centre.
    fn new_sample(&self, without: Option<&Zone>) -> Sample {
        let zones = self.new.iter().filter(|(zone, _)| Some(zone) != without);
        zones.fold(Sample::default(), |sum, (_, sample)| sum.plus(*sample))
    }

    fn log_ratio(&self, tolerance: f64, increase: f64, without: Option<&Zone>) -> f64 {
        let share = (self.old.upper_share() + tolerance).min(MAX_SHARE - INCREASES[0]);
        self.new_sample(without).log_ratio(share, increase)
    }
}

/// Outcomes of both versions of one kind.
#[derive(Debug)]
struct Comparison {
    symptom: Symptom,
    route: Option<String>,
    /// Outcomes that are compared with each other. Routes fail at rates of their own: in a sum, ordinary failures of one
    /// route would hide rare ones of another.
    strata: Vec<Stratum>,
}

impl Comparison {
    /// Returns how many times likelier the outcomes are if the new version is worse, and the same without the data
    /// centre that speaks most against it.
    fn likelihood_ratios(&self) -> (f64, f64) {
        let mut zones = BTreeMap::<&Zone, Sample>::new();
        for (zone, sample) in self.strata.iter().flat_map(|stratum| &stratum.new) {
            let sum = zones.entry(zone).or_default();
            *sum = sum.plus(*sample);
        }
        zones.retain(|_, sample| sample.count > 0);
        let worst = zones.iter().max_by_key(|(_, sample)| sample.bad);
        let worst = worst.filter(|_| zones.len() > 1).map(|(zone, _)| *zone);
        (self.likelihood_ratio(None), self.likelihood_ratio(worst))
    }

    /// Returns how many times likelier the outcomes are with increased bad shares than with those of the old version,
    /// averaged over [`INCREASES`].
    ///
    /// With bad shares of at most the old version's, the probability that this ever exceeds `x`, however often it is asked,
    /// is at most `1 / x` (Ville's inequality).
    fn likelihood_ratio(&self, without: Option<&Zone>) -> f64 {
        let tolerance = match self.symptom {
            Symptom::Failures => FAILURE_TOLERANCE,
            Symptom::SlowStart | Symptom::SlowStream => SLOW_TOLERANCE,
        };
        let log_ratio = |increase: f64| {
            let strata = self.strata.iter();
            strata
                .map(|stratum| stratum.log_ratio(tolerance, increase, without))
                .sum::<f64>()
        };
        let ratios = INCREASES.iter().map(|increase| log_ratio(*increase).exp());
        ratios.sum::<f64>() / INCREASES.len() as f64
    }

    fn sum(&self, sample: impl Fn(&Stratum) -> Sample) -> Sample {
        self.strata.iter().map(sample).fold(Sample::default(), Sample::plus)
    }

    /// Returns the finding if the new version is worse, also without the data centre that speaks most against it: one
    /// that is cut off or reclaimed makes no version bad.
    fn finding(&self, limit: f64) -> Option<Finding> {
        let all = self.sum(|stratum| stratum.new_sample(None));
        let (ratio, others) = self.likelihood_ratios();
        let convicted = all.bad >= MIN_BAD && ratio >= limit && others >= CORROBORATION;
        convicted.then(|| Finding {
            symptom: self.symptom,
            route: self.route.clone(),
            bad: all.bad,
            count: all.count,
            old_share: self.sum(|stratum| stratum.old).share(),
        })
    }
}

/// Returns what speaks against the new version, if anything does.
#[must_use]
pub fn judge(trial: &RolloutTrial) -> Option<Finding> {
    let comparisons = comparisons(trial);
    let limit = comparisons.len() as f64 / FALSE_ALARMS;
    comparisons.iter().find_map(|comparison| comparison.finding(limit))
}

/// Returns whether the new version may be worse than the old one, though that is not certain.
#[must_use]
pub fn is_suspect(trial: &RolloutTrial) -> bool {
    comparisons(trial).iter().any(|comparison| {
        let (all, others) = comparison.likelihood_ratios();
        match comparison.route {
            None => all >= SUSPICION_OVERALL,
            Some(_) => all.min(others) >= SUSPICION,
        }
    })
}

/// Returns whether the new version may fail more often than the old one over all routes, though that is not certain.
#[must_use]
pub fn is_failing(trial: &RolloutTrial) -> bool {
    all_failures(trial).likelihood_ratio(None) >= SUSPICION_OVERALL
}

fn comparisons(trial: &RolloutTrial) -> Vec<Comparison> {
    let by_route = trial.routes.iter().flat_map(|(name, route)| by_route(name, route));
    by_route.chain([all_failures(trial)]).collect()
}

fn by_route(name: &str, trial: &RouteTrial) -> Vec<Comparison> {
    let failures = Comparison {
        symptom: Symptom::Failures,
        route: Some(name.to_owned()),
        strata: vec![failures_of(trial)],
    };
    let start = times(name, trial, Symptom::SlowStart, |counts| &counts.first);
    let stream = times(name, trial, Symptom::SlowStream, |counts| &counts.interval);
    [Some(failures), start, stream].into_iter().flatten().collect()
}

/// Compares the failures on all routes together, which shows a rare fault sooner than each route by itself.
fn all_failures(trial: &RolloutTrial) -> Comparison {
    let routes = trial.routes.values().map(failures_of);
    let (known, rare): (Vec<_>, Vec<_>) = routes.partition(|route| route.old.count >= MIN_STRATUM);
    let rare = rare.into_iter().reduce(Stratum::plus);
    Comparison {
        symptom: Symptom::Failures,
        route: None,
        strata: known.into_iter().chain(rare).collect(),
    }
}

fn failures_of(trial: &RouteTrial) -> Stratum {
    Stratum {
        old: failures(&trial.old),
        new: by_zone(trial, failures),
    }
}

fn times(
    name: &str,
    trial: &RouteTrial,
    symptom: Symptom,
    histogram: impl Fn(&TrialCounts) -> &Histogram,
) -> Option<Comparison> {
    let old = histogram(&trial.old);
    if old.count() < MIN_COMPARED {
        return None;
    }
    let limit = old.quantile(ORDINARY_SHARE)?.saturating_add(SLOW_RANGES);
    let slow = |counts: &TrialCounts| {
        let times = histogram(counts);
        Sample {
            bad: times.above(limit),
            count: times.count(),
        }
    };
    Some(Comparison {
        symptom,
        route: Some(name.to_owned()),
        strata: vec![Stratum {
            old: slow(&trial.old),
            new: by_zone(trial, slow),
        }],
    })
}

const fn failures(counts: &TrialCounts) -> Sample {
    Sample {
        bad: counts.failed,
        count: counts.ended(),
    }
}

fn by_zone(trial: &RouteTrial, sample: impl Fn(&TrialCounts) -> Sample) -> Vec<(Zone, Sample)> {
    trial
        .new
        .iter()
        .map(|(zone, counts)| (zone.clone(), sample(counts)))
        .collect()
}
