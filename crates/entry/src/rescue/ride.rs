//! One attempt at an engine, as rescue sees it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use policy::Tick;
use policy::rescue::{Stream, StreamAction};

use super::Rescue;
use crate::journal::Journal;

/// Time between two tokens until some have come.
const UNKNOWN_STEP: Duration = Duration::from_millis(50);
/// Longest wait for an import when the engine that it came from is gone already.
const IMPORT_WAIT: Duration = Duration::from_secs(2);

/// What an attempt tells when it begins.
#[derive(Debug)]
pub struct Boarding {
    /// The engine.
    pub spec: UpstreamSpec,
    /// The answer so far.
    pub journal: Arc<Journal>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub most: u64,
    /// When the whole answer is due.
    pub due: Tick,
    /// Now.
    pub now: Tick,
    /// Set when the attempt is to end so that the stream can move.
    pub asked: Arc<AtomicBool>,
}

/// Where a stream is to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine that has its cache; `None` lets the attempt loop choose.
    pub to: Option<UpstreamId>,
    /// Whether its cache was moved.
    pub how: StreamAction,
}

/// An attempt that runs; it leaves the table when dropped.
#[derive(Debug)]
pub struct Ride<'a> {
    rescue: &'a Rescue,
    id: &'a RequestId,
}

/// How far the rescue of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Nothing is done for it.
    Riding,
    /// Its cache is being exported.
    Exporting,
    /// Its cache is being imported elsewhere.
    Importing,
    /// It was asked to move.
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

    /// Asks the attempt to end and says where the stream goes on.
    pub(super) fn ask(&mut self, to: Option<UpstreamId>, how: StreamAction) {
        self.stage = Stage::Asked;
        self.to = Some(Move { to, how });
        self.asked.store(true, Ordering::SeqCst);
    }
}

impl Rescue {
    /// Notes that an attempt begins.
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
    /// Gives where the stream is to go on after its attempt ended early, if rescue has seen to that.
    ///
    /// A host may be gone while its cache is on the way to another engine; waiting for the rest of the way is worth more
    /// than to compute everything again.
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
