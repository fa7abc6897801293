//! Duties that one process does for all: the leader of the state group reports usage and orders capacity.
//!
//! The fencing token is the leader's term. A new leader begins only after it has led for a while: by then what a former
//! leader sent has arrived. One that leads again after another waits longer, so that two don't take turns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::{Listed, NodeId, Scaling, ServiceName, Zone};
use crossbeam_channel::Sender;
use derive_more::{Display, Error};
use metrics::counter;
use policy::Tick;
use policy::fleet::{Present, needed, plan};
use slog::{Logger, info, warn};
use telemetry::Clock;
use telemetry::clock::wall_ms;
use tokio::sync::oneshot;

use crate::applied::{Command, Reply, Usage};
use crate::core::{Ask, Lead};
use crate::registry::Registry;

/// Pause between two looks at what is due.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after a window's end in which entry hosts tell their last counts of it: several beats, one of them lost.
const SETTLE_MS: u64 = 2_500;
/// Windows that are looked at for a report that is still due.
const BACK: u64 = 5;
/// Pause between two looks at the list for the plan of capacity.
const PLAN: Duration = Duration::from_secs(1);
/// Age up to which a list counts for the plan.
const LIST_FRESH: Duration = Duration::from_secs(3);
/// Time beyond an upstream's start after which an order that shows no effect is given again.
const UNSEEN: Duration = Duration::from_secs(4);
/// Time for which a data centre that had none available is not asked again.
const DRY: Duration = Duration::from_secs(3);
/// Time for which a refusal counts as a sign that reclaims go on.
const WAVE: Duration = Duration::from_secs(8);
/// Time over which the highest load counts, so that the fleet doesn't follow each wave.
const BUSY: Duration = Duration::from_secs(15);
/// Age up to which the load that entry hosts tell counts.
const LOAD_FRESH: Duration = Duration::from_secs(2);
/// Time for which a new leader waits for what a former one may just have sent.
const SETTLED: Duration = Duration::from_secs(1);
/// Time that a leader adds to the time in which holders must not take turns.
const MARGIN: Duration = Duration::from_millis(300);

/// Who makes a call.
#[derive(Clone, Copy, Debug)]
pub struct Seat<'a> {
    /// Name of the process.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
}

/// A wanted number of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The data centre.
    pub zone: String,
    /// How many there shall be.
    pub count: u32,
    /// Whether they are reclaimable.
    pub spot: bool,
}

