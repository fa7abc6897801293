//! The search for an engine over all attempts of one request.

use std::time::Duration;

use contract::UpstreamId;

/// Resumptions of one answer that are not paid from the retry budget.
const FREE_RESUMES: u32 = 2;
/// Shortest and longest pause before engines that were tried are tried again.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Why tokens must be computed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::callers) enum Cause {
    /// The engine broke off.
    Died,
    /// The engine froze.
    Stalled,
    /// The entry host left.
    Handover,
    /// The engine's host was taken away.
    Reclaimed,
    /// The engine's host leaves; the KV cache was moved.
    ExportedCache,
}

/// What was tried so far.
#[derive(Debug, Default)]
pub(in crate::callers) struct Search {
    tried: Vec<UpstreamId>,
    attempts: u32,
    resumes: u32,
    pauses: u32,
    cause: Option<Cause>,
    target: Option<UpstreamId>,
    is_accepted: bool,
}

impl Cause {
    /// Gives the name under which it is counted.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Died => "died",
            Self::Stalled => "stalled",
            Self::Handover => "handover",
            Self::Reclaimed => "reclaimed",
            Self::ExportedCache => "exported",
        }
    }
}

impl Search {
    /// Begins the search for a request that a peer had begun.
    pub(super) fn adopted() -> Self {
        Self {
            cause: Some(Cause::Handover),
            is_accepted: true,
            ..Self::default()
        }
    }

    /// Tells whether the request can still be refused as not run: no engine and no peer has taken it so far.
    pub(super) const fn may_refuse(&self) -> bool {
        !self.is_accepted
    }

    /// Tells whether no attempt has failed yet.
    pub(super) const fn is_first(&self) -> bool {
        self.attempts == 0
    }

    /// Gives the engines that are not to be tried now.
    pub(super) fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Notes an attempt that did not reach the engine.
    pub(super) fn note(&mut self, engine: UpstreamId) {
        self.attempts += 1;
        self.tried.push(engine);
    }

    /// Notes an attempt that broke off.
    pub(super) fn broke(&mut self, engine: UpstreamId, cause: Cause) {
        self.note(engine);
        self.is_accepted = true;
        self.cause = self.cause.or(Some(cause));
    }

    /// Notes an attempt that ended because the engine's host leaves, and where the answer goes on.
    pub(super) fn moved(&mut self, engine: UpstreamId, target: Option<UpstreamId>, cause: Cause) {
        self.broke(engine, cause);
        self.target = target;
    }

    /// Gives the engine that holds the moved KV cache, once.
    pub(super) const fn take_target(&mut self) -> Option<UpstreamId> {
        self.target.take()
    }

    /// Takes one of the resumptions that cost nothing, if one is left.
    pub(super) const fn takes_free_resume(&mut self) -> bool {
        self.resumes += 1;
        self.resumes <= FREE_RESUMES
    }

    /// Gives why the next tokens are computed again, once.
    pub(super) const fn take_cause(&mut self) -> Option<Cause> {
        self.cause.take()
    }

    /// Waits, longer each time, and lets every engine be tried again.
    pub(super) fn pause(&mut self) {
        let pause = PAUSE.0 * 2_u32.pow(self.pauses.min(8));
        self.pauses += 1;
        self.tried.clear();
        std::thread::sleep(pause.min(PAUSE.1));
    }
}
