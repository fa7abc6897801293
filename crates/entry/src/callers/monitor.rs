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

use super::http::CallerProbe;
use crate::journal::Journal;

/// Lower and upper bound of the silence between two tokens after which an engine counts as stalled.
const STALL_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(15));
/// The same bounds for the first token, when the engine may still be prefilling.
const FIRST_TOKEN_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Multiple of the between-tokens target after which an engine counts as stalled; a batch pauses for several targets
/// when it takes in a long prompt.
const STALL_TARGETS: u32 = 15;
/// Additional time until the first token for each token of the prompt.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(500);
/// Multiple of the whole-answer target after which an answer is given up. To a waiting caller a late answer is worth
/// more than none, and the burn report counts it as late anyway.
const GIVE_UP_TARGETS: u32 = 2;

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// The caller closed its connection.
    CallerGone,
    /// The engine sent no token for too long.
    Stalled,
    /// The answer took far longer than its target.
    Late,
    /// A peer has taken over the answer.
    TakenOver,
    /// The engine's host leaves, and the answer continues at another engine.
    Rescued,
}

/// Timeouts and deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitLimits {
    first_timeout: Duration,
    token_target: Option<Duration>,
    stall_timeout: Duration,
    deadline: Tick,
    give_up: Tick,
}

/// Monitors the progress of one request.
#[derive(Debug)]
pub(super) struct RequestMonitor {
    clock: Clock,
    caller: Option<CallerProbe>,
    journal: Arc<Journal>,
    limits: WaitLimits,
    move_flag: Arc<AtomicBool>,
    state: Mutex<WaitState>,
}

#[derive(Debug)]
struct WaitState {
    stalled_at: Tick,
    last_check: Tick,
    stop: Option<StopReason>,
}

impl WaitLimits {
    /// Derives the limits from the targets of the contract.
    pub(super) fn new(targets: &Targets, prompt_tokens: u64, arrived: Tick) -> Self {
        let ms = Duration::from_millis;
        let whole = ms(targets.whole_answer_ms);
        let first = targets
            .first_token_ms
            .map_or(whole, ms)
            .clamp(FIRST_TOKEN_BOUNDS.0, FIRST_TOKEN_BOUNDS.1);
        let gap = targets
            .between_tokens_ms
            .map_or(STALL_BOUNDS.1, |between| ms(between) * STALL_TARGETS);
        Self {
            first_timeout: first + PREFILL_PER_TOKEN * u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            token_target: targets.between_tokens_ms.map(ms),
            stall_timeout: gap.clamp(STALL_BOUNDS.0, STALL_BOUNDS.1),
            deadline: arrived + whole,
            give_up: arrived + whole * GIVE_UP_TARGETS,
        }
    }
}

impl RequestMonitor {
    /// Returns the contract's target for the time between two tokens.
    pub(super) const fn token_target(&self) -> Option<Duration> {
        self.limits.token_target
    }

    /// Starts to monitor a request; one taken over from a peer has no caller.
    pub(super) fn new(clock: Clock, caller: Option<CallerProbe>, journal: Arc<Journal>, limits: WaitLimits) -> Self {
        Self {
            clock,
            caller,
            journal,
            limits,
            move_flag: Arc::default(),
            state: Mutex::new(WaitState {
                stalled_at: limits.give_up,
                last_check: Tick(Duration::ZERO),
                stop: None,
            }),
        }
    }

    /// Returns the flag with which rescue asks an attempt to end.
    pub(super) fn move_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.move_flag)
    }

    /// Returns the deadline of the whole answer.
    pub(super) const fn deadline(&self) -> Tick {
        self.limits.deadline
    }

    /// Restarts the stall timer for a new attempt.
    pub(super) fn start_attempt(&self) {
        let mut state = self.state.lock();
        state.stalled_at = self.clock.now() + self.limits.first_timeout;
        state.stop = None;
    }

    /// Restarts the stall timer after a token.
    pub(super) fn record_token(&self) {
        self.state.lock().stalled_at = self.clock.now() + self.limits.stall_timeout;
    }

    /// Returns why this monitor ended the last attempt; `None` if it did not.
    pub(super) fn stop_reason(&self) -> Option<StopReason> {
        self.state.lock().stop
    }

    /// Returns why the request should not continue, apart from the state of the engine.
    pub(super) fn check_request(&self) -> Option<StopReason> {
        if self.journal.is_elsewhere() {
            Some(StopReason::TakenOver)
        } else if self.caller.as_ref().is_some_and(CallerProbe::is_gone) {
            Some(StopReason::CallerGone)
        } else {
            (self.clock.now() >= self.limits.give_up).then_some(StopReason::Late)
        }
    }
}

impl WaitMonitor for RequestMonitor {
    fn beat(&self) -> Result<(), &'static str> {
        let mut state = self.state.lock();
        let now = self.clock.now();
        // Checking the connection takes system calls, so it is not done for every token.
        if now.since(state.last_check) >= CHECK_INTERVAL {
            state.last_check = now;
            state.stop = self.check_request();
        }
        if state.stop.is_none() && self.move_flag.load(Ordering::SeqCst) {
            state.stop = Some(StopReason::Rescued);
        }
        if state.stop.is_none() && now >= state.stalled_at {
            state.stop = Some(StopReason::Stalled);
        }
        match state.stop {
            None => Ok(()),
            Some(StopReason::CallerGone) => Err("the caller has gone away"),
            Some(StopReason::Stalled) => Err("no token came for too long"),
            Some(StopReason::Late) => Err("the answer took too long"),
            Some(StopReason::TakenOver) => Err("a peer has taken over the answer"),
            Some(StopReason::Rescued) => Err("the engine's host leaves"),
        }
    }
}
