//! Control orders to engines, with fencing tokens, and the engine state that results from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use contract::ModelName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::UpstreamError;
use crate::engine::EngineClient;

/// An action that an engine is ordered to perform.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Loads a model, which replaces the current one.
    #[display("load model {model} version {version}")]
    LoadModel {
        /// Name of the model.
        model: ModelName,
        /// Version to load.
        version: String,
    },
    /// Loads an adapter in addition to the model.
    #[display("load adapter {adapter} version {version}")]
    LoadAdapter {
        /// Name of the adapter.
        adapter: ModelName,
        /// Version to load.
        version: String,
    },
    /// Unloads an adapter.
    #[display("drop adapter {adapter}")]
    DropAdapter {
        /// Name of the adapter.
        adapter: ModelName,
    },
    /// Changes the role of the engine.
    #[display("set role {role}")]
    SetRole {
        /// New role: mixed, prefill or decode.
        role: String,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Unique id of the order.
    pub id: String,
    /// Fencing token of the lease under which the order is sent.
    pub token: u64,
    /// Action to perform.
    pub action: EngineAction,
}

/// State of an engine that orders change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing token that the engine has received.
    pub token: u64,
    /// Loaded model.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: String,
    /// Versions of the loaded adapters, by adapter name.
    pub adapters: BTreeMap<ModelName, String>,
    /// Role: mixed, prefill or decode.
    pub role: String,
    /// Load action in progress, if there is one.
    pub loading: Option<EngineAction>,
    /// Id of the last order that was carried out.
    pub last: Option<String>,
}

impl EngineState {
    /// Returns whether the engine already is in the state that the action leads to.
    #[must_use]
    pub fn satisfies(&self, action: &EngineAction) -> bool {
        match action {
            EngineAction::LoadModel { model, version } => self.model == *model && self.version == *version,
            EngineAction::LoadAdapter { adapter, version } => self.adapters.get(adapter) == Some(version),
            EngineAction::DropAdapter { adapter } => !self.adapters.contains_key(adapter),
            EngineAction::SetRole { role } => self.role == *role,
        }
    }
}

impl EngineClient {
    /// Sends an order; if it fails with [`Fate::Unknown`](crate::Fate::Unknown), the engine may have carried it out.
    ///
    /// # Errors
    /// Fails if the engine rejects the order or does not respond.
    pub fn order(
        &self,
        peer: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> Result<EngineState, UpstreamError> {
        self.post("give order", peer, "/orders", order, timeout)
    }

    /// Reads the state of an engine.
    ///
    /// # Errors
    /// Fails if the engine can't be reached or sends an invalid response.
    pub fn state(&self, peer: SocketAddr, timeout: Duration) -> Result<EngineState, UpstreamError> {
        self.get("read state", peer, "/state", timeout)
    }
}
