//! The state of the search for an engine across all attempts of one request.

use std::time::Duration;

use contract::UpstreamId;

/// Resumptions of one answer that do not count against the retry budget.
const MAX_FREE_RESUMES: u32 = 2;
/// Shortest and longest pause before the engines that failed are tried again.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Why an answer continues at another engine, which computes tokens again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::callers) enum RecomputeCause {
    /// The engine's connection broke.
    Died,
    /// The engine sent no token for too long.
    Stalled,
    /// The entry host left and a peer took over.
    Handover,
    /// The engine's host was reclaimed.
    Reclaimed,
    /// The engine's host leaves, and the KV cache was copied to another engine.
    CacheMoved,
}

/// The attempts so far and what follows from them for the next one.
#[derive(Debug, Default)]
pub(in crate::callers) struct EngineSearch {
    tried: Vec<UpstreamId>,
    attempts: u32,
    resumes: u32,
    pauses: u32,
    cause: Option<RecomputeCause>,
    cache_holder: Option<UpstreamId>,
    maybe_started: bool,
}

impl RecomputeCause {
    /// Returns the value of the `cause` label in metrics.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Died => "died",
            Self::Stalled => "stalled",
            Self::Handover => "handover",
            Self::Reclaimed => "reclaimed",
            Self::CacheMoved => "exported",
        }
    }
}

impl EngineSearch {
    /// Creates the search for a request that was taken over from a peer.
    pub(super) fn adopted() -> Self {
        Self {
            cause: Some(RecomputeCause::Handover),
            maybe_started: true,
            ..Self::default()
        }
    }

    /// Returns whether the request can still be refused as not run: neither an engine nor a peer has started it.
    pub(super) const fn can_refuse(&self) -> bool {
        !self.maybe_started
    }

    /// Returns whether no attempt has failed yet.
    pub(super) const fn no_failures(&self) -> bool {
        self.attempts == 0
    }

    /// Returns the engines that were tried since the last pause.
    pub(super) fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Records an attempt that did not reach the engine.
    pub(super) fn record_not_run(&mut self, engine: UpstreamId) {
        self.attempts += 1;
        self.tried.push(engine);
    }

    /// Records an attempt that broke off after it reached the engine.
    pub(super) fn record_broken(&mut self, engine: UpstreamId, cause: RecomputeCause) {
        self.record_not_run(engine);
        self.maybe_started = true;
        self.cause = self.cause.or(Some(cause));
    }

    /// Records an attempt that ended because the engine's host leaves, and the engine where the answer continues.
    pub(super) fn record_moved(&mut self, engine: UpstreamId, cache_holder: Option<UpstreamId>, cause: RecomputeCause) {
        self.record_broken(engine, cause);
        self.cache_holder = cache_holder;
    }

    /// Takes the engine that got the KV cache, if there is one.
    pub(super) const fn take_cache_holder(&mut self) -> Option<UpstreamId> {
        self.cache_holder.take()
    }

    /// Counts a resumption and returns whether it is exempt from the retry budget.
    pub(super) const fn use_free_resume(&mut self) -> bool {
        self.resumes += 1;
        self.resumes <= MAX_FREE_RESUMES
    }

    /// Takes the cause by which the next recomputed tokens are counted.
    pub(super) const fn take_cause(&mut self) -> Option<RecomputeCause> {
        self.cause.take()
    }

    /// Pauses, longer each time, and allows all engines again.
    pub(super) fn pause(&mut self) {
        let pause = PAUSE_BOUNDS.0 * 2_u32.pow(self.pauses.min(8));
        self.pauses += 1;
        self.tried.clear();
        std::thread::sleep(pause.min(PAUSE_BOUNDS.1));
    }
}
