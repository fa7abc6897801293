//! The client of the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::Value;
use ureq::Agent;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Rounds over all addresses before giving up; with the pauses longer than an election takes.
const ROUNDS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(200);
const UNAVAILABLE: u16 = 503;
const CONFLICT: u16 = 409;

/// A call to the administration API that failed.
#[derive(Debug, Display, Error)]
pub enum AdminError {
    /// No node could decide it.
    #[display("{step}: no node of {peers} could decide it: {reason}; try again, changes with the same --change-id")]
    Undecided {
        /// The step.
        step: String,
        /// The nodes that were asked.
        peers: String,
        /// What the last one said.
        reason: String,
    },
    /// Another change came first.
    #[display("{step} at {peer}: {detail}; read the item again and repeat")]
    Conflict {
        /// The step.
        step: String,
        /// The node.
        peer: SocketAddr,
        /// What it said.
        detail: String,
    },
    /// A node refused.
    #[display("{step} at {peer}: status {status}: {detail}")]
    Refused {
        /// The step.
        step: String,
        /// The node.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What it said.
        detail: String,
    },
}

/// A client that finds a node able to answer.
#[derive(Debug)]
pub struct Admin {
    agent: Agent,
    peers: Vec<SocketAddr>,
    key: String,
}

/// A call to the API.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Id of the change, for changes.
    pub change: Option<&'a str>,
    /// Body.
    pub body: &'a str,
}

impl Admin {
    /// Makes a client.
    #[must_use]
    pub fn new(peers: Vec<SocketAddr>, key: String) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .allow_non_standard_methods(false)
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            peers,
            key,
        }
    }

    /// Asks one node after the other until one decides.
    ///
    /// A change carries its id, so that asking another node after a lost answer can't apply it twice.
    ///
    /// # Errors
    /// Fails when a node refuses or none can decide.
    pub fn call(&self, ask: &Ask<'_>) -> Result<Value, AdminError> {
        let step = format!("{} {}", ask.method, ask.path);
        let mut reason = String::new();
        let mut silent: Vec<SocketAddr> = Vec::new();
        for round in 0..ROUNDS {
            if round > 0 {
                std::thread::sleep(PAUSE);
            }
            for peer in self
                .peers
                .iter()
                .filter(|peer| !silent.contains(peer))
                .collect::<Vec<_>>()
            {
                match self.one(*peer, ask) {
                    Ok((status, value)) if status < 300 => return Ok(value),
                    Ok((UNAVAILABLE, value)) => reason = format!("{peer}: {}", detail(&value)),
                    Ok((CONFLICT, value)) => {
                        return Err(AdminError::Conflict {
                            step,
                            peer: *peer,
                            detail: detail(&value),
                        });
                    }
                    Ok((status, value)) => {
                        return Err(AdminError::Refused {
                            step,
                            peer: *peer,
                            status,
                            detail: detail(&value),
                        });
                    }
                    Err(error) => {
                        // A node that was cut off silently would cost its whole timeout in every round, and the operator
                        // minutes of waiting for the same answer.
                        if matches!(error, ureq::Error::Timeout(_)) {
                            silent.push(*peer);
                        }
                        reason = format!("{peer}: {error}");
                    }
                }
            }
        }
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        Err(AdminError::Undecided {
            step,
            peers: peers.join(", "),
            reason,
        })
    }

    fn one(&self, peer: SocketAddr, ask: &Ask<'_>) -> Result<(u16, Value), ureq::Error> {
        let request = ureq::http::Request::builder()
            .method(ask.method)
            .uri(format!("http://{peer}{}", ask.path))
            .header("Authorization", format!("Bearer {}", self.key))
            .header("Change-Id", ask.change.unwrap_or_default());
        let mut answer = self.agent.run(request.body(ask.body)?)?;
        let status = answer.status().as_u16();
        Ok((status, answer.body_mut().read_json().unwrap_or_default()))
    }
}

fn detail(value: &Value) -> String {
    value
        .get("detail")
        .and_then(Value::as_str)
        .unwrap_or("no detail")
        .to_owned()
}
