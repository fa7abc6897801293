//! Follows the catalog: fetches changes from state nodes and puts them in force on this entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use contract::Revision;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use metrics::{counter, gauge, histogram};
use parking_lot::Mutex;
use policy::Tick;
use policy::parts::EntryShare;
use policy::sources::NodeSelector;
use slog::{info, warn};
use wire::Envelope;
use wire::catalog::{CatalogRpcClient, Followed};
use wire::client::RpcRuntime;
use wire::registry::QuotaShare;

use crate::catalog_copy::CatalogCopy;
use crate::link::{KnownNodes, StateSync};

/// Longest time that a state node holds a request until there is a change. A node that went silent is noticed after
/// this time and the RPC timeout.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Age of a node's data from which another node is asked, since this one may be cut off from the leader.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1_200);
/// Duration from which each failed request is logged.
const SLOW_FAILURE: Duration = Duration::from_millis(100);

/// State of the thread that follows the catalog.
#[derive(Debug)]
pub(crate) struct CatalogFollower {
    sync: StateSync,
    rpc: RpcRuntime,
    known: Arc<Mutex<KnownNodes>>,
    catalog: CatalogCopy,
    selector: NodeSelector,
    client: Option<(SocketAddr, HttpClient)>,
    /// Newest version that the node asked last knows of.
    node_newest: u64,
    /// Consecutive failed requests.
    failures: u32,
    cost: TransferCost,
}

/// Cost of fetching the next version.
#[derive(Debug, Default)]
struct TransferCost {
    pages: u32,
    bytes: usize,
    failures: u32,
    /// Time of the requests that brought data or failed.
    time: Duration,
}

impl CatalogFollower {
    pub(crate) fn new(sync: StateSync, rpc: RpcRuntime, known: Arc<Mutex<KnownNodes>>) -> Self {
        let first_node = sync.incarnation as usize;
        Self {
            sync,
            rpc,
            known,
            catalog: CatalogCopy::default(),
            selector: NodeSelector::new(first_node),
            client: None,
            node_newest: 0,
            failures: 0,
            cost: TransferCost::default(),
        }
    }

    /// Follows the catalog for as long as the process runs.
    pub(crate) fn run(&mut self) {
        loop {
            let Some((peer, client)) = self.next_client() else {
                thread::sleep(RETRY_PAUSE);
                continue;
            };
            let request = Envelope::new(
                &self.sync.node,
                Revision(self.sync.active_version()),
                self.catalog.next_request(WATCH_WAIT),
            );
            let sent_at = self.sync.clock.now();
            let reply = self.rpc.wait(client.follow(request));
            let elapsed = self.sync.clock.now().since(sent_at);
            histogram!("gentian_gateway_follow_seconds").record(elapsed.as_secs_f64());
            match reply {
                Ok(reply) => self.apply_update(peer, reply.body, sent_at),
                Err(error) => {
                    if matches!(error, ClientError::RequestTimeout) {
                        self.catalog.record_timeout();
                    }
                    self.record_failure(peer, &error.to_string(), elapsed);
                }
            }
        }
    }

    /// Returns the node to ask next with a client of it.
    fn next_client(&mut self) -> Option<(SocketAddr, HttpClient)> {
        let nodes = self.sync.nodes(&self.known);
        let newest = self.sync.shared.newest_version.load(Ordering::Relaxed);
        let leader = self.known.lock().leader.filter(|_| self.node_newest < newest);
        let peer = self.selector.pick(&nodes, leader, self.sync.clock.now())?;
        if self.client.as_ref().is_none_or(|(current, _)| *current != peer) {
            let asked_at = self.sync.clock.now();
            self.client = match self.rpc.reachable_client(peer, WATCH_WAIT) {
                Ok(client) => Some((peer, client)),
                Err(error) => {
                    let elapsed = self.sync.clock.now().since(asked_at);
                    self.record_failure(peer, &error.to_string(), elapsed);
                    None
                }
            };
        }
        self.client.clone()
    }

