//! The cloud API: hosts, prices and reclaim notices.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{HostId, MachineClass, Zone};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::UpstreamError;

/// A host in the cloud's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudHost {
    /// Name.
    pub id: HostId,
    /// Which host of that name.
    pub incarnation: u64,
    /// Zone.
    pub zone: Zone,
    /// Whether it can be reclaimed.
    pub class: MachineClass,
    /// Stage of life: starting, serving or leaving.
    pub stage: String,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The host that will be taken.
    pub host: HostId,
    /// Which host of that name.
    pub incarnation: u64,
    /// Milliseconds until it is gone.
    pub left_ms: u64,
}

/// A client for the cloud API.
#[derive(Clone, Debug)]
pub struct CloudClient {
    agent: Agent,
    peer: SocketAddr,
}

impl CloudClient {
    /// Makes a client.
    #[must_use]
    pub fn new(peer: SocketAddr, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            peer,
        }
    }

    /// Lists the hosts, with a lag.
    ///
    /// # Errors
    /// Fails when the API can't be reached or refuses.
    pub fn hosts(&self) -> Result<Vec<CloudHost>, UpstreamError> {
        self.get("list hosts", "/v1/hosts")
    }

    /// Lists the reclaim notices that are open.
    ///
    /// # Errors
    /// Fails when the API can't be reached or refuses.
    pub fn notices(&self) -> Result<Vec<Notice>, UpstreamError> {
        self.get("list notices", "/v1/notices")
    }

    fn get<T: for<'de> Deserialize<'de>>(&self, step: &'static str, path: &str) -> Result<T, UpstreamError> {
        let failed = |error: ureq::Error| UpstreamError::from_client(step, self.peer, &error);
        let call = self.agent.get(format!("http://{}{path}", self.peer));
        call.call().map_err(failed)?.body_mut().read_json().map_err(failed)
    }
}