/// A call that failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum OfficeError {
    /// No answer; the call may have counted.
    #[display("no answer: {_0}")]
    Unanswered(#[error(not(source))] String),
    /// The call did not count.
    #[display("refused with {_0}")]
    Refused(#[error(not(source))] u16),
    /// Nothing of what was ordered is available.
    #[display("none available")]
    NoneLeft,
}

/// Takes reports and orders.
pub trait Office: Send {
    /// Reports the usage of a window; an exact repeat changes nothing.
    ///
    /// # Errors
    /// Tells why the report may not have counted.
    fn report(&self, seat: &Seat<'_>, usage: &Usage) -> Result<(), OfficeError>;

    /// Orders capacity.
    ///
    /// # Errors
    /// Tells why the order may not have counted.
    fn order(&self, seat: &Seat<'_>, order: &Order) -> Result<(), OfficeError>;
}

/// Times of the duties, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time in which holders must not take turns.
    pub lease: Duration,
    /// Length of a window of usage.
    pub window: Duration,
}

/// The thread that does the duties while its process leads.
#[derive(derive_more::Debug)]
pub struct Duties {
    node: NodeId,
    ring: Sender<Ask>,
    registry: Arc<Registry>,
    clock: Clock,
    timing: Timing,
    #[debug("office")]
    office: Box<dyn Office>,
    logger: Logger,
    /// Windows whose report was accepted in this term.
    reported: BTreeSet<u64>,
    term: u64,
    /// When this process acted last; its start counts as an act, since it may have acted just before.
    acted: Tick,
    planned: Option<Tick>,
    orders: BTreeMap<Subject, Given>,
    peaks: BTreeMap<ServiceName, Peak>,
    /// When reclaimable upstreams were refused last.
    refused: BTreeMap<(ServiceName, Zone), Tick>,
}

/// What an order is about: service, data centre and whether upstreams are reclaimable.
type Subject = (ServiceName, Zone, bool);

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    at: Tick,
    /// Nothing was available.
    dry: bool,
}

/// The highest load of late.
#[derive(Clone, Copy, Debug)]
struct Peak {
    /// Upstreams that were needed.
    needed: f64,
    at: Tick,
}

impl Duties {
    /// Makes the duties of a node.
    #[must_use]
    pub fn new(
        node: NodeId,
        (ring, registry, clock): (Sender<Ask>, Arc<Registry>, Clock),
        timing: Timing,
        office: Box<dyn Office>,
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
            planned: None,
            orders: BTreeMap::new(),
            peaks: BTreeMap::new(),
            refused: BTreeMap::new(),
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
            self.orders.clear();
            self.term = term;
        }
        self.report_usage();
        self.keep_capacity();
    }

    /// Orders what the plan of each service wants.
    fn keep_capacity(&mut self) {
        let now = self.clock.now();
        if self.planned.is_some_and(|at| now.since(at) < PLAN) {
            return;
        }
        self.planned = Some(now);
        let scaled = self.scaled();
        if scaled.is_empty() {
            return;
        }
        let Some(list) = self.registry.list(now, LIST_FRESH) else {
            return;
        };
        let loads = self.registry.loads(now, LOAD_FRESH);
        for (service, scaling, slots) in scaled {
            let load = loads.get(service.as_str()).copied().unwrap_or_default();
            let present = self.present(&service, &scaling, &list, now);
            let told = needed(load.running, load.prompt_per_s, slots);
            let needed = self.peak(&service, told, &present, now);
            for (zone, wanted) in plan(&present, &scaling, needed) {
                let there = present.get(&zone).cloned().unwrap_or_default();
                let kinds = [
                    (true, wanted.reclaimable, there.reclaimable),
                    (false, wanted.on_demand, there.on_demand),
                ];
                for (spot, wanted, there) in kinds {
                    self.keep_order((service.clone(), zone.clone(), spot), wanted, there, &scaling, needed);
                }
            }
        }
    }

    fn scaled(&self) -> Vec<(ServiceName, Scaling, u32)> {
        let (reply, answer) = oneshot::channel();
        let read = Ask::Read(Box::new(move |applied, _age| {
            let services = applied.catalog().map(|catalog| catalog.services.iter());
            let scaled = services.into_iter().flatten();
            let scaled = scaled.filter_map(|service| {
                let slots = service.engine.map_or(0, |engine| engine.slots);
                Some((service.name.clone(), service.scaling.clone()?, slots))
            });
            // An asker that has gone away needs no answer.
            let _ = reply.send(scaled.collect());
        }));
        if self.ring.try_send(read).is_err() {
            return Vec::new();
        }
        answer.blocking_recv().unwrap_or_default()
    }

    /// Gives the highest load of late; before the first requests, half of what was there first is taken to be needed, since
    /// operators had a reason for it.
    fn peak(&mut self, service: &ServiceName, needed: f64, present: &BTreeMap<Zone, Present>, now: Tick) -> f64 {
        let there: u32 = present.values().map(|one| one.on_demand).sum();
        let expected = f64::from(there) / 2.0;
        let first = Peak {
            needed: expected,
            at: now,
        };
        let peak = self.peaks.entry(service.clone()).or_insert(first);
        let unknown = needed <= 0.0;
        if unknown {
            peak.at = now;
            peak.needed = peak.needed.max(expected);
        } else if needed >= peak.needed || now.since(peak.at) > BUSY {
            *peak = Peak { needed, at: now };
        }
        peak.needed
    }

    fn present(&self, service: &ServiceName, scaling: &Scaling, list: &[Listed], now: Tick) -> BTreeMap<Zone, Present> {
        let zones = scaling.prices.keys().cloned();
        let mut present: BTreeMap<Zone, Present> = zones.map(|zone| (zone, Present::default())).collect();
        for one in list.iter().filter(|one| one.service == *service && !one.leaving) {
            let there = present.entry(one.zone.clone()).or_default();
            if one.reclaimable {
                there.reclaimable += 1;
            } else {
                there.on_demand += 1;
            }
        }
        let pause = Duration::from_millis(scaling.boot_ms) + UNSEEN;
        for (zone, there) in &mut present {
            let order = |spot| self.orders.get(&(service.clone(), zone.clone(), spot)).copied();
            there.closed = order(true).is_some_and(|given| given.dry && now.since(given.at) < DRY);
            let refused = self.refused.get(&(service.clone(), zone.clone()));
            there.dry = refused.is_some_and(|at| now.since(*at) < WAVE);
            // What was ordered a moment ago is still starting; an order that forgot it would take it back.
            let starting = order(false).filter(|given| !given.dry && now.since(given.at) < pause);
            there.on_demand = there.on_demand.max(starting.map_or(0, |given| given.count));
        }
        present
    }

    /// Gives an order unless the same one was given and may still take effect.
    fn keep_order(&mut self, subject: Subject, wanted: u32, there: u32, scaling: &Scaling, needed: f64) {
        let now = self.clock.now();
        let given = self.orders.get(&subject).copied();
        let pause = Duration::from_millis(scaling.boot_ms) + UNSEEN;
        let due = match given {
            Some(given) if given.dry => now.since(given.at) >= DRY && wanted != there,
            Some(given) => given.count != wanted || (wanted != there && now.since(given.at) >= pause),
            None => wanted != there,
        };
        if !due {
            return;
        }
        let Some((fence, _)) = self.leads().filter(|(term, _)| *term == self.term) else {
            return;
        };
        let (service, zone, spot) = &subject;
        let order = Order {
            service: service.to_string(),
            zone: zone.to_string(),
            count: wanted,
            spot: *spot,
        };
        let seat = Seat {
            holder: self.node.as_str(),
            fence,
        };
        self.acted = now;
        let result = self.office.order(&seat, &order);
        let outcome = result
            .as_ref()
            .map_or_else(ToString::to_string, |()| "taken".to_owned());
        info!(self.logger, "capacity ordered"; "service" => &order.service, "zone" => &order.zone, "spot" => spot,
            "count" => wanted, "there" => there, "needed" => needed, "fence" => fence, "outcome" => outcome);
        let dry = matches!(result, Err(OfficeError::NoneLeft));
        if dry && *spot {
            self.refused.insert((service.clone(), zone.clone()), now);
        }
        if dry || result.is_ok() {
            let count = wanted;
            self.orders.insert(subject, Given { count, at: now, dry });
        }
    }

    /// Gives the term in which this process may act, if it may.
    fn leads(&self) -> Option<(u64, Tick)> {
        let lead: Lead = self.ask(Ask::Lead)?;
        let since = lead.since?;
        let now = self.clock.now();
        let turns = lead.term == self.term || now.since(self.acted) >= self.timing.lease + MARGIN;
        (turns && now.since(since) >= SETTLED).then_some((lead.term, since))
    }

    fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.ring.try_send(ask(reply)).ok()?;
        answer.blocking_recv().ok()
    }

    fn report_usage(&mut self) {
        let length = self.timing.window.as_millis() as u64;
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
        let command = Command::Usage(Usage { window, counts });
        let fixed = self.ask(|reply| Ask::Command(Box::new(command), reply));
        let Some(Ok(Reply::Usage(usage))) = fixed else {
            return false;
        };
        // Fixing the counts took time; another may lead by now.
        let Some((term, _)) = self.leads().filter(|(term, _)| *term == self.term) else {
            return false;
        };
        let seat = Seat {
            holder: self.node.as_str(),
            fence: term,
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
