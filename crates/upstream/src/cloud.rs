//! Client for the cloud API: hosts, prices and reclaim notices.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{HostClass, HostId, Zone};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use ureq::Agent;

use crate::UpstreamError;
use crate::limits::read_json;

/// An entry of the cloud's list of hosts, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudHost {
    /// Name of the host; the cloud may reuse it.
    pub id: HostId,
    /// Tells the host from earlier and later hosts of the same name.
    pub incarnation: u64,
    /// Zone of the host.
    pub zone: Zone,
    /// Whether the cloud can reclaim the host.
    pub class: HostClass,
    /// Lifecycle stage: starting, serving or leaving.
    pub stage: String,
    /// Price in micro-dollars per hour.
    #[serde(default)]
    pub price: u64,
    /// Address of the engine on the host, once the engine responds.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Purpose of the host, as given in [`StartHost::tag`].
    #[serde(default)]
    pub tag: String,
}

/// An announcement that the cloud will reclaim a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Name of the host.
    pub host: HostId,
    /// Tells the host from earlier and later hosts of the same name.
    pub incarnation: u64,
    /// Milliseconds until the host is gone.
    pub left_ms: u64,
}

/// Price of hosts of one class in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPrice {
    /// Zone of the hosts.
    pub zone: Zone,
    /// Whether the cloud can reclaim the host.
    pub class: HostClass,
    /// Price in micro-dollars per hour.
    pub price: u64,
}

/// A request to start a host; a repeated request with the same token returns the same host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// Zone of the host.
    pub zone: Zone,
    /// Whether the cloud can reclaim the host.
    pub class: HostClass,
    /// Idempotency token, so that a request whose response was lost can be repeated.
    pub token: String,
    /// Purpose of the host; returned in [`CloudHost::tag`].
    pub tag: String,
}

/// A client for the cloud API.
#[derive(Clone, Debug)]
pub struct CloudClient {
    agent: Agent,
    peer: SocketAddr,
}

impl CloudClient {
    /// Creates a client; the timeout applies to each call as a whole.
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

    /// Lists the hosts; the list lags behind the actual state.
    ///
    /// # Errors
    /// Fails if the API can't be reached or rejects the call.
    pub fn hosts(&self) -> Result<Vec<CloudHost>, UpstreamError> {
        self.get("list hosts", "/v1/hosts")
    }

    /// Lists the pending reclaim notices.
    ///
    /// # Errors
    /// Fails if the API can't be reached or rejects the call.
    pub fn notices(&self) -> Result<Vec<ReclaimNotice>, UpstreamError> {
        self.get("list notices", "/v1/notices")
    }

    /// Lists the host prices by zone and class.
    ///
    /// # Errors
    /// Fails if the API can't be reached or rejects the call.
    pub fn prices(&self) -> Result<Vec<HostPrice>, UpstreamError> {
        self.get("list prices", "/v1/prices")
    }

    /// Starts a host.
    ///
    /// # Errors
    /// Fails if there is no capacity or the API can't be reached. The host may have started all the same; repeating the
    /// call with the same token returns it.
    pub fn start(&self, request: &StartHost) -> Result<CloudHost, UpstreamError> {
        const STEP: &str = "start host";
        let call = self.agent.post(format!("http://{}/v1/hosts", self.peer));
        let response = call
            .send_json(request)
            .map_err(|error| UpstreamError::from_client(STEP, self.peer, &error))?;
        read_json(STEP, self.peer, response)
    }

    /// Stops a host; has no effect if the host is gone already.
    ///
    /// # Errors
    /// Fails if the API can't be reached or rejects the call.
    pub fn stop(&self, host: &HostId) -> Result<(), UpstreamError> {
        const STEP: &str = "stop host";
        let call = self.agent.delete(format!("http://{}/v1/hosts/{host}", self.peer));
        let response = call
            .call()
            .map_err(|error| UpstreamError::from_client(STEP, self.peer, &error))?;
        read_json::<serde_json::Value>(STEP, self.peer, response).map(drop)
    }

    fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T, UpstreamError> {
        let call = self.agent.get(format!("http://{}{path}", self.peer));
        let response = call
            .call()
            .map_err(|error| UpstreamError::from_client(step, self.peer, &error))?;
        read_json(step, self.peer, response)
    }
}
