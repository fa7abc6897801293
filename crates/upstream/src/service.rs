//! Client for plain services: forwards calls with method, path, query, body and the safe headers.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use ureq::Agent;
use ureq::config::Config;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::http::{HeaderMap, Request};
use ureq::unversioned::transport::{Connector, TcpConnector};

use crate::failures::{ConnectionFailure, RecordingConnector};
use crate::pulse::LiteralResolver;
use crate::{Fate, UpstreamError};

/// Largest response body of a service.
pub const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;
/// Longest wait for a connection that shows that a service still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that such a connection has to stay open: a service that is dying may accept it and close it at once.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// HTTP header that carries the idempotency key of the caller.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Response headers that are returned to the caller; all others concern one connection or the service's own hosts.
const RETURNED_HEADERS: [&str; 10] = [
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

/// A call to forward to a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path and query; begins with a slash.
    pub path: &'a str,
    /// Headers to forward, as name and value.
    pub headers: &'a [(String, String)],
    /// Request body; may be empty.
    pub body: &'a [u8],
}

/// The response of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status; error statuses are returned too.
    pub status: u16,
    /// Value of `Content-Type`; `application/octet-stream` if the service sent none.
    pub media: String,
    /// Other headers to return to the caller, as name and value.
    pub headers: Vec<(String, String)>,
    /// Response body, at most [`MAX_ANSWER_BYTES`] long.
    pub body: Vec<u8>,
}

/// Statuses of an answer after which no other one follows.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// An HTTP client for any plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    config: Config,
}

impl ServiceClient {
    /// Creates a client; the timeout applies to connecting only.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(connect))
            .http_status_as_error(false)
            .allow_non_standard_methods(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            // The peer may have closed a reused connection, and then it is unknown whether the request arrived.
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self { config }
    }

    /// Sends a call, without retries.
    ///
    /// # Errors
    /// Fails if the service can't be reached or sends no complete response in time; [`UpstreamError::fate`] states
    /// whether the call may have run.
    pub fn send(
        &self,
        peer: SocketAddr,
        call: &ServiceCall<'_>,
        timeout: Duration,
    ) -> Result<ServiceAnswer, UpstreamError> {
        const STEP: &str = "call service";
        let to_error = |error: ureq::Error| UpstreamError::from_client(STEP, peer, &error);
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{peer}{}", call.path))
            .header("Connection", "close");
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(call.body).map_err(|error| to_error(error.into()))?;
        let failure = ConnectionFailure::default();
        let connector = TcpConnector::default().chain(RecordingConnector(failure.clone()));
        let agent = Agent::with_parts(self.config.clone(), connector, LiteralResolver);
        let request = agent.configure_request(request).timeout_global(Some(timeout)).build();
        let mut response = agent.run(request).map_err(to_error)?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let reason = format!("the status {status} is none of a final answer");
            return Err(UpstreamError::new(STEP, peer, Fate::Unknown, reason));
        }
        let media = response
            .headers()
            .get("Content-Type")
            .and_then(|value| value.to_str().ok());
        let media = media.unwrap_or("application/octet-stream").to_owned();
        let headers = returned_headers(response.headers());
        let ends_on_close = [CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .all(|name| !response.headers().contains_key(name));
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(to_error)?;
        // The kernel ends the connections of a killed process in order, which looks like the end of such a body.
        if ends_on_close && call.method != "HEAD" && !matches!(status, 204 | 304) {
            if failure.is_set() {
                let reason = "the connection failed, and nothing else marks the end of the answer";
                return Err(UpstreamError::new(STEP, peer, Fate::Unknown, reason));
            }
            confirm_running(peer).map_err(|error| {
                let reason = format!("the end of the answer is not confirmed: {error}");
                UpstreamError::new(STEP, peer, Fate::Unknown, reason)
            })?;
        }
        Ok(ServiceAnswer {
            status,
            media,
            headers,
            body,
        })
    }
}

/// Checks that a service takes a connection and leaves it open.
fn confirm_running(peer: SocketAddr) -> io::Result<()> {
    let connection = TcpStream::connect_timeout(&peer, CHECK_TIMEOUT)?;
    connection.set_read_timeout(Some(SETTLE_TIME))?;
    match connection.peek(&mut [0]) {
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(()),
        Err(error) => Err(error),
        Ok(_) => Err(ErrorKind::ConnectionAborted.into()),
    }
}

fn returned_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    RETURNED_HEADERS
        .iter()
        .filter_map(|name| text(name).map(|value| ((*name).to_owned(), value.to_owned())))
        .collect()
}
