//! Responses to requests for a route that an entry host doesn't have.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use common::{Host, Response};
use contract::RetryMode;
use gateway::gate::Shared;

/// Sends a request for an unknown route.
fn request_unknown_route(shared: Arc<Shared>) -> Response {
    let host = Host::run(shared);
    let mut caller = host.connect();
    caller.send_to("/added/1", "", "");
    caller.read_response()
}

/// Guards against a final refusal for a route that operators have added, and that only this host doesn't have yet.
#[test]
fn newer_version_known() {
    let shared = Host::shared(RetryMode::Once, 1, 5_000, &[]);
    shared.newest_version.store(2, Ordering::Relaxed);
    let response = request_unknown_route(shared);
    assert_eq!(
        response.status, 503,
        "version 1 is in force, version 2 may have the route"
    );
    assert!(response.head.contains("Retry-After: "), "{}", response.head);
}

/// Guards against a final refusal by a host that has not heard from a state node for a while, and so can't know of
/// newer versions.
#[test]
fn version_unconfirmed() {
    let shared = Host::shared(RetryMode::Once, 1, 5_000, &[]);
    shared.confirmed_at.store(Arc::new(None));
    assert_eq!(request_unknown_route(shared).status, 503);
}

/// Guards against retries of requests for a route that does not exist.
#[test]
fn newest_in_force() {
    let shared = Host::shared(RetryMode::Once, 1, 5_000, &[]);
    assert_eq!(request_unknown_route(shared).status, 404);
}
