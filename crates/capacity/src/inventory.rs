//! The hosts that capacity has started: the cloud's list, reclaim notices, prices, loads and the planner's inputs.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use contract::{Config, HostId, ModelName, UpstreamId, UpstreamKind, UpstreamSpec};
use policy::Tick;
use policy::plan::{Backoff, HeldHost, HostPool, ModelNeed};
use serde::Serialize;
use upstream::UpstreamError;
use upstream::cloud::{CloudClient, CloudHost, HostPrice};
use upstream::engine::EngineClient;

use crate::settings::Settings;

/// Longest wait for the load report of one engine.
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Prefix of the ids of upstreams that capacity registers.
const UPSTREAM_PREFIX: &str = "auto/";

/// What the cloud API reports in one round.
#[derive(Clone, Debug, Default)]
pub struct CloudSnapshot {
    /// Hosts that were started for a model; the host's tag names the model.
    pub hosts: Vec<CloudHost>,
    /// Hosts, with their incarnation, that have a reclaim notice.
    pub noticed: HashSet<(HostId, u64)>,
    /// Price of each zone and machine class.
    pub prices: Vec<HostPrice>,
}

/// A host in the report to operators.
#[derive(Clone, Debug, Serialize)]
pub struct HostRow {
    /// Id of the host at the cloud.
    pub host: HostId,
    /// Tells apart hosts that have had this id one after the other.
    pub incarnation: u64,
    /// Model that the host was started for.
    pub model: String,
    /// Zone of the cloud that the host runs in.
    pub zone: String,
    /// Machine class: `reclaimable` or `on_demand`.
    pub class: String,
    /// Price in micro-dollars an hour.
    pub price: u64,
    /// `starting`, `loading`, `serving`, `drained` or `leaving`.
    pub stage: &'static str,
    /// Requests that run or wait at its engine; 0 when the engine didn't answer.
    pub busy: f64,
}

impl CloudSnapshot {
    /// Reads notices, hosts and prices from the cloud API.
    ///
    /// # Errors
    /// Fails when any part can't be read: with a partial snapshot, running hosts would look gone.
    pub fn read(client: &CloudClient) -> Result<Self, UpstreamError> {
        let notices = client.notices()?;
        let mut hosts = client.hosts()?;
        hosts.retain(|host| !host.tag.is_empty());
        Ok(Self {
            hosts,
            noticed: notices
                .into_iter()
                .map(|notice| (notice.host, notice.incarnation))
                .collect(),
            prices: client.prices()?,
        })
    }

    /// Returns whether a host is being reclaimed.
    #[must_use]
    pub fn is_leaving(&self, host: &CloudHost) -> bool {
        host.stage == "leaving" || self.noticed.contains(&(host.id.clone(), host.incarnation))
    }

    /// Returns the pools of hosts by zone and class; those that lately refused a start are closed.
    #[must_use]
    pub fn pools(&self, backoff: &Backoff, now: Tick) -> Vec<HostPool> {
        let to_pool = |price: &HostPrice| HostPool {
            zone: price.zone.clone(),
            class: price.class,
            price: price.price,
            open: backoff.is_open(&price.zone, price.class, now),
        };
        self.prices.iter().map(to_pool).collect()
    }
}

/// Returns whether this incarnation of a host is drained, by an operator or by the plan.
#[must_use]
pub fn is_drained(config: &Config, host: &CloudHost) -> bool {
    config.drains.get(&host.id) == Some(&host.incarnation)
}

/// Returns the id under which capacity registers the engine on a host.
#[must_use]
pub fn upstream_id(host: &CloudHost) -> UpstreamId {
    UpstreamId::from(format!("{UPSTREAM_PREFIX}{}/{}", host.id, host.incarnation))
}

/// Returns whether capacity registered an upstream, rather than an operator.
#[must_use]
pub fn is_managed(spec: &UpstreamSpec) -> bool {
    spec.id.as_str().starts_with(UPSTREAM_PREFIX)
}

