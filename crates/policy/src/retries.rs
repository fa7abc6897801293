//! An entry host's part of a service's budget of repeated sends.
//!
//! All entry hosts together may send a share of the service's requests again, and a fixed number besides, in any window.
//! Each keeps its own part of the fixed number and pays the rest from its own requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Tick;

/// Part of the budget that is used: counts near a window's edges, and entry hosts that come while others are not yet
/// forgotten, must not lead over the bound.
const USED: f64 = 0.6;

/// The bounds over all entry hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and repeats of one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Tick>,
    repeats: VecDeque<Tick>,
}

impl RetryWindow {
    /// Notes a request that a caller sent for the service.
    pub fn record_request(&mut self, now: Tick, bounds: &RetryBounds) {
        forget(&mut self.requests, bounds.window, now);
        self.requests.push_back(now);
    }

    /// Takes a repeat, if one is left for an entry host that is one of so many.
    pub fn take(&mut self, now: Tick, bounds: &RetryBounds, entries: u32) -> bool {
        forget(&mut self.requests, bounds.window, now);
        forget(&mut self.repeats, bounds.window, now);
        let fixed = bounds.extra / f64::from(entries.max(1));
        let most = USED * (fixed + bounds.ratio * self.requests.len() as f64);
        let left = (self.repeats.len() as f64) + 1.0 <= most;
        if left {
            self.repeats.push_back(now);
        }
        left
    }
}

fn forget(times: &mut VecDeque<Tick>, window: Duration, now: Tick) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
