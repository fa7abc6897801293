//! A state node behind a link of low bandwidth, and an entry host that follows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use contract::{Catalog, ListedUpstream, NodeId, Route, Service, ServiceName, WeightedService};
use gateway::gate::Shared;
use gateway::link::StateSync;
use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use load::trial::process::free_address;
use policy::duration_from_secs;
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
use wire::origins::{AskOrigin, KnownOrigin, TellOrigins, ToldOrigins};
use wire::quarantine::{QuarantineReply, ReportCrashes, ReportReply, TryParts, TryReply, WatchQuarantine};
use wire::registry::{Borrow, BorrowReply, Heartbeat, HeartbeatReply};
use wire::rollout::{RolloutCall, RolloutReply};
use wire::slots::{ReleaseSlots, TakeSlot, TakeSlotReply};
use wire::state::Unavailable;

/// Longest wait for anything, so that no test hangs.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A state node behind a slow link.
pub struct SlowNode {
    address: SocketAddr,
    bytes_sent: Arc<AtomicU64>,
    state_node: StateNode,
    data: TempDir,
    server: ServerHandle,
}

impl SlowNode {
    /// Starts a node whose responses pass a link of `bytes_per_s`.
    pub fn start(bytes_per_s: f64) -> Self {
        Self::start_with(bytes_per_s, None)
    }

    /// Starts a node that seems to know no leader, and to have stored a number of entry hosts.
    pub fn without_leader(bytes_per_s: f64, entry_hosts: u32) -> Self {
        Self::start_with(bytes_per_s, Some(entry_hosts))
    }

    fn start_with(bytes_per_s: f64, leaderless_hosts: Option<u32>) -> Self {
        let data = TempDir::new().expect("a directory for the log");
        let node_address = free_address();
        let node_config = NodeConfig {
            node: NodeId::from("state-1"),
            address: node_address,
            peers: vec![node_address],
            membership: MembershipMode::Manual,
        };
        let logger = Logger::root(Discard, o!());
        let stop = Arc::new(AtomicBool::new(false));
        let state_node =
            StateNode::start(node_config, data.path(), Slack::default(), &logger, &stop).expect("a state node starts");
        let address = free_address();
        let bytes_sent = Arc::new(AtomicU64::new(0));
        let proxy = SlowProxy {
            node: state_node
                .calls
                .client(node_address, Duration::ZERO)
                .expect("a client opens"),
            address,
            bytes_sent: Arc::clone(&bytes_sent),
            bytes_per_s,
            leaderless_hosts,
        };
        let config = ServerConfig::builder()
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let server = state_node
            .calls
            .wait(Server::builder().set_config(config).build(address))
            .expect("a port is free");
        let server = state_node.calls.wait(async { server.start(proxy.into_rpc()) });
        Self {
            address,
            bytes_sent,
            state_node,
            data,
            server,
        }
    }

    /// Publishes a catalog.
    pub fn publish(&self, catalog: &Catalog) {
        let group = self.state_node.group_client(&NodeId::from("operator"));
        let is_accepted = || {
            let request = Publish {
                document: Vec::new(),
                catalog: catalog.clone(),
            };
            matches!(group.publish(&request), Published::Accepted { .. })
        };
        wait_until("the acknowledgement", is_accepted);
    }

    /// Sets the upstream list of the node.
    pub fn set_list(&self, list: Vec<ListedUpstream>) {
        self.state_node.registry.set_list(1, list, self.state_node.clock.now());
    }

    /// Starts the background threads of an entry host; returns the state that they share with its event loop.
    pub fn start_entry(&self) -> Arc<Shared> {
        self.start_entry_by(Clock::start())
    }

    /// Starts the background threads of an entry host that goes by a clock.
    pub fn start_entry_by(&self, clock: Clock) -> Arc<Shared> {
        let shared = Arc::new(Shared::default());
        let sync = StateSync {
            node: NodeId::from("entry-1"),
            incarnation: 0,
            seeds: Arc::new(ArcSwap::from_pointee(vec![self.address])),
            shared: Arc::clone(&shared),
            clock,
            logger: Logger::root(Discard, o!()),
        };
        sync.start(Box::new(UnavailableDirectory)).expect("threads start");
        shared
    }

    /// Returns the size of all catalog responses so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }
}

impl Drop for SlowNode {
    fn drop(&mut self) {
        // The server may have stopped already.
        let _ = self.server.stop();
        let _ = self.state_node.stop(self.data.path());
    }
}

