//! Load estimate of one upstream: its latest report, corrected by the requests sent and ended since.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Tick;

/// Most recorded dispatches and completions; with more since a report, the oldest no longer correct it.
const MAX_CHANGES: usize = 512;

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the upstream measured it, by this host's clock.
    pub measured_at: Tick,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Used share of the KV cache, 0 to 1.
    pub kv_used: f32,
}

/// Estimates the load of one upstream from its reports and this entry host's own requests.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    report: Option<LoadReport>,
    running: u32,
    changes: VecDeque<(Tick, i8)>,
}

/// A predicted load with the data behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PredictedLoad {
    /// Requests that run or wait at the upstream; absent without an unexpired report.
    pub reported: Option<f64>,
    /// Requests of this entry host at the upstream.
    pub own_requests: u32,
    /// Age of the latest report, expired or not; absent if there was none.
    pub age: Option<Duration>,
}

impl LoadEstimate {
    /// Records a request sent to the upstream.
    pub fn sent(&mut self, now: Tick) {
        self.running += 1;
        self.record_change(now, 1);
    }

    /// Records the end of a request.
    pub fn ended(&mut self, now: Tick) {
        self.running = self.running.saturating_sub(1);
        self.record_change(now, -1);
    }

    /// Applies a report unless a newer one is known; returns whether it was applied.
    pub fn update(&mut self, report: LoadReport) -> bool {
        let newer = self.report.is_none_or(|before| before.measured_at < report.measured_at);
        if newer {
            self.report = Some(report);
            self.changes.retain(|(at, _)| *at > report.measured_at);
        }
        newer
    }

    /// Returns the latest report, expired or not.
    #[must_use]
    pub const fn newest(&self) -> Option<LoadReport> {
        self.report
    }

    /// Predicts the load; reports older than `expiry` do not count.
    ///
    /// A report describes the upstream at the time of measurement, not at its arrival. With `corrected`, own requests
    /// sent or ended after the measurement are added or subtracted. Without the correction, every entry host sends all
    /// requests to the upstream that was idle in the last report, and bursts move from upstream to upstream.
    #[must_use]
    pub fn predict(&self, now: Tick, expiry: Duration, corrected: bool) -> PredictedLoad {
        let age = self.report.map(|report| now.since(report.measured_at));
        let valid = self.report.filter(|report| now.since(report.measured_at) < expiry);
        let reported = valid.map(|report| {
            let later = self
                .changes
                .iter()
                .filter(|(at, _)| corrected && *at > report.measured_at);
            let change: f64 = later.map(|(_, delta)| f64::from(*delta)).sum();
            let own = if corrected { f64::from(self.running) } else { 0.0 };
            (f64::from(report.running + report.waiting) + change).max(own)
        });
        PredictedLoad {
            reported,
            own_requests: self.running,
            age,
        }
    }

    fn record_change(&mut self, now: Tick, delta: i8) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, delta));
    }
}
