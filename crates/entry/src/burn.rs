//! The duty that remembers what another entry host counted for the burn report.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use serde_json::{Value, json};
use telemetry::burn::Part;
use telemetry::clock::wall_ms;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::EntryRpcClient;

use crate::Entry;

/// Pause between two questions; at most what was counted since the last one is lost with a host.
const EVERY: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Gives what this process counted and what it remembers of others.
#[must_use]
pub fn parts(entry: &Entry) -> Vec<Part> {
    let own = entry.burn.node_counts(&entry.settings.node, wall_ms() / 1_000);
    std::iter::once(own).chain(entry.burn.peer_counts()).collect()
}

/// Asks the next entry host again and again until told to stop.
///
/// An entry host has no disk. Without this, a restart would set the customer's budget back to full, and an operator would
/// take a bad day for a good one.
pub fn remember(entry: &Entry, calls: &RpcRuntime, own: SocketAddr) {
    let Some(peer) = next(&entry.settings.peers, own) else {
        return;
    };
    let mut rest = Duration::ZERO;
    while !entry.stop.load(Ordering::Relaxed) {
        if rest.is_zero() {
            ask(entry, calls, peer);
            rest = EVERY;
        }
        std::thread::sleep(CHECK_INTERVAL);
        rest = rest.saturating_sub(CHECK_INTERVAL);
    }
}

/// Gives the peer after an address in the order of addresses, so that every host is remembered by exactly one.
#[must_use]
pub fn next(peers: &[SocketAddr], own: SocketAddr) -> Option<SocketAddr> {
    let after = peers.iter().filter(|peer| **peer > own).min();
    let first = || peers.iter().filter(|peer| **peer != own).min();
    after.or_else(first).copied()
}

/// Hands what this process counted to the next entry host, so that a planned stop loses nothing.
pub fn hand_over(entry: &Entry, calls: &RpcRuntime, own: SocketAddr) {
    let Some(peer) = next(&entry.settings.peers, own) else {
        return;
    };
    let part = entry.burn.node_counts(&entry.settings.node, wall_ms() / 1_000);
    let message = Envelope::new(&entry.settings.node, entry.current.revision(), json!([part]));
    let client = calls.client(peer, Duration::ZERO);
    if client
        .ok()
        .and_then(|client| calls.wait(client.burn(message)).ok())
        .is_none()
    {
        counter!("gentian_burn_unread_total").increment(1);
    }
}

/// Takes over what a stopping process counted; anything else is left out and counted.
pub fn take(entry: &Entry, handed: Value) {
    if handed.is_null() {
        return;
    }
    match serde_json::from_value(handed) {
        Ok(parts) => entry.burn.store_peer_counts(parts, wall_ms() / 1_000),
        Err(_) => counter!("gentian_burn_unread_total").increment(1),
    }
}

fn ask(entry: &Entry, calls: &RpcRuntime, peer: SocketAddr) {
    let message = Envelope::new(&entry.settings.node, entry.current.revision(), Value::Null);
    let client = calls.client(peer, Duration::ZERO);
    let answer = client.ok().and_then(|client| calls.wait(client.burn(message)).ok());
    let parts = answer.and_then(|answer| {
        let parts: Vec<Part> = serde_json::from_value(answer.body).ok()?;
        // What the peer remembers of others is remembered there; only its own counts are kept here.
        Some(parts.into_iter().filter(|part| part.node == answer.from).collect())
    });
    match parts {
        Some(parts) => entry.burn.store_peer_counts(parts, wall_ms() / 1_000),
        None => counter!("gentian_burn_unread_total").increment(1),
    }
}
