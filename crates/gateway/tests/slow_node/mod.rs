//! A state node behind a link of little bandwidth, and an entry host's link to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use contract::{Catalog, Listed, NodeId, Route, Service, ServiceName, Share};
use gateway::gate::Shared;
use gateway::link::StateSync;
use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use load::trial::process::free_address;
use policy::parts::Slack;
use serde::Serialize;
use slog::{Discard, Logger, o};
use state::core::{MembershipMode, NodeConfig};
use state::program::StateNode;
use telemetry::Clock;
use tempfile::TempDir;
use upstream::directory::Directory;
use wire::Envelope;
use wire::catalog::{
    CatalogRpcClient, CatalogRpcServer, Fetched, Follow, Followed, Publish, Published, Upload, Uploaded,
};
use wire::client::MAX_MESSAGE_BYTES;
use wire::registry::{Borrow, BorrowReply, Heartbeat, HeartbeatReply};

/// Longest wait for anything; only a guard against hanging.
const PATIENCE: Duration = Duration::from_mins(1);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// A state node behind a slow link.
pub struct SlowNode {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    program: StateNode,
    data: TempDir,
    server: ServerHandle,
}

impl SlowNode {
    /// Starts one whose answers about the catalog take a second for so many bytes.
    pub fn start(bytes_per_s: f64) -> Self {
        let data = TempDir::new().expect("a folder for the log");
        let inner = free_address();
        let me = NodeConfig {
            node: NodeId::from("state-1"),
            address: inner,
            peers: vec![inner],
            membership: MembershipMode::Manual,
        };
        let logger = Logger::root(Discard, o!());
        let stop = Arc::new(AtomicBool::new(false));
        let program = StateNode::start(me, data.path(), Slack::default(), &logger, &stop).expect("a state node starts");
        let address = free_address();
        let bytes = Arc::new(AtomicU64::new(0));
        let relay = Relay {
            node: program.calls.client(inner, Duration::ZERO).expect("a client opens"),
            address,
            bytes: Arc::clone(&bytes),
            bytes_per_s,
        };
        let config = ServerConfig::builder()
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let server = program
            .calls
            .wait(Server::builder().set_config(config).build(address))
            .expect("a port is free");
        let server = program.calls.wait(async { server.start(relay.into_rpc()) });
        Self {
            address,
            bytes,
            program,
            data,
            server,
        }
    }

    /// Publishes a catalog.
    pub fn publish(&self, catalog: &Catalog) {
        let group = self.program.group_client(&NodeId::from("operator"));
        let accepted = || {
            let ask = Publish {
                document: Vec::new(),
                catalog: catalog.clone(),
            };
            matches!(group.publish(&ask), Published::Accepted { .. })
        };
        wait("the acknowledgement", accepted);
    }

    /// Tells the node the list of upstreams.
    pub fn set_list(&self, list: Vec<Listed>) {
        self.program.registry.set_list(1, list, self.program.clock.now());
    }

    /// Starts an entry host's link; gives what it shares with requests.
    pub fn entry(&self) -> Arc<Shared> {
        let shared = Arc::new(Shared::default());
        let link = StateSync {
            node: NodeId::from("entry-1"),
            incarnation: 0,
            seeds: Arc::new(ArcSwap::from_pointee(vec![self.address])),
            shared: Arc::clone(&shared),
            clock: Clock::start(),
            logger: Logger::root(Discard, o!()),
        };
        link.start(Box::new(NoList)).expect("threads start");
        shared
    }

    /// Gives the bytes of all answers about the catalog so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for SlowNode {
    fn drop(&mut self) {
        // A server that has stopped needs no second request.
        let _ = self.server.stop();
        let _ = self.program.stop(self.data.path());
    }
}

/// Waits until an entry host has a version in force.
pub fn wait_version(shared: &Shared, version: u64) {
    let held = || shared.table.load().as_ref().map_or(0, |table| table.version());
    wait(&format!("version {version} in force"), || held() >= version);
}

/// Waits until something has come about.
pub fn wait(what: &str, done: impl Fn() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < PATIENCE, "{what} did not come within {PATIENCE:?}");
        thread::sleep(PAUSE);
    }
}

/// Makes a catalog of so many routes.
pub fn catalog(version: u64, routes: usize) -> Catalog {
    let service = ServiceName::from("till");
    let route = |at: usize| Route {
        name: format!("r-{at}"),
        host: format!("h{}.example", at % 16),
        prefix: format!("/p{at}/"),
        timeout_ms: 5_000,
        target_ms: 500,
        attempts: 2,
        split: vec![Share {
            service: service.clone(),
            weight: 1,
        }],
        ..Route::default()
    };
    Catalog {
        version,
        routes: (0..routes).map(route).collect(),
        services: vec![Service {
            name: service.clone(),
            ..Service::default()
        }],
        ..Catalog::default()
    }
}

/// Leaves the host to what the leader tells.
struct NoList;

impl Directory for NoList {
    fn read(&mut self) -> Result<Vec<Listed>, String> {
        Err("no list can be read here".to_owned())
    }

    fn rate(&self) -> f64 {
        1.0
    }
}

/// Passes calls on to the state node; what it says of the catalog arrives as fast as the link lets it.
#[derive(Clone)]
struct Relay {
    node: HttpClient,
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    bytes_per_s: f64,
}

impl Relay {
    /// Waits for as long as an answer takes on the link.
    async fn pass<T: Serialize>(&self, answer: &T) {
        tokio::time::sleep(Duration::from_secs_f64(size(answer) as f64 / self.bytes_per_s)).await;
    }
}

fn size<T: Serialize>(answer: &T) -> usize {
    serde_json::to_vec(answer).expect("an answer is encoded").len()
}

fn passed<T>(answer: Result<T, ClientError>) -> RpcResult<T> {
    answer.map_err(|error| ErrorObjectOwned::owned(-1, error.to_string(), None::<()>))
}

#[async_trait]
impl CatalogRpcServer for Relay {
    async fn publish(&self, request: Envelope<Publish>) -> RpcResult<Envelope<Published>> {
        passed(self.node.publish(request).await)
    }

    async fn upload(&self, request: Envelope<Upload>) -> RpcResult<Envelope<Uploaded>> {
        passed(self.node.upload(request).await)
    }

    async fn fetch(&self, request: Envelope<()>) -> RpcResult<Envelope<Fetched>> {
        passed(self.node.fetch(request).await)
    }

    async fn follow(&self, request: Envelope<Follow>) -> RpcResult<Envelope<Followed>> {
        let mut answer = passed(self.node.follow(request).await)?;
        answer.body.members = vec![self.address];
        answer.body.leader = Some(self.address);
        self.bytes.fetch_add(size(&answer) as u64, Ordering::Relaxed);
        self.pass(&answer).await;
        Ok(answer)
    }

    async fn beat(&self, request: Envelope<Heartbeat>) -> RpcResult<Envelope<HeartbeatReply>> {
        let answer = passed(self.node.beat(request).await)?;
        self.pass(&answer).await;
        Ok(answer)
    }

    async fn borrow_units(&self, request: Envelope<Borrow>) -> RpcResult<Envelope<BorrowReply>> {
        passed(self.node.borrow_units(request).await)
    }
}
