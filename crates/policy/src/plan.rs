//! Capacity plan: which hosts to start and which to drain, as a pure function of the current state.
//!
//! The hosts of a model are spread so that the loss of any one zone leaves enough for its contracts. Reclaimable hosts
//! are preferred since they are cheap; on-demand hosts are a floor that no reclaim removes. Operator rules take
//! precedence over everything else.

mod backoff;
mod queue;

use std::collections::BTreeMap;

use contract::{HostClass, HostId, HostRule, ModelName, Zone};
use derive_more::Display;

pub use backoff::Backoff;
pub use queue::{WeightLoad, next_loads};

/// Most starts for one model in one plan; the next plan adds more.
const MAX_STARTS: usize = 64;

/// Parameters of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingRules {
    /// Requests that one host runs at once within its targets.
    pub slots: u32,
    /// Factor on the busy slots up to which hosts are started.
    pub grow: f64,
    /// Factor on the busy slots above which hosts are drained. It is larger than `grow`: a load between the two changes
    /// nothing, so hosts are not started and drained with every fluctuation of the load.
    pub shrink: f64,
}

/// Demand for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelNeed {
    /// Its name, as in the contracts.
    pub model: ModelName,
    /// Running and waiting requests.
    pub busy: f64,
    /// Concurrent requests that the contracts guarantee; on-demand hosts serve these.
    pub guaranteed: u32,
}

/// A host that is kept; hosts that leave or are drained are not listed.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldHost {
    /// Its id, which a drain step names.
    pub host: HostId,
    /// The model it serves.
    pub model: ModelName,
    /// The zone it runs in.
    pub zone: Zone,
    /// Whether it can be reclaimed.
    pub class: HostClass,
    /// Price in micro-dollars an hour.
    pub price: u64,
    /// Running and waiting requests.
    pub busy: f64,
}

/// A zone and machine class in which hosts can be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPool {
    /// The zone, which may be lost as a whole.
    pub zone: Zone,
    /// Whether its hosts can be reclaimed.
    pub class: HostClass,
    /// Price of a host in micro-dollars an hour.
    pub price: u64,
    /// Whether a start may be tried now.
    pub open: bool,
}

/// One step of a plan.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Starts a host.
    #[display("start {class} host in {zone} for {model}: {why}")]
    Start {
        /// The model it will serve.
        model: ModelName,
        /// The zone to start it in.
        zone: Zone,
        /// Whether it can be reclaimed.
        class: HostClass,
        /// Why it is started.
        why: StepReason,
    },
    /// Drains a host, which is stopped once nothing runs on it.
    #[display("drain {host}: {why}")]
    Drain {
        /// The host to drain.
        host: HostId,
        /// Why it is drained.
        why: StepReason,
    },
}

/// Why a step is taken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StepReason {
    /// An operator's rule asks for it.
    #[display("an operator's rule")]
    Rule,
    /// The contracts guarantee it with on-demand hosts.
    #[display("the contracts' floor")]
    Floor,
    /// The load needs more hosts.
    #[display("load")]
    Load,
    /// The loss of one zone would leave too few hosts.
    #[display("the loss of a zone")]
    Spread,
    /// There are more hosts than needed.
    #[display("more than needed")]
    Surplus,
}

/// Makes the plan. Surplus hosts are only drained while `calm`, that is some time after the last step.
#[must_use]
pub fn plan(
    needs: &[ModelNeed],
    held: &[HeldHost],
    pools: &[HostPool],
    operator_rules: &BTreeMap<String, HostRule>,
    rules: &ScalingRules,
    calm: bool,
) -> Vec<Step> {
    let mut steps = Vec::new();
    for need in needs {
        let mut model = Model::new(need, held, pools, operator_rules, rules);
        steps.extend(model.drain_excess());
        steps.extend(model.grow());
        if calm && steps.is_empty() {
            steps.extend(model.shrink());
        }
    }
    steps
}

