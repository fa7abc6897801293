//! The leader asks engines for reclaims, since the list tells of them too late for their streams to move.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::Listed;
use crossbeam_channel::Sender;
use metrics::counter;
use policy::reclaim::{ReclaimGroup, engines_to_probe};
use slog::{Logger, debug, info};
use telemetry::Clock;
use tokio::sync::oneshot;
use upstream::directory::EngineProbe;

use crate::core::{Ask, Lead};
use crate::registry::EntryRegistry;

/// Pause between two rounds of questions, one to each data centre. The shortest notices leave 1.1 s, of which engines tell after
/// 0.2 s and entry hosts hear within a beat.
const PAUSE: Duration = Duration::from_millis(200);
/// Age up to which a list says whom to ask.
const LIST_FRESH: Duration = Duration::from_secs(3);

/// The thread that asks while its process leads.
#[derive(derive_more::Debug)]
pub struct ReclaimPoller {
    /// Questions to the thread that owns the state.
    pub requests: Sender<Ask>,
    /// Where reclaims go.
    pub registry: Arc<EntryRegistry>,
    /// The clock.
    pub clock: Clock,
    /// Who is asked.
    #[debug("engines")]
    pub engines: Box<dyn EngineProbe>,
    /// The log.
    pub logger: Logger,
}

impl ReclaimPoller {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(self) -> std::io::Result<()> {
        let work = move || {
            let mut turn = 0;
            loop {
                thread::sleep(PAUSE);
                if let Some(term) = self.leads() {
                    self.round(term, turn);
                }
                turn += 1;
            }
        };
        thread::Builder::new().name("notices".to_owned()).spawn(work).map(drop)
    }

    fn leads(&self) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(Ask::Lead(reply)).ok()?;
        let lead: Lead = answer.blocking_recv().ok()?;
        lead.since.map(|_| lead.term)
    }

    fn round(&self, term: u64, turn: usize) {
        let Some(list) = self.registry.list(self.clock.now(), LIST_FRESH) else {
            return;
        };
        for (group, asked) in engines_to_probe(&list, turn) {
            if let Some(left) = self.left(&asked) {
                self.tell(term, group, left, asked.len());
            }
        }
    }

    /// Gives the time that is left if all of them say that they are taken away.
    fn left(&self, asked: &[&Listed]) -> Option<Duration> {
        let mut least: Option<Duration> = None;
        for one in asked {
            let left = self.ask(one)?;
            least = Some(least.map_or(left, |least| least.min(left)));
        }
        least
    }

    fn ask(&self, one: &Listed) -> Option<Duration> {
        let answer = self.engines.left(one.address);
        answer.unwrap_or_else(|error| {
            // An engine that does not answer is judged by the list and by its callers.
            counter!("gentian_state_notices_failed_total").increment(1);
            debug!(self.logger, "engine does not tell"; "upstream" => &one.id, "peer" => %one.address,
                "step" => "notice", "error" => error);
            None
        })
    }

    fn tell(&self, term: u64, group: ReclaimGroup, left: Duration, witnesses: usize) {
        let now = self.clock.now();
        info!(self.logger, "engines tell of a reclaim"; "service" => %group.0, "zone" => %group.1,
            "left_ms" => left.as_millis() as u64, "witnesses" => witnesses);
        self.registry.record_reclaim(term, group, now + left, now);
    }
}
