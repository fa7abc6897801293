//! Entry hosts hear each other by datagrams: heartbeats, loans of limits, and what is dropped.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use contract::settings::Sheet;
use contract::{Account, Class, Config, Contract, KeyHash, Limits, Matcher, Repeat, Revision, Targets};
use entry::cli::Options;
use entry::settings::Settings;
use entry::{Entry, exchange};
use wire::client::RpcRuntime;
use wire::digest::{Amounts, Demand, DigestAck, GossipDigest, MAX_DATAGRAM, UDP_OVERHEAD_BYTES};
use wire::state::Watched;
use xxhash_rust::xxh3::xxh3_64;

/// Longest wait for something that must happen; it only keeps a broken test from hanging.
const PATIENCE: Duration = Duration::from_secs(30);

/// An entry host whose only peers are the test.
struct Host {
    entry: Arc<Entry>,
    thread: Option<JoinHandle<()>>,
    address: SocketAddr,
    _calls: RpcRuntime,
}

impl Host {
    fn start(peers: &[SocketAddr]) -> Self {
        let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let options = Options {
            node: Some("entry-1".to_owned()),
            data_center: Some("dc-1".to_owned()),
            state: Some("127.0.0.1:1".to_owned()),
            inner: Some(address.to_string()),
            peers: Some(format!("{},{address}", peers.join(","))),
            ..Options::default()
        };
        let settings = Settings::read(&options, &mut Sheet::default()).unwrap();
        let calls = RpcRuntime::start(1, Duration::from_secs(1)).unwrap();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let entry = Arc::new(Entry::new(settings, logger, &calls).unwrap());
        let shared = Arc::clone(&entry);
        let thread = spawn(move || exchange::run(&shared, &socket, address));
        Self {
            entry,
            thread: Some(thread),
            address,
            _calls: calls,
        }
    }

