//! Bounds on what upstreams may send.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use ureq::Body;
use ureq::http::Response;

use crate::{Fate, UpstreamError};

/// Largest JSON answer, in bytes; a larger one is an error, so that a broken upstream can't exhaust memory.
pub(crate) const MAX_JSON: u64 = 16 * 1024 * 1024;

/// Reads a JSON answer; every other status than success is an error with its status.
pub(crate) fn read_json<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    mut answer: Response<Body>,
) -> Result<T, UpstreamError> {
    let status = answer.status();
    if !status.is_success() {
        let refused = matches!(status.as_u16(), 409 | 429 | 503);
        let fate = if refused { Fate::NotRun } else { Fate::Unknown };
        return Err(UpstreamError::new(step, peer, fate, format!("status {status}")));
    }
    let body = answer.body_mut().with_config().limit(MAX_JSON);
    body.read_json()
        .map_err(|error| UpstreamError::from_client(step, peer, &error))
}