    fn apply_update(&mut self, peer: SocketAddr, update: Followed, sent_at: Tick) {
        let elapsed = self.sync.clock.now().since(sent_at);
        {
            let mut known = self.known.lock();
            known.members = update.members.iter().copied().collect();
            known.leader = update.leader.or(known.leader);
        }
        if **self.sync.shared.members.load() != update.members {
            self.sync.shared.members.store(Arc::new(update.members.clone()));
        }
        self.sync.shared.near_node.store(Arc::new(Some(peer)));
        let age = Duration::from_millis(update.age_ms);
        self.adopt_share(update.entry_hosts);
        // Before the configuration that lets callers in, so that the first of them finds the versions known.
        let told_at = self.sync.clock.now();
        let versions = update.versions.clone();
        let is_known = !versions.is_empty() && age <= MAX_REPLY_AGE;
        self.sync.shared.versions.lock().push((versions, told_at));
        if is_known {
            // The reply may have waited while this host stood still.
            self.sync.shared.versions_at.store(Arc::new(Some(sent_at - age)));
        }
        self.node_newest = update.newest;
        let has_parts = !update.parts.is_empty();
        let applied = self.catalog.apply_update(update, elapsed);
        if let Ok(bytes) = &applied
            && has_parts
        {
            self.cost.add_page(*bytes, elapsed);
        }
        self.activate(peer, age);
        self.sync
            .shared
            .record_newest(self.node_newest, self.sync.clock.now() - age);
        if let Err(error) = applied {
            counter!("gentian_gateway_follow_broken_total").increment(1);
            warn!(self.sync.logger, "transfer of the configuration begins again"; "peer" => %peer, "error" => %error);
            self.record_failure(peer, "the transfer can't be applied", elapsed);
            return;
        }
        if age > MAX_REPLY_AGE {
            self.record_failure(
                peer,
                &format!("the catalog data is {} ms old", age.as_millis()),
                elapsed,
            );
            return;
        }
        self.selector.record_answer(peer);
        if self.failures > 0 {
            info!(self.sync.logger, "state group answers again"; "peer" => %peer, "tries" => self.failures);
        }
        self.failures = 0;
    }

    /// Uses the even share of the stored number of entry hosts until the leader assigns this host its share.
    ///
    /// After a power loss, callers would otherwise wait for an election and for the first heartbeat after it.
    fn adopt_share(&self, entry_hosts: u32) {
        let shared = &self.sync.shared;
        let Some(share) = EntryShare::even(entry_hosts).filter(|_| shared.quota_share.load().is_none()) else {
            return;
        };
        info!(self.sync.logger, "share of limits adopted"; "entries" => share.entries);
        shared.quota_share.store(Arc::new(Some(QuotaShare {
            entries: share.entries,
            floor: share.fraction,
        })));
    }

    /// Puts a completely fetched version in force. A version is never replaced by an older one, whichever node is
    /// asked.
    fn activate(&mut self, peer: SocketAddr, age: Duration) {
        let shared = &self.sync.shared;
        let Some(table) = self.catalog.ready_table() else {
            return;
        };
        if shared.table.load().is_some() && table.version() <= self.sync.active_version() {
            return;
        }
        let cost = std::mem::take(&mut self.cost);
        info!(self.sync.logger, "configuration in force"; "version" => table.version(), "peer" => %peer,
            "age_ms" => age.as_millis() as u64, "took_ms" => cost.time.as_millis() as u64, "pages" => cost.pages,
            "bytes" => cost.bytes, "failed" => cost.failures, "routes" => table.route_count(),
            "accounts" => table.accounts().count());
        gauge!("gentian_gateway_config_revision").set(table.version() as f64);
        shared.table.store(Some(Arc::clone(table)));
    }

    fn record_failure(&mut self, peer: SocketAddr, error: &str, elapsed: Duration) {
        // A node that refuses connections fails twenty times a second; logging the first failure is enough.
        if self.failures == 0 || elapsed >= SLOW_FAILURE {
            warn!(self.sync.logger, "state node lost"; "peer" => %peer, "step" => "follow", "error" => error,
                "held" => self.catalog.version(), "fetching" => self.catalog.is_fetching(),
                "took_ms" => elapsed.as_millis() as u64, "tries" => self.failures + 1);
        }
        counter!("gentian_gateway_follow_failed_total").increment(1);
        self.failures += 1;
        self.cost.failures += 1;
        self.cost.time += elapsed;
        self.client = None;
        self.selector.record_failure(peer, self.sync.clock.now());
        thread::sleep(RETRY_PAUSE);
    }
}

impl TransferCost {
    fn add_page(&mut self, bytes: usize, elapsed: Duration) {
        counter!("gentian_gateway_follow_bytes_total").increment(bytes as u64);
        self.pages += 1;
        self.bytes += bytes;
        self.time += elapsed;
    }
}
