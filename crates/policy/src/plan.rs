//! The plan of capacity: which hosts to start and which to drain, as a pure function of what is known.
//!
//! The hosts of a model are spread so that the loss of any one zone leaves what its contracts need. Reclaimable hosts
//! come first since they are cheap; on-demand hosts are the floor that no reclaim takes. What operators said goes before
//! everything else.

mod backoff;
mod queue;

use std::collections::BTreeMap;

use contract::{HostId, HostRule, MachineClass, ModelName, Zone};
use derive_more::Display;

pub use backoff::Backoff;
pub use queue::{WeightLoad, next_loads};

/// Most steps for one model in one plan; more are taken by the next.
const MOST_STEPS: usize = 64;

/// How a plan is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingRules {
    /// Requests that one host runs at once within its targets.
    pub slots: u32,
    /// Factor on the busy slots up to which hosts are started.
    pub grow: f64,
    /// Factor on the busy slots above which hosts are drained; larger than the other one, so that a load between the
    /// two changes nothing and hosts don't come and go with every wave of requests.
    pub shrink: f64,
}

/// What a model needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelNeed {
    /// The model.
    pub model: ModelName,
    /// Requests that run or wait now.
    pub busy: f64,
    /// Requests that its contracts may have at once at any time; on-demand hosts carry these.
    pub guaranteed: u32,
}

/// A host that is held; those that leave or are drained aren't.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldHost {
    /// The host.
    pub host: HostId,
    /// Its model.
    pub model: ModelName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it can be reclaimed.
    pub class: MachineClass,
    /// Its price.
    pub price: u64,
    /// Requests that run or wait there.
    pub busy: f64,
}

/// Where hosts can be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPool {
    /// The zone.
    pub zone: Zone,
    /// Whether hosts there can be reclaimed.
    pub class: MachineClass,
    /// Price of a host.
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
        /// Its model.
        model: ModelName,
        /// Its zone.
        zone: Zone,
        /// Whether it can be reclaimed.
        class: MachineClass,
        /// What it's for.
        why: Why,
    },
    /// Drains a host; it's stopped when nothing runs there any more.
    #[display("drain {host}: {why}")]
    Drain {
        /// The host.
        host: HostId,
        /// What for.
        why: Why,
    },
}

/// Why a step is taken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Why {
    /// An operator said so.
    #[display("an operator's rule")]
    Rule,
    /// The contracts' floor of on-demand hosts.
    #[display("the contracts' floor")]
    Floor,
    /// There is more work than hosts.
    #[display("load")]
    Load,
    /// The loss of one zone would leave too little.
    #[display("the loss of a zone")]
    Spread,
    /// There are more hosts than needed.
    #[display("more than needed")]
    Surplus,
}

