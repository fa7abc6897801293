//! The cloud API: hosts, prices and reclaim notices.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{HostId, MachineClass, Zone};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use ureq::Agent;

use crate::UpstreamError;
use crate::limits::read_json;

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
    /// Price in micro-dollars an hour.
    #[serde(default)]
    pub price: u64,
    /// Where the engine on it answers, once it does.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// What it was started for, as told at its start.
    #[serde(default)]
    pub tag: String,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// The host that will be taken.
    pub host: HostId,
    /// Which host of that name.
    pub incarnation: u64,
    /// Milliseconds until it is gone.
    pub left_ms: u64,
}

/// What a host of a class costs in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPrice {
    /// The zone.
    pub zone: Zone,
    /// Whether it can be reclaimed.
    pub class: MachineClass,
    /// Price in micro-dollars an hour.
    pub price: u64,
}

/// Asks for a host; the same token again gives the same host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// Zone.
    pub zone: Zone,
    /// Whether it can be reclaimed.
    pub class: MachineClass,
    /// Tells this start from others, so that one whose answer was lost can be asked for again.
    pub token: String,
    /// What it's started for.
    pub tag: String,
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
            .http_status_as_error(false)
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
    pub fn notices(&self) -> Result<Vec<ReclaimNotice>, UpstreamError> {
        self.get("list notices", "/v1/notices")
    }

    /// Lists what a host costs, by zone and class.
    ///
    /// # Errors
    /// Fails when the API can't be reached or refuses.
    pub fn prices(&self) -> Result<Vec<HostPrice>, UpstreamError> {
        self.get("list prices", "/v1/prices")
    }

    /// Starts a host.
    ///
    /// # Errors
    /// Fails when there is no capacity, or the API can't be reached; then it may have started, and asking again with the
    /// same token tells.
    pub fn start(&self, start: &StartHost) -> Result<CloudHost, UpstreamError> {
        const STEP: &str = "start host";
        let call = self.agent.post(format!("http://{}/v1/hosts", self.peer));
        let answer = call
            .send_json(start)
            .map_err(|error| UpstreamError::from_client(STEP, self.peer, &error))?;
        read_json(STEP, self.peer, answer)
    }

    /// Stops a host; stopping one that is gone changes nothing.
    ///
    /// # Errors
    /// Fails when the API can't be reached or refuses.
    pub fn stop(&self, host: &HostId) -> Result<(), UpstreamError> {
        const STEP: &str = "stop host";
        let call = self.agent.delete(format!("http://{}/v1/hosts/{host}", self.peer));
        let answer = call
            .call()
            .map_err(|error| UpstreamError::from_client(STEP, self.peer, &error))?;
        read_json::<serde_json::Value>(STEP, self.peer, answer).map(drop)
    }

    fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T, UpstreamError> {
        let call = self.agent.get(format!("http://{}{path}", self.peer));
        let answer = call
            .call()
            .map_err(|error| UpstreamError::from_client(step, self.peer, &error))?;
        read_json(step, self.peer, answer)
    }
}
