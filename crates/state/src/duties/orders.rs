//! Orders of capacity: what the plan of each service wants, given once and again only where it had no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Listed, Scaling, ServiceName, Zone};
use policy::Tick;
use policy::fleet::{Demand, Load, Loads, Present, Reclaims, Risk, plan};
use slog::info;
use tokio::sync::oneshot;
use wire::registry::ServiceLoad;

use super::{Duties, OfficeError, Order, Seat};
use crate::core::Ask;

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
/// Time beyond an upstream's start after which it takes requests: the list lags by as much.
const SEEN: Duration = Duration::from_secs(1);
/// Age up to which the load that entry hosts tell counts.
const LOAD_FRESH: Duration = Duration::from_secs(2);

/// What was ordered, and what the orders rest on.
#[derive(Debug, Default)]
pub(super) struct Orders {
    planned: Option<Tick>,
    given: BTreeMap<Subject, Given>,
    loads: BTreeMap<ServiceName, Loads>,
    reclaims: BTreeMap<ServiceName, Reclaims>,
    /// When reclaimable upstreams were refused last.
    refused: BTreeMap<(ServiceName, Zone), Tick>,
}

impl Orders {
    /// Forgets what an earlier term ordered; what is there tells what came of it.
    pub(super) fn forget(&mut self) {
        self.given.clear();
    }
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

fn as_load(told: &ServiceLoad) -> Load {
    Load {
        running: told.running,
        busy: told.reading.busy,
        squares: told.reading.squares,
        targets: told.reading.targets,
    }
}

/// What a plan rests on.
#[derive(Debug)]
struct Basis {
    demand: Demand,
    risk: Risk,
}

impl Duties {
    /// Orders what the plan of each service wants.
    pub(super) fn keep_capacity(&mut self) {
        let now = self.clock.now();
        if self.orders.planned.is_some_and(|at| now.since(at) < PLAN) {
            return;
        }
        self.orders.planned = Some(now);
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
            let of_service = || list.iter().filter(|one| one.service == service);
            let start = Duration::from_millis(scaling.boot_ms) + SEEN;
            let reclaims = self.orders.reclaims.entry(service.clone()).or_default();
            reclaims.note(of_service(), present.values().filter(|there| there.dry).count(), now);
            let risk = reclaims.risk(present.len(), start, now);
            let listed = of_service().map(|one| one.slots).max();
            let slots = if slots > 0 { slots } else { listed.unwrap_or(1) };
            let on_demand = of_service().filter(|one| !one.reclaimable).count() as u32;
            let seen = self.orders.loads.entry(service.clone()).or_default();
            if !seen.note(as_load(&load), on_demand, now) {
                continue;
            }
            let basis = Basis {
                demand: seen.demand(slots, now),
                risk,
            };
            for (zone, wanted) in plan(&present, &scaling, &basis.demand, risk) {
                let there = present.get(&zone).cloned().unwrap_or_default();
                let kinds = [
                    (true, wanted.reclaimable, there.reclaimable),
                    (false, wanted.on_demand, there.on_demand),
                ];
                for (spot, wanted, there) in kinds {
                    self.keep_order((service.clone(), zone.clone(), spot), wanted, there, &scaling, &basis);
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
            let order = |spot| self.orders.given.get(&(service.clone(), zone.clone(), spot)).copied();
            there.closed = order(true).is_some_and(|given| given.dry && now.since(given.at) < DRY);
            let refused = self.orders.refused.get(&(service.clone(), zone.clone()));
            there.dry = refused.is_some_and(|at| now.since(*at) < WAVE);
            // What was ordered a moment ago is still starting; an order that forgot it would take it back.
            let starting = order(false).filter(|given| !given.dry && now.since(given.at) < pause);
            there.on_demand = there.on_demand.max(starting.map_or(0, |given| given.count));
        }
        present
    }

    /// Gives an order unless the same one was given and may still take effect.
    fn keep_order(&mut self, subject: Subject, wanted: u32, there: u32, scaling: &Scaling, basis: &Basis) {
        let now = self.clock.now();
        let given = self.orders.given.get(&subject).copied();
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
            "count" => wanted, "there" => there, "busy" => format!("{:.2?}", basis.demand.busy),
            "filled" => basis.demand.filled, "patience" => basis.demand.patience, "reclaims_soon" => basis.risk.soon,
            "out" => basis.risk.out, "fence" => fence, "outcome" => outcome);
        let dry = matches!(result, Err(OfficeError::NoneLeft));
        if dry && *spot {
            self.orders.refused.insert((service.clone(), zone.clone()), now);
        }
        if dry || result.is_ok() {
            let count = wanted;
            self.orders.given.insert(subject, Given { count, at: now, dry });
        }
    }
}