/// The hosts of one model while its plan is made.
struct Model<'a> {
    need: &'a ModelNeed,
    held: Vec<&'a HeldHost>,
    started: Vec<(Zone, HostClass)>,
    pools: &'a [HostPool],
    operator_rules: Vec<&'a HostRule>,
    rules: &'a ScalingRules,
}

impl<'a> Model<'a> {
    fn new(
        need: &'a ModelNeed,
        held: &'a [HeldHost],
        pools: &'a [HostPool],
        operator_rules: &'a BTreeMap<String, HostRule>,
        rules: &'a ScalingRules,
    ) -> Self {
        Self {
            need,
            held: held.iter().filter(|host| host.model == need.model).collect(),
            started: Vec::new(),
            pools,
            operator_rules: operator_rules
                .values()
                .filter(|rule| rule.model == need.model)
                .collect(),
            rules,
        }
    }

    fn locations(&self) -> impl Iterator<Item = (&Zone, HostClass)> {
        let held = self.held.iter().map(|host| (&host.zone, host.class));
        held.chain(self.started.iter().map(|(zone, class)| (zone, *class)))
    }

    fn total(&self) -> u32 {
        self.locations().count() as u32
    }

    fn in_zone(&self, zone: &Zone) -> u32 {
        self.locations().filter(|(other, _)| *other == zone).count() as u32
    }

    fn in_pool(&self, zone: &Zone, class: HostClass) -> u32 {
        self.locations().filter(|location| *location == (zone, class)).count() as u32
    }

    fn on_demand(&self) -> u32 {
        self.locations()
            .filter(|(_, class)| *class == HostClass::OnDemand)
            .count() as u32
    }

    /// Returns the number of hosts that remain after the loss of the fullest zone.
    fn after_loss(&self) -> u32 {
        let most = self.locations().map(|(zone, _)| self.in_zone(zone)).max();
        self.total() - most.unwrap_or_default()
    }

    fn hosts_for(&self, requests: f64) -> u32 {
        (requests / f64::from(self.rules.slots.max(1))).ceil() as u32
    }

    fn floor(&self) -> u32 {
        self.hosts_for(f64::from(self.need.guaranteed))
    }

    /// Returns the number of hosts that must remain after the loss of any one zone.
    fn required(&self) -> u32 {
        self.hosts_for(self.need.busy).max(self.floor())
    }

    fn wanted(&self, factor: f64) -> u32 {
        self.hosts_for(self.need.busy * factor).max(self.required())
    }

