//! Client of the administration API of the state group.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::Value;
use ureq::Agent;

/// Longest wait for the answer of one node.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Rounds over all nodes before giving up; with the pauses between them, they take longer than an election.
const MAX_ROUNDS: u32 = 20;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// HTTP status of a node that can't decide at the moment.
const STATUS_UNAVAILABLE: u16 = 503;
/// HTTP status for a change whose base revision is outdated.
const STATUS_CONFLICT: u16 = 409;

/// A failed call to the administration API.
#[derive(Debug, Display, Error)]
pub enum AdminError {
    /// No node could decide on the call.
    #[display("{call}: no node of {peers} could decide it: {reason}; try again, changes with the same --change-id")]
    Undecided {
        /// Method and path of the call.
        call: String,
        /// Addresses of the nodes that were called, separated by commas.
        peers: String,
        /// Answer or error of the node that was called last.
        reason: String,
    },
    /// Another change was accepted before this one.
    #[display("{call} at {peer}: {detail}; read the item again and repeat")]
    Conflict {
        /// Method and path of the call.
        call: String,
        /// Address of the node that answered.
        peer: SocketAddr,
        /// The `detail` of its answer.
        detail: String,
    },
    /// A node refused the call.
    #[display("{call} at {peer}: status {status}: {detail}")]
    Refused {
        /// Method and path of the call.
        call: String,
        /// Address of the node that answered.
        peer: SocketAddr,
        /// HTTP status of its answer.
        status: u16,
        /// The `detail` of its answer.
        detail: String,
    },
}

/// A client that tries nodes until one can answer.
#[derive(Debug)]
pub struct AdminClient {
    agent: Agent,
    peers: Vec<SocketAddr>,
    key: String,
}

/// One call to the administration API.
#[derive(Clone, Copy, Debug)]
pub struct AdminRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path, with the query if there is one.
    pub path: &'a str,
    /// Id of the change; absent for calls that change nothing.
    pub change_id: Option<&'a str>,
    /// JSON body; empty for calls without one.
    pub body: &'a str,
}

impl AdminClient {
    /// Creates a client for the given nodes, which authenticates with the operator's key.
    #[must_use]
    pub fn new(peers: Vec<SocketAddr>, key: String) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
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

    /// Calls one node after the other until one decides.
    ///
    /// A change carries its id, so that repeating it at another node after a lost answer can't apply it twice.
    ///
    /// # Errors
    /// Fails when a node refuses or none can decide.
    pub fn call(&self, request: &AdminRequest<'_>) -> Result<Value, AdminError> {
        let call = format!("{} {}", request.method, request.path);
        let mut reason = String::new();
        let mut timed_out: Vec<SocketAddr> = Vec::new();
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                std::thread::sleep(ROUND_PAUSE);
            }
            for peer in self
                .peers
                .iter()
                .filter(|peer| !timed_out.contains(peer))
                .collect::<Vec<_>>()
            {
                match self.call_node(*peer, request) {
                    Ok((status, value)) if status < 300 => return Ok(value),
                    Ok((STATUS_UNAVAILABLE, value)) => reason = format!("{peer}: {}", detail(&value)),
                    Ok((STATUS_CONFLICT, value)) => {
                        return Err(AdminError::Conflict {
                            call,
                            peer: *peer,
                            detail: detail(&value),
                        });
                    }
                    Ok((status, value)) => {
                        return Err(AdminError::Refused {
                            call,
                            peer: *peer,
                            status,
                            detail: detail(&value),
                        });
                    }
                    Err(error) => {
                        // An unreachable node that drops packets would take the whole timeout in every round, and the
                        // operator would wait for minutes for the same error.
                        if matches!(error, ureq::Error::Timeout(_)) {
                            timed_out.push(*peer);
                        }
                        reason = format!("{peer}: {error}");
                    }
                }
            }
        }
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        Err(AdminError::Undecided {
            call,
            peers: peers.join(", "),
            reason,
        })
    }

    fn call_node(&self, peer: SocketAddr, request: &AdminRequest<'_>) -> Result<(u16, Value), ureq::Error> {
        let http_request = ureq::http::Request::builder()
            .method(request.method)
            .uri(format!("http://{peer}{}", request.path))
            .header("Authorization", format!("Bearer {}", self.key))
            .header("Change-Id", request.change_id.unwrap_or_default());
        let mut answer = self.agent.run(http_request.body(request.body)?)?;
        let status = answer.status().as_u16();
        Ok((status, answer.body_mut().read_json().unwrap_or_default()))
    }
}

/// Returns the `detail` of an error answer.
fn detail(value: &Value) -> String {
    value
        .get("detail")
        .and_then(Value::as_str)
        .unwrap_or("no detail")
        .to_owned()
}
