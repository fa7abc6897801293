//! Registration of the attempts at engines, so that their streams can be moved.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use policy::Tick;
use policy::rescue::{Stream, StreamAction};

use super::Rescue;
use crate::journal::Journal;

/// Assumed time between two tokens until it can be measured.
const UNKNOWN_STEP: Duration = Duration::from_millis(50);
/// Longest wait for a running import after the source engine is gone.
const IMPORT_WAIT: Duration = Duration::from_secs(2);

/// The description of an attempt that starts.
#[derive(Debug)]
pub struct Boarding {
    /// The engine that the attempt runs on.
    pub spec: UpstreamSpec,
    /// The tokens of the answer so far.
    pub journal: Arc<Journal>,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of answer tokens.
    pub most: u64,
    /// Deadline of the whole answer.
    pub due: Tick,
    /// Time at which the attempt starts.
    pub now: Tick,
    /// Set by rescue to make the attempt end, so that the stream can move.
    pub asked: Arc<AtomicBool>,
}

/// Where and how a stream continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine that got the KV cache; `None` lets the attempt loop choose an engine.
    pub to: Option<UpstreamId>,
    /// Whether the cache was copied or the stream is replayed.
    pub how: StreamAction,
}

/// A registered attempt; dropping it removes the registration.
#[derive(Debug)]
pub struct Ride<'a> {
    rescue: &'a Rescue,
    id: &'a RequestId,
}

/// How far the move of a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The attempt runs; no move has started.
    Riding,
    /// The KV cache is being exported.
    Exporting,
    /// The KV cache is being imported into another engine.
    Importing,
    /// The attempt was asked to end.
    Asked,
}

#[derive(Debug)]
pub(super) struct Aboard {
    pub(super) spec: UpstreamSpec,
    pub(super) stage: Stage,
    pub(super) failed: u32,
    journal: Arc<Journal>,
    prompt: u64,
    most: u64,
    due: Tick,
    began: Tick,
    before: usize,
    asked: Arc<AtomicBool>,
    to: Option<Move>,
}

impl Aboard {
    pub(super) fn stream(&self, gone_at: Tick, now: Tick) -> Stream<&UpstreamId> {
        let len = self.journal.len();
        let remaining = self.most.saturating_sub(len as u64);
        let made = u32::try_from(len.saturating_sub(self.before)).unwrap_or(u32::MAX);
        let step = if made > 1 {
            now.since(self.began) / made
        } else {
            UNKNOWN_STEP
        };
        let needs = step.saturating_mul(u32::try_from(remaining).unwrap_or(u32::MAX));
        Stream {
            source: &self.spec.id,
            time_left: gone_at.since(now),
            tokens: self.prompt + len as u64,
            remaining,
            token_interval: step,
            slack: self.due.since(now).saturating_sub(needs),
            failed_copies: self.failed,
        }
    }

    /// Asks the attempt to end and records where the stream continues.
    pub(super) fn ask(&mut self, to: Option<UpstreamId>, how: StreamAction) {
        self.stage = Stage::Asked;
        self.to = Some(Move { to, how });
        self.asked.store(true, Ordering::SeqCst);
    }
}

impl Rescue {
    /// Registers an attempt that starts.
    pub fn board<'a>(&'a self, id: &'a RequestId, boarding: Boarding) -> Ride<'a> {
        boarding.asked.store(false, Ordering::SeqCst);
        let one = Aboard {
            before: boarding.journal.len(),
            spec: boarding.spec,
            stage: Stage::Riding,
            failed: 0,
            journal: boarding.journal,
            prompt: boarding.prompt,
            most: boarding.most,
            due: boarding.due,
            began: boarding.now,
            asked: boarding.asked,
            to: None,
        };
        self.aboard.lock().insert(id.clone(), one);
        Ride { rescue: self, id }
    }
}

impl Ride<'_> {
    /// Returns where the stream continues after its attempt ended early; `None` if no move was planned.
    ///
    /// The host may be gone while its cache is still being imported elsewhere. Then this waits for the import, which
    /// costs less than computing the whole prefix again.
    #[must_use]
    pub fn destination(&self) -> Option<Move> {
        let mut aboard = self.rescue.aboard.lock();
        let moving = |stage| matches!(stage, Stage::Importing);
        if aboard.get(self.id).is_some_and(|one| moving(one.stage)) {
            self.rescue.changed.wait_while_for(
                &mut aboard,
                |aboard| aboard.get(self.id).is_some_and(|one| moving(one.stage)),
                IMPORT_WAIT,
            );
        }
        aboard.get(self.id).and_then(|one| one.to.clone())
    }
}

impl Drop for Ride<'_> {
    fn drop(&mut self) {
        self.rescue.aboard.lock().remove(self.id);
    }
}
