//! Momentary paces of upstreams: recording, sharing and a summary for metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::ServiceName;
use policy::Tick;
use policy::pace::moment::{ExpectedPace, Figure, Pace};

use super::{Upstream, Upstreams};

/// Age up to which a pace reported to this host is passed on to the others; longer than a heartbeat interval.
const MAX_PACE_AGE: Duration = Duration::from_millis(600);

/// Expected paces of a service's upstreams at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceSummary {
    /// Mean factor on times.
    pub mean: f64,
    /// Factor of the slowest upstream.
    pub slowest: f64,
    /// Time after which a reported pace has lost most of its value, as learnt.
    pub lifetime: Duration,
    count: u32,
}

impl PaceSummary {
    fn add(&mut self, factor: f64) {
        self.count += 1;
        self.mean += (factor - self.mean) / f64::from(self.count);
        self.slowest = self.slowest.max(factor);
    }
}

impl Upstream {
    /// Returns the pace that is expected of the upstream now; exactly 1.0 if its service reports none.
    #[must_use]
    pub fn pace(&self, now: Tick) -> ExpectedPace {
        self.service_speed.trust().expected(&self.moment, now)
    }

    /// Records a pace that the upstream reported to this host.
    pub fn record_pace(&mut self, pace: Pace, now: Tick) {
        let figure = Figure { pace, at: now };
        self.moment.record_own(figure, &mut self.service_speed.trust_mut());
    }

    /// Applies a pace that the upstream reported to another host.
    ///
    /// A pace from before this incarnation was listed may be that of the former one, and does not count.
    pub(super) fn merge_pace(&mut self, (hundredths, age_ms): (u32, u32), received_at: Tick) {
        let at = received_at - Duration::from_millis(u64::from(age_ms));
        if let Ok(pace) = Pace::from_hundredths(f64::from(hundredths))
            && at >= self.listed_since
        {
            let figure = Figure { pace, at };
            self.moment.record_shared(figure, &mut self.service_speed.trust_mut());
        }
    }

    /// Returns the pace that other hosts should know of, in hundredths with its age in milliseconds.
    pub(super) fn shared_pace(&self, now: Tick) -> Option<(u32, u32)> {
        let figure = self.moment.own()?;
        let age = now.since(figure.at);
        (age < MAX_PACE_AGE).then(|| (figure.pace.hundredths(), age.as_millis() as u32))
    }
}

impl Upstreams {
    /// Returns the expected paces of all services whose upstreams report one.
    #[must_use]
    pub fn paces(&self, now: Tick) -> BTreeMap<&ServiceName, PaceSummary> {
        let mut paces: BTreeMap<&ServiceName, PaceSummary> = BTreeMap::new();
        let reports = |upstream: &&Upstream| upstream.service_speed.trust().is_reported();
        for upstream in self.all.values().filter(reports) {
            let summary = paces.entry(&upstream.listed.service).or_default();
            summary.lifetime = upstream.service_speed.trust().lifetime();
            summary.add(upstream.pace(now).factor);
        }
        paces
    }
}