    fn rule(&self, zone: &Zone, class: HostClass) -> Option<&'a HostRule> {
        let matches_pool = |rule: &&&HostRule| rule.zone == *zone && rule.class == class;
        self.operator_rules.iter().find(matches_pool).copied()
    }

    fn may_add(&self, pool: &HostPool) -> bool {
        let room = |rule: &HostRule| self.in_pool(&pool.zone, pool.class) < rule.most;
        pool.open && self.rule(&pool.zone, pool.class).is_none_or(room)
    }

    fn may_remove(&self, host: &HeldHost) -> bool {
        let spare = |rule: &HostRule| self.in_pool(&host.zone, host.class) > rule.least;
        self.rule(&host.zone, host.class).is_none_or(spare)
    }

    /// Drains the hosts beyond an operator's limits.
    fn drain_excess(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        for rule in self.operator_rules.clone() {
            while self.in_pool(&rule.zone, rule.class) > rule.most {
                let matches_rule = |host: &HeldHost| host.zone == rule.zone && host.class == rule.class;
                let idlest = (0..self.held.len())
                    .filter(|at| matches_rule(self.held[*at]))
                    .min_by(|a, b| self.held[*a].busy.total_cmp(&self.held[*b].busy));
                let Some(at) = idlest else { break };
                let host = self.held.remove(at).host.clone();
                steps.push(Step::Drain {
                    host,
                    why: StepReason::Rule,
                });
            }
        }
        steps
    }

    fn grow(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while steps.len() < MAX_STARTS
            && let Some((zone, class, why)) = self.next_start()
        {
            self.started.push((zone.clone(), class));
            let model = self.need.model.clone();
            steps.push(Step::Start {
                model,
                zone,
                class,
                why,
            });
        }
        steps
    }

    fn next_start(&self) -> Option<(Zone, HostClass, StepReason)> {
        let below_rule = |pool: &&HostPool| {
            let rule = self.rule(&pool.zone, pool.class);
            pool.open && rule.is_some_and(|rule| self.in_pool(&pool.zone, pool.class) < rule.least)
        };
        if let Some(pool) = self.pools.iter().find(below_rule) {
            return Some((pool.zone.clone(), pool.class, StepReason::Rule));
        }
        if self.on_demand() < self.floor()
            && let Some(zone) = self.best(HostClass::OnDemand)
        {
            return Some((zone, HostClass::OnDemand, StepReason::Floor));
        }
        let lacks_spread = self.after_loss() < self.required();
        let why = if self.total() < self.wanted(self.rules.grow) {
            StepReason::Load
        } else if lacks_spread {
            StepReason::Spread
        } else {
            return None;
        };
        // Expensive hosts replace refused cheap ones only as far as targets are at risk.
        let targets_at_risk = self.total() < self.required() || lacks_spread;
        let reclaimable = self
            .best(HostClass::Reclaimable)
            .map(|zone| (zone, HostClass::Reclaimable));
        let on_demand = || self.best(HostClass::OnDemand).filter(|_| targets_at_risk);
        let (zone, class) = reclaimable.or_else(|| on_demand().map(|zone| (zone, HostClass::OnDemand)))?;
        let helps = why != StepReason::Spread || self.spreads_with(&zone);
        helps.then_some((zone, class, why))
    }

    /// Returns whether more hosts in `zone` can reduce the loss of the fullest zone. In the fullest zone itself they
    /// can only if another zone can get hosts afterwards.
    fn spreads_with(&self, zone: &Zone) -> bool {
        let fullest = self.total() - self.after_loss();
        let follows = |pool: &HostPool| pool.zone != *zone && self.may_add(pool);
        self.in_zone(zone) < fullest || self.pools.iter().any(follows)
    }

    /// Returns the zone with the fewest hosts of the model; of equals, the cheapest.
    fn best(&self, class: HostClass) -> Option<Zone> {
        let open = self
            .pools
            .iter()
            .filter(|pool| pool.class == class && self.may_add(pool));
        let best = open.min_by_key(|pool| (self.in_zone(&pool.zone), pool.price))?;
        Some(best.zone.clone())
    }

    /// Drains one surplus host: the most expensive, then in the fullest zone, then the least busy.
    fn shrink(&self) -> Option<Step> {
        let mut spare: Vec<&HeldHost> = self.held.iter().copied().filter(|host| self.is_spare(host)).collect();
        spare.sort_by(|a, b| {
            let zone = |host: &HeldHost| self.in_zone(&host.zone);
            let order = b.price.cmp(&a.price).then(zone(b).cmp(&zone(a)));
            order.then(a.busy.total_cmp(&b.busy))
        });
        let host = spare.first()?.host.clone();
        let why = StepReason::Surplus;
        Some(Step::Drain { host, why })
    }

    fn is_spare(&self, host: &HeldHost) -> bool {
        let mut rest = Model {
            held: self.held.clone(),
            started: self.started.clone(),
            operator_rules: self.operator_rules.clone(),
            ..*self
        };
        rest.held.retain(|other| other.host != host.host);
        self.may_remove(host)
            && rest.total() >= self.wanted(self.rules.shrink)
            && (rest.after_loss() >= self.required() || rest.after_loss() == self.after_loss())
            && rest.on_demand() >= self.floor().min(self.on_demand())
    }
}
