//! Ends the wait for an engine when the caller is gone, the engine stalls, a peer or another engine takes over, or the
//! deadline has passed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::Targets;
use parking_lot::Mutex;
use policy::Tick;
use telemetry::Clock;
use upstream::pulse::{CHECK_INTERVAL, WaitMonitor};

use super::http::PeerDemand;
use crate::journal::Journal;

/// Lower and upper bound of the silence between two tokens after which an engine counts as stalled.
const GAP: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(15));
/// The same bounds for the first token, when the engine may still be prefilling.
const FIRST: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Multiple of the between-tokens target after which an engine counts as stalled; a batch pauses for several targets
/// when it takes in a long prompt.
const GAP_TARGETS: u32 = 15;
/// Additional time until the first token for each token of the prompt.
const PREFILL: Duration = Duration::from_micros(500);
/// Multiple of the whole-answer target after which an answer is given up. To a waiting caller a late answer is worth
/// more than none, and the burn report counts it as late anyway.
const LATE: u32 = 2;

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// The caller closed its connection.
    CallerGone,
    /// The engine sent no token for too long.
    Stalled,
    /// The answer took far longer than its target.
    Late,
    /// A peer has taken over the answer.
    Moved,
    /// The engine's host leaves, and the answer continues at another engine.
    Rescued,
}

/// Timeouts and deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    first: Duration,
    between: Option<Duration>,
    gap: Duration,
    due: Tick,
    until: Tick,
}

/// Monitors the progress of one request.
#[derive(Debug)]
pub(super) struct Watch {
    clock: Clock,
    caller: Option<PeerDemand>,
    journal: Arc<Journal>,
    limits: Limits,
    asked: Arc<AtomicBool>,
    wait: Mutex<Wait>,
}

#[derive(Debug)]
struct Wait {
    until: Tick,
    looked: Tick,
    stop: Option<Stop>,
}

impl Limits {
    /// Derives the limits from the targets of the contract.
    pub(super) fn new(targets: &Targets, prompt_tokens: u64, arrived: Tick) -> Self {
        let ms = Duration::from_millis;
        let whole = ms(targets.whole_answer_ms);
        let first = targets.first_token_ms.map_or(whole, ms).clamp(FIRST.0, FIRST.1);
        let gap = targets
            .between_tokens_ms
            .map_or(GAP.1, |between| ms(between) * GAP_TARGETS);
        Self {
            first: first + PREFILL * u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            between: targets.between_tokens_ms.map(ms),
            gap: gap.clamp(GAP.0, GAP.1),
            due: arrived + whole,
            until: arrived + whole * LATE,
        }
    }
}

impl Watch {
    /// Returns the contract's target for the time between two tokens.
    pub(super) const fn between(&self) -> Option<Duration> {
        self.limits.between
    }

    /// Starts to monitor a request; one taken over from a peer has no caller.
    pub(super) fn new(clock: Clock, caller: Option<PeerDemand>, journal: Arc<Journal>, limits: Limits) -> Self {
        Self {
            clock,
            caller,
            journal,
            limits,
            asked: Arc::default(),
            wait: Mutex::new(Wait {
                until: limits.until,
                looked: Tick(Duration::ZERO),
                stop: None,
            }),
        }
    }

    /// Returns the flag with which rescue asks an attempt to end.
    pub(super) fn asked(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.asked)
    }

    /// Returns the deadline of the whole answer.
    pub(super) const fn due(&self) -> Tick {
        self.limits.due
    }

    /// Restarts the stall timer for a new attempt.
    pub(super) fn begin(&self) {
        let mut wait = self.wait.lock();
        wait.until = self.clock.now() + self.limits.first;
        wait.stop = None;
    }

    /// Restarts the stall timer after a token.
    pub(super) fn progress(&self) {
        self.wait.lock().until = self.clock.now() + self.limits.gap;
    }

    /// Returns why this watch ended the last attempt; `None` if it did not.
    pub(super) fn stop(&self) -> Option<Stop> {
        self.wait.lock().stop
    }

    /// Returns why the request should not continue, apart from the state of the engine.
    pub(super) fn look(&self) -> Option<Stop> {
        if self.journal.is_moved() {
            Some(Stop::Moved)
        } else if self.caller.as_ref().is_some_and(PeerDemand::is_gone) {
            Some(Stop::CallerGone)
        } else {
            (self.clock.now() >= self.limits.until).then_some(Stop::Late)
        }
    }
}

impl WaitMonitor for Watch {
    fn beat(&self) -> Result<(), &'static str> {
        let mut wait = self.wait.lock();
        let now = self.clock.now();
        // Checking the connection takes system calls, so it is not done for every token.
        if now.since(wait.looked) >= CHECK_INTERVAL {
            wait.looked = now;
            wait.stop = self.look();
        }
        if wait.stop.is_none() && self.asked.load(Ordering::SeqCst) {
            wait.stop = Some(Stop::Rescued);
        }
        if wait.stop.is_none() && now >= wait.until {
            wait.stop = Some(Stop::Stalled);
        }
        match wait.stop {
            None => Ok(()),
            Some(Stop::CallerGone) => Err("the caller has gone away"),
            Some(Stop::Stalled) => Err("no token came for too long"),
            Some(Stop::Late) => Err("the answer took too long"),
            Some(Stop::Moved) => Err("a peer goes on with the answer"),
            Some(Stop::Rescued) => Err("the host leaves"),
        }
    }
}
