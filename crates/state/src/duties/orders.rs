//! Capacity orders: places what the plan of each service asks for, and repeats an order only if it had no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{ListedUpstream, Scaling, ServiceName, Zone};
use policy::Tick;
use policy::fleet::{ZoneSupply, plan, upstreams_needed};
use slog::info;
use tokio::sync::oneshot;

use super::{CapacityOrder, DutyHolder, LeaderDuties, PlatformError};
use crate::core::StateRequest;

/// Interval between two capacity plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Greatest age of a list of upstreams from which capacity is planned.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Time beyond the start time of an upstream after which an order without effect is placed again.
const EFFECT_DELAY: Duration = Duration::from_secs(4);
/// Time for which a data centre without available upstreams is not asked again.
const NO_CAPACITY_PAUSE: Duration = Duration::from_secs(3);
/// Time for which a data centre that refused reclaimable upstreams counts as scarce: reclaims are probably going on.
const SCARCE_TIME: Duration = Duration::from_secs(8);
/// Time in which upstreams of a data centre that are being reclaimed belong to one reclaim; they are gone within three
/// seconds.
const RECLAIM_TIME: Duration = Duration::from_secs(8);
/// Time beyond the start time of an upstream until it takes requests: the list lags by as much.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time for which the highest load counts, so that the fleet does not follow short fluctuations.
const PEAK_TIME: Duration = Duration::from_secs(15);
/// Share of the initial on-demand upstreams that is assumed to be needed until load is known. A larger share orders
/// upstreams that nobody needs; with a smaller one the first requests find too few.
const ASSUMED_NEED: f64 = 0.5;
/// Greatest age of load that entry hosts report.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Placed orders and the observations that orders depend on.
#[derive(Debug, Default)]
pub(super) struct Orders {
    last_plan: Option<Tick>,
    placed: BTreeMap<OrderKey, PlacedOrder>,
    peaks: BTreeMap<ServiceName, PeakLoad>,
    /// On-demand upstreams in the last plan, those that are leaving included.
    last_counts: BTreeMap<ServiceName, u32>,
    /// When an order of reclaimable upstreams was refused last.
    refused: BTreeMap<(ServiceName, Zone), Tick>,
    /// When the last reclaim of upstreams began.
    reclaimed: BTreeMap<(ServiceName, Zone), Tick>,
}

impl Orders {
    /// Records the data centres whose upstreams are being reclaimed.
    fn record_reclaims(&mut self, list: &[ListedUpstream], now: Tick) {
        for upstream in list
            .iter()
            .filter(|upstream| upstream.leaving && upstream.left.is_some())
        {
            let zone_key = (upstream.service.clone(), upstream.zone.clone());
            let at = self.reclaimed.entry(zone_key).or_insert(now);
            if now.since(*at) > RECLAIM_TIME {
                *at = now;
            }
        }
    }

    /// Drops orders of an earlier term; the list shows which of them took effect.
    pub(super) fn clear_placed(&mut self) {
        self.placed.clear();
    }
}

/// Key of an order: service, data centre and whether its upstreams are reclaimable.
type OrderKey = (ServiceName, Zone, bool);

/// An order that was placed.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: Tick,
    /// Whether nothing was available.
    no_capacity: bool,
}

/// The highest load within [`PEAK_TIME`].
#[derive(Clone, Copy, Debug)]
struct PeakLoad {
    /// Number of upstreams that the load needed.
    needed: f64,
    at: Tick,
}

impl LeaderDuties {
    /// Places the orders of each service's capacity plan.
    pub(super) fn maintain_capacity(&mut self) {
        let now = self.clock.now();
        if self.orders.last_plan.is_some_and(|at| now.since(at) < PLAN_INTERVAL) {
            return;
        }
        self.orders.last_plan = Some(now);
        let scaled = self.scaled_services();
        if scaled.is_empty() {
            return;
        }
        let Some(list) = self.registry.list(now, MAX_LIST_AGE) else {
            return;
        };
        self.orders.record_reclaims(&list, now);
        let loads = self.registry.loads(now, MAX_LOAD_AGE);
        for (service, scaling, slots) in scaled {
            let load = loads.get(service.as_str()).copied().unwrap_or_default();
            let supply = self.supply(&service, &scaling, &list, now);
            let current_need = upstreams_needed(load.running, load.reading, slots);
            let Some(needed) = self.peak_need(&service, current_need, &list, now) else {
                continue;
            };
            for (zone, wanted) in plan(&supply, &scaling, needed) {
                let current = supply.get(&zone).cloned().unwrap_or_default();
                let orders = [
                    (true, wanted.reclaimable, current.reclaimable),
                    (false, wanted.on_demand, current.on_demand),
                ];
                for (reclaimable, wanted, current) in orders {
                    self.place_order(
                        (service.clone(), zone.clone(), reclaimable),
                        wanted,
                        current,
                        &scaling,
                        needed,
                    );
                }
            }
        }
    }

    /// Returns the services with scaling settings, and the slots of each one's engines. While a rollout runs, the list
    /// holds the upstreams of both versions, and a count ordered by it would stop upstreams that the other one needs.
    fn scaled_services(&self) -> Vec<(ServiceName, Scaling, u32)> {
        let (reply, answer) = oneshot::channel();
        let read = StateRequest::Read(Box::new(move |applied, _age| {
            let services = applied.catalog().map(|catalog| catalog.services.iter());
            let scaled = services.into_iter().flatten();
            let settled = scaled.filter(|service| !applied.is_rolling_out(&service.name));
            let scaled = settled.filter_map(|service| {
                let slots = service.engine.map_or(0, |engine| engine.slots);
                Some((service.name.clone(), service.scaling.clone()?, slots))
            });
            // A dropped receiver needs no answer.
            let _ = reply.send(scaled.collect());
        }));
        if self.requests.try_send(read).is_err() {
            return Vec::new();
        }
        answer.blocking_recv().unwrap_or_default()
    }

