//! The load of one upstream: its last report, corrected by what was sent and answered since.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Tick;

/// Own dispatches and completions that are remembered; with more, the oldest no longer correct a report.
const MAX_MOVES: usize = 512;

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Time at which the upstream measured it, on the own clock.
    pub measured_at: Tick,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Used share of the KV cache, 0 to 1.
    pub kv_used: f32,
}

/// What is known of the load of one upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    report: Option<LoadReport>,
    running: u32,
    moves: VecDeque<(Tick, i8)>,
}

/// The predicted load with what it rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PredictedLoad {
    /// Requests that run or wait there; absent without an unexpired report.
    pub reported: Option<f64>,
    /// Own requests there.
    pub own_requests: u32,
    /// Age of the newest report, expired or not.
    pub age: Option<Duration>,
}

impl LoadEstimate {
    /// Notes a request that is sent.
    pub fn sent(&mut self, now: Tick) {
        self.running += 1;
        self.note(now, 1);
    }

    /// Notes a request that ended.
    pub fn ended(&mut self, now: Tick) {
        self.running = self.running.saturating_sub(1);
        self.note(now, -1);
    }

    /// Takes a report over unless a newer one is known; tells whether it did.
    pub fn update(&mut self, report: LoadReport) -> bool {
        let newer = self.report.is_none_or(|before| before.measured_at < report.measured_at);
        if newer {
            self.report = Some(report);
            self.moves.retain(|(at, _)| *at > report.measured_at);
        }
        newer
    }

    /// Gives the newest report.
    #[must_use]
    pub const fn newest(&self) -> Option<LoadReport> {
        self.report
    }

    /// Predicts the load.
    ///
    /// The report speaks of the time at which the upstream measured it, not of that at which it came. Own requests
    /// sent or ended after that are added and taken off; without this every entry host sends all it has to whichever
    /// upstream was idle at the last report, and one sees bursts that wander from upstream to upstream.
    #[must_use]
    pub fn predict(&self, now: Tick, expiry: Duration, corrected: bool) -> PredictedLoad {
        let age = self.report.map(|report| now.since(report.measured_at));
        let valid = self.report.filter(|report| now.since(report.measured_at) < expiry);
        let reported = valid.map(|report| {
            let since = self
                .moves
                .iter()
                .filter(|(at, _)| corrected && *at > report.measured_at);
            let change: f64 = since.map(|(_, by)| f64::from(*by)).sum();
            let own = if corrected { f64::from(self.running) } else { 0.0 };
            (f64::from(report.running + report.waiting) + change).max(own)
        });
        PredictedLoad {
            reported,
            own_requests: self.running,
            age,
        }
    }

    fn note(&mut self, now: Tick, by: i8) {
        if self.moves.len() >= MAX_MOVES {
            self.moves.pop_front();
        }
        self.moves.push_back((now, by));
    }
}
