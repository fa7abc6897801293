//! Limits on responses of upstreams.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use ureq::Body;
use ureq::http::Response;

use crate::{Fate, UpstreamError};

/// Largest JSON response; a larger one is an error, so that a faulty upstream can't exhaust memory.
pub(crate) const MAX_JSON_BYTES: u64 = 16 * 1024 * 1024;

/// Decodes a JSON response; a status other than success is an error.
pub(crate) fn read_json<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    mut response: Response<Body>,
) -> Result<T, UpstreamError> {
    let status = response.status();
    if !status.is_success() {
        let rejected = matches!(status.as_u16(), 409 | 429 | 503);
        let fate = if rejected { Fate::NotRun } else { Fate::Unknown };
        return Err(UpstreamError::new(step, peer, fate, format!("status {status}")));
    }
    let body = response.body_mut().with_config().limit(MAX_JSON_BYTES);
    body.read_json()
        .map_err(|error| UpstreamError::from_client(step, peer, &error))
}
