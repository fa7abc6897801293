//! Orders of the control plane: load a model or an adapter, drop an adapter, change the role.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::batch::Engine;

/// Longest wait for one load from the weight store.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);
/// Delay before a refused load is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Body of `POST /orders`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    /// Unique id; `/state` shows that of the last finished order.
    id: String,
    /// Fencing token of the sender, checked with `--checks-fencing`.
    token: u64,
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

/// What the engine serves as a result of its orders; answered at `/state`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OrderState {
    /// Highest fencing token seen.
    token: u64,
    model: String,
    version: String,
    /// Version of each loaded adapter, by name.
    adapters: BTreeMap<String, String>,
    role: String,
    loading: Option<Action>,
    /// Id of the last finished order.
    last: Option<String>,
    /// Number of finished orders.
    count: u64,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderError {
    /// An order with a higher fencing token was accepted before.
    StaleToken,
    /// A model or an adapter is being loaded.
    Loading,
}

impl OrderState {
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

    /// Returns the name of the loaded model; the previous one while another is being loaded.
    pub(crate) fn model(&self) -> &str {
        &self.model
    }

    /// Returns whether requests for a model or adapter are served; not while a model is being loaded.
    pub(crate) fn serves(&self, name: &str) -> bool {
        let loads_model = matches!(self.loading, Some(Action::LoadModel { .. }));
        !loads_model && (self.model == name || self.adapters.contains_key(name))
    }

    /// Returns whether a model is being loaded; requests are then refused with 503, which says that they did not run.
    pub(crate) const fn is_loading(&self) -> bool {
        matches!(self.loading, Some(Action::LoadModel { .. }))
    }

    fn start(&mut self, order: &Order, checks_fencing: bool) -> Result<(), OrderError> {
        if checks_fencing && order.token < self.token {
            return Err(OrderError::StaleToken);
        }
        if self.loading.is_some() {
            return Err(OrderError::Loading);
        }
        self.token = self.token.max(order.token);
        self.loading = Some(order.action.clone());
        Ok(())
    }

    fn finish(&mut self, order: &Order) {
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

/// Accepts an order; weights are loaded in the background.
pub(crate) fn accept(engine: &Arc<Engine>, order: &Order) -> Result<(), OrderError> {
    let mut orders = engine.orders.lock();
    orders.start(order, engine.options.checks_fencing)?;
    let Some(path) = weights_path(&order.action) else {
        orders.finish(order);
        return Ok(());
    };
    drop(orders);
    let (engine, order) = (Arc::clone(engine), order.clone());
    std::thread::spawn(move || {
        if let Some(weights) = engine.options.weights {
            load_weights(&engine, weights, &path);
        }
        engine.wait_while_frozen();
        engine.orders.lock().finish(&order);
    });
    Ok(())
}

fn weights_path(action: &Action) -> Option<String> {
    match action {
        Action::LoadModel { model, version } => Some(format!("/weights/models/{model}/{version}")),
        Action::LoadAdapter { adapter, version } => Some(format!("/weights/adapters/{adapter}/{version}")),
        Action::DropAdapter { .. } | Action::SetRole { .. } => None,
    }
}

/// Loads from the weight store; retries while it refuses, as it does when too many loads run at once.
fn load_weights(engine: &Engine, store: SocketAddr, path: &str) {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(LOAD_TIMEOUT))
        .proxy(None)
        .build();
    let agent: ureq::Agent = config.into();
    while !engine.is_dead() && agent.get(format!("http://{store}{path}")).call().is_err() {
        std::thread::sleep(LOAD_RETRY_DELAY);
    }
}
