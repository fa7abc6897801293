//! The thread that owns the state: it batches what is asked, makes it durable and answers.

use std::time::Duration;

use contract::Config;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use policy::Tick;
use slog::{Logger, error};
use telemetry::Clock;
use telemetry::clock::wall_ms;
use tokio::sync::oneshot;
use wire::state::{StateStatus, Unavailable, Watch, Watched};

use crate::applied::{Applied, Command, Entry, Reply};
use crate::single::{DiskError, Log};

/// Questions that may wait for the thread; more are refused.
pub const RING: usize = 4_096;
/// Most entries that share one sync.
const BATCH: usize = 512;
/// How often waiting learners are looked at.
const STEP: Duration = Duration::from_millis(10);

/// A question to the thread.
#[derive(Debug)]
pub enum Ask {
    /// Appends a command to the log.
    Command(Box<Command>, oneshot::Sender<Result<Reply, Unavailable>>),
    /// Waits for changes of the configuration.
    Watch(Watch, oneshot::Sender<Watched>),
    /// Asks for the status.
    Status(oneshot::Sender<StateStatus>),
    /// Asks for the whole configuration.
    Config(oneshot::Sender<Config>),
}

/// Gives the ring to the thread.
#[must_use]
pub fn ring() -> (Sender<Ask>, Receiver<Ask>) {
    bounded(RING)
}

/// The state together with its log.
#[derive(Debug)]
pub struct Core {
    applied: Applied,
    log: Log,
    clock: Clock,
    logger: Logger,
    watchers: Vec<(Tick, Watch, oneshot::Sender<Watched>)>,
}

impl Core {
    /// Makes the state from the entries of a log.
    #[must_use]
    pub fn new(log: Log, entries: &[Entry], clock: Clock, logger: Logger) -> Self {
        let mut applied = Applied::default();
        for entry in entries {
            applied.apply(entry);
        }
        Self {
            applied,
            log,
            clock,
            logger,
            watchers: Vec::new(),
        }
    }

    /// Serves until every sender of the ring is gone.
    ///
    /// # Errors
    /// Fails when the log can't be written any more.
    pub fn run(mut self, asks: &Receiver<Ask>) -> Result<(), DiskError> {
        loop {
            match asks.recv_timeout(STEP) {
                Ok(first) => {
                    let batch: Vec<Ask> = std::iter::once(first).chain(asks.try_iter().take(BATCH - 1)).collect();
                    self.serve(batch)?;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.answer_watchers();
        }
    }

    fn serve(&mut self, batch: Vec<Ask>) -> Result<(), DiskError> {
        let at_ms = wall_ms().max(self.applied.at_ms);
        let mut entries = Vec::new();
        let mut replies = Vec::new();
        for ask in batch {
            match ask {
                Ask::Command(command, reply) => {
                    entries.push(Entry {
                        at_ms,
                        command: *command,
                    });
                    replies.push(reply);
                }
                Ask::Watch(watch, reply) => {
                    let until = self.clock.now() + Duration::from_millis(watch.wait_ms);
                    self.watchers.push((until, watch, reply));
                }
                Ask::Status(reply) => drop(reply.send(self.status())),
                Ask::Config(reply) => drop(reply.send(self.applied.config.clone())),
            }
        }
        if entries.is_empty() {
            return Ok(());
        }
        if let Err(error) = self.log.append(&entries) {
            error!(self.logger, "log cannot be written"; "error" => %error);
            return Err(error);
        }
        for (entry, reply) in entries.iter().zip(replies) {
            // An asker that has gone away needs no answer.
            let _ = reply.send(Ok(self.applied.apply(entry)));
        }
        Ok(())
    }

    fn answer_watchers(&mut self) {
        let now = self.clock.now();
        let revision = self.applied.config.revision;
        let ready = |(until, watch, _): &mut (Tick, Watch, _)| watch.after < revision || *until <= now;
        let ready: Vec<_> = self.watchers.extract_if(.., ready).collect();
        for (_, watch, reply) in ready {
            // An asker that has gone away needs no answer.
            let _ = reply.send(self.applied.since(watch.after, 0));
        }
    }

    fn status(&self) -> StateStatus {
        StateStatus {
            role: "leader".to_owned(),
            term: 1,
            committed: self.applied.index,
            leader: None,
            voters: Vec::new(),
            claims: self.applied.claim_count(),
        }
    }
}
