//! Polling of engines for reclaim notices by the leader: the list shows reclaims too late to migrate all streams.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::ListedUpstream;
use crossbeam_channel::Sender;
use metrics::counter;
use policy::backoff::Backoff;
use policy::reclaim::{ReclaimGroup, engines_to_probe};
use slog::{Logger, debug, info};
use telemetry::Clock;
use telemetry::panics;
use tokio::sync::oneshot;
use upstream::directory::EngineProbe;

use crate::core::{Leadership, StateRequest};
use crate::registry::EntryRegistry;

/// Pause between two rounds, in which engines of each data centre are asked. The shortest notices leave 1.1 s; with
/// this pause the leader learns of them within 0.2 s, and entry hosts with their next heartbeat.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Greatest age of a list from which the engines to ask are chosen.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Pauses that engines have asked this host for, by id and start of the incarnation.
type Pauses = HashMap<(String, u64), Backoff>;

fn incarnation(engine: &ListedUpstream) -> (String, u64) {
    (engine.id.clone(), engine.start)
}

/// The thread that asks engines for reclaims while its node leads.
#[derive(derive_more::Debug)]
pub struct ReclaimPoller {
    /// Requests to the thread that owns the state.
    pub requests: Sender<StateRequest>,
    /// Receives the reclaims.
    pub registry: Arc<EntryRegistry>,
    /// Clock of the node.
    pub clock: Clock,
    /// Client of the engines.
    #[debug("engines")]
    pub engines: Box<dyn EngineProbe>,
    /// Logger of the node.
    pub logger: Logger,
}

impl ReclaimPoller {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(self) -> std::io::Result<()> {
        let logger = self.logger.clone();
        let work = move || {
            let mut round = 0;
            let mut pauses = HashMap::new();
            loop {
                thread::sleep(ROUND_PAUSE);
                if let Some(term) = self.leading_term() {
                    self.ask_engines(term, round, &mut pauses);
                }
                round += 1;
            }
        };
        panics::spawn_restarting("notices", &logger, work)
    }

    /// Returns the term if this node leads.
    fn leading_term(&self) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(StateRequest::Leadership(reply)).ok()?;
        let lead: Leadership = answer.blocking_recv().ok()?;
        lead.since.map(|_| lead.term)
    }

    /// Asks engines of each group of upstreams and records the reclaims that they report.
    fn ask_engines(&self, term: u64, round: usize, pauses: &mut Pauses) {
        let Some(list) = self.registry.list(self.clock.now(), MAX_LIST_AGE) else {
            return;
        };
        // An upstream that limits its requests or has asked this host for a pause has no room for probes; others of its group tell of a reclaim.
        let now = self.clock.now();
        pauses.retain(|_, pause: &mut Backoff| !pause.wait(now).is_zero());
        let has_room = |upstream: &&ListedUpstream| {
            !self.registry.is_limited(&upstream.id) && !pauses.contains_key(&incarnation(upstream))
        };
        let with_room: Vec<ListedUpstream> = list.iter().filter(has_room).cloned().collect();
        for (group, asked) in engines_to_probe(&with_room, round) {
            if let Some(left) = self.time_left(&asked, pauses) {
                self.report_reclaim(term, group, left, asked.len());
            }
        }
    }

    /// Returns the shortest time until the reclaim if all asked engines report one.
    fn time_left(&self, asked: &[&ListedUpstream], pauses: &mut Pauses) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for engine in asked {
            let left = self.ask_engine(engine, pauses)?;
            shortest = Some(shortest.map_or(left, |shortest| shortest.min(left)));
        }
        shortest
    }

    /// Returns the time until an engine's host is reclaimed; `None` if it is not, or if the engine does not answer.
    fn ask_engine(&self, engine: &ListedUpstream, pauses: &mut Pauses) -> Option<Duration> {
        let answer = self.engines.left(engine.address);
        answer.unwrap_or_else(|error| {
            // An engine that does not answer is left to the list and to the entry hosts' own failure detection.
            counter!("gentian_state_notices_failed_total").increment(1);
            debug!(self.logger, "engine did not answer whether it is reclaimed"; "upstream" => &engine.id,
                "peer" => %engine.address, "step" => "notice", "error" => %error);
            if !error.pause.is_zero() {
                counter!("gentian_state_engine_pauses_total").increment(1);
                let pause = pauses.entry(incarnation(engine)).or_default();
                pause.record_pause(error.pause, 0.0, self.clock.now());
            }
            None
        })
    }

    fn report_reclaim(&self, term: u64, group: ReclaimGroup, left: Duration, witnesses: usize) {
        let now = self.clock.now();
        info!(self.logger, "engines tell of a reclaim"; "service" => %group.0, "zone" => %group.1,
            "left_ms" => left.as_millis() as u64, "witnesses" => witnesses);
        self.registry.record_reclaim(term, group, now + left, now);
    }
}
