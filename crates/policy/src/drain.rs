//! The work per second that leaves a queue, measured over the last moments.
//!
//! Addresses overloads that come and go within seconds: waits are predicted from what really started, not from the
//! capacity that upstreams should have.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{Tick, duration_from_secs};

/// Times over which starts are counted; the shortest with enough starts is used, so that a change shows soon. A load that
/// ended longer ago than the longest of them is forgotten.
const WINDOWS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];
/// Starts after which a window counts as long enough; their sum varies by about a quarter.
const ENOUGH_STARTS: u32 = 16;
/// Starts within the longest window without which the rate counts as unknown.
const MIN_STARTS: u32 = 6;
/// Time over which starts are summed up before they are stored.
const STEP: Duration = Duration::from_millis(50);
/// Longest wait that is predicted; no caller waits for longer.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Measures the work per second that recently left a queue.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    steps: VecDeque<Step>,
    /// First start of the present busy period.
    began: Tick,
}

/// The starts within [`STEP`].
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Tick,
    starts: u32,
    tokens: f64,
}

impl DrainRate {
    /// Records that a request with this work has left the queue to run.
    pub fn record_started(&mut self, tokens: f64, now: Tick) {
        let longest = WINDOWS[WINDOWS.len() - 1];
        while self.steps.front().is_some_and(|step| now.since(step.at) > longest) {
            self.steps.pop_front();
        }
        if self.steps.is_empty() {
            self.began = now;
        }
        let tokens = if tokens.is_finite() { tokens.max(0.0) } else { 0.0 };
        match self.steps.back_mut() {
            Some(step) if now.since(step.at) < STEP => {
                step.starts = step.starts.saturating_add(1);
                step.tokens += tokens;
            }
            _ => self.steps.push_back(Step {
                at: now,
                starts: 1,
                tokens,
            }),
        }
    }

    /// Returns whether enough work has started recently for a prediction.
    #[must_use]
    pub fn is_known(&self, now: Tick) -> bool {
        self.tokens_per_s(now).is_some()
    }

    /// Predicts how long the queue takes to start this much work, at most a minute; `None` if too little has started
    /// recently.
    #[must_use]
    pub fn wait(&self, work: f64, now: Tick) -> Option<Duration> {
        let seconds = work / self.tokens_per_s(now)?;
        let most = MAX_WAIT.as_secs_f64();
        Some(duration_from_secs(if seconds > 0.0 { seconds.min(most) } else { 0.0 }))
    }

    fn tokens_per_s(&self, now: Tick) -> Option<f64> {
        let sums = WINDOWS.map(|window| self.sum(window, now));
        let enough = sums.iter().zip(WINDOWS).find(|(sum, _)| sum.starts >= ENOUGH_STARTS);
        let (sum, window) = enough.or_else(|| sums.iter().zip(WINDOWS).next_back())?;
        if sum.starts < MIN_STARTS || sum.tokens <= 0.0 {
            return None;
        }
        // A busy period that has just begun fills only a part of the window.
        let span = now.since(self.began).clamp(WINDOWS[0], window);
        Some(sum.tokens / span.as_secs_f64())
    }

    /// Sums up the starts within the window.
    fn sum(&self, window: Duration, now: Tick) -> Step {
        let recent = self.steps.iter().rev().take_while(|step| now.since(step.at) <= window);
        let none = Step {
            at: now,
            starts: 0,
            tokens: 0.0,
        };
        recent.fold(none, |sum, step| Step {
            at: sum.at,
            starts: sum.starts.saturating_add(step.starts),
            tokens: sum.tokens + step.tokens,
        })
    }
}
