//! Polling of the upstream list by the leader, on behalf of all entry hosts, so that the request rate does not grow
//! with their number.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use metrics::counter;
use slog::{Logger, info, warn};
use telemetry::Clock;
use telemetry::panics;
use tokio::sync::oneshot;
use upstream::directory::Directory;

use crate::applied::Command;
use crate::core::{Leadership, StateRequest};
use crate::registry::EntryRegistry;
use crate::versions::{ListedVersions, listed_versions};

/// Pause between two reads. A reclaim is announced 2.5 s before it takes effect; the list shows it up to a second late,
/// and entry hosts hear of it with their next heartbeat. Half a second more would take a third of the time that is left
/// to migrate streams.
const READ_PAUSE: Duration = Duration::from_millis(450);

/// The thread that reads the list while its node leads.
#[derive(derive_more::Debug)]
pub struct ListPoller {
    /// Requests to the thread that owns the state.
    pub requests: Sender<StateRequest>,
    /// Receives the lists.
    pub registry: Arc<EntryRegistry>,
    /// Clock of the node.
    pub clock: Clock,
    /// Source of the list.
    #[debug("directory")]
    pub directory: Box<dyn Directory>,
    /// Logger of the node.
    pub logger: Logger,
}

impl ListPoller {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(mut self) -> std::io::Result<()> {
        let logger = self.logger.clone();
        let work = move || {
            let mut failures = 0;
            let mut stored = None;
            loop {
                if let Some(term) = self.leading_term() {
                    self.read_list(term, &mut failures, &mut stored);
                }
                thread::sleep(READ_PAUSE);
            }
        };
        panics::spawn_restarting("lists", &logger, work)
    }

    /// Returns the term if this node leads.
    fn leading_term(&self) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(StateRequest::Leadership(reply)).ok()?;
        let lead: Leadership = answer.blocking_recv().ok()?;
        lead.since.map(|_| lead.term)
    }

    /// `stored` is what this node stored last as the leader of a term.
    fn read_list(&mut self, term: u64, failures: &mut u32, stored: &mut Option<(u64, ListedVersions)>) {
        let asked = self.clock.now();
        match self.directory.read() {
            Ok(list) => {
                if *failures > 0 {
                    info!(self.logger, "list of upstreams is read again"; "tries" => *failures);
                }
                *failures = 0;
                // Before entry hosts send streams to a new version, so that it is known wherever these go on.
                let listed = (term, listed_versions(&list));
                if stored.as_ref() != Some(&listed) && self.store_versions(term, &listed.1) {
                    *stored = Some(listed);
                }
                self.registry.set_list(term, list, asked);
            }
            Err(error) => {
                if *failures == 0 {
                    warn!(self.logger, "list of upstreams can't be read"; "step" => "list", "error" => error);
                }
                counter!("gentian_state_list_failed_total").increment(1);
                *failures += 1;
            }
        }
    }

    /// Stores the listed versions in the replicated state; returns whether they were committed.
    fn store_versions(&self, term: u64, versions: &ListedVersions) -> bool {
        let (reply, answer) = oneshot::channel();
        let command = Box::new(Command::Versions(versions.clone()));
        let sent = self.requests.try_send(StateRequest::Command(command, reply));
        let stored = match sent.ok().and_then(|()| answer.blocking_recv().ok()) {
            Some(Ok(_)) => Ok(()),
            Some(Err(why)) => Err(why.to_string()),
            None => Err("the node is stopping or overloaded".to_owned()),
        };
        match &stored {
            Ok(()) => info!(self.logger, "listed versions stored"; "term" => term, "versions" => ?versions),
            // They are stored with the next read.
            Err(why) => warn!(self.logger, "listed versions not stored"; "term" => term, "error" => why),
        }
        stored.is_ok()
    }
}
