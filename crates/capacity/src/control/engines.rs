//! Engines on started hosts: loading what they need before they serve, and registering them as upstreams.

use contract::{Change, Config, HostSpec, ModelName, UpstreamKind, UpstreamSpec};
use metrics::counter;
use policy::plan::{WeightLoad, next_loads};
use slog::{info, warn};
use upstream::cloud::CloudHost;
use upstream::orders::EngineAction;

use super::{ConfigStore, Controller};
use crate::inventory::{CloudSnapshot, is_drained, upstream_id};
use crate::lease::LeaseKeeper;
use crate::orders::{Engine, OrderOutcome, StateKnown};

/// Size of a model's weights, in sizes of an adapter.
const MODEL_SIZE: u64 = 20;
/// Size of an adapter's weights, the unit of sizes.
const ADAPTER_SIZE: u64 = 1;
/// Version of adapters, and of models whose version isn't in the settings.
const FIRST_VERSION: &str = "1";

/// An engine that lacks a model or an adapter, and the order that makes it load it.
struct PendingLoad<'a> {
    host: &'a CloudHost,
    engine: Engine<'a, StateKnown>,
    action: EngineAction,
    load: WeightLoad,
}

impl Controller {
    /// Orders engines to load what they lack and registers those that lack nothing.
    pub(super) fn prepare_engines(
        &self,
        config: &Config,
        cloud: &CloudSnapshot,
        keeper: &LeaseKeeper,
        store: &dyn ConfigStore,
    ) {
        let mut pending = Vec::new();
        let mut active = 0;
        let stays = |host: &&CloudHost| !cloud.is_leaving(host) && !is_drained(config, host);
        for host in cloud.hosts.iter().filter(stays) {
            // Registered engines have everything loaded; `verify_engine` checks them in turn. A new incarnation of a
            // host has a new upstream id, and so isn't registered yet.
            let Some(address) = host
                .address
                .filter(|_| !config.upstreams.contains_key(&upstream_id(host)))
            else {
                continue;
            };
            let Ok(engine) = Engine::new(&self.engines, address, self.settings.checks_fencing).read() else {
                continue;
            };
            if engine.state().loading.is_some() {
                active += 1;
                continue;
            }
            match self.next_action(host, &engine) {
                Some(action) => pending.push(PendingLoad {
                    load: weight_load(&action, shortfall(config, cloud, host)),
                    host,
                    engine,
                    action,
                }),
                None => self.register(host, keeper, store),
            }
        }
        self.start_loads(pending, active, keeper);
    }

    /// Reads one registered engine a round, and unregisters it if it has lost its model; it's then loaded again.
    ///
    /// An engine that doesn't check fencing tokens may receive a delayed order of an earlier lease holder long after it
    /// was registered. Without this check, the engine would go on refusing requests for the model that it has lost.
    pub(super) fn verify_engine(
        &self,
        config: &Config,
        cloud: &CloudSnapshot,
        keeper: &LeaseKeeper,
        store: &dyn ConfigStore,
    ) {
        let registered = |host: &&CloudHost| config.upstreams.contains_key(&upstream_id(host));
        let hosts: Vec<&CloudHost> = cloud.hosts.iter().filter(registered).collect();
        let Some(host) = hosts.get(self.round_count % hosts.len().max(1)) else {
            return;
        };
        let engine = host
            .address
            .map(|address| Engine::new(&self.engines, address, self.settings.checks_fencing).read());
        if let Some(Ok(engine)) = engine
            && matches!(self.next_action(host, &engine), Some(EngineAction::LoadModel { .. }))
        {
            counter!("gentian_engines_changed_total").increment(1);
            warn!(self.logger, "unregistering an engine that lost its model"; "host" => %host.id, "model" => &host.tag);
            self.propose_change("unregister", Change::DropUpstream(upstream_id(host)), keeper, store);
        }
    }

    /// Sends load orders to as many engines as the weight store allows at once.
    fn start_loads(&self, pending: Vec<PendingLoad<'_>>, active: usize, keeper: &LeaseKeeper) {
        let loads: Vec<WeightLoad> = pending.iter().map(|item| item.load).collect();
        let chosen = next_loads(&loads, active, self.settings.parallel_loads);
        for (index, item) in pending.into_iter().enumerate() {
            let Some(lease) = keeper.held().filter(|_| chosen.contains(&index)) else {
                continue;
            };
            match item.engine.send(&lease, self.clock.now(), &item.action) {
                Ok((OrderOutcome::Deferred, _)) => {}
                Ok((outcome, _)) => {
                    info!(
                        self.logger, "order sent";
                        "host" => %item.host.id, "order" => %item.action, "result" => %outcome
                    );
                }
                Err(error) => warn!(self.logger, "order not sent"; "error" => %error),
            }
        }
    }

    /// Returns the order for the first model or adapter that an engine lacks.
    fn next_action(&self, host: &CloudHost, engine: &Engine<'_, StateKnown>) -> Option<EngineAction> {
        let model = ModelName::from(host.tag.as_str());
        let versions = &self.settings.versions;
        let version = versions.iter().find(|pair| pair.model == model);
        let load = EngineAction::LoadModel {
            model: model.clone(),
            version: version.map_or_else(|| FIRST_VERSION.to_owned(), |pair| pair.value.clone()),
        };
        let adapters = self.settings.adapters.iter().filter(|pair| pair.model == model);
        let adapter_loads = adapters.map(|pair| EngineAction::LoadAdapter {
            adapter: ModelName::from(pair.value.as_str()),
            version: FIRST_VERSION.to_owned(),
        });
        std::iter::once(load)
            .chain(adapter_loads)
            .find(|action| !engine.state().satisfies(action))
    }

    /// Registers the engine on a host as an upstream.
    fn register(&self, host: &CloudHost, keeper: &LeaseKeeper, store: &dyn ConfigStore) {
        let Some(address) = host.address else { return };
        let spec = UpstreamSpec {
            id: upstream_id(host),
            kind: UpstreamKind::Engine {
                model: ModelName::from(host.tag.as_str()),
                checks_fencing: self.settings.checks_fencing,
            },
            address,
            host: HostSpec {
                id: host.id.clone(),
                incarnation: host.incarnation,
                zone: host.zone.clone(),
                data_center: self.settings.data_center.clone(),
                class: host.class,
                price: host.price,
            },
            slots: self.settings.slots,
        };
        if self.propose_change("register", Change::PutUpstream(spec), keeper, store) {
            info!(self.logger, "engine registered"; "host" => %host.id, "model" => &host.tag);
        }
    }
}

/// Returns the share of a model's hosts that don't serve yet, from 0 to 1.
fn shortfall(config: &Config, cloud: &CloudSnapshot, host: &CloudHost) -> f64 {
    let same_model = cloud.hosts.iter().filter(|other| other.tag == host.tag);
    let (all, serving) = same_model.fold((0_u32, 0_u32), |(all, serving), other| {
        let serves = config.upstreams.contains_key(&upstream_id(other)) && !cloud.is_leaving(other);
        (all + 1, serving + u32::from(serves))
    });
    1.0 - f64::from(serving) / f64::from(all.max(1))
}

/// Returns the size and urgency of a load, by which loads are ordered.
const fn weight_load(action: &EngineAction, shortfall: f64) -> WeightLoad {
    let size = match action {
        EngineAction::LoadModel { .. } => MODEL_SIZE,
        _ => ADAPTER_SIZE,
    };
    WeightLoad { shortfall, size }
}
