//! An entry host's share of a service's retry budget.
//!
//! In any window, all entry hosts together may retry a share of the service's requests plus a fixed number. Each host
//! has its part of the fixed number and earns the rest with its own requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Tick;

/// Share of the budget that is used. Requests counted at the edges of a window, and entry hosts that join while others
/// are not forgotten yet, would otherwise exceed the bound.
const USED_SHARE: f64 = 0.6;

/// Bounds on the retries of all entry hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in addition to that, in one window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The right to let a request reach an upstream once: a caller's request has one, each retry takes one from the budget.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

/// Requests and retries of one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

/// What a window holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowUsage {
    /// Callers' requests.
    pub requests: usize,
    /// Retries that were taken.
    pub retries: usize,
}

impl RetryWindow {
    /// Returns what the window holds as of the last call that changed it.
    #[must_use]
    pub fn usage(&self) -> WindowUsage {
        WindowUsage {
            requests: self.requests.len(),
            retries: self.retries.len(),
        }
    }

    /// Records a caller's request to the service; returns the permit for its first arrival at an upstream.
    pub fn record_request(&mut self, now: Tick, bounds: &RetryBounds) -> SendPermit {
        drop_expired(&mut self.requests, bounds.window, now);
        self.requests.push_back(now);
        SendPermit(())
    }

    /// Takes a retry from the share of one of `entries` entry hosts; `None` if none is left.
    pub fn take(&mut self, now: Tick, bounds: &RetryBounds, entries: u32) -> Option<SendPermit> {
        drop_expired(&mut self.requests, bounds.window, now);
        drop_expired(&mut self.retries, bounds.window, now);
        let fixed = bounds.extra / f64::from(entries.max(1));
        let limit = USED_SHARE * (fixed + bounds.ratio * self.requests.len() as f64);
        let allowed = (self.retries.len() as f64) + 1.0 <= limit;
        allowed.then(|| {
            self.retries.push_back(now);
            SendPermit(())
        })
    }
}

fn drop_expired(times: &mut VecDeque<Tick>, window: Duration, now: Tick) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
