//! A running entry host.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use contract::{
    Catalog, ClientAccount, KeyHash, ListedUpstream, NodeId, Quota, RetryMode, Route, Service, ServiceName,
    WeightedService, Zone,
};
use gateway::gate::{Gateway, HostSettings, Shared};
use gateway::lender::QuotaBorrower;
use gateway::routing_table::RoutingTable;
use gateway::server::{self, ServerSettings};
use gateway::waiting::WaitingBounds;
use load::trial::process::free_address;
use policy::Tick;
use policy::intake::HostBounds;
use policy::parts::Slack;
use policy::retries::RetryBounds;
use slog::{Discard, Logger, o};
use telemetry::Clock;
use wire::registry::QuotaShare;

use super::headers::TestHeaders;
use super::{Caller, Response, TEST_TIMEOUT, Upstream, listed};

/// A running entry host.
pub struct Host {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub ready: SocketAddr,
    /// Address for other hosts that are cut off from upstreams.
    pub relay: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a host with a single route to the upstreams.
    pub fn start(repeat: RetryMode, attempts: u32, upstreams: &[&Upstream]) -> Self {
        Self::with_timeout(repeat, attempts, 5_000, upstreams)
    }

    /// Starts a host whose route has a timeout.
    pub fn with_timeout(repeat: RetryMode, attempts: u32, timeout_ms: u64, upstreams: &[&Upstream]) -> Self {
        Self::run(Self::shared(repeat, attempts, timeout_ms, upstreams))
    }

    /// Starts a host that limits the account with the key `k` to `per_s` requests per second.
    pub fn with_quota(upstreams: &[&Upstream], per_s: f64) -> Self {
        let shared = Self::shared(RetryMode::Once, 1, 5_000, upstreams);
        let mut catalog = Self::catalog(RetryMode::Once, 1, 5_000);
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

    /// Returns the catalog of such a host.
    pub fn catalog(repeat: RetryMode, attempts: u32, timeout_ms: u64) -> Catalog {
        let service = ServiceName::from("till");
        let route = Route {
            name: "r".to_owned(),
            host: "a.example".to_owned(),
            prefix: "/x/".to_owned(),
            repeat,
            timeout_ms,
            target_ms: 500,
            attempts,
            split: vec![WeightedService {
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

    /// Returns the shared state of such a host.
    pub fn shared(repeat: RetryMode, attempts: u32, timeout_ms: u64, upstreams: &[&Upstream]) -> Arc<Shared> {
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

    /// Starts a host with a shared state on which no request waits.
    pub fn run(shared: Arc<Shared>) -> Self {
        Self::run_with(shared, WaitingBounds::default())
    }

    /// Starts a host with a shared state and bounds of waiting requests.
    pub fn run_with(shared: Arc<Shared>, waiting: WaitingBounds) -> Self {
        // Not a port assigned by the system, which could assign it to another test or process before the host listens
        // on it.
        let (callers, ready, relay) = (free_address(), free_address(), free_address());
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let run_server = move || {
            let settings = HostSettings {
                zone: Zone::from("z"),
                retries: RetryBounds {
                    ratio: 0.2,
                    extra: 50.0,
                    window: Duration::from_secs(10),
                },
                quota_slack: Slack::default(),
                usage_window: Duration::from_secs(5),
                node: NodeId::from("e"),
                source: None,
                relay: Some(relay),
                waiting,
                bounds: HostBounds::of(256_000_000, 4_096),
            };
            let borrower = QuotaBorrower::new(NodeId::from("e"), Arc::clone(&shared));
            let log = (Clock::start(), Logger::root(Discard, o!()));
            let gateway = Gateway::new(Box::new(TestHeaders), shared, settings, borrower, log);
            let server_settings = ServerSettings {
                callers,
                ready,
                metrics: None,
                stop_grace: Duration::from_secs(8),
            };
            server::run(gateway, server_settings, stop_flag, Box::new(String::new)).unwrap();
        };
        let host = Self {
            callers,
            ready,
            relay,
            stop,
            thread: Some(thread::spawn(run_server)),
        };
        host.wait_listening();
        host
    }

    fn wait_listening(&self) {
        let started = Instant::now();
        while TcpStream::connect(self.callers).is_err() {
            assert!(started.elapsed() < TEST_TIMEOUT, "the host does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        // The host applies the upstream list at the next exchange with its background threads.
        thread::sleep(Duration::from_millis(250));
    }

    /// Asks the host to stop.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Opens a connection.
    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Caller(BufReader::new(stream))
    }

    /// Sends a request on a new connection and reads the response.
    pub fn request(&self, headers: &str, body: &str) -> Response {
        let mut caller = self.connect();
        caller.send(headers, body);
        caller.read_response()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
        drop(self.thread.take());
    }
}
