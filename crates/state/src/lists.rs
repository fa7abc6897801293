//! Polling of the upstream list by the leader, on behalf of all entry hosts, so that the request rate does not grow
//! with their number.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use metrics::counter;
use slog::{Logger, info, warn};
use telemetry::Clock;
use tokio::sync::oneshot;
use upstream::directory::Directory;

use crate::core::{Leadership, StateRequest};
use crate::registry::EntryRegistry;

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
        let work = move || {
            let mut failures = 0;
            loop {
                if let Some(term) = self.leading_term() {
                    self.read_list(term, &mut failures);
                }
                thread::sleep(READ_PAUSE);
            }
        };
        thread::Builder::new().name("lists".to_owned()).spawn(work).map(drop)
    }

    /// Returns the term if this node leads.
    fn leading_term(&self) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(StateRequest::Leadership(reply)).ok()?;
        let lead: Leadership = answer.blocking_recv().ok()?;
        lead.since.map(|_| lead.term)
    }

    fn read_list(&mut self, term: u64, failures: &mut u32) {
        let asked = self.clock.now();
        match self.directory.read() {
            Ok(list) => {
                if *failures > 0 {
                    info!(self.logger, "list of upstreams is read again"; "tries" => *failures);
                }
                *failures = 0;
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
}
