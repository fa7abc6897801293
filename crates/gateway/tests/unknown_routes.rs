//! What callers hear of routes that an entry host does not have.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use common::{Host, Reply};
use contract::Repeatable;
use gateway::gate::Shared;

/// Asks a host for a route that it does not have.
fn ask(shared: Arc<Shared>) -> Reply {
    let host = Host::run(shared);
    let mut caller = host.connect();
    caller.send_to("/added/1", "", "");
    caller.reply()
}

/// Guards against a final refusal for a route that operators have added and that only this host has not got yet.
#[test]
fn newer_version_known() {
    let shared = Host::shared(Repeatable::Once, 1, 5_000, &[]);
    shared.newest_version.store(2, Ordering::Relaxed);
    let reply = ask(shared);
    assert_eq!(reply.status, 503, "version 1 is in force, version 2 may have the route");
    assert!(reply.head.contains("Retry-After: "), "{}", reply.head);
}

/// Guards against the same at a host that has heard from no state node for a while, and so can't know of a newer version.
#[test]
fn unconfirmed() {
    let shared = Host::shared(Repeatable::Once, 1, 5_000, &[]);
    shared.confirmed_at.store(Arc::new(None));
    assert_eq!(ask(shared).status, 503);
}

/// Guards against callers that are sent away to come back for a route that does not exist.
#[test]
fn newest_in_force() {
    let shared = Host::shared(Repeatable::Once, 1, 5_000, &[]);
    assert_eq!(ask(shared).status, 404);
}
