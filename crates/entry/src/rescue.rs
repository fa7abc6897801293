//! Rescue of the streams on hosts that will be taken away.
//!
//! Each attempt at an engine is on board here while it runs. One thread looks for those whose host leaves and has a few
//! others copy KV cache, one copy from an engine at a time; the stream itself goes on meanwhile and is asked to move when
//! its cache has arrived. Whatever fails here, the stream still breaks off with its host and is replayed by its own
//! attempt loop, so a caller's answer never depends on this module.

mod copy;
mod kept;
mod ride;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use crossbeam_channel::{Sender, bounded};
use metrics::counter;
use parking_lot::{Condvar, Mutex};
use policy::Tick;
use policy::life::AnyHostState;
use policy::prefix::Prefix;
use policy::rescue::{MoveRates, Stream, StreamAction, plan};

use crate::Entry;
use crate::settings::KvExport;
use kept::{Kept, KeptAnswers};
use ride::{Aboard, Stage};
pub use ride::{Boarding, Move, Ride};

/// Pause between two looks at the streams.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Threads that copy KV cache.
const COPIERS: usize = 8;
/// Time to prefill one token, for the question whether a replay would miss a target.
const PREFILL: Duration = Duration::from_micros(250);
/// Time to export one token's cache until one was measured.
const EXPORT: Duration = Duration::from_micros(130);
/// Weight of the newest measured export.
const NEWEST: f64 = 0.3;

/// What a copier is to do.
#[derive(Debug)]
enum Job {
    /// Copies the cache of a stream that runs.
    Stream(RequestId),
    /// Copies the cache of an answer that ended, for the next turn of its conversation.
    Ended(Box<Kept>),
}

/// All attempts that run, and what is measured of exports.
#[derive(Debug, Default)]
pub struct Rescue {
    aboard: Mutex<HashMap<RequestId, Aboard>>,
    changed: Condvar,
    kept: Mutex<KeptAnswers>,
    /// Seconds to export one token's cache.
    export: Mutex<Option<f64>>,
}

impl Rescue {
    /// Tells whether any stream's cache is on its way into another engine.
    #[must_use]
    pub fn is_importing(&self) -> bool {
        self.aboard.lock().values().any(|one| one.stage == Stage::Importing)
    }

    /// Notes an answer that ended, with everything that its engine has in its cache of it.
    pub fn keep(&self, id: &RequestId, spec: &UpstreamSpec, prefix: Prefix) {
        self.kept.lock().push(id, spec, prefix);
    }

    fn rates(&self, export: bool) -> MoveRates {
        let measured = self.export.lock().map(Duration::from_secs_f64);
        MoveRates {
            export: export.then(|| measured.unwrap_or(EXPORT)),
            prefill: PREFILL,
        }
    }

    fn measured(&self, tokens: u64, took: Duration) {
        let new = took.as_secs_f64() / tokens.max(1) as f64;
        let mut export = self.export.lock();
        *export = Some(export.map_or(new, |known| known * (1.0 - NEWEST) + new * NEWEST));
    }

    /// Decides on every stream whose host leaves and gives the copies that can begin now.
    fn look(&self, entry: &Entry, now: Tick) -> Vec<Job> {
        // On an ordinary day no host leaves, and nothing of what follows is worth its processor time.
        if !entry.fleet.hosts.any_ends(now) {
            return Vec::new();
        }
        let mut aboard = self.aboard.lock();
        let mut busy = exporting(&aboard);
        busy.extend(self.kept.lock().copying());
        let streams = self.look_streams(&mut aboard, &mut busy, entry, now);
        let mut jobs: Vec<Job> = streams.into_iter().map(Job::Stream).collect();
        if let Some(export) = self.rates(entry.settings.kv_export == KvExport::All).export {
            // What ended before is copied over links that no stream needs now.
            let ended = self.kept.lock().take(&entry.fleet.hosts, export, now, &mut busy);
            jobs.extend(ended.into_iter().map(|kept| Job::Ended(Box::new(kept))));
        }
        jobs
    }

    fn look_streams(
        &self,
        aboard: &mut HashMap<RequestId, Aboard>,
        busy: &mut HashSet<UpstreamId>,
        entry: &Entry,
        now: Tick,
    ) -> Vec<RequestId> {
        let hosts = &entry.fleet.hosts;
        let mut ids = Vec::new();
        let mut streams = Vec::new();
        for (id, one) in aboard.iter().filter(|(_, one)| one.stage == Stage::Riding) {
            // A host that is drained by an operator has no end, and its streams finish there.
            if let AnyHostState::Leaving(life) = hosts.stage(&one.spec.host)
                && let Some(gone_at) = life.gone_at()
            {
                ids.push(id.clone());
                streams.push(one.stream(gone_at, now));
            }
        }
        if streams.is_empty() {
            return Vec::new();
        }
        let mut copies = Vec::new();
        let steps = plan(
            &numbered(&streams),
            &self.rates(entry.settings.kv_export != KvExport::Off),
        );
        for (at, how) in steps {
            let Some(one) = aboard.get_mut(&ids[at]) else { continue };
            match how {
                StreamAction::Replay => one.ask(None, StreamAction::Replay),
                StreamAction::Export if busy.insert(one.spec.id.clone()) => {
                    one.stage = Stage::Exporting;
                    copies.push(ids[at].clone());
                }
                StreamAction::Export | StreamAction::Finish => {}
            }
        }
        copies
    }

    /// Puts back what can't be copied yet.
    fn put_back(&self, job: Job) {
        match job {
            Job::Stream(id) => {
                if let Some(one) = self.aboard.lock().get_mut(&id) {
                    one.stage = Stage::Riding;
                }
            }
            Job::Ended(kept) => self.kept.lock().put_back(*kept),
        }
    }
}

fn exporting(aboard: &HashMap<RequestId, Aboard>) -> HashSet<UpstreamId> {
    let busy = aboard.values().filter(|one| one.stage == Stage::Exporting);
    busy.map(|one| one.spec.id.clone()).collect()
}

/// Gives each source a number, so that the plan needs no names.
fn numbered(streams: &[Stream<&UpstreamId>]) -> Vec<Stream<usize>> {
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

/// Starts the threads of rescue.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn start(entry: &Arc<Entry>) -> std::io::Result<()> {
    let (ring, jobs) = bounded::<Job>(COPIERS);
    for _ in 0..COPIERS {
        let (entry, jobs) = (Arc::clone(entry), jobs.clone());
        std::thread::Builder::new()
            .name("copier".to_owned())
            .spawn(move || jobs.iter().for_each(|job| copy::run(&entry, job)))?;
    }
    let entry = Arc::clone(entry);
    std::thread::Builder::new()
        .name("rescue".to_owned())
        .spawn(move || watch(&entry, &ring))?;
    Ok(())
}

fn watch(entry: &Entry, ring: &Sender<Job>) {
    while !entry.stopping() {
        for job in entry.rescue.look(entry, entry.clock.now()) {
            if let Err(refused) = ring.try_send(job) {
                counter!("gentian_rescue_copies_waiting_total").increment(1);
                entry.rescue.put_back(refused.into_inner());
            }
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}
