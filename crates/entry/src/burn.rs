//! Backs up what another entry host counted for the burn report (the use of customers' error budgets).

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use serde_json::{Value, json};
use telemetry::burn::NodeCounts;
use telemetry::clock::wall_ms;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::EntryRpcClient;

use crate::EntryHost;

/// Interval of the backups; the loss of a host loses at most the counts since the last one.
const BACKUP_INTERVAL: Duration = Duration::from_secs(30);
/// Longest time between two checks of the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the counts of this process and the counts that it keeps for others.
#[must_use]
pub fn all_counts(entry: &EntryHost) -> Vec<NodeCounts> {
    let own = entry.burn_counts.node_counts(&entry.settings.node, wall_ms() / 1_000);
    std::iter::once(own).chain(entry.burn_counts.peer_counts()).collect()
}

/// Fetches the counts of the next entry host periodically until the process stops.
///
/// Entry hosts have no disk. Without this copy, a restart would reset the used part of the customers' error budgets,
/// and a bad day would look like a good one to an operator.
pub fn back_up_peer(entry: &EntryHost, calls: &RpcRuntime, own_address: SocketAddr) {
    let Some(peer) = next_peer(&entry.settings.peers, own_address) else {
        return;
    };
    let mut pause = Duration::ZERO;
    while !entry.stop.load(Ordering::Relaxed) {
        if pause.is_zero() {
            fetch_counts(entry, calls, peer);
            pause = BACKUP_INTERVAL;
        }
        std::thread::sleep(STOP_CHECK_INTERVAL);
        pause = pause.saturating_sub(STOP_CHECK_INTERVAL);
    }
}

/// Returns the peer that follows an address in the order of addresses, so that exactly one host keeps the counts of
/// each.
#[must_use]
pub fn next_peer(peers: &[SocketAddr], own_address: SocketAddr) -> Option<SocketAddr> {
    let after = peers.iter().filter(|peer| **peer > own_address).min();
    let first = || peers.iter().filter(|peer| **peer != own_address).min();
    after.or_else(first).copied()
}

/// Sends the counts of this process to the next entry host, so that a planned stop loses nothing.
pub fn send_counts(entry: &EntryHost, calls: &RpcRuntime, own_address: SocketAddr) {
    let Some(peer) = next_peer(&entry.settings.peers, own_address) else {
        return;
    };
    let part = entry.burn_counts.node_counts(&entry.settings.node, wall_ms() / 1_000);
    let message = Envelope::new(&entry.settings.node, entry.config.revision(), json!([part]));
    let client = calls.client(peer, Duration::ZERO);
    if client
        .ok()
        .and_then(|client| calls.wait(client.burn(message)).ok())
        .is_none()
    {
        counter!("gentian_burn_unread_total").increment(1);
    }
}

/// Stores the counts that a stopping process sent. Null means that nothing was sent; values that can't be parsed are
/// dropped and counted in a metric.
pub fn store_counts(entry: &EntryHost, counts: Value) {
    if counts.is_null() {
        return;
    }
    match serde_json::from_value(counts) {
        Ok(parts) => entry.burn_counts.store_peer_counts(parts, wall_ms() / 1_000),
        Err(_) => counter!("gentian_burn_unread_total").increment(1),
    }
}

fn fetch_counts(entry: &EntryHost, calls: &RpcRuntime, peer: SocketAddr) {
    let message = Envelope::new(&entry.settings.node, entry.config.revision(), Value::Null);
    let client = calls.client(peer, Duration::ZERO);
    let answer = client.ok().and_then(|client| calls.wait(client.burn(message)).ok());
    let parts = answer.and_then(|answer| {
        let parts: Vec<NodeCounts> = serde_json::from_value(answer.body).ok()?;
        // The counts that the peer keeps for others have their copy there already.
        Some(parts.into_iter().filter(|part| part.node == answer.from).collect())
    });
    match parts {
        Some(parts) => entry.burn_counts.store_peer_counts(parts, wall_ms() / 1_000),
        None => counter!("gentian_burn_unread_total").increment(1),
    }
}