/// Reads the number of requests that run or wait at each host's engine.
///
/// Hosts that don't answer are left out, and the plan counts them as idle.
#[must_use]
pub fn read_loads(engines: &EngineClient, hosts: &[CloudHost]) -> BTreeMap<HostId, f64> {
    let read_load = |host: &CloudHost| {
        let load = engines.load(host.address?, LOAD_TIMEOUT).ok()?;
        Some((host.id.clone(), f64::from(load.running + load.waiting)))
    };
    hosts.iter().filter_map(read_load).collect()
}

/// Returns the hosts that the plan may count on: those in the cloud's list, and started ones that the list doesn't show
/// yet, without any that are reclaimed or drained.
#[must_use]
pub fn held_hosts(
    config: &Config,
    cloud: &CloudSnapshot,
    pending: &[CloudHost],
    loads: &BTreeMap<HostId, f64>,
) -> Vec<HeldHost> {
    let listed = |host: &CloudHost| cloud.hosts.iter().any(|known| known.id == host.id);
    let unlisted = pending.iter().filter(|host| !listed(host));
    let stays = |host: &&CloudHost| !cloud.is_leaving(host) && !is_drained(config, host);
    let to_held = |host: &CloudHost| HeldHost {
        host: host.id.clone(),
        model: ModelName::from(host.tag.as_str()),
        zone: host.zone.clone(),
        class: host.class,
        price: host.price,
        busy: loads.get(&host.id).copied().unwrap_or_default(),
    };
    cloud.hosts.iter().chain(unlisted).filter(stays).map(to_held).collect()
}

/// Returns what each model needs: its current load and the concurrency that contracts guarantee.
#[must_use]
pub fn model_needs(config: &Config, settings: &Settings, hosts: &[HeldHost]) -> Vec<ModelNeed> {
    let mut by_model: BTreeMap<ModelName, ModelNeed> = BTreeMap::new();
    let rule_models = config.rules.values().map(|rule| rule.model.clone());
    let floors = model_floors(config, settings.floor_percent);
    let models = hosts
        .iter()
        .map(|host| host.model.clone())
        .chain(rule_models)
        .chain(floors.keys().cloned());
    for model in models {
        let busy = hosts
            .iter()
            .filter(|host| host.model == model)
            .map(|host| host.busy)
            .sum();
        let floor = floors.get(&model).copied().unwrap_or_default();
        by_model.insert(
            model.clone(),
            ModelNeed {
                model,
                busy,
                guaranteed: floor,
            },
        );
    }
    by_model.into_values().collect()
}

/// Returns the number of requests that each model must be able to run at any time.
///
/// Engines that operators have registered themselves already cover a part of it.
fn model_floors(config: &Config, percent: u32) -> BTreeMap<ModelName, u32> {
    let mut floors: BTreeMap<ModelName, u32> = BTreeMap::new();
    for contract in config.contracts.values() {
        let models = contract.classes.iter().filter_map(|class| class.matches.model.clone());
        let share = (contract.limits.concurrency * percent).div_ceil(100);
        for model in models.collect::<std::collections::BTreeSet<_>>() {
            *floors.entry(model).or_default() += share;
        }
    }
    for spec in config.upstreams.values().filter(|spec| !is_managed(spec)) {
        if let UpstreamKind::Engine { model, .. } = &spec.kind
            && let Some(floor) = floors.get_mut(model)
        {
            *floor = floor.saturating_sub(spec.slots);
        }
    }
    floors
}

/// Returns the hosts as rows of the report to operators.
#[must_use]
pub fn host_rows(config: &Config, cloud: &CloudSnapshot, loads: &BTreeMap<HostId, f64>) -> Vec<HostRow> {
    let stage = |host: &CloudHost| {
        if cloud.is_leaving(host) {
            "leaving"
        } else if is_drained(config, host) {
            "drained"
        } else if host.address.is_none() {
            "starting"
        } else if config.upstreams.contains_key(&upstream_id(host)) {
            "serving"
        } else {
            "loading"
        }
    };
    let to_row = |host: &CloudHost| HostRow {
        host: host.id.clone(),
        incarnation: host.incarnation,
        model: host.tag.clone(),
        zone: host.zone.to_string(),
        class: host.class.to_string(),
        price: host.price,
        stage: stage(host),
        busy: loads.get(&host.id).copied().unwrap_or_default(),
    };
    cloud.hosts.iter().map(to_row).collect()
}
