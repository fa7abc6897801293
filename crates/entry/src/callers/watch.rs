//! What ends the wait for an engine: a caller who left, an engine that froze, a peer that took over, or time.

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

/// Shortest and longest silence between two tokens after which an engine counts as frozen.
const GAP: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(15));
/// The same before the first token, when an engine may still be prefilling.
const FIRST: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Targets between two tokens after which an engine counts as frozen; a batch that takes in a long prompt pauses for
/// some of them.
const GAP_TARGETS: u32 = 15;
/// Time that an engine is given for each token of the prompt, beyond the target of the first token.
const PREFILL: Duration = Duration::from_micros(500);
/// How many times its target a whole answer may take: a late whole answer is worth more to a waiting caller than one
/// that is cut off, and the burn report counts it as late anyway.
const LATE: u32 = 2;

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// The caller closed its connection.
    CallerGone,
    /// The engine sent no token for too long.
    Stalled,
    /// The answer took far longer than promised.
    Late,
    /// A peer goes on with the answer.
    Moved,
    /// The engine's host leaves, and the answer goes on at another engine.
    Rescued,
}

/// Times after which waiting is of no use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    first: Duration,
    between: Option<Duration>,
    gap: Duration,
    due: Tick,
    until: Tick,
}

/// Watches over one request.
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
    /// Derives the limits from what the contract promises.
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
    /// Gives the longest pause between tokens that the contract promises.
    pub(super) const fn between(&self) -> Option<Duration> {
        self.limits.between
    }

    /// Watches over a request; an adopted one has no caller.
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

    /// Gives the flag by which rescue asks an attempt to end.
    pub(super) fn asked(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.asked)
    }

    /// Gives the time at which the whole answer is due.
    pub(super) const fn due(&self) -> Tick {
        self.limits.due
    }

    /// Notes that an attempt begins.
    pub(super) fn begin(&self) {
        let mut wait = self.wait.lock();
        wait.until = self.clock.now() + self.limits.first;
        wait.stop = None;
    }

    /// Notes that a token came.
    pub(super) fn progress(&self) {
        self.wait.lock().until = self.clock.now() + self.limits.gap;
    }

    /// Tells why the last wait ended, if it was ended here.
    pub(super) fn stop(&self) -> Option<Stop> {
        self.wait.lock().stop
    }

    /// Looks whether the request is still worth working on, apart from the engine.
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
        // Looking at the caller costs calls to the operating system, so a quick stream does it only now and then.
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
