//! Engines on started hosts: what they must load before they serve, and their registration.

use contract::{Change, Config, HostSpec, ModelName, UpstreamKind, UpstreamSpec};
use metrics::counter;
use policy::plan::{WeightLoad, next_loads};
use slog::{info, warn};
use upstream::cloud::CloudHost;
use upstream::orders::EngineAction;

use super::{Changes, Control};
use crate::lease::Keeper;
use crate::orders::{Engine, Given, Read};
use crate::world::{Cloud, is_drained, upstream_id};

/// Sizes of loads, relative to each other.
const MODEL_SIZE: u64 = 20;
const ADAPTER_SIZE: u64 = 1;
/// Version of models that the settings don't name.
const FIRST_VERSION: &str = "1";

/// An engine that lacks something.
struct Waiting<'a> {
    host: &'a CloudHost,
    engine: Engine<'a, Read>,
    action: EngineAction,
    load: WeightLoad,
}

impl Control {
    /// Has engines load what they lack and registers those that lack nothing.
    pub(super) fn prepare(&self, config: &Config, cloud: &Cloud, keeper: &Keeper, changes: &dyn Changes) {
        let mut waiting = Vec::new();
        let mut active = 0;
        let stays = |host: &&CloudHost| !cloud.leaves(host) && !is_drained(config, host);
        for host in cloud.hosts.iter().filter(stays) {
            // What is registered has everything; its orders are only looked at again when its host is a new one.
            let Some(peer) = host
                .address
                .filter(|_| !config.upstreams.contains_key(&upstream_id(host)))
            else {
                continue;
            };
            let Ok(engine) = Engine::new(&self.engines, peer, self.settings.checks).read() else {
                continue;
            };
            if engine.state().loading.is_some() {
                active += 1;
                continue;
            }
            match self.lacking(host, &engine) {
                Some(action) => waiting.push(Waiting {
                    load: load_of(&action, shortfall(config, cloud, host)),
                    host,
                    engine,
                    action,
                }),
                None => self.register(host, keeper, changes),
            }
        }
        self.begin_loads(waiting, active, keeper);
    }

    /// Reads one registered engine a round; one that has lost its model is no longer registered and loads it anew.
    ///
    /// An order of an earlier holder may arrive at an engine that doesn't check tokens long after it was registered.
    /// Callers would get refusals for a model that the engine no longer has, until somebody looks.
    pub(super) fn verify(&self, config: &Config, cloud: &Cloud, keeper: &Keeper, changes: &dyn Changes) {
        let registered = |host: &&CloudHost| config.upstreams.contains_key(&upstream_id(host));
        let hosts: Vec<&CloudHost> = cloud.hosts.iter().filter(registered).collect();
        let Some(host) = hosts.get(self.rounds % hosts.len().max(1)) else {
            return;
        };
        let read = host
            .address
            .map(|peer| Engine::new(&self.engines, peer, self.settings.checks).read());
        if let Some(Ok(engine)) = read
            && matches!(self.lacking(host, &engine), Some(EngineAction::LoadModel { .. }))
        {
            counter!("gentian_engines_changed_total").increment(1);
            warn!(self.logger, "engine has lost its model"; "host" => %host.id, "model" => &host.tag);
            self.change("unregister", Change::DropUpstream(upstream_id(host)), keeper, changes);
        }
    }

    fn begin_loads(&self, waiting: Vec<Waiting<'_>>, active: usize, keeper: &Keeper) {
        let loads: Vec<WeightLoad> = waiting.iter().map(|one| one.load).collect();
        let chosen = next_loads(&loads, active, self.settings.loads);
        for (at, one) in waiting.into_iter().enumerate() {
            let Some(tenure) = keeper.held().filter(|_| chosen.contains(&at)) else {
                continue;
            };
            match one.engine.give(&tenure, self.clock.now(), &one.action) {
                Ok((Given::Waits, _)) => {}
                Ok((given, _)) => {
                    info!(self.logger, "order"; "host" => %one.host.id, "order" => %one.action, "result" => %given);
                }
                Err(error) => warn!(self.logger, "order is not given"; "error" => %error),
            }
        }
    }

    /// Gives the first thing that an engine lacks.
    fn lacking(&self, host: &CloudHost, engine: &Engine<'_, Read>) -> Option<EngineAction> {
        let model = ModelName::from(host.tag.as_str());
        let versions = &self.settings.versions;
        let version = versions.iter().find(|pair| pair.model == model);
        let load = EngineAction::LoadModel {
            model: model.clone(),
            version: version.map_or_else(|| FIRST_VERSION.to_owned(), |pair| pair.name.clone()),
        };
        let adapters = self.settings.adapters.iter().filter(|pair| pair.model == model);
        let warm = adapters.map(|pair| EngineAction::LoadAdapter {
            adapter: ModelName::from(pair.name.as_str()),
            version: FIRST_VERSION.to_owned(),
        });
        std::iter::once(load)
            .chain(warm)
            .find(|action| !engine.state().satisfies(action))
    }

    fn register(&self, host: &CloudHost, keeper: &Keeper, changes: &dyn Changes) {
        let Some(address) = host.address else { return };
        let spec = UpstreamSpec {
            id: upstream_id(host),
            kind: UpstreamKind::Engine {
                model: ModelName::from(host.tag.as_str()),
                checks_fencing: self.settings.checks,
            },
            address,
            host: HostSpec {
                id: host.id.clone(),
                incarnation: host.incarnation,
                zone: host.zone.clone(),
                data_center: self.settings.place.clone(),
                class: host.class,
                price: host.price,
            },
            slots: self.settings.slots,
        };
        if self.change("register", Change::PutUpstream(spec), keeper, changes) {
            info!(self.logger, "host serves"; "host" => %host.id, "model" => &host.tag);
        }
    }
}

/// Gives the share of a model's hosts that don't serve yet.
fn shortfall(config: &Config, cloud: &Cloud, host: &CloudHost) -> f64 {
    let same = cloud.hosts.iter().filter(|one| one.tag == host.tag);
    let (all, serving) = same.fold((0_u32, 0_u32), |(all, serving), one| {
        let serves = config.upstreams.contains_key(&upstream_id(one)) && !cloud.leaves(one);
        (all + 1, serving + u32::from(serves))
    });
    1.0 - f64::from(serving) / f64::from(all.max(1))
}

const fn load_of(action: &EngineAction, shortfall: f64) -> WeightLoad {
    let size = match action {
        EngineAction::LoadModel { .. } => MODEL_SIZE,
        _ => ADAPTER_SIZE,
    };
    WeightLoad { shortfall, size }
}