    /// Returns the number of upstreams that the highest recent load needs.
    ///
    /// Before the first requests, a share of the initial upstreams is assumed to be needed, since operators started
    /// them for a reason. Returns `None` until two plans in a row have found the same number: when the whole system
    /// starts at once, the first list names only the upstreams that started fastest, and a fleet sized by it would be
    /// too small for the first requests.
    fn peak_need(&mut self, service: &ServiceName, needed: f64, list: &[ListedUpstream], now: Tick) -> Option<f64> {
        let unknown = needed <= 0.0;
        let own = list
            .iter()
            .filter(|upstream| upstream.service == *service && !upstream.reclaimable);
        let count = own.count() as u32;
        let expected = f64::from(count) * ASSUMED_NEED;
        let before = self.orders.last_counts.insert(service.clone(), count);
        let Some(peak) = self.orders.peaks.get_mut(service) else {
            if unknown && before != Some(count) {
                return None;
            }
            let needed = if unknown { expected } else { needed };
            self.orders.peaks.insert(service.clone(), PeakLoad { needed, at: now });
            return Some(needed);
        };
        if unknown {
            peak.at = now;
            peak.needed = peak.needed.max(expected);
        } else if needed >= peak.needed || now.since(peak.at) > PEAK_TIME {
            *peak = PeakLoad { needed, at: now };
        }
        Some(peak.needed)
    }

    /// Returns a service's upstreams by data centre, with those still starting and the state of earlier orders.
    fn supply(
        &self,
        service: &ServiceName,
        scaling: &Scaling,
        list: &[ListedUpstream],
        now: Tick,
    ) -> BTreeMap<Zone, ZoneSupply> {
        let zones = scaling.prices.keys().cloned();
        let mut supply: BTreeMap<Zone, ZoneSupply> = zones.map(|zone| (zone, ZoneSupply::default())).collect();
        for upstream in list
            .iter()
            .filter(|upstream| upstream.service == *service && !upstream.leaving)
        {
            let current = supply.entry(upstream.zone.clone()).or_default();
            if upstream.reclaimable {
                current.reclaimable += 1;
            } else {
                current.on_demand += 1;
            }
        }
        let pause = Duration::from_millis(scaling.boot_ms) + EFFECT_DELAY;
        for (zone, current) in &mut supply {
            let order = |kind| self.orders.placed.get(&(service.clone(), zone.clone(), kind)).copied();
            current.backing_off =
                order(true).is_some_and(|placed| placed.no_capacity && now.since(placed.at) < NO_CAPACITY_PAUSE);
            let refused = self.orders.refused.get(&(service.clone(), zone.clone()));
            current.scarce = refused.is_some_and(|at| now.since(*at) < SCARCE_TIME);
            let reclaimed = self.orders.reclaimed.get(&(service.clone(), zone.clone()));
            let start_time = Duration::from_millis(scaling.boot_ms) + LIST_LAG;
            current.reclaimed = reclaimed.is_some_and(|at| now.since(*at) < start_time);
            // Upstreams of a recent order are still starting; an order that left them out would cancel them.
            let starting = order(false).filter(|placed| !placed.no_capacity && now.since(placed.at) < pause);
            current.on_demand = current.on_demand.max(starting.map_or(0, |placed| placed.count));
        }
        supply
    }

    /// Places an order unless the same one was placed and may still take effect.
    fn place_order(&mut self, key: OrderKey, wanted: u32, current: u32, scaling: &Scaling, needed: f64) {
        let now = self.clock.now();
        let placed = self.orders.placed.get(&key).copied();
        let pause = Duration::from_millis(scaling.boot_ms) + EFFECT_DELAY;
        let due = match placed {
            Some(placed) if placed.no_capacity => now.since(placed.at) >= NO_CAPACITY_PAUSE && wanted != current,
            Some(placed) => placed.count != wanted || (wanted != current && now.since(placed.at) >= pause),
            None => wanted != current,
        };
        if !due {
            return;
        }
        let Some((fencing_token, _)) = self.acting_term().filter(|(term, _)| *term == self.term) else {
            return;
        };
        let (service, zone, reclaimable) = &key;
        let order = CapacityOrder {
            service: service.to_string(),
            zone: zone.to_string(),
            count: wanted,
            reclaimable: *reclaimable,
        };
        let holder = DutyHolder {
            name: self.node.as_str(),
            fencing_token,
        };
        self.last_call = now;
        let result = self.platform.order(&holder, &order);
        let outcome = result
            .as_ref()
            .map_or_else(ToString::to_string, |()| "taken".to_owned());
        info!(self.logger, "capacity ordered"; "service" => &order.service, "zone" => &order.zone,
            "spot" => reclaimable, "count" => wanted, "there" => current, "needed" => needed,
            "fence" => fencing_token, "outcome" => outcome);
        let no_capacity = matches!(result, Err(PlatformError::NoCapacity));
        if no_capacity && *reclaimable {
            self.orders.refused.insert((service.clone(), zone.clone()), now);
        }
        if no_capacity || result.is_ok() {
            let count = wanted;
            self.orders.placed.insert(
                key,
                PlacedOrder {
                    count,
                    at: now,
                    no_capacity,
                },
            );
        }
    }
}
