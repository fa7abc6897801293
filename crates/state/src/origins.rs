//! Where streams began, as entry hosts have told this node. It is kept in memory and in a file that is not synced: all
//! processes may be killed at once, with those that could tell it again.

use std::io;
use std::path::Path;

use contract::{Fingerprint, StreamOrigin};
use crossbeam_channel::{Receiver, Sender, bounded};
use metrics::{counter, gauge};
use parking_lot::Mutex;
use policy::Tick;
use policy::origins::{MEMORY_TIME, StreamOrigins};
use slog::{Logger, info, warn};
use telemetry::Clock;
use telemetry::panics;
use wire::origins::{AskOrigin, KnownOrigin, TellOrigins, ToldOrigins};

use crate::disk::RecentFile;

/// Name of the file in the data folder.
const FILE_NAME: &str = "origins";
/// Most batches of streams that wait to be written; more are kept in memory only and counted.
const MAX_UNWRITTEN: usize = 1_024;

type Streams = Vec<(Fingerprint, StreamOrigin)>;

/// Origins of streams that this node is told of.
#[derive(Debug)]
pub struct OriginStore {
    /// Random number of the node's start.
    run: u64,
    origins: Mutex<StreamOrigins>,
    unwritten: Sender<Streams>,
}

impl OriginStore {
    /// Reads what an earlier process on the data folder knew, and starts the thread that writes what this one is told.
    /// Without a file, such as on a full disk, origins are kept in memory only.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn open(folder: &Path, clock: &Clock, logger: &Logger) -> io::Result<Self> {
        let now = clock.now();
        let (mut file, known) = match RecentFile::open::<Streams>(folder, FILE_NAME, MEMORY_TIME, now) {
            Ok((file, known)) => (Some(file), known),
            Err(error) => {
                warn!(logger, "origins of streams not read"; "error" => %error);
                (None, Vec::new())
            }
        };
        let mut origins = StreamOrigins::default();
        for (stream, origin) in known.iter().flatten() {
            origins.record(*stream, origin, now);
        }
        info!(logger, "origins of streams read"; "streams" => origins.len());
        let (unwritten, streams) = bounded(MAX_UNWRITTEN);
        let (clock, logger) = (clock.clone(), logger.clone());
        let thread_logger = logger.clone();
        let work = move || write_streams(&mut file, &streams, &clock, &logger);
        panics::spawn_restarting("origins", &thread_logger, work)?;
        Ok(Self {
            run: rand::random(),
            origins: Mutex::new(origins),
            unwritten,
        })
    }

    /// Records where streams began.
    pub fn record(&self, told: &TellOrigins, now: Tick) -> ToldOrigins {
        let mut origins = self.origins.lock();
        let streams = told.streams.iter();
        let new: Streams = streams
            .filter(|(stream, origin)| origins.record(*stream, origin, now))
            .cloned()
            .collect();
        gauge!("gentian_state_origins_count").set(origins.len() as f64);
        drop(origins);
        if !new.is_empty() && self.unwritten.try_send(new).is_err() {
            counter!("gentian_state_origins_unwritten_total").increment(1);
        }
        ToldOrigins { run: self.run }
    }

    /// Returns where a stream began.
    #[must_use]
    pub fn find(&self, asked: &AskOrigin, now: Tick) -> KnownOrigin {
        KnownOrigin {
            origin: self.origins.lock().get(&asked.stream, now).cloned(),
            ..KnownOrigin::default()
        }
    }
}

/// Writes batches of streams until the store is dropped.
fn write_streams(file: &mut Option<RecentFile>, streams: &Receiver<Streams>, clock: &Clock, logger: &Logger) {
    let mut is_failing = false;
    for batch in streams {
        let written = file.as_mut().map(|file| file.append(&batch, clock.now()));
        if let Some(Err(error)) = &written
            && !is_failing
        {
            warn!(logger, "origins of streams not written"; "error" => %error);
        }
        is_failing = !matches!(written, Some(Ok(())));
        if is_failing {
            counter!("gentian_state_origins_unwritten_total").increment(1);
        }
    }
}
