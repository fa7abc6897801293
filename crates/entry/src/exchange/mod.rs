//! Gossip between entry hosts by UDP digests: demand and loans of customers' limits, load reports of upstreams,
//! heartbeats.
//!
//! One thread owns the socket and the state of the peers. Rounds have a fixed interval; the number of peers that get a
//! digest in a round follows from a budget in bytes a second, which holds for any number of hosts.

mod live;
mod peers;

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge};
use policy::Tick;
use slog::info;
use wire::digest::{GossipDigest, MAX_DATAGRAM, UDP_OVERHEAD_BYTES};

use crate::EntryHost;
pub use live::LiveHosts;
use peers::{DropReason, PeerTable};

/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of peers with which load reports also go to other data centres.
const FAR_REPORT_PEERS: usize = 16;

/// Binds the UDP socket at the address of the internal RPC server.
///
/// # Errors
/// Fails if the port is in use.
pub fn open(own_address: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(own_address)
}

/// Exchanges digests until the process stops.
pub fn run(entry: &EntryHost, socket: &UdpSocket, own_address: SocketAddr) {
    let mut peers = PeerTable::new(&entry.settings.peers, own_address, entry.clock.now());
    let mut buffer = [0; MAX_DATAGRAM + 1];
    let mut next_round = entry.clock.now();
    while !entry.is_stopping() {
        let now = entry.clock.now();
        if now >= next_round {
            run_round(entry, socket, &mut peers, now);
            next_round = now + ROUND_INTERVAL;
        }
        let wait = next_round.since(entry.clock.now()).max(Duration::from_millis(1));
        // The call fails only for a zero timeout, which the minimum above excludes.
        let _ = socket.set_read_timeout(Some(wait));
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => receive_digest(entry, &mut peers, &buffer[..length], from),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // A digest to a peer that is down makes a later receive fail with a refused connection.
            Err(_) => counter!("gentian_digest_errors_total", "step" => "receive").increment(1),
        }
    }
}

fn run_round(entry: &EntryHost, socket: &UdpSocket, peers: &mut PeerTable, now: Tick) {
    let view = entry.config.view();
    entry
        .admission
        .apply_config(&view, peers.limit_hosts(now), peers.rank());
    entry.upstreams.refresh(&view);
    let live = peers.live_hosts(&entry.settings.node, &entry.settings.data_center, now);
    publish_live(entry, live);
    peers.start_round(now);
    while let Some(peer) = peers.next_peer(&entry.settings.data_center, now) {
        let digest = build_digest(entry, peers, peer, now);
        send_digest(socket, peers, peer, digest, now);
    }
}

fn publish_live(entry: &EntryHost, live: LiveHosts) {
    gauge!("gentian_live_entry_hosts").set(live.count() as f64);
    let before = entry.live_hosts.load();
    if before.count() != live.count() {
        info!(entry.logger, "live entry hosts changed"; "before" => before.count(), "now" => live.count());
    }
    if **before != live {
        entry.live_hosts.store(Arc::new(live));
    }
}

fn build_digest(entry: &EntryHost, peers: &PeerTable, peer: usize, now: Tick) -> GossipDigest {
    let settings = &entry.settings;
    let send_loads = peers.is_local(peer, &settings.data_center) || peers.count() <= FAR_REPORT_PEERS;
    let loads = if send_loads {
        entry.upstreams.polled_since(peers.last_sent(peer), now)
    } else {
        Vec::new()
    };
    GossipDigest {
        from: settings.node.clone(),
        place: settings.data_center.clone(),
        incarnation: entry.incarnation(),
        sequence: peers.sequence(),
        revision: entry.config.revision(),
        leaving: entry.is_leaving(),
        hosts: peers.configured_hosts(),
        heard: peers.newest_received(peer),
        demand: entry.admission.demand_for(peer as u32, now),
        loads,
    }
}

fn send_digest(socket: &UdpSocket, peers: &mut PeerTable, peer: usize, digest: GossipDigest, now: Tick) {
    let Ok(parts) = digest.split() else {
        counter!("gentian_digest_errors_total", "step" => "encode").increment(1);
        return;
    };
    let mut bytes = 0;
    for part in parts {
        bytes += part.len() + UDP_OVERHEAD_BYTES;
        if socket.send_to(&part, peers.address(peer)).is_err() {
            counter!("gentian_digest_errors_total", "step" => "send").increment(1);
        }
    }
    counter!("gentian_digest_bytes_total", "way" => "sent").increment(bytes as u64);
    peers.record_sent(peer, bytes, now);
}

fn receive_digest(entry: &EntryHost, peers: &mut PeerTable, bytes: &[u8], from: SocketAddr) {
    let now = entry.clock.now();
    counter!("gentian_digest_bytes_total", "way" => "received").increment((bytes.len() + UDP_OVERHEAD_BYTES) as u64);
    let Ok(digest) = GossipDigest::decode(bytes) else {
        return count_dropped("codec");
    };
    let peer = match peers.record_digest(from, &digest, now) {
        Ok(peer) => peer,
        Err(DropReason::UnknownSender) => return count_dropped("stranger"),
        Err(DropReason::Outdated) => return count_dropped("old"),
    };
    // The loans in a digest answer the newest of our digests that the peer had received, if this process sent it and
    // not one before a restart.
    let demand_sent = digest.heard.filter(|heard| heard.incarnation == entry.incarnation());
    let demand_sent = demand_sent.and_then(|heard| peers.send_time(heard.sequence));
    if entry.admission.record_demand(peer, &digest.demand, demand_sent, now) {
        peers.mark_borrower(peer);
    }
    for load in &digest.loads {
        entry.upstreams.record_report(load, now);
    }
}

fn count_dropped(cause: &'static str) {
    counter!("gentian_digests_dropped_total", "cause" => cause).increment(1);
}
