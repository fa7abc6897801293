//! Rollouts: the replacement of a service's upstreams by those of another version.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ServiceName, ValidationErrors, Zone};

/// Longest name of a version, in bytes.
const MAX_VERSION_BYTES: usize = 256;

/// An order to replace the upstreams of a service by those of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose upstreams are replaced.
    pub service: ServiceName,
    /// Version that its upstreams are to have.
    pub version: String,
    /// Time within which the rollout has to end, in milliseconds.
    pub duration_ms: u64,
}

impl RolloutOrder {
    /// Checks every field.
    ///
    /// # Errors
    /// Returns every invalid field.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        let mut problems = ValidationErrors::default();
        let service = self.service.to_string();
        problems.check(!service.is_empty(), "service", &service, "the name of a service");
        let named = (1..=MAX_VERSION_BYTES).contains(&self.version.len());
        problems.check(named, "version", &self.version, "a name of 1 to 256 bytes");
        problems.check(
            self.duration_ms > 0,
            "duration_ms",
            &self.duration_ms,
            "a duration of 1 ms or more",
        );
        problems.into_result()
    }
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Both versions serve.
    #[default]
    #[display("running")]
    Running,
    /// Only the new version serves.
    #[display("succeeded")]
    Succeeded,
    /// Only the old version serves.
    #[display("rolled_back")]
    RolledBack,
}

/// A rollout that was ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// What was ordered.
    pub order: RolloutOrder,
    /// Id: the log index of the order.
    pub id: u64,
    /// How far it is.
    pub state: RolloutState,
    /// Log time of the order, in milliseconds.
    pub started_ms: u64,
    /// Log time of the end, in milliseconds; `None` while it runs.
    pub ended_ms: Option<u64>,
}

/// Numbers of values in ranges that grow by the factor [`Histogram::GROWTH`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram(BTreeMap<u8, u64>);

impl Histogram {
    /// Ratio between the limits of a range.
    pub const GROWTH: f64 = 1.5;
    /// Range of the value 1; smaller values have lower ranges.
    const RANGE_OF_ONE: f64 = 20.0;

    /// Adds a value.
    pub fn record(&mut self, value: f64) {
        let range = Self::RANGE_OF_ONE + value.max(f64::MIN_POSITIVE).log(Self::GROWTH).floor();
        *self.0.entry(range.clamp(0.0, 255.0) as u8).or_default() += 1;
    }

    /// Adds the values of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (range, count) in &other.0 {
            *self.0.entry(*range).or_default() += count;
        }
    }

    /// Returns the number of values.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the lowest range below whose upper limit a share of the values lies; `None` without values.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<u8> {
        let wanted = self.count() as f64 * share;
        let mut sum = 0;
        self.0.iter().find_map(|(range, count)| {
            sum += count;
            (sum as f64 >= wanted).then_some(*range)
        })
    }

    /// Returns the number of values in ranges above one.
    #[must_use]
    pub fn above(&self, range: u8) -> u64 {
        let higher = (std::ops::Bound::Excluded(range), std::ops::Bound::Unbounded);
        self.0.range(higher).map(|(_, count)| count).sum()
    }
}

/// What happened to requests that were sent to upstreams of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a whole and successful response.
    pub succeeded: u64,
    /// Requests with an error, a wrong or broken response, or none in time.
    pub failed: u64,
    /// Time to the first part of the response, as a multiple of the time expected for the prompt.
    pub first: Histogram,
    /// Mean interval between the events of a stream, in milliseconds.
    pub interval: Histogram,
}

impl TrialCounts {
    /// Adds the requests of another part of the trial.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.first.merge(&other.first);
        self.interval.merge(&other.interval);
    }

    /// Returns the number of requests whose outcome is known.
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.succeeded + self.failed
    }
}

/// What happened to the requests of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTrial {
    /// Requests sent to the old version.
    pub old: TrialCounts,
    /// Requests sent to the new version, by data centre of the upstream.
    pub new: BTreeMap<Zone, TrialCounts>,
}

/// What an entry host, or all of them together, saw of both versions of a service during a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTrial {
    /// Id of the rollout.
    pub id: u64,
    /// Requests that run at upstreams of the old version now.
    pub old_running: u64,
    /// Outcomes by name of the route.
    pub routes: BTreeMap<String, RouteTrial>,
}

impl RolloutTrial {
    /// Adds what another entry host saw.
    pub fn merge(&mut self, other: &Self) {
        self.old_running += other.old_running;
        for (route, trial) in &other.routes {
            let sum = self.routes.entry(route.clone()).or_default();
            sum.old.merge(&trial.old);
            for (zone, counts) in &trial.new {
                sum.new.entry(zone.clone()).or_default().merge(counts);
            }
        }
    }

    /// Returns the numbers of requests sent to the old and to the new version.
    #[must_use]
    pub fn sent(&self) -> (u64, u64) {
        let old = self.routes.values().map(|route| route.old.sent).sum();
        let new = self.routes.values().flat_map(|route| route.new.values());
        (old, new.map(|counts| counts.sent).sum())
    }
}
