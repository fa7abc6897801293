//! Orders of capacity: what the plan of each service wants, given once and again only where it had no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Listed, Scaling, ServiceName, Zone};
use policy::Tick;
use policy::fleet::{ZoneSupply, plan, upstreams_needed};
use slog::info;
use tokio::sync::oneshot;

use super::{CapacityOrder, DutyHolder, LeaderDuties, PlatformError};
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
/// Time for which upstreams of a data centre that are called back belong to one reclaim; they are gone within three seconds.
const ONE_RECLAIM: Duration = Duration::from_secs(8);
/// Time beyond an upstream's start after which it takes requests: the list lags by as much.
const SEEN: Duration = Duration::from_secs(1);
/// Time over which the highest load counts, so that the fleet doesn't follow each wave.
const BUSY: Duration = Duration::from_secs(15);
/// Part of the upstreams that are there first which is taken to be needed until load is known. On the users' four sites the
/// first requests need 0.45 to 0.6 of them.
const EXPECTED: f64 = 0.5;
/// Age up to which the load that entry hosts tell counts.
const LOAD_FRESH: Duration = Duration::from_secs(2);

/// What was ordered, and what the orders rest on.
#[derive(Debug, Default)]
pub(super) struct Orders {
    planned: Option<Tick>,
    given: BTreeMap<Subject, Given>,
    peaks: BTreeMap<ServiceName, Peak>,
    /// On-demand upstreams at the last look, those that leave among them.
    counted: BTreeMap<ServiceName, u32>,
    /// When reclaimable upstreams were refused last.
    refused: BTreeMap<(ServiceName, Zone), Tick>,
    /// When reclaimable upstreams were called back last.
    reclaimed: BTreeMap<(ServiceName, Zone), Tick>,
}

impl Orders {
    /// Notes which data centres' upstreams are called back.
    fn note_reclaims(&mut self, list: &[Listed], now: Tick) {
        for one in list.iter().filter(|one| one.leaving && one.left.is_some()) {
            let place = (one.service.clone(), one.zone.clone());
            let at = self.reclaimed.entry(place).or_insert(now);
            if now.since(*at) > ONE_RECLAIM {
                *at = now;
            }
        }
    }

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

/// The highest load of late.
#[derive(Clone, Copy, Debug)]
struct Peak {
    /// Upstreams that were needed.
    needed: f64,
    at: Tick,
}

impl LeaderDuties {
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
        self.orders.note_reclaims(&list, now);
        let loads = self.registry.loads(now, LOAD_FRESH);
        for (service, scaling, slots) in scaled {
            let load = loads.get(service.as_str()).copied().unwrap_or_default();
            let present = self.present(&service, &scaling, &list, now);
            let told = upstreams_needed(load.running, load.reading, slots);
            let Some(needed) = self.peak(&service, told, &list, now) else {
                continue;
            };
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

    /// Gives the upstreams that the highest load of late needs. Before the first requests half of what was there first is
    /// taken to be needed, since operators had a reason for it. Nothing is known until two looks in a row have found as many:
    /// when everything starts together, the first list names the upstreams that were quickest. Of a hundred and twelve it
    /// named sixty-three; a fleet sized by that was half of what the first requests needed.
    fn peak(&mut self, service: &ServiceName, needed: f64, list: &[Listed], now: Tick) -> Option<f64> {
        let unknown = needed <= 0.0;
        let own = list.iter().filter(|one| one.service == *service && !one.reclaimable);
        let count = own.count() as u32;
        let expected = f64::from(count) * EXPECTED;
        let before = self.orders.counted.insert(service.clone(), count);
        let Some(peak) = self.orders.peaks.get_mut(service) else {
            if unknown && before != Some(count) {
                return None;
            }
            let needed = if unknown { expected } else { needed };
            self.orders.peaks.insert(service.clone(), Peak { needed, at: now });
            return Some(needed);
        };
        if unknown {
            peak.at = now;
            peak.needed = peak.needed.max(expected);
        } else if needed >= peak.needed || now.since(peak.at) > BUSY {
            *peak = Peak { needed, at: now };
        }
        Some(peak.needed)
    }

    fn present(
        &self,
        service: &ServiceName,
        scaling: &Scaling,
        list: &[Listed],
        now: Tick,
    ) -> BTreeMap<Zone, ZoneSupply> {
        let zones = scaling.prices.keys().cloned();
        let mut present: BTreeMap<Zone, ZoneSupply> = zones.map(|zone| (zone, ZoneSupply::default())).collect();
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
            there.backing_off = order(true).is_some_and(|given| given.dry && now.since(given.at) < DRY);
            let refused = self.orders.refused.get(&(service.clone(), zone.clone()));
            there.scarce = refused.is_some_and(|at| now.since(*at) < WAVE);
            let reclaimed = self.orders.reclaimed.get(&(service.clone(), zone.clone()));
            let starts = Duration::from_millis(scaling.boot_ms) + SEEN;
            there.reclaimed = reclaimed.is_some_and(|at| now.since(*at) < starts);
            // What was ordered a moment ago is still starting; an order that forgot it would take it back.
            let starting = order(false).filter(|given| !given.dry && now.since(given.at) < pause);
            there.on_demand = there.on_demand.max(starting.map_or(0, |given| given.count));
        }
        present
    }

    /// Gives an order unless the same one was given and may still take effect.
    fn keep_order(&mut self, subject: Subject, wanted: u32, there: u32, scaling: &Scaling, needed: f64) {
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
        let order = CapacityOrder {
            service: service.to_string(),
            zone: zone.to_string(),
            count: wanted,
            reclaimable: *spot,
        };
        let seat = DutyHolder {
            name: self.node.as_str(),
            fencing_token: fence,
        };
        self.acted = now;
        let result = self.office.order(&seat, &order);
        let outcome = result
            .as_ref()
            .map_or_else(ToString::to_string, |()| "taken".to_owned());
        info!(self.logger, "capacity ordered"; "service" => &order.service, "zone" => &order.zone, "spot" => spot,
            "count" => wanted, "there" => there, "needed" => needed, "fence" => fence, "outcome" => outcome);
        let dry = matches!(result, Err(PlatformError::NoCapacity));
        if dry && *spot {
            self.orders.refused.insert((service.clone(), zone.clone()), now);
        }
        if dry || result.is_ok() {
            let count = wanted;
            self.orders.given.insert(subject, Given { count, at: now, dry });
        }
    }
}
