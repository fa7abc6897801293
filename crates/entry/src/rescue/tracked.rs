//! Registration of the attempts at engines, so that their streams can be moved.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use policy::Tick;
use policy::rescue::{Stream, StreamAction};

use super::StreamRescue;
use crate::journal::Journal;

/// Assumed time between two tokens until it can be measured.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(50);
/// Longest wait for a running import after the source engine is gone.
const MAX_IMPORT_WAIT: Duration = Duration::from_secs(2);

/// The description of an attempt that starts.
#[derive(Debug)]
pub struct AttemptInfo {
    /// The engine that the attempt runs on.
    pub spec: UpstreamSpec,
    /// The tokens of the answer so far.
    pub journal: Arc<Journal>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens.
    pub max_tokens: u64,
    /// Deadline of the whole answer.
    pub deadline: Tick,
    /// Time at which the attempt starts.
    pub started: Tick,
    /// Set by rescue to make the attempt end, so that the stream can move.
    pub move_flag: Arc<AtomicBool>,
}

/// Where and how a stream continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamMove {
    /// The engine that got the KV cache; `None` lets the attempt loop choose an engine.
    pub target: Option<UpstreamId>,
    /// Whether the cache was copied or the stream is replayed.
    pub action: StreamAction,
}

/// A registered attempt; dropping it removes the registration.
#[derive(Debug)]
pub struct TrackedAttempt<'a> {
    rescue: &'a StreamRescue,
    id: &'a RequestId,
}

/// How far the move of a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MoveStage {
    /// The attempt runs; no move has started.
    Running,
    /// The KV cache is being exported.
    Exporting,
    /// The KV cache is being imported into another engine.
    Importing,
    /// The attempt was asked to end.
    MoveRequested,
}

/// A registered attempt and the state of its move.
#[derive(Debug)]
pub(super) struct AttemptRecord {
    pub(super) spec: UpstreamSpec,
    pub(super) stage: MoveStage,
    pub(super) failed_copies: u32,
    journal: Arc<Journal>,
    prompt_tokens: u64,
    max_tokens: u64,
    deadline: Tick,
    started: Tick,
    /// Position in the answer of the first token of this attempt.
    first_token: usize,
    move_flag: Arc<AtomicBool>,
    destination: Option<StreamMove>,
}

impl AttemptRecord {
    pub(super) fn stream(&self, gone_at: Tick, now: Tick) -> Stream<&UpstreamId> {
        let len = self.journal.len();
        let remaining = self.max_tokens.saturating_sub(len as u64);
        let generated = u32::try_from(len.saturating_sub(self.first_token)).unwrap_or(u32::MAX);
        let token_time = if generated > 1 {
            now.since(self.started) / generated
        } else {
            DEFAULT_TOKEN_TIME
        };
        let time_needed = token_time.saturating_mul(u32::try_from(remaining).unwrap_or(u32::MAX));
        Stream {
            source: &self.spec.id,
            time_left: gone_at.since(now),
            tokens: self.prompt_tokens + len as u64,
            remaining,
            token_interval: token_time,
            slack: self.deadline.since(now).saturating_sub(time_needed),
            failed_copies: self.failed_copies,
        }
    }

    /// Asks the attempt to end and records where the stream continues.
    pub(super) fn request_move(&mut self, target: Option<UpstreamId>, action: StreamAction) {
        self.stage = MoveStage::MoveRequested;
        self.destination = Some(StreamMove { target, action });
        self.move_flag.store(true, Ordering::SeqCst);
    }
}

impl StreamRescue {
    /// Registers an attempt that starts.
    pub fn track<'a>(&'a self, id: &'a RequestId, info: AttemptInfo) -> TrackedAttempt<'a> {
        info.move_flag.store(false, Ordering::SeqCst);
        let record = AttemptRecord {
            first_token: info.journal.len(),
            spec: info.spec,
            stage: MoveStage::Running,
            failed_copies: 0,
            journal: info.journal,
            prompt_tokens: info.prompt_tokens,
            max_tokens: info.max_tokens,
            deadline: info.deadline,
            started: info.started,
            move_flag: info.move_flag,
            destination: None,
        };
        self.attempts.lock().insert(id.clone(), record);
        TrackedAttempt { rescue: self, id }
    }
}

impl TrackedAttempt<'_> {
    /// Returns where the stream continues after its attempt ended early; `None` if no move was planned.
    ///
    /// The host may be gone while its cache is still being imported elsewhere. Then this waits for the import, which
    /// costs less than computing the whole prefix again.
    #[must_use]
    pub fn destination(&self) -> Option<StreamMove> {
        let mut attempts = self.rescue.attempts.lock();
        let moving = |stage| matches!(stage, MoveStage::Importing);
        if attempts.get(self.id).is_some_and(|record| moving(record.stage)) {
            self.rescue.copy_finished.wait_while_for(
                &mut attempts,
                |attempts| attempts.get(self.id).is_some_and(|record| moving(record.stage)),
                MAX_IMPORT_WAIT,
            );
        }
        attempts.get(self.id).and_then(|record| record.destination.clone())
    }
}

impl Drop for TrackedAttempt<'_> {
    fn drop(&mut self) {
        self.rescue.attempts.lock().remove(self.id);
    }
}
