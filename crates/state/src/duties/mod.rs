//! Duties of the leader of the state group towards the platform: reporting usage and ordering capacity.
//!
//! The fencing token is the leader's term. A new leader acts only after it has led for a while: by then the calls of
//! the former leader have arrived. A node that leads again after another one waits longer, so that two do not
//! alternate.

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
use telemetry::panics;
use tokio::sync::oneshot;

use orders::Orders;

use crate::applied::{Command, Reply, WindowUsage};
use crate::core::{Leadership, StateRequest};
use crate::registry::EntryRegistry;

/// Interval between two checks of what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the end of a usage window until its counts are complete: several heartbeats, one of them lost.
const REPORT_DELAY_MS: u64 = 2_500;
/// Time before a report is due at which it no longer waits for entry hosts that are cut off: a new leader needs as long
/// to take over, and then reports.
const DUE_MARGIN_MS: u64 = 4_000;
/// Number of past usage windows that are reported late if necessary.
const MAX_LATE_WINDOWS: u64 = 5;
/// Time for which a new leader waits, so that calls of the former one have arrived.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Safety margin added to [`DutyTiming::holder_lease`].
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// The caller of the platform: the process that holds the duties.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// Name of the process.
    pub name: &'a str,
    /// Term of the leader; the platform refuses calls with an older one.
    pub fencing_token: u64,
}

/// An order for a number of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Name of the service.
    pub service: String,
    /// Name of the data centre.
    pub zone: String,
    /// Number of upstreams that there should be, the present ones included.
    pub count: u32,
    /// Whether these are reclaimable upstreams, at the spot price, instead of on-demand ones.
    pub reclaimable: bool,
}