/// Waits until a version is in force on an entry host.
pub fn wait_version(shared: &Shared, version: u64) {
    let held = || shared.table.load().as_ref().map_or(0, |table| table.version());
    wait_until(&format!("version {version} in force"), || held() >= version);
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "{what} did not happen within {TEST_TIMEOUT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a catalog with a number of routes.
pub fn catalog(version: u64, routes: usize) -> Catalog {
    let service = ServiceName::from("till");
    let route = |at: usize| Route {
        name: format!("r-{at}"),
        host: format!("h{}.example", at % 16),
        prefix: format!("/p{at}/"),
        timeout_ms: 5_000,
        target_ms: 500,
        attempts: 2,
        split: vec![WeightedService {
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

/// Provides no upstream list, so that it can only come from the leader.
struct UnavailableDirectory;

impl Directory for UnavailableDirectory {
    fn read(&mut self) -> Result<Vec<ListedUpstream>, String> {
        Err("no list can be read".to_owned())
    }

    fn rate(&self) -> f64 {
        1.0
    }
}

/// Forwards calls to the state node, and delays the responses as the link would.
#[derive(Clone)]
struct SlowProxy {
    node: HttpClient,
    address: SocketAddr,
    bytes_sent: Arc<AtomicU64>,
    bytes_per_s: f64,
    /// Stored number of entry hosts that a node without a leader reports; `None` if the node leads.
    leaderless_hosts: Option<u32>,
}

impl SlowProxy {
    /// Waits for the time that a response takes on the link.
    async fn delay<T: Serialize>(&self, response: &T) {
        tokio::time::sleep(duration_from_secs(encoded_size(response) as f64 / self.bytes_per_s)).await;
    }
}

fn encoded_size<T: Serialize>(response: &T) -> usize {
    serde_json::to_vec(response).expect("a response is encoded").len()
}

fn to_rpc_result<T>(response: Result<T, ClientError>) -> RpcResult<T> {
    response.map_err(|error| ErrorObjectOwned::owned(-1, error.to_string(), None::<()>))
}

#[async_trait]
impl CatalogRpcServer for SlowProxy {
    async fn publish(&self, request: Envelope<Publish>) -> RpcResult<Envelope<Published>> {
        to_rpc_result(self.node.publish(request).await)
    }

    async fn upload(&self, request: Envelope<Upload>) -> RpcResult<Envelope<Uploaded>> {
        to_rpc_result(self.node.upload(request).await)
    }

    async fn fetch(&self, request: Envelope<()>) -> RpcResult<Envelope<Fetched>> {
        to_rpc_result(self.node.fetch(request).await)
    }

    async fn follow(&self, request: Envelope<Follow>) -> RpcResult<Envelope<Followed>> {
        let mut response = to_rpc_result(self.node.follow(request).await)?;
        response.body.members = vec![self.address];
        response.body.leader = Some(self.address).filter(|_| self.leaderless_hosts.is_none());
        response.body.entry_hosts = self.leaderless_hosts.unwrap_or(response.body.entry_hosts);
        self.bytes_sent
            .fetch_add(encoded_size(&response) as u64, Ordering::Relaxed);
        self.delay(&response).await;
        Ok(response)
    }

    async fn beat(&self, request: Envelope<Heartbeat>) -> RpcResult<Envelope<HeartbeatReply>> {
        if self.leaderless_hosts.is_some() {
            let unavailable = HeartbeatReply::Unavailable(Unavailable::NotLeader { leader: None });
            return Ok(Envelope::new(&request.from, request.revision, unavailable));
        }
        let response = to_rpc_result(self.node.beat(request).await)?;
        self.delay(&response).await;
        Ok(response)
    }

    async fn borrow_units(&self, request: Envelope<Borrow>) -> RpcResult<Envelope<BorrowReply>> {
        to_rpc_result(self.node.borrow_units(request).await)
    }

    async fn take_slot(&self, request: Envelope<TakeSlot>) -> RpcResult<Envelope<TakeSlotReply>> {
        to_rpc_result(self.node.take_slot(request).await)
    }

    async fn release_slots(&self, request: Envelope<ReleaseSlots>) -> RpcResult<()> {
        to_rpc_result(self.node.release_slots(request).await)
    }

    async fn tell_origins(&self, request: Envelope<TellOrigins>) -> RpcResult<Envelope<ToldOrigins>> {
        to_rpc_result(self.node.tell_origins(request).await)
    }

    async fn ask_origin(&self, request: Envelope<AskOrigin>) -> RpcResult<Envelope<KnownOrigin>> {
        to_rpc_result(self.node.ask_origin(request).await)
    }

    async fn report_crashes(&self, request: Envelope<ReportCrashes>) -> RpcResult<Envelope<ReportReply>> {
        to_rpc_result(self.node.report_crashes(request).await)
    }

    async fn try_parts(&self, request: Envelope<TryParts>) -> RpcResult<Envelope<TryReply>> {
        to_rpc_result(self.node.try_parts(request).await)
    }

    async fn watch_quarantine(&self, request: Envelope<WatchQuarantine>) -> RpcResult<Envelope<QuarantineReply>> {
        to_rpc_result(self.node.watch_quarantine(request).await)
    }

    async fn rollout(&self, request: Envelope<RolloutCall>) -> RpcResult<Envelope<RolloutReply>> {
        to_rpc_result(self.node.rollout(request).await)
    }
}
