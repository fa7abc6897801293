//! Orders to engines, with fencing tokens, and what they have made of an engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use contract::ModelName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::UpstreamError;
use crate::engine::EngineClient;

/// What an engine is to do.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Loads a model in place of the one it has.
    #[display("load model {model} version {version}")]
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
    },
    /// Loads an adapter beside the model.
    #[display("load adapter {adapter} version {version}")]
    LoadAdapter {
        /// The adapter.
        adapter: ModelName,
        /// Its version.
        version: String,
    },
    /// Forgets an adapter.
    #[display("drop adapter {adapter}")]
    DropAdapter {
        /// The adapter.
        adapter: ModelName,
    },
    /// Takes another role: mixed, prefill or decode.
    #[display("set role {role}")]
    SetRole {
        /// The role.
        role: String,
    },
}

/// An order; the token is the fencing token of the lease under which it is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Tells this order from others.
    pub id: String,
    /// Fencing token.
    pub token: u64,
    /// What to do.
    pub action: EngineAction,
}

/// What orders have made of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The highest fencing token that it has seen.
    pub token: u64,
    /// The model that is loaded.
    pub model: ModelName,
    /// Its version.
    pub version: String,
    /// Adapters that are loaded, with their versions.
    pub adapters: BTreeMap<ModelName, String>,
    /// Its role.
    pub role: String,
    /// What is being loaded.
    pub loading: Option<EngineAction>,
    /// The order that was carried out last.
    pub last: Option<String>,
}

impl EngineState {
    /// Tells whether an action would change nothing.
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
    /// Gives an order; a failure whose fate is unknown may have been carried out.
    ///
    /// # Errors
    /// Fails when the engine refuses it or gives no answer.
    pub fn order(
        &self,
        peer: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> Result<EngineState, UpstreamError> {
        self.post("give order", peer, "/orders", order, timeout)
    }

    /// Reads what orders have made of the engine.
    ///
    /// # Errors
    /// Fails when the engine can't be reached or sends something else.
    pub fn state(&self, peer: SocketAddr, timeout: Duration) -> Result<EngineState, UpstreamError> {
        self.get("read state", peer, "/state", timeout)
    }
}
