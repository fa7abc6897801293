//! Following the catalog: an entry host asks state nodes for what has changed and puts it in force.

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
use policy::sources::NodeSelector;
use slog::{info, warn};
use wire::Envelope;
use wire::catalog::{CatalogRpcClient, Followed};
use wire::client::RpcRuntime;

use crate::catalog_copy::Mirror;
use crate::link::{Known, StateSync};

/// Longest that a state node holds a question for news. Together with the wait for an answer it is how soon a silent node is
/// noticed.
const WAIT: Duration = Duration::from_millis(500);
/// Pause after a node that did not answer.
const PAUSE: Duration = Duration::from_millis(50);
/// Age from which a state node's word is too old: it may be cut off from the leader.
const STALE: Duration = Duration::from_millis(1_200);
/// Time from which each try that fails is logged.
const TELLING: Duration = Duration::from_millis(100);

/// The thread that follows the catalog.
#[derive(Debug)]
pub(crate) struct Follower {
    link: StateSync,
    calls: RpcRuntime,
    known: Arc<Mutex<Known>>,
    mirror: Mirror,
    sources: NodeSelector,
    client: Option<(SocketAddr, HttpClient)>,
    /// Newest version that the node asked last has told.
    told: u64,
    /// Tries that have failed since the last answer.
    failed: u32,
    spent: Spent,
}

/// What the next version has cost so far.
#[derive(Debug, Default)]
struct Spent {
    pages: u32,
    bytes: usize,
    failed: u32,
    /// Time of the questions that brought something or failed.
    time: Duration,
}

impl Follower {
    pub(crate) fn new(link: StateSync, calls: RpcRuntime, known: Arc<Mutex<Known>>) -> Self {
        let turn = link.incarnation as usize;
        Self {
            link,
            calls,
            known,
            mirror: Mirror::default(),
            sources: NodeSelector::new(turn),
            client: None,
            told: 0,
            failed: 0,
            spent: Spent::default(),
        }
    }

    /// Follows for as long as the process runs.
    pub(crate) fn run(mut self) {
        loop {
            let Some((peer, client)) = self.open() else {
                thread::sleep(PAUSE);
                continue;
            };
            let ask = Envelope::new(&self.link.node, Revision(self.link.version()), self.mirror.ask(WAIT));
            let asked = self.link.clock.now();
            let answer = self.calls.wait(client.follow(ask));
            let took = self.link.clock.now().since(asked);
            histogram!("gentian_gateway_follow_seconds").record(took.as_secs_f64());
            match answer {
                Ok(answer) => self.take(peer, answer.body, took),
                Err(error) => {
                    if matches!(error, ClientError::RequestTimeout) {
                        self.mirror.lose_page();
                    }
                    self.fail(peer, &error.to_string(), took);
                }
            }
        }
    }

    /// Opens a client to the node that is asked next.
    fn open(&mut self) -> Option<(SocketAddr, HttpClient)> {
        let nodes = self.link.nodes(&self.known);
        let newest = self.link.shared.newest.load(Ordering::Relaxed);
        let leader = self.known.lock().leader.filter(|_| self.told < newest);
        let peer = self.sources.pick(&nodes, leader, self.link.clock.now())?;
        if self.client.as_ref().is_none_or(|(open, _)| *open != peer) {
            self.client = match self.calls.client(peer, WAIT) {
                Ok(client) => Some((peer, client)),
                Err(error) => {
                    self.fail(peer, &error.to_string(), Duration::ZERO);
                    None
                }
            };
        }
        self.client.clone()
    }

    fn take(&mut self, peer: SocketAddr, news: Followed, took: Duration) {
        {
            let mut known = self.known.lock();
            known.members = news.members.iter().copied().collect();
            known.leader = news.leader.or(known.leader);
        }
        let age = Duration::from_millis(news.age_ms);
        self.told = news.newest;
        let brought = !news.parts.is_empty();
        let taken = self.mirror.take(news, took);
        if let Ok(bytes) = &taken
            && brought
        {
            self.spent.add_page(*bytes, took);
        }
        self.put_in_force(peer, age);
        self.link.shared.hear_newest(self.told, self.link.clock.now() - age);
        if let Err(error) = taken {
            counter!("gentian_gateway_follow_broken_total").increment(1);
            warn!(self.link.logger, "transfer of the configuration begins again"; "peer" => %peer, "error" => %error);
            self.fail(peer, "its transfer does not fit", took);
            return;
        }
        if age > STALE {
            self.fail(peer, &format!("its news are {} ms old", age.as_millis()), took);
            return;
        }
        self.sources.hear(peer);
        if self.failed > 0 {
            info!(self.link.logger, "state group answers again"; "peer" => %peer, "tries" => self.failed);
        }
        self.failed = 0;
    }

    /// Puts the version that is complete in force. What is in force never goes back, whichever node is asked.
    fn put_in_force(&mut self, peer: SocketAddr, age: Duration) {
        let shared = &self.link.shared;
        let Some(table) = self.mirror.table() else {
            return;
        };
        if shared.table.load().is_some() && table.version() <= self.link.version() {
            return;
        }
        let spent = std::mem::take(&mut self.spent);
        info!(self.link.logger, "configuration in force"; "version" => table.version(), "peer" => %peer,
            "age_ms" => age.as_millis() as u64, "took_ms" => spent.time.as_millis() as u64, "pages" => spent.pages,
            "bytes" => spent.bytes, "failed" => spent.failed, "routes" => table.route_count(),
            "accounts" => table.accounts().count());
        gauge!("gentian_gateway_config_revision").set(table.version() as f64);
        shared.table.store(Some(Arc::clone(table)));
    }

    fn fail(&mut self, peer: SocketAddr, error: &str, took: Duration) {
        // A node that refuses connections fails twenty times a second; the first of these tries tells it all.
        if self.failed == 0 || took >= TELLING {
            warn!(self.link.logger, "state node lost"; "peer" => %peer, "step" => "follow", "error" => error,
                "held" => self.mirror.version(), "fetching" => self.mirror.is_fetching(),
                "took_ms" => took.as_millis() as u64, "tries" => self.failed + 1);
        }
        counter!("gentian_gateway_follow_failed_total").increment(1);
        self.failed += 1;
        self.spent.failed += 1;
        self.spent.time += took;
        self.client = None;
        self.sources.record_failure(peer, self.link.clock.now());
        thread::sleep(PAUSE);
    }
}

impl Spent {
    fn add_page(&mut self, bytes: usize, took: Duration) {
        counter!("gentian_gateway_follow_bytes_total").increment(bytes as u64);
        self.pages += 1;
        self.bytes += bytes;
        self.time += took;
    }
}
