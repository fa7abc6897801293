//! The digest exchange of entry hosts: heartbeats, loans of limits, and dropped datagrams.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use contract::settings::SettingsReader;
use contract::{Account, Class, Config, Contract, CustomerLimits, KeyHash, Matcher, RetrySafety, Revision, Targets};
use entry::cli::Options;
use entry::settings::Settings;
use entry::{EntryHost, exchange};
use wire::client::RpcRuntime;
use wire::digest::{Amounts, Demand, DigestAck, GossipDigest, MAX_DATAGRAM, UDP_OVERHEAD_BYTES};
use wire::state::Watched;
use xxhash_rust::xxh3::xxh3_64;

/// Timeout of every wait; it only keeps a failing test from hanging.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An entry host whose only peers are simulated by the test.
struct Host {
    entry: Arc<EntryHost>,
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
        let settings = Settings::read(&options, &mut SettingsReader::default()).unwrap();
        let calls = RpcRuntime::start(1, Duration::from_secs(1)).unwrap();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let entry = Arc::new(EntryHost::new(settings, logger, &calls).unwrap());
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
        self.entry.config.apply_news(news, self.entry.clock.now());
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
        repeat: RetrySafety::Idempotent,
        shed: 0,
    };
    let account = Account {
        name: "gate".into(),
        key_hash: KeyHash::of("key"),
    };
    Contract {
        customer: "mwangaza".into(),
        accounts: vec![account],
        limits: CustomerLimits {
            requests_per_s: 100.0,
            tokens_per_s: 1_000.0,
            concurrency: 10,
        },
        share: 1,
        classes: vec![class],
    }
}

/// A peer simulated by the test.
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

    /// Sends digests until a received one satisfies a condition.
    fn until(&mut self, to: SocketAddr, condition: impl Fn(&GossipDigest) -> bool) -> GossipDigest {
        let started = Instant::now();
        let mut buffer = [0; MAX_DATAGRAM];
        while started.elapsed() < TIMEOUT {
            self.send(to);
            if let Ok(length) = self.socket.recv(&mut buffer) {
                let digest = GossipDigest::decode(&buffer[..length]).unwrap();
                if condition(&digest) {
                    return digest;
                }
            }
        }
        panic!("no such digest came");
    }
}

fn wait(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "{what}");
        sleep(Duration::from_millis(20));
    }
}

/// A peer dies and its heartbeats stop. If it kept its part of the polling, those upstreams would never have load
/// reports again.
#[test]
fn silent_peer() {
    let mut peer = Peer::new();
    let host = Host::start(&[peer.address()]);
    let answer = peer.until(host.address, |digest| digest.heard.is_some());
    assert_eq!(answer.heard.unwrap().incarnation, 5);
    wait("the peer is live", || host.entry.live_hosts.load().count() == 2);
    wait("the silent peer is dropped", || {
        host.entry.live_hosts.load().count() == 1
    });
}

/// Datagrams from an unknown address, from before a restart and out of order must be ignored. Otherwise a restarted
/// peer would seem to lend what it no longer accounts for.
#[test]
fn stale_digests_dropped() {
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
    assert_eq!(host.entry.live_hosts.load().count(), 2);
}

/// All callers of a customer use the peer, so this host must lend it most of its part. After its start a host must lend
/// nothing until all loans of an earlier process of its name have expired.
#[test]
fn idle_host_lends() {
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
    let started = Instant::now();
    let answer = peer.until(host.address, |digest| {
        digest
            .demand
            .iter()
            .any(|row| row.customer == customer && row.lent.requests > 0)
    });
    assert!(started.elapsed() >= Duration::from_secs(3), "lent too early");
    let lent = answer.demand[0].lent;
    // Its part is half of the limit, of which nine tenths can be lent.
    assert!((4_400..=4_500).contains(&lent.requests), "{lent:?}");
    assert_eq!((lent.tokens, lent.running), (450, 4));
}

/// With many entry hosts there is more to send than the network budget of a small host allows. The bytes sent must stay
/// within the budget, and every peer must still get digests.
#[test]
fn bandwidth_bounded() {
    const BYTES: f64 = 2_200.0;
    let peers: Vec<Peer> = (0..60).map(|_| Peer::new()).collect();
    let addresses: Vec<SocketAddr> = peers.iter().map(Peer::address).collect();
    let started = Instant::now();
    let host = Host::start(&addresses);
    let mut heard = vec![false; peers.len()];
    let mut bytes = 0;
    let mut buffer = [0; MAX_DATAGRAM];
    for peer in &peers {
        peer.socket.set_nonblocking(true).unwrap();
    }
    while heard.contains(&false) {
        assert!(started.elapsed() < TIMEOUT, "some peer is never told anything");
        for (peer, heard) in peers.iter().zip(&mut heard) {
            while let Ok(length) = peer.socket.recv(&mut buffer) {
                *heard = true;
                bytes += length + UDP_OVERHEAD_BYTES;
            }
        }
        let allowed = BYTES * (started.elapsed().as_secs_f64() + 1.0) + MAX_DATAGRAM as f64;
        assert!((bytes as f64) < allowed, "{bytes} sent, {allowed} allowed");
        sleep(Duration::from_millis(20));
    }
    drop(host);
}
