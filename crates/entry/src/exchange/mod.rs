//! Digests between entry hosts: demand and loans of customers' limits, load reports of upstreams, heartbeats.
//!
//! One thread owns the socket and all that is known of the peers. Rounds are at a fixed pace; how many peers a round
//! reaches follows from a bound on the bytes a second, so that a daemon stays within its budget at any number of hosts.

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

use crate::Entry;
pub use live::Live;
use peers::{Peers, Stale};

/// Pause between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Most peers to which load reports are sent beyond the own data centre.
const FEW: usize = 16;

/// Opens the socket on the address of the inner protocol.
///
/// # Errors
/// Fails when another process has the port.
pub fn open(own: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(own)
}

/// Exchanges digests until told to stop.
pub fn run(entry: &Entry, socket: &UdpSocket, own: SocketAddr) {
    let mut peers = Peers::new(&entry.settings.peers, own, entry.clock.now());
    let mut buffer = [0; MAX_DATAGRAM + 1];
    let mut next = entry.clock.now();
    while !entry.stopping() {
        let now = entry.clock.now();
        if now >= next {
            round(entry, socket, &mut peers, now);
            next = now + ROUND;
        }
        let left = next.since(entry.clock.now()).max(Duration::from_millis(1));
        // A zero timeout is refused by the system; this one never is.
        let _ = socket.set_read_timeout(Some(left));
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => hear(entry, &mut peers, &buffer[..length], from),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // A peer that isn't up makes the system report a refused datagram.
            Err(_) => counter!("gentian_digest_errors_total", "step" => "receive").increment(1),
        }
    }
}

fn round(entry: &Entry, socket: &UdpSocket, peers: &mut Peers, now: Tick) {
    let view = entry.current.view();
    entry.admission.refresh(&view, peers.hosts(now), peers.rank());
    entry.fleet.refresh(&view);
    let live = peers.live(&entry.settings.node, &entry.settings.data_center, now);
    publish(entry, live);
    peers.begin(now);
    while let Some(peer) = peers.next_due(&entry.settings.data_center, now) {
        let digest = digest(entry, peers, peer, now);
        send(socket, peers, peer, digest, now);
    }
}

fn publish(entry: &Entry, live: Live) {
    gauge!("gentian_live_entry_hosts").set(live.count() as f64);
    let before = entry.live.load();
    if before.count() != live.count() {
        info!(entry.logger, "live entry hosts changed"; "before" => before.count(), "now" => live.count());
    }
    if **before != live {
        entry.live.store(Arc::new(live));
    }
}

fn digest(entry: &Entry, peers: &Peers, peer: usize, now: Tick) -> GossipDigest {
    let settings = &entry.settings;
    let near = peers.is_near(peer, &settings.data_center) || peers.count() <= FEW;
    let loads = if near {
        entry.fleet.polled(peers.last_sent(peer), now)
    } else {
        Vec::new()
    };
    GossipDigest {
        from: settings.node.clone(),
        place: settings.data_center.clone(),
        incarnation: entry.incarnation(),
        sequence: peers.sequence(),
        revision: entry.current.revision(),
        leaving: entry.is_leaving(),
        hosts: peers.configured(),
        heard: peers.heard(peer),
        demand: entry.admission.tell(peer as u32, now),
        loads,
    }
}

fn send(socket: &UdpSocket, peers: &mut Peers, peer: usize, digest: GossipDigest, now: Tick) {
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
    peers.sent(peer, bytes, now);
}

fn hear(entry: &Entry, peers: &mut Peers, bytes: &[u8], from: SocketAddr) {
    let now = entry.clock.now();
    counter!("gentian_digest_bytes_total", "way" => "received").increment((bytes.len() + UDP_OVERHEAD_BYTES) as u64);
    let Ok(digest) = GossipDigest::decode(bytes) else {
        return drop_one("codec");
    };
    let heard = match peers.hear(from, &digest, now) {
        Ok(heard) => heard,
        Err(Stale::Stranger) => return drop_one("stranger"),
        Err(Stale::Old) => return drop_one("old"),
    };
    // What a peer lends answers the newest of our digests that it had heard, if this process sent it.
    let asked = digest.heard.filter(|heard| heard.incarnation == entry.incarnation());
    let asked = asked.and_then(|heard| peers.sent_at(heard.sequence));
    if entry.admission.hear(heard, &digest.demand, asked, now) {
        peers.owe(heard);
    }
    for load in &digest.loads {
        entry.fleet.hear(load, now);
    }
}

fn drop_one(cause: &'static str) {
    counter!("gentian_digests_dropped_total", "cause" => cause).increment(1);
}
