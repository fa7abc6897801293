//! Orders: load a model or an adapter, drop an adapter, change role.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::batch::Engine;

/// Longest wait for the weight store.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);
/// Pause before a refused load is asked for again.
const LOAD_PAUSE: Duration = Duration::from_millis(100);

/// An order as it comes.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    /// Tells this order from others.
    id: String,
    /// Fencing token of who gives it.
    token: u64,
    /// What to do.
    action: Action,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String, version: String },
    DropAdapter { adapter: String },
    SetRole { role: String },
}

/// What orders have made of the engine.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Orders {
    token: u64,
    model: String,
    version: String,
    adapters: BTreeMap<String, String>,
    role: String,
    loading: Option<Action>,
    last: Option<String>,
    count: u64,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// A newer token was seen.
    Old,
    /// Something is being loaded.
    Busy,
}

impl Orders {
    pub(crate) fn new(model: &str) -> Self {
        Self {
            token: 0,
            model: model.to_owned(),
            version: "1".to_owned(),
            adapters: BTreeMap::new(),
            role: "mixed".to_owned(),
            loading: None,
            last: None,
            count: 0,
        }
    }

    /// Gives the model that is loaded.
    pub(crate) fn model(&self) -> &str {
        &self.model
    }

    /// Tells whether requests for a model or adapter are served; not while a model is being loaded.
    pub(crate) fn serves(&self, name: &str) -> bool {
        let loads_model = matches!(self.loading, Some(Action::LoadModel { .. }));
        !loads_model && (self.model == name || self.adapters.contains_key(name))
    }

    /// Tells whether a model is being loaded, so that requests are refused as not run.
    pub(crate) const fn is_loading(&self) -> bool {
        matches!(self.loading, Some(Action::LoadModel { .. }))
    }

    fn begin(&mut self, order: &Order, checks: bool) -> Result<(), Refused> {
        if checks && order.token < self.token {
            return Err(Refused::Old);
        }
        if self.loading.is_some() {
            return Err(Refused::Busy);
        }
        self.token = self.token.max(order.token);
        self.loading = Some(order.action.clone());
        Ok(())
    }

    fn end(&mut self, order: &Order) {
        match order.action.clone() {
            Action::LoadModel { model, version } => {
                self.model = model;
                self.version = version;
                self.adapters.clear();
            }
            Action::LoadAdapter { adapter, version } => {
                self.adapters.insert(adapter, version);
            }
            Action::DropAdapter { adapter } => {
                self.adapters.remove(&adapter);
            }
            Action::SetRole { role } => self.role = role,
        }
        self.loading = None;
        self.last = Some(order.id.clone());
        self.count += 1;
    }
}

/// Takes an order; loading goes on after the answer.
pub(crate) fn take(engine: &Arc<Engine>, order: &Order) -> Result<(), Refused> {
    let mut orders = engine.orders.lock();
    orders.begin(order, engine.options.checks_fencing)?;
    let Some(path) = weights_of(&order.action) else {
        orders.end(order);
        return Ok(());
    };
    drop(orders);
    let (engine, order) = (Arc::clone(engine), order.clone());
    std::thread::spawn(move || {
        if let Some(weights) = engine.options.weights {
            load(&engine, weights, &path);
        }
        engine.thaw();
        engine.orders.lock().end(&order);
    });
    Ok(())
}

fn weights_of(action: &Action) -> Option<String> {
    match action {
        Action::LoadModel { model, version } => Some(format!("/weights/models/{model}/{version}")),
        Action::LoadAdapter { adapter, version } => Some(format!("/weights/adapters/{adapter}/{version}")),
        Action::DropAdapter { .. } | Action::SetRole { .. } => None,
    }
}

/// Loads from the weight store, which refuses when too many load at once.
fn load(engine: &Engine, weights: SocketAddr, path: &str) {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(LOAD_TIMEOUT))
        .proxy(None)
        .build();
    let agent: ureq::Agent = config.into();
    while !engine.is_dead() && agent.get(format!("http://{weights}{path}")).call().is_err() {
        std::thread::sleep(LOAD_PAUSE);
    }
}