    fn configure(&self, contract: Contract) {
        let mut config = Config {
            revision: Revision(1),
            ..Config::default()
        };
        config.contracts.insert(contract.customer.clone(), contract);
        let news = Watched {
            snapshot: Some(config),
            records: Vec::new(),
            age_ms: 0,
        };
        self.entry.current.take(news, self.entry.clock.now());
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.entry.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn contract() -> Contract {
    let targets = Targets {
        first_token_ms: None,
        between_tokens_ms: None,
        whole_answer_ms: 1_000,
    };
    let class = Class {
        name: "all".into(),
        matches: Matcher::default(),
        targets,
        repeat: Repeat::Idempotent,
        shed: 0,
    };
    let account = Account {
        name: "gate".into(),
        key_hash: KeyHash::of("key"),
    };
    Contract {
        customer: "mwangaza".into(),
        accounts: vec![account],
        limits: Limits {
            requests_per_s: 100.0,
            tokens_per_s: 1_000.0,
            concurrency: 10,
        },
        share: 1,
        classes: vec![class],
    }
}

/// The test as a peer.
struct Peer {
    socket: UdpSocket,
    digest: GossipDigest,
}

impl Peer {
    fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let digest = GossipDigest {
            from: "entry-2".into(),
            place: "dc-1".into(),
            incarnation: 5,
            sequence: 100,
            hosts: 2,
            ..GossipDigest::default()
        };
        Self { socket, digest }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    fn send(&mut self, to: SocketAddr) {
        self.digest.sequence += 1;
        self.socket.send_to(&self.digest.encode().unwrap(), to).unwrap();
    }

    /// Sends digests until one that comes back satisfies a condition.
    fn until(&mut self, to: SocketAddr, good: impl Fn(&GossipDigest) -> bool) -> GossipDigest {
        let begun = Instant::now();
        let mut buffer = [0; MAX_DATAGRAM];
        while begun.elapsed() < PATIENCE {
            self.send(to);
            if let Ok(length) = self.socket.recv(&mut buffer) {
                let digest = GossipDigest::decode(&buffer[..length]).unwrap();
                if good(&digest) {
                    return digest;
                }
            }
        }
        panic!("no such digest came");
    }
}

fn wait(what: &str, good: impl Fn() -> bool) {
    let begun = Instant::now();
    while !good() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        sleep(Duration::from_millis(20));
    }
}

/// A peer dies and its heartbeats end. If it stayed in the division of polling, the upstreams that were its part would
/// have no load reports for ever.
#[test]
fn silent_peer() {
    let mut peer = Peer::new();
    let host = Host::start(&[peer.address()]);
    let answer = peer.until(host.address, |digest| digest.heard.is_some());
    assert_eq!(answer.heard.unwrap().incarnation, 5);
    wait("the peer is live", || host.entry.live.load().count() == 2);
    wait("the silent peer is dropped", || host.entry.live.load().count() == 1);
}

/// Datagrams of a stranger, of a process before the last restart and out of order change nothing. If an old one
/// counted, a peer that was restarted would seem to lend what it no longer knows of.
#[test]
fn old_dropped() {
    let mut peer = Peer::new();
    let host = Host::start(&[peer.address()]);
    let mut stranger = Peer::new();
    stranger.digest.from = "stranger".into();
    stranger.digest.incarnation = 9;
    stranger.send(host.address);
    let first = peer.until(host.address, |digest| digest.heard.is_some()).heard.unwrap();
    assert_eq!(first.incarnation, 5);
    peer.digest.incarnation = 4;
    peer.send(host.address);
    peer.digest.incarnation = 5;
    peer.digest.sequence = 50;
    peer.send(host.address);
    peer.digest.sequence = 10_000;
    let heard = |digest: &GossipDigest| digest.heard.is_some_and(|heard| heard.sequence > 10_000);
    let newest: DigestAck = peer.until(host.address, heard).heard.unwrap();
    assert_eq!(newest.incarnation, 5);
    assert_eq!(host.entry.live.load().count(), 2);
}

/// All callers of a customer come through the peer. This host has none, and lends it most of its part; a host that was
/// just started lends nothing until all that an earlier process of its name may have lent has ended.
#[test]
fn idle_lends() {
    let mut peer = Peer::new();
    let host = Host::start(&[peer.address()]);
    host.configure(contract());
    let customer = xxh3_64(b"mwangaza") as u32;
    peer.digest.demand = vec![Demand {
        customer,
        wanted: Amounts {
            requests: 30_000,
            tokens: 3_000,
            running: 30,
        },
        ..Demand::default()
    }];
    let begun = Instant::now();
    let answer = peer.until(host.address, |digest| {
        digest
            .demand
            .iter()
            .any(|row| row.customer == customer && row.lent.requests > 0)
    });
    assert!(begun.elapsed() >= Duration::from_secs(3), "lent too early");
    let lent = answer.demand[0].lent;
    // A half of the limit is its part, of which nine tenths can be lent.
    assert!((4_400..=4_500).contains(&lent.requests), "{lent:?}");
    assert_eq!((lent.tokens, lent.running), (450, 4));
}

/// Hundreds of entry hosts and customers make more to tell than the network of a small host is given for control. What
/// is sent stays below the bound, and every peer still gets its turn.
#[test]
fn bytes_bounded() {
    const BYTES: f64 = 2_200.0;
    let peers: Vec<Peer> = (0..60).map(|_| Peer::new()).collect();
    let addresses: Vec<SocketAddr> = peers.iter().map(Peer::address).collect();
    let begun = Instant::now();
    let host = Host::start(&addresses);
    let mut heard = vec![false; peers.len()];
    let mut bytes = 0;
    let mut buffer = [0; MAX_DATAGRAM];
    for peer in &peers {
        peer.socket.set_nonblocking(true).unwrap();
    }
    while heard.contains(&false) {
        assert!(begun.elapsed() < PATIENCE, "some peer is never told anything");
        for (peer, heard) in peers.iter().zip(&mut heard) {
            while let Ok(length) = peer.socket.recv(&mut buffer) {
                *heard = true;
                bytes += length + UDP_OVERHEAD_BYTES;
            }
        }
        let allowed = BYTES * (begun.elapsed().as_secs_f64() + 1.0) + MAX_DATAGRAM as f64;
        assert!((bytes as f64) < allowed, "{bytes} sent, {allowed} allowed");
        sleep(Duration::from_millis(20));
    }
    drop(host);
}
