//! Plain services: calls passed on with method, path, query, body and the safe headers.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use ureq::http::{HeaderMap, Request};
use ureq::unversioned::transport::TcpConnector;

use crate::UpstreamError;
use crate::pulse::ByNumber;

/// Largest answer of a service, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;
/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Headers of an answer that are passed back; all others belong to one connection or to the service's own hosts.
const PASSED_BACK: [&str; 10] = [
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "ETag",
    "Expires",
    "Last-Modified",
    "Location",
    "Retry-After",
    "Vary",
];

/// A call as it is passed on.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// HTTP method in capitals.
    pub method: &'a str,
    /// Path with query, beginning with a slash.
    pub path: &'a str,
    /// Headers that are passed on.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
}

/// A service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// Further headers that are passed back.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A client for all services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    agent: Agent,
}

impl ServiceClient {
    /// Makes a client; the timeout holds for connecting.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(connect))
            .http_status_as_error(false)
            .allow_non_standard_methods(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            // A reused connection may have been closed by the peer, and then nobody can tell whether bytes arrived.
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            agent: Agent::with_parts(config, TcpConnector::default(), ByNumber),
        }
    }

    /// Sends a call once.
    ///
    /// # Errors
    /// Fails when the service can't be reached or gives no whole answer in time; the fate tells whether it may have run.
    pub fn send(
        &self,
        peer: SocketAddr,
        call: &ServiceCall<'_>,
        timeout: Duration,
    ) -> Result<ServiceAnswer, UpstreamError> {
        const STEP: &str = "call service";
        let failed = |error: ureq::Error| UpstreamError::from_client(STEP, peer, &error);
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{peer}{}", call.path))
            .header("Connection", "close");
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(call.body).map_err(|error| failed(error.into()))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        let mut answer = self.agent.run(request).map_err(failed)?;
        let status = answer.status().as_u16();
        let media = answer
            .headers()
            .get("Content-Type")
            .and_then(|value| value.to_str().ok());
        let media = media.unwrap_or("application/octet-stream").to_owned();
        let headers = passed_back(answer.headers());
        let body = answer
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(failed)?;
        Ok(ServiceAnswer {
            status,
            media,
            headers,
            body,
        })
    }
}

fn passed_back(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    PASSED_BACK
        .iter()
        .filter_map(|name| text(name).map(|value| ((*name).to_owned(), value.to_owned())))
        .collect()
}
