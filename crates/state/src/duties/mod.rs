//! Duties that one process does for all: the leader of the state group reports usage and orders capacity.
//!
//! The fencing token is the leader's term. A new leader begins only after it has led for a while: by then what a former
//! leader sent has arrived. One that leads again after another waits longer, so that two don't take turns.

mod orders;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::NodeId;
use crossbeam_channel::Sender;
use derive_more::{Display, Error};
use metrics::counter;
use policy::Tick;
use slog::{Logger, info, warn};
use telemetry::Clock;
use telemetry::clock::wall_ms;
use tokio::sync::oneshot;

use orders::Orders;

use crate::applied::{Command, Reply, WindowUsage};
use crate::core::{Ask, Lead};
use crate::registry::EntryRegistry;

/// Pause between two looks at what is due.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after a window's end in which entry hosts tell their last counts of it: several beats, one of them lost.
const SETTLE_MS: u64 = 2_500;
/// Windows that are looked at for a report that is still due.
const BACK: u64 = 5;
/// Time for which a new leader waits for what a former one may just have sent.
const SETTLED: Duration = Duration::from_secs(1);
/// Time that a leader adds to the time in which holders must not take turns.
const MARGIN: Duration = Duration::from_millis(300);

/// Who makes a call.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// Name of the process.
    pub name: &'a str,
    /// Fencing token.
    pub fencing_token: u64,
}

/// A wanted number of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The service.
    pub service: String,
    /// The data centre.
    pub zone: String,
    /// How many there shall be.
    pub count: u32,
    /// Whether they are reclaimable.
    pub reclaimable: bool,
}

/// A call that failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer; the call may have counted.
    #[display("no answer: {_0}")]
    Unanswered(#[error(not(source))] String),
    /// The call did not count.
    #[display("refused with {_0}")]
    Refused(#[error(not(source))] u16),
    /// Nothing of what was ordered is available.
    #[display("none available")]
    NoCapacity,
}

/// Takes reports and orders.
pub trait PlatformApi: Send {
    /// Reports the usage of a window; an exact repeat changes nothing.
    ///
    /// # Errors
    /// Tells why the report may not have counted.
    fn report(&self, seat: &DutyHolder<'_>, usage: &WindowUsage) -> Result<(), PlatformError>;

    /// Orders capacity.
    ///
    /// # Errors
    /// Tells why the order may not have counted.
    fn order(&self, seat: &DutyHolder<'_>, order: &CapacityOrder) -> Result<(), PlatformError>;
}

/// Times of the duties, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct DutyTiming {
    /// Time in which holders must not take turns.
    pub holder_lease: Duration,
    /// Length of a window of usage.
    pub usage_window: Duration,
}

/// The thread that does the duties while its process leads.
#[derive(derive_more::Debug)]
pub struct LeaderDuties {
    node: NodeId,
    ring: Sender<Ask>,
    registry: Arc<EntryRegistry>,
    clock: Clock,
    timing: DutyTiming,
    #[debug("office")]
    office: Box<dyn PlatformApi>,
    logger: Logger,
    /// Windows whose report was accepted in this term.
    reported: BTreeSet<u64>,
    term: u64,
    /// When this process acted last; its start counts as an act, since it may have acted just before.
    acted: Tick,
    /// What was ordered, and why.
    orders: Orders,
}

impl LeaderDuties {
    /// Makes the duties of a node.
    #[must_use]
    pub fn new(
        node: NodeId,
        (ring, registry, clock): (Sender<Ask>, Arc<EntryRegistry>, Clock),
        timing: DutyTiming,
        office: Box<dyn PlatformApi>,
        logger: Logger,
    ) -> Self {
        let acted = clock.now();
        Self {
            node,
            ring,
            registry,
            clock,
            timing,
            office,
            logger,
            reported: BTreeSet::new(),
            term: 0,
            acted,
            orders: Orders::default(),
        }
    }

    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(mut self) -> std::io::Result<()> {
        let work = move || {
            loop {
                thread::sleep(PAUSE);
                self.turn();
            }
        };
        thread::Builder::new().name("duties".to_owned()).spawn(work).map(drop)
    }

    fn turn(&mut self) {
        let Some((term, _)) = self.leads() else {
            return;
        };
        if self.term != term {
            info!(self.logger, "duties taken"; "fence" => term);
            self.reported.clear();
            self.orders.forget();
            self.term = term;
        }
        self.report_usage();
        self.keep_capacity();
    }

    /// Gives the term in which this process may act, if it may.
    fn leads(&self) -> Option<(u64, Tick)> {
        let lead: Lead = self.ask(Ask::Lead)?;
        let since = lead.since?;
        let now = self.clock.now();
        let turns = lead.term == self.term || now.since(self.acted) >= self.timing.holder_lease + MARGIN;
        (turns && now.since(since) >= SETTLED).then_some((lead.term, since))
    }

    fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.ring.try_send(ask(reply)).ok()?;
        answer.blocking_recv().ok()
    }

    fn report_usage(&mut self) {
        let length = self.timing.usage_window.as_millis() as u64;
        let now = wall_ms();
        let newest = now.saturating_sub(SETTLE_MS) / length.max(1);
        for window in newest.saturating_sub(BACK)..newest {
            if self.reported.contains(&window) || !self.registry.knows(window) {
                continue;
            }
            if !self.report(window) {
                return;
            }
        }
    }

    /// Reports a window with the counts that the group has fixed; tells whether it was accepted.
    fn report(&mut self, window: u64) -> bool {
        let counts = self.registry.counts(window);
        let command = Command::Usage(WindowUsage { window, counts });
        let fixed = self.ask(|reply| Ask::Command(Box::new(command), reply));
        let Some(Ok(Reply::Usage(usage))) = fixed else {
            return false;
        };
        // Fixing the counts took time; another may lead by now.
        let Some((term, _)) = self.leads().filter(|(term, _)| *term == self.term) else {
            return false;
        };
        let seat = DutyHolder {
            name: self.node.as_str(),
            fencing_token: term,
        };
        self.acted = self.clock.now();
        match self.office.report(&seat, &usage) {
            Ok(()) => {
                info!(self.logger, "usage reported"; "window" => window, "accounts" => usage.counts.len(),
                    "requests" => usage.counts.values().sum::<u64>(), "fence" => term);
                self.reported.insert(window);
                while self.reported.len() > 4 * BACK as usize {
                    self.reported.pop_first();
                }
                true
            }
            Err(error) => {
                counter!("gentian_duties_failed_total").increment(1);
                warn!(self.logger, "usage not reported"; "window" => window, "error" => %error, "fence" => term);
                false
            }
        }
    }
}
