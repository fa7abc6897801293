//! Moves streams off engine hosts that will be reclaimed.
//!
//! Every running attempt at an engine is registered here. One thread looks for attempts on hosts with an announced end,
//! and a few others copy their KV cache to another engine, one copy from each engine at a time. The stream continues
//! meanwhile and is asked to move once its cache has arrived. If anything fails here, the stream breaks off with its
//! host and its attempt loop replays it, so that correct answers never depend on this module.

mod copy;
mod ended;
mod tracked;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use crossbeam_channel::{Sender, bounded};
use metrics::counter;
use parking_lot::{Condvar, Mutex};
use policy::life::AnyHostState;
use policy::prefix::Prefix;
use policy::rescue::{MoveRates, Stream, StreamAction, plan};
use policy::{Tick, duration_from_secs};

use crate::EntryHost;
use crate::settings::KvExport;
use ended::{EndedAnswer, EndedAnswers};
use telemetry::panics;
pub use tracked::{AttemptInfo, StreamMove, TrackedAttempt};
use tracked::{AttemptRecord, MoveStage};

/// Pause between two checks of the running attempts.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of threads that copy KV cache.
const COPY_THREADS: usize = 8;
/// Assumed time to prefill one token; decides whether a replay would miss a latency target.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(250);
/// Assumed time to export the KV cache of one token until an export was measured.
const EXPORT_PER_TOKEN: Duration = Duration::from_micros(130);
/// Weight of the newest measurement in the moving average of the export time.
const NEWEST_WEIGHT: f64 = 0.3;

/// A KV cache copy for a copier thread.
#[derive(Debug)]
enum CopyJob {
    /// The cache of a running stream.
    Stream(RequestId),
    /// The cache of an answer that ended, for the next turn of its conversation.
    Ended(Box<EndedAnswer>),
}

/// The running attempts, recently ended answers and the measured export time.
#[derive(Debug, Default)]
pub struct StreamRescue {
    attempts: Mutex<HashMap<RequestId, AttemptRecord>>,
    copy_finished: Condvar,
    ended: Mutex<EndedAnswers>,
    /// Seconds to export the KV cache of one token; absent until an export was measured.
    export_seconds: Mutex<Option<f64>>,
}

impl StreamRescue {
    /// Returns whether the cache of any stream is being imported into another engine.
    #[must_use]
    pub fn is_importing(&self) -> bool {
        self.attempts
            .lock()
            .values()
            .any(|attempt| attempt.stage == MoveStage::Importing)
    }

    /// Records an answer that ended; `prefix` is what the engine now has in its cache.
    pub fn remember_answer(&self, id: &RequestId, spec: &UpstreamSpec, prefix: Prefix) {
        self.ended.lock().push(id, spec, prefix);
    }

    fn rates(&self, export: bool) -> MoveRates {
        let measured = self.export_seconds.lock().map(duration_from_secs);
        MoveRates {
            export: export.then(|| measured.unwrap_or(EXPORT_PER_TOKEN)),
            prefill: PREFILL_PER_TOKEN,
        }
    }

    fn record_export(&self, tokens: u64, took: Duration) {
        let new = took.as_secs_f64() / tokens.max(1) as f64;
        let mut export = self.export_seconds.lock();
        *export = Some(export.map_or(new, |known| known * (1.0 - NEWEST_WEIGHT) + new * NEWEST_WEIGHT));
    }

    /// Decides about every stream on a leaving host and returns the copies that can start now.
    fn plan_copies(&self, entry: &EntryHost, now: Tick) -> Vec<CopyJob> {
        // Most of the time no host leaves, and the checks below would waste processor time.
        if !entry.upstreams.hosts.any_ending(now) {
            return Vec::new();
        }
        let mut attempts = self.attempts.lock();
        let mut busy = exporting_engines(&attempts);
        busy.extend(self.ended.lock().copying_engines());
        let streams = self.plan_streams(&mut attempts, &mut busy, entry, now);
        let mut jobs: Vec<CopyJob> = streams.into_iter().map(CopyJob::Stream).collect();
        if let Some(export) = self.rates(entry.settings.kv_export == KvExport::All).export {
            // Ended answers use only the links that no stream needs now.
            let ended = self
                .ended
                .lock()
                .take_copyable(&entry.upstreams.hosts, export, now, &mut busy);
            jobs.extend(ended.into_iter().map(|answer| CopyJob::Ended(Box::new(answer))));
        }
        jobs
    }

