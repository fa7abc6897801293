//! Background thread that keeps up with the leader's quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::Revision;
use jsonrpsee::http_client::HttpClient;
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use slog::{info, warn};
use tokio::time::sleep;
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::client::RpcRuntime;
use wire::quarantine::{QuarantineReply, WatchQuarantine};

use crate::link::{KnownNodes, StateSync};
use crate::quarantine::KnownQuarantine;

/// Longest time that the leader holds a call until there is a change; hundreds of hosts wait at one leader.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Shortest time that the leader holds a call, so that calls don't follow on each other at once.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Pause after a failed call, and while no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a held call is given up if there is another leader.
const LEADER_POLL: Duration = Duration::from_millis(250);

/// Follows the quarantine for as long as the process runs.
pub(crate) fn run(sync: &StateSync, rpc: &RpcRuntime, known: &Arc<Mutex<KnownNodes>>) {
    let mut kept: Option<(SocketAddr, HttpClient)> = None;
    let mut connected = true;
    loop {
        let Some(peer) = known.lock().leader else {
            thread::sleep(RETRY_PAUSE);
            continue;
        };
        let client = match kept.take().filter(|(current, _)| *current == peer) {
            Some((_, client)) => Ok(client),
            None => rpc.client(peer, WATCH_WAIT).map_err(|error| error.to_string()),
        };
        let watch = next_call(&sync.shared.quarantine.lock(), sync.clock.now());
        let request = Envelope::new(&sync.node, Revision::default(), watch);
        let reply = client.and_then(|client| {
            let reply = rpc.wait(async {
                tokio::select! {
                    reply = client.watch_quarantine(request) => reply.map_err(|error| error.to_string()),
                    () = leader_changed(known, peer) => Err("another node leads".to_owned()),
                }
            });
            kept = Some((peer, client));
            reply
        });
        let error = match reply.map(|reply| reply.body) {
            Ok(QuarantineReply::News(news)) => {
                let count = news.requests.len();
                let mut quarantine = sync.shared.quarantine.lock();
                let changed = quarantine.mark() != news.mark;
                let now = sync.clock.now();
                quarantine.apply(news, now);
                let kept_ms = quarantine.keeps_for(now).map(|left| left.as_millis() as u64);
                drop(quarantine);
                if changed || !connected {
                    info!(sync.logger, "quarantine is told"; "peer" => %peer, "requests" => count, "kept_ms" => kept_ms);
                }
                connected = true;
                continue;
            }
            Ok(QuarantineReply::Unavailable(reason)) => reason.to_string(),
            Err(error) => error,
        };
        if connected {
            warn!(sync.logger, "quarantine is not told"; "peer" => %peer, "step" => "quarantine", "error" => error);
        }
        connected = false;
        kept = None;
        counter!("gentian_gateway_quarantine_failed_total").increment(1);
        thread::sleep(RETRY_PAUSE);
    }
}

/// Returns the call for the next news. While anything is kept from a former leader, the leader answers when it knows what
/// hosts know, even without a change.
fn next_call(known: &KnownQuarantine, now: Tick) -> WatchQuarantine {
    let wait = known.keeps_for(now).map_or(WATCH_WAIT, |left| left.max(MIN_WAIT));
    WatchQuarantine {
        mark: known.mark(),
        wait_ms: wait.min(WATCH_WAIT).as_millis() as u64,
    }
}

/// Waits until a node no longer counts as the leader.
async fn leader_changed(known: &Mutex<KnownNodes>, peer: SocketAddr) {
    while known.lock().leader == Some(peer) {
        sleep(LEADER_POLL).await;
    }
}