/// Failure of a call to the platform.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer; the call may have taken effect.
    #[display("no answer: {_0}")]
    Unanswered(#[error(not(source))] String),
    /// Refused with this HTTP status; the call had no effect.
    #[display("refused with {_0}")]
    Refused(#[error(not(source))] u16),
    /// No upstream of the ordered kind is available.
    #[display("none available")]
    NoCapacity,
}

/// Client of the platform that takes usage reports and capacity orders.
pub trait PlatformApi: Send {
    /// Reports the usage of a window; an exact repetition has no effect.
    ///
    /// # Errors
    /// Fails when the report may not have taken effect.
    fn report(&self, holder: &DutyHolder<'_>, usage: &WindowUsage) -> Result<(), PlatformError>;

    /// Orders capacity.
    ///
    /// # Errors
    /// Fails when the order may not have taken effect.
    fn order(&self, holder: &DutyHolder<'_>, order: &CapacityOrder) -> Result<(), PlatformError>;
}

/// Timing of the duties, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct DutyTiming {
    /// Time within which calls of two holders must not alternate.
    pub holder_lease: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a usage window at which its report is due.
    pub usage_due: Duration,
}

/// The thread that performs the duties while its node leads.
#[derive(derive_more::Debug)]
pub struct LeaderDuties {
    node: NodeId,
    requests: Sender<StateRequest>,
    registry: Arc<EntryRegistry>,
    clock: Clock,
    timing: DutyTiming,
    #[debug("platform")]
    platform: Box<dyn PlatformApi>,
    logger: Logger,
    /// Usage windows whose report was accepted in this term.
    reported: BTreeSet<u64>,
    /// Term in which this process acted last; 0 before that.
    term: u64,
    /// When this process called the platform last; its start counts as a call, since an earlier run may have made one
    /// just before.
    last_call: Tick,
    /// Orders placed so far and the observations that they depend on.
    orders: Orders,
}

impl LeaderDuties {
    /// Creates the duties of a node.
    #[must_use]
    pub fn new(
        node: NodeId,
        (requests, registry, clock): (Sender<StateRequest>, Arc<EntryRegistry>, Clock),
        timing: DutyTiming,
        platform: Box<dyn PlatformApi>,
        logger: Logger,
    ) -> Self {
        let last_call = clock.now();
        Self {
            node,
            requests,
            registry,
            clock,
            timing,
            platform,
            logger,
            reported: BTreeSet::new(),
            term: 0,
            last_call,
            orders: Orders::default(),
        }
    }

    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(mut self) -> std::io::Result<()> {
        let logger = self.logger.clone();
        let work = move || {
            loop {
                thread::sleep(CHECK_INTERVAL);
                self.turn();
            }
        };
        panics::spawn_restarting("duties", &logger, work)
    }

    /// Does what is due, if this process may act; starts anew in a new term.
    fn turn(&mut self) {
        let Some((term, _)) = self.acting_term() else {
            return;
        };
        if self.term != term {
            info!(self.logger, "duties taken"; "fence" => term);
            self.reported.clear();
            self.orders.clear_placed();
            self.term = term;
        }
        self.report_due_windows();
        self.maintain_capacity();
    }

    /// Returns the term in which this process may act now and since when it has led, if it may.
    fn acting_term(&self) -> Option<(u64, Tick)> {
        let lead: Leadership = self.ask(StateRequest::Leadership)?;
        let since = lead.since?;
        let now = self.clock.now();
        let may_act = lead.term == self.term || now.since(self.last_call) >= self.timing.holder_lease + LEASE_MARGIN;
        (may_act && now.since(since) >= TAKEOVER_DELAY).then_some((lead.term, since))
    }

    /// Sends a request to the thread that owns the state and waits for the answer.
    fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> StateRequest) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(ask(reply)).ok()?;
        answer.blocking_recv().ok()
    }

    /// Reports the past usage windows that were not reported in this term, until one report fails.
    fn report_due_windows(&mut self) {
        let window_ms = self.timing.usage_window.as_millis() as u64;
        let now = wall_ms();
        let newest = now.saturating_sub(REPORT_DELAY_MS) / window_ms.max(1);
        for window in newest.saturating_sub(MAX_LATE_WINDOWS)..newest {
            if self.reported.contains(&window) || !self.registry.has_window(window) {
                continue;
            }
            let ended_ms = (window + 1) * window_ms;
            if self.awaits_counts(now.saturating_sub(ended_ms)) {
                counter!("gentian_duties_awaited_total").increment(1);
                return;
            }
            if !self.report(window) {
                return;
            }
        }
    }

    /// Returns whether the report of a window that ended `age_ms` ago waits for the counts of hosts that are cut off.
    fn awaits_counts(&self, age_ms: u64) -> bool {
        let now = self.clock.now();
        let latest_ms = (self.timing.usage_due.as_millis() as u64).saturating_sub(DUE_MARGIN_MS);
        age_ms < latest_ms && self.registry.awaits_counts(now - Duration::from_millis(age_ms), now)
    }

    /// Reports a window with the counts stored by the group; returns whether the platform accepted the report.
    fn report(&mut self, window: u64) -> bool {
        let counts = self.registry.counts(window);
        let command = Command::Usage(WindowUsage { window, counts });
        let stored = self.ask(|reply| StateRequest::Command(Box::new(command), reply));
        let Some(Ok(Reply::Usage(usage))) = stored else {
            return false;
        };
        // Storing the counts took time, in which another node may have become leader.
        let Some((term, _)) = self.acting_term().filter(|(term, _)| *term == self.term) else {
            return false;
        };
        let holder = DutyHolder {
            name: self.node.as_str(),
            fencing_token: term,
        };
        self.last_call = self.clock.now();
        match self.platform.report(&holder, &usage) {
            Ok(()) => {
                info!(self.logger, "usage reported"; "window" => window, "accounts" => usage.counts.len(),
                    "requests" => usage.counts.values().sum::<u64>(), "fence" => term);
                self.reported.insert(window);
                while self.reported.len() > 4 * MAX_LATE_WINDOWS as usize {
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
