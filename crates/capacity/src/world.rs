//! What capacity knows of the hosts that it holds: the cloud's list, notices, prices, loads and the configuration.

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

/// Longest wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Start of the names of upstreams that capacity registers.
const PREFIX: &str = "auto/";

/// The cloud's side of the world at one moment.
#[derive(Clone, Debug, Default)]
pub struct Cloud {
    /// Hosts that were started for a model.
    pub hosts: Vec<CloudHost>,
    /// Hosts that will be taken.
    pub noticed: HashSet<(HostId, u64)>,
    /// Prices by zone and class.
    pub prices: Vec<HostPrice>,
}

/// A host in the report for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The host.
    pub host: HostId,
    /// Which host of that name.
    pub incarnation: u64,
    /// Its model.
    pub model: String,
    /// Its zone.
    pub zone: String,
    /// Whether it can be reclaimed.
    pub class: String,
    /// Its price in micro-dollars an hour.
    pub price: u64,
    /// Starting, loading, serving, drained or leaving.
    pub stage: &'static str,
    /// Requests that run or wait there.
    pub busy: f64,
}

impl Cloud {
    /// Reads everything from the cloud API.
    ///
    /// # Errors
    /// Fails when any part can't be read: half a picture would make hosts look gone.
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

    /// Tells whether a host will be taken.
    #[must_use]
    pub fn leaves(&self, host: &CloudHost) -> bool {
        host.stage == "leaving" || self.noticed.contains(&(host.id.clone(), host.incarnation))
    }

    /// Gives where hosts can be started.
    #[must_use]
    pub fn pools(&self, backoff: &Backoff, now: Tick) -> Vec<HostPool> {
        let pool = |price: &HostPrice| HostPool {
            zone: price.zone.clone(),
            class: price.class,
            price: price.price,
            open: backoff.is_open(&price.zone, price.class, now),
        };
        self.prices.iter().map(pool).collect()
    }
}

/// Tells whether an operator drains a host.
#[must_use]
pub fn is_drained(config: &Config, host: &CloudHost) -> bool {
    config.drains.get(&host.id) == Some(&host.incarnation)
}

/// Gives the name under which capacity registers the engine on a host.
#[must_use]
pub fn upstream_id(host: &CloudHost) -> UpstreamId {
    UpstreamId::from(format!("{PREFIX}{}/{}", host.id, host.incarnation))
}

/// Tells whether capacity registered an upstream.
#[must_use]
pub fn is_ours(spec: &UpstreamSpec) -> bool {
    spec.id.as_str().starts_with(PREFIX)
}

/// Reads the requests that run or wait at each host's engine; hosts that don't answer count as idle.
#[must_use]
pub fn loads(engines: &EngineClient, hosts: &[CloudHost]) -> BTreeMap<HostId, f64> {
    let read = |host: &CloudHost| {
        let load = engines.load(host.address?, LOAD_TIMEOUT).ok()?;
        Some((host.id.clone(), f64::from(load.running + load.waiting)))
    };
    hosts.iter().filter_map(read).collect()
}

/// Gives the hosts that the plan may count on.
#[must_use]
pub fn held(config: &Config, cloud: &Cloud, pending: &[CloudHost], busy: &BTreeMap<HostId, f64>) -> Vec<HeldHost> {
    let listed = |host: &CloudHost| cloud.hosts.iter().any(|known| known.id == host.id);
    let fresh = pending.iter().filter(|host| !listed(host));
    let stays = |host: &&CloudHost| !cloud.leaves(host) && !is_drained(config, host);
    let held = |host: &CloudHost| HeldHost {
        host: host.id.clone(),
        model: ModelName::from(host.tag.as_str()),
        zone: host.zone.clone(),
        class: host.class,
        price: host.price,
        busy: busy.get(&host.id).copied().unwrap_or_default(),
    };
    cloud.hosts.iter().chain(fresh).filter(stays).map(held).collect()
}

/// Gives what each model needs: the work of the moment and the floor of the contracts.
#[must_use]
pub fn needs(config: &Config, settings: &Settings, held: &[HeldHost]) -> Vec<ModelNeed> {
    let mut needs: BTreeMap<ModelName, ModelNeed> = BTreeMap::new();
    let ruled = config.rules.values().map(|rule| rule.model.clone());
    let floors = floors(config, settings.floor);
    let models = held
        .iter()
        .map(|one| one.model.clone())
        .chain(ruled)
        .chain(floors.keys().cloned());
    for model in models {
        let busy = held.iter().filter(|one| one.model == model).map(|one| one.busy).sum();
        let floor = floors.get(&model).copied().unwrap_or_default();
        needs.insert(
            model.clone(),
            ModelNeed {
                model,
                busy,
                guaranteed: floor,
            },
        );
    }
    needs.into_values().collect()
}

/// Gives the requests that each model must be able to run at any time.
///
/// Models that operators have registered engines for by hand have their floor there already.
fn floors(config: &Config, percent: u32) -> BTreeMap<ModelName, u32> {
    let mut floors: BTreeMap<ModelName, u32> = BTreeMap::new();
    for contract in config.contracts.values() {
        let models = contract.classes.iter().filter_map(|class| class.matches.model.clone());
        let part = (contract.limits.concurrency * percent).div_ceil(100);
        for model in models.collect::<std::collections::BTreeSet<_>>() {
            *floors.entry(model).or_default() += part;
        }
    }
    for spec in config.upstreams.values().filter(|spec| !is_ours(spec)) {
        if let UpstreamKind::Engine { model, .. } = &spec.kind
            && let Some(floor) = floors.get_mut(model)
        {
            *floor = floor.saturating_sub(spec.slots);
        }
    }
    floors
}

/// Gives the rows of the report for operators.
#[must_use]
pub fn rows(config: &Config, cloud: &Cloud, busy: &BTreeMap<HostId, f64>) -> Vec<Row> {
    let stage = |host: &CloudHost| {
        if cloud.leaves(host) {
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
    let row = |host: &CloudHost| Row {
        host: host.id.clone(),
        incarnation: host.incarnation,
        model: host.tag.clone(),
        zone: host.zone.to_string(),
        class: host.class.to_string(),
        price: host.price,
        stage: stage(host),
        busy: busy.get(&host.id).copied().unwrap_or_default(),
    };
    cloud.hosts.iter().map(row).collect()
}