    fn plan_streams(
        &self,
        attempts: &mut HashMap<RequestId, AttemptRecord>,
        busy: &mut HashSet<UpstreamId>,
        entry: &EntryHost,
        now: Tick,
    ) -> Vec<RequestId> {
        let hosts = &entry.upstreams.hosts;
        let mut requests = Vec::new();
        let mut streams = Vec::new();
        for (id, attempt) in attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == MoveStage::Running)
        {
            // A host that an operator drains has no announced end; its streams finish there.
            if let AnyHostState::Leaving(state) = hosts.state(&attempt.spec.host)
                && let Some(gone_at) = state.gone_at()
            {
                requests.push(id.clone());
                streams.push(attempt.stream(gone_at, now));
            }
        }
        if streams.is_empty() {
            return Vec::new();
        }
        let mut copies = Vec::new();
        let actions = plan(
            &numbered_sources(&streams),
            &self.rates(entry.settings.kv_export != KvExport::Off),
        );
        for (index, action) in actions {
            let Some(attempt) = attempts.get_mut(&requests[index]) else {
                continue;
            };
            match action {
                StreamAction::Replay => attempt.request_move(None, StreamAction::Replay),
                StreamAction::Export if busy.insert(attempt.spec.id.clone()) => {
                    attempt.stage = MoveStage::Exporting;
                    copies.push(requests[index].clone());
                }
                StreamAction::Export | StreamAction::Finish => {}
            }
        }
        copies
    }

    /// Returns a copy that can't start yet to where it came from.
    fn put_back(&self, job: CopyJob) {
        match job {
            CopyJob::Stream(id) => {
                if let Some(attempt) = self.attempts.lock().get_mut(&id) {
                    attempt.stage = MoveStage::Running;
                }
            }
            CopyJob::Ended(answer) => self.ended.lock().put_back(*answer),
        }
    }
}

fn exporting_engines(attempts: &HashMap<RequestId, AttemptRecord>) -> HashSet<UpstreamId> {
    let busy = attempts
        .values()
        .filter(|attempt| attempt.stage == MoveStage::Exporting);
    busy.map(|attempt| attempt.spec.id.clone()).collect()
}

/// Replaces the source engines by numbers, so that the plan needs no names.
fn numbered_sources(streams: &[Stream<&UpstreamId>]) -> Vec<Stream<usize>> {
    let mut numbers = HashMap::new();
    let number = |stream: &Stream<&UpstreamId>| {
        let next = numbers.len();
        Stream {
            source: *numbers.entry(stream.source.clone()).or_insert(next),
            time_left: stream.time_left,
            tokens: stream.tokens,
            remaining: stream.remaining,
            token_interval: stream.token_interval,
            slack: stream.slack,
            failed_copies: stream.failed_copies,
        }
    };
    streams.iter().map(number).collect()
}

/// Starts the threads that watch the attempts and copy KV cache.
///
/// # Errors
/// Fails if a thread can't be started.
pub fn start(entry: &Arc<EntryHost>) -> std::io::Result<()> {
    let (queue, jobs) = bounded::<CopyJob>(COPY_THREADS);
    for _ in 0..COPY_THREADS {
        let (entry, jobs) = (Arc::clone(entry), jobs.clone());
        let logger = entry.logger.clone();
        let copy_all = move || jobs.iter().for_each(|job| copy::run(&entry, job));
        panics::spawn_restarting("copier", &logger, copy_all)?;
    }
    let entry = Arc::clone(entry);
    let logger = entry.logger.clone();
    panics::spawn_restarting("rescue", &logger, move || watch_attempts(&entry, &queue))
}

fn watch_attempts(entry: &EntryHost, queue: &Sender<CopyJob>) {
    while !entry.is_stopping() {
        for job in entry.rescue.plan_copies(entry, entry.clock.now()) {
            if let Err(rejected) = queue.try_send(job) {
                counter!("gentian_rescue_copies_waiting_total").increment(1);
                entry.rescue.put_back(rejected.into_inner());
            }
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}
