//! A running entry host.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use contract::{
    Catalog, ClientAccount, KeyHash, Listed, NodeId, Quota, Repeatable, Route, Service, ServiceName, Share, Zone,
};
use gateway::gate::{Gateway, HostSettings, Shared};
use gateway::lender::QuotaBorrower;
use gateway::routing_table::RoutingTable;
use gateway::server::{self, ServerSettings};
use load::trial::process::free_address;
use policy::Tick;
use policy::parts::Slack;
use policy::retries::RetryBounds;
use slog::{Discard, Logger, o};
use telemetry::Clock;
use wire::registry::QuotaShare;

use super::words::Words;
use super::{Caller, PATIENCE, Reply, Upstream, listed};

/// A running entry host.
pub struct Host {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts one whose single route leads to the upstreams.
    pub fn start(repeat: Repeatable, attempts: u32, upstreams: &[&Upstream]) -> Self {
        Self::with(repeat, attempts, 5_000, upstreams)
    }

    /// Starts one with a timeout of its route.
    pub fn with(repeat: Repeatable, attempts: u32, timeout_ms: u64, upstreams: &[&Upstream]) -> Self {
        Self::run(Self::shared(repeat, attempts, timeout_ms, upstreams))
    }

    /// Starts one that lets an account with the key `k` use so many requests a second.
    pub fn with_quota(upstreams: &[&Upstream], per_s: f64) -> Self {
        let shared = Self::shared(Repeatable::Once, 1, 5_000, upstreams);
        let mut catalog = Self::catalog(Repeatable::Once, 1, 5_000);
        catalog.accounts = vec![ClientAccount {
            name: "a".to_owned(),
            keys: vec![KeyHash::of("k")],
            priority: None,
            quota: Some(Quota {
                per_s,
                burst: 5.0,
                tokens: false,
                plain: 1.0,
            }),
        }];
        shared.table.store(Some(Arc::new(RoutingTable::new(&catalog))));
        Self::run(shared)
    }

    /// Makes the catalog of such a host.
    pub fn catalog(repeat: Repeatable, attempts: u32, timeout_ms: u64) -> Catalog {
        let service = ServiceName::from("till");
        let route = Route {
            name: "r".to_owned(),
            host: "a.example".to_owned(),
            prefix: "/x/".to_owned(),
            repeat,
            timeout_ms,
            target_ms: 500,
            attempts,
            split: vec![Share {
                service: service.clone(),
                weight: 1,
            }],
            ..Route::default()
        };
        Catalog {
            version: 1,
            routes: vec![route],
            services: vec![Service {
                name: service.clone(),
                ..Service::default()
            }],
            ..Catalog::default()
        }
    }

    /// Makes what such a host knows.
    pub fn shared(repeat: Repeatable, attempts: u32, timeout_ms: u64, upstreams: &[&Upstream]) -> Arc<Shared> {
        let catalog = Self::catalog(repeat, attempts, timeout_ms);
        let shared = Arc::new(Shared::default());
        shared.table.store(Some(Arc::new(RoutingTable::new(&catalog))));
        shared.record_newest(catalog.version, Tick(Duration::MAX));
        shared
            .quota_share
            .store(Arc::new(Some(QuotaShare { entries: 1, floor: 1.0 })));
        *shared.new_list.lock() = Some((listed(upstreams), Tick::default()));
        shared
    }

    /// Starts one that knows nothing yet.
    pub fn run(shared: Arc<Shared>) -> Self {
        // Not a port that the system gives out: another test or process would be given it before the host listens there.
        let (callers, ready) = (free_address(), free_address());
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        let work = move || {
            let place = HostSettings {
                zone: Zone::from("z"),
                retries: RetryBounds {
                    ratio: 0.2,
                    extra: 50.0,
                    window: Duration::from_secs(10),
                },
                quota_slack: Slack::default(),
                usage_window: Duration::from_secs(5),
            };
            let lender = QuotaBorrower::new(NodeId::from("e"), Arc::clone(&shared));
            let log = (Clock::start(), Logger::root(Discard, o!()));
            let gate = Gateway::new(Box::new(Words), shared, place, lender, log);
            let listen = ServerSettings {
                callers,
                ready,
                metrics: None,
                stop_grace: Duration::from_secs(8),
            };
            server::run(gate, listen, flag, Box::new(String::new)).unwrap();
        };
        let host = Self {
            callers,
            ready,
            stop,
            thread: Some(thread::spawn(work)),
        };
        host.wait_listening();
        host
    }

    fn wait_listening(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.callers).is_err() {
            assert!(begun.elapsed() < PATIENCE, "the host does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        // The list is taken over at the next exchange.
        thread::sleep(Duration::from_millis(250));
    }

    /// Tells the host to stop.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Opens a connection.
    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Caller(BufReader::new(stream))
    }

    /// Sends a request on a new connection and reads its answer.
    pub fn ask(&self, lines: &str, body: &str) -> Reply {
        let mut caller = self.connect();
        caller.send(lines, body);
        caller.reply()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
        drop(self.thread.take());
    }
}