/// Makes the plan; hosts are only drained for lack of work while it's calm, which means some time after the last step.
#[must_use]
pub fn plan(
    needs: &[ModelNeed],
    held: &[HeldHost],
    pools: &[HostPool],
    said: &BTreeMap<String, HostRule>,
    rules: &ScalingRules,
    calm: bool,
) -> Vec<Step> {
    let mut steps = Vec::new();
    for need in needs {
        let mut model = Model::new(need, held, pools, said, rules);
        steps.extend(model.exceeding());
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
    started: Vec<(Zone, MachineClass)>,
    pools: &'a [HostPool],
    said: Vec<&'a HostRule>,
    rules: &'a ScalingRules,
}

impl<'a> Model<'a> {
    fn new(
        need: &'a ModelNeed,
        held: &'a [HeldHost],
        pools: &'a [HostPool],
        said: &'a BTreeMap<String, HostRule>,
        rules: &'a ScalingRules,
    ) -> Self {
        Self {
            need,
            held: held.iter().filter(|one| one.model == need.model).collect(),
            started: Vec::new(),
            pools,
            said: said.values().filter(|rule| rule.model == need.model).collect(),
            rules,
        }
    }

    fn places(&self) -> impl Iterator<Item = (&Zone, MachineClass)> {
        let held = self.held.iter().map(|one| (&one.zone, one.class));
        held.chain(self.started.iter().map(|(zone, class)| (zone, *class)))
    }

    fn total(&self) -> u32 {
        self.places().count() as u32
    }

    fn in_zone(&self, zone: &Zone) -> u32 {
        self.places().filter(|(other, _)| *other == zone).count() as u32
    }

    fn in_pool(&self, zone: &Zone, class: MachineClass) -> u32 {
        self.places().filter(|place| *place == (zone, class)).count() as u32
    }

    fn on_demand(&self) -> u32 {
        self.places()
            .filter(|(_, class)| *class == MachineClass::OnDemand)
            .count() as u32
    }

    /// Gives the hosts that stay when the fullest zone is lost.
    fn after_loss(&self) -> u32 {
        let most = self.places().map(|(zone, _)| self.in_zone(zone)).max();
        self.total() - most.unwrap_or_default()
    }

    fn hosts_for(&self, requests: f64) -> u32 {
        (requests / f64::from(self.rules.slots.max(1))).ceil() as u32
    }

    fn floor(&self) -> u32 {
        self.hosts_for(f64::from(self.need.guaranteed))
    }

    /// Gives the hosts that must be there also without any one zone.
    fn base(&self) -> u32 {
        self.hosts_for(self.need.busy).max(self.floor())
    }

    fn want(&self, factor: f64) -> u32 {
        self.hosts_for(self.need.busy * factor).max(self.base())
    }

    fn rule(&self, zone: &Zone, class: MachineClass) -> Option<&'a HostRule> {
        let fits = |rule: &&&HostRule| rule.zone == *zone && rule.class == class;
        self.said.iter().find(fits).copied()
    }

    fn may_add(&self, pool: &HostPool) -> bool {
        let room = |rule: &HostRule| self.in_pool(&pool.zone, pool.class) < rule.most;
        pool.open && self.rule(&pool.zone, pool.class).is_none_or(room)
    }

    fn may_remove(&self, host: &HeldHost) -> bool {
        let spare = |rule: &HostRule| self.in_pool(&host.zone, host.class) > rule.least;
        self.rule(&host.zone, host.class).is_none_or(spare)
    }

    /// Drains what an operator allows no more.
    fn exceeding(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        for rule in self.said.clone() {
            while self.in_pool(&rule.zone, rule.class) > rule.most {
                let inside = |one: &HeldHost| one.zone == rule.zone && one.class == rule.class;
                let idlest = (0..self.held.len())
                    .filter(|at| inside(self.held[*at]))
                    .min_by(|a, b| self.held[*a].busy.total_cmp(&self.held[*b].busy));
                let Some(at) = idlest else { break };
                let host = self.held.remove(at).host.clone();
                steps.push(Step::Drain { host, why: Why::Rule });
            }
        }
        steps
    }

    fn grow(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while steps.len() < MOST_STEPS
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

    fn next_start(&self) -> Option<(Zone, MachineClass, Why)> {
        let short = |pool: &&HostPool| {
            let rule = self.rule(&pool.zone, pool.class);
            pool.open && rule.is_some_and(|rule| self.in_pool(&pool.zone, pool.class) < rule.least)
        };
        if let Some(pool) = self.pools.iter().find(short) {
            return Some((pool.zone.clone(), pool.class, Why::Rule));
        }
        if self.on_demand() < self.floor()
            && let Some(zone) = self.best(MachineClass::OnDemand)
        {
            return Some((zone, MachineClass::OnDemand, Why::Floor));
        }
        let loses = self.after_loss() < self.base();
        let why = if self.total() < self.want(self.rules.grow) {
            Why::Load
        } else if loses {
            Why::Spread
        } else {
            return None;
        };
        // Dear hosts stand in for refused cheap ones only as far as targets are at stake.
        let at_stake = self.total() < self.base() || loses;
        let cheap = self
            .best(MachineClass::Reclaimable)
            .map(|zone| (zone, MachineClass::Reclaimable));
        let dear = || self.best(MachineClass::OnDemand).filter(|_| at_stake);
        let (zone, class) = cheap.or_else(|| dear().map(|zone| (zone, MachineClass::OnDemand)))?;
        let helps = why != Why::Spread || self.spreads_with(&zone);
        helps.then_some((zone, class, why))
    }

    /// Tells whether hosts in a zone can make the loss of the fullest one smaller: in the fullest zone itself only when
    /// another zone can follow.
    fn spreads_with(&self, zone: &Zone) -> bool {
        let fullest = self.total() - self.after_loss();
        let follows = |pool: &HostPool| pool.zone != *zone && self.may_add(pool);
        self.in_zone(zone) < fullest || self.pools.iter().any(follows)
    }

    /// Gives the zone with the fewest hosts of the model, the cheapest among equal ones.
    fn best(&self, class: MachineClass) -> Option<Zone> {
        let open = self
            .pools
            .iter()
            .filter(|pool| pool.class == class && self.may_add(pool));
        let best = open.min_by_key(|pool| (self.in_zone(&pool.zone), pool.price))?;
        Some(best.zone.clone())
    }

    /// Drains one host that isn't needed: the dearest, in the fullest zone, with the least to do.
    fn shrink(&self) -> Option<Step> {
        let mut spare: Vec<&HeldHost> = self.held.iter().copied().filter(|one| self.is_spare(one)).collect();
        spare.sort_by(|a, b| {
            let zone = |one: &HeldHost| self.in_zone(&one.zone);
            let order = b.price.cmp(&a.price).then(zone(b).cmp(&zone(a)));
            order.then(a.busy.total_cmp(&b.busy))
        });
        let host = spare.first()?.host.clone();
        let why = Why::Surplus;
        Some(Step::Drain { host, why })
    }

    fn is_spare(&self, host: &HeldHost) -> bool {
        let mut rest = Model {
            held: self.held.clone(),
            started: self.started.clone(),
            said: self.said.clone(),
            ..*self
        };
        rest.held.retain(|one| one.host != host.host);
        self.may_remove(host)
            && rest.total() >= self.want(self.rules.shrink)
            && (rest.after_loss() >= self.base() || rest.after_loss() == self.after_loss())
            && rest.on_demand() >= self.floor().min(self.on_demand())
    }
}
