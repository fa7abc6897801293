//! The leader reads the list of upstreams for all entry hosts, so that its rate does not grow with their number.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use metrics::counter;
use slog::{Logger, info, warn};
use telemetry::Clock;
use tokio::sync::oneshot;
use upstream::directory::Directory;

use crate::core::{Ask, Lead};
use crate::registry::EntryRegistry;

/// Pause between two reads. A reclaim's notice comes two seconds and a half before its end; the list tells it up to a second
/// late and the news takes a beat to reach the entry hosts, so that half a second more is a third of what streams have to
/// move.
const PAUSE: Duration = Duration::from_millis(450);

/// The thread that reads the list while its process leads.
#[derive(derive_more::Debug)]
pub struct ListPoller {
    /// Questions to the thread that owns the state.
    pub requests: Sender<Ask>,
    /// Where lists go.
    pub registry: Arc<EntryRegistry>,
    /// The clock.
    pub clock: Clock,
    /// What reads.
    #[debug("directory")]
    pub directory: Box<dyn Directory>,
    /// The log.
    pub logger: Logger,
}

impl ListPoller {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(mut self) -> std::io::Result<()> {
        let work = move || {
            let mut failed = 0;
            loop {
                if let Some(term) = self.leads() {
                    self.read(term, &mut failed);
                }
                thread::sleep(PAUSE);
            }
        };
        thread::Builder::new().name("lists".to_owned()).spawn(work).map(drop)
    }

    fn leads(&self) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(Ask::Lead(reply)).ok()?;
        let lead: Lead = answer.blocking_recv().ok()?;
        lead.since.map(|_| lead.term)
    }

    fn read(&mut self, term: u64, failed: &mut u32) {
        let asked = self.clock.now();
        match self.directory.read() {
            Ok(list) => {
                if *failed > 0 {
                    info!(self.logger, "list of upstreams is read again"; "tries" => *failed);
                }
                *failed = 0;
                self.registry.set_list(term, list, asked);
            }
            Err(error) => {
                if *failed == 0 {
                    warn!(self.logger, "list of upstreams can't be read"; "step" => "list", "error" => error);
                }
                counter!("gentian_state_list_failed_total").increment(1);
                *failed += 1;
            }
        }
    }
}
