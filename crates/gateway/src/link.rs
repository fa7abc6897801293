//! Background threads that keep an entry host up to date: one follows the catalog, one sends heartbeats to the leader
//! of the state group, one reads the upstream list while no leader provides it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::{NodeId, Revision};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use metrics::counter;
use parking_lot::Mutex;
use policy::first_reads::first_read_pause;
use policy::{Tick, duration_from_secs};
use slog::{Logger, info, warn};
use telemetry::Clock;
use telemetry::panics;
use upstream::directory::Directory;
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::client::{CallError, RpcRuntime};
use wire::registry::{HeartbeatReply, ListUpdate};
use wire::state::Unavailable;

use crate::catalog_follower::CatalogFollower;
use crate::gate::Shared;
use crate::quarantine::watch;
use crate::upstream_list::UpstreamList;

/// Longest wait for a response of a state node. A node may hold a catalog request for a while before this time starts.
const RPC_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest interval between heartbeats, which also bring observations of upstreams. A long prompt takes 0.2 to 1.6 s
/// to prefill, and other entry hosts must learn of it before it is done; with a longer interval more responses are late
/// or pause.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between heartbeats until the quota share and the whole upstream list have arrived: callers wait for them.
const STARTUP_INTERVAL: Duration = Duration::from_millis(50);
/// Heartbeats per second that a leader receives from all entry hosts together: a tenth of a small host's CPU.
const MAX_HEARTBEATS_PER_S: f64 = 400.0;
/// Age of the upstream list from which an entry host reads the list itself. Upstreams that leave must get no new work
/// three seconds after the list says so.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_900);
/// Interval at which the age of the upstream list is checked.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between two reads of the list by this host.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the list's allowed request rate that all entry hosts together use.
const LIST_RATE_SHARE: f64 = 0.5;

/// Configuration of the background threads.
#[derive(Clone, Debug)]
pub struct StateSync {
    /// Name of this process.
    pub node: NodeId,
    /// Incarnation of this process; a restart gets another one.
    pub incarnation: u64,
    /// Internal addresses of state nodes from the settings.
    pub seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    /// State exchanged with the event loop.
    pub shared: Arc<Shared>,
    /// Monotonic clock that the event loop uses as well.
    pub clock: Clock,
    /// Logger of the process.
    pub logger: Logger,
}

/// State nodes as the nodes themselves report them.
#[derive(Debug, Default)]
pub(crate) struct KnownNodes {
    /// Addresses of the members.
    pub(crate) members: BTreeSet<SocketAddr>,
    /// Address of the leader; `None` while it is unknown.
    pub(crate) leader: Option<SocketAddr>,
}

impl StateSync {
    /// Starts the threads.
    ///
    /// # Errors
    /// Fails when the operating system refuses to create a thread.
    pub fn start(&self, mut directory: Box<dyn Directory>) -> std::io::Result<()> {
        let rpc = RpcRuntime::start(1, RPC_TIMEOUT)?;
        let known = Arc::new(Mutex::new(KnownNodes::default()));
        let spawn = |name: &str, work: Box<dyn FnMut() + Send>| panics::spawn_restarting(name, &self.logger, work);
        let mut follower = CatalogFollower::new(self.clone(), rpc.clone(), Arc::clone(&known));
        spawn("follow", Box::new(move || follower.run()))?;
        let sync = self.clone();
        let (watch_rpc, watch_known) = (rpc.clone(), Arc::clone(&known));
        spawn("beat", Box::new(move || sync.send_heartbeats(&rpc, &known)))?;
        let sync = self.clone();
        spawn(
            "quarantine",
            Box::new(move || watch::run(&sync, &watch_rpc, &watch_known)),
        )?;
        let sync = self.clone();
        spawn("list", Box::new(move || sync.poll_list(&mut *directory)))
    }

    /// Returns the addresses of all known state nodes.
    pub(crate) fn nodes(&self, known: &Mutex<KnownNodes>) -> BTreeSet<SocketAddr> {
        let mut nodes = known.lock().members.clone();
        nodes.extend(self.seeds.load().iter().copied());
        nodes
    }

    fn nth_node(&self, known: &Mutex<KnownNodes>, node_index: usize) -> Option<SocketAddr> {
        let nodes = self.nodes(known);
        let count = nodes.len();
        nodes.into_iter().nth(node_index.checked_rem(count)?)
    }

    /// Returns the catalog version in force; zero for none.
    pub(crate) fn active_version(&self) -> u64 {
        let table = self.shared.table.load();
        table.as_ref().map_or(0, |table| table.version())
    }

    /// Reports to the leader what this entry host has observed, and receives its quota share and updates of the
    /// upstream list.
    fn send_heartbeats(&self, rpc: &RpcRuntime, known: &Mutex<KnownNodes>) {
        let mut node_index = self.incarnation as usize;
        let mut client = None;
        let mut connected = true;
        let mut answered = false;
        let mut upstream_list = UpstreamList::default();
        let mut list_published = None;
        loop {
            thread::sleep(self.heartbeat_interval(!answered || upstream_list.is_incoming()));
            let leader = known.lock().leader;
            let Some(peer) = leader.or_else(|| self.nth_node(known, node_index)) else {
                continue;
            };
            let mut heartbeat = self.shared.heartbeat.lock().clone();
            heartbeat.run = self.incarnation;
            heartbeat.relay_mark = self.shared.relay_mark.load(Ordering::Relaxed);
            heartbeat.prefill_mark = self.shared.prefill_mark.load(Ordering::Relaxed);
            upstream_list.fill_request(&mut heartbeat);
            let sent_at = self.clock.now();
            let heartbeat = Envelope::new(&self.node, Revision(self.active_version()), heartbeat);
            let reply = match client_of(rpc, &mut client, peer) {
                Ok(current) => rpc.wait(current.beat(heartbeat)),
                Err(error) => Err(error.source),
            };
            let error = match reply {
                Ok(reply) => match reply.body {
                    HeartbeatReply::News(update) => {
                        let share = update.parts;
                        self.shared.record_newest(update.version, sent_at);
                        *self.shared.observations.lock() = Some((update.signs, self.clock.now()));
                        *self.shared.limits.lock() = Some((update.limits, sent_at));
                        if !update.rollouts.is_empty() {
                            *self.shared.rollouts.lock() = Some((update.rollouts, self.clock.now()));
                        }
                        if !update.brittle.is_empty() {
                            *self.shared.brittle.lock() = Some((update.brittle, self.clock.now()));
                        }
                        self.shared.record_prefills(update.prefills);
                        if let Some(relays) = update.relays {
                            self.shared.record_relays(relays);
                        }
                        self.merge_list(&mut upstream_list, update.list, &mut list_published, sent_at);
                        self.shared.leader.store(Arc::new(Some(peer)));
                        if !connected {
                            info!(self.logger, "parts of limits are told again";
                                "peer" => %peer, "entries" => share.entries);
                        }
                        connected = true;
                        answered = true;
                        self.shared.quota_share.store(Arc::new(Some(share)));
                        continue;
                    }
                    HeartbeatReply::Unavailable(reason) => {
                        known.lock().leader = match &reason {
                            Unavailable::NotLeader { leader } => *leader,
                            _ => Some(peer),
                        };
                        reason.to_string()
                    }
                },
                Err(error) => {
                    if matches!(error, ClientError::RequestTimeout) {
                        upstream_list.record_timeout();
                    }
                    known.lock().leader = None;
                    error.to_string()
                }
            };
            if connected {
                warn!(self.logger, "no parts of limits are told"; "peer" => %peer, "step" => "beat", "error" => error);
            }
            connected = false;
            // Requests that need a loan would wait for a leader that does not answer.
            self.shared.leader.store(Arc::new(None));
            node_index += 1;
        }
    }

    fn heartbeat_interval(&self, starting: bool) -> Duration {
        if starting {
            return STARTUP_INTERVAL;
        }
        HEARTBEAT_INTERVAL.max(duration_from_secs(f64::from(self.entry_count()) / MAX_HEARTBEATS_PER_S))
    }

    fn entry_count(&self) -> u32 {
        let share = self.shared.quota_share.load();
        (**share).map_or(1, |share| share.entries)
    }

    /// Applies an update of the upstream list. `list_published` is the time of the list that this thread passed to the event
    /// loop last.
    fn merge_list(
        &self,
        upstream_list: &mut UpstreamList,
        update: ListUpdate,
        list_published: &mut Option<Tick>,
        asked_at: Tick,
    ) {
        let Some(age_ms) = update.age_ms else {
            return;
        };
        // The reply may have waited while this host stood still, so its age counts from the request.
        let sent_at = asked_at - Duration::from_millis(age_ms);
        upstream_list.apply_update(update, sent_at, self.clock.now().since(asked_at));
        let latest = **self.shared.list_time.load();
        // This host's own read may be newer than the leader's list.
        if !upstream_list.is_complete() || latest.is_some_and(|latest| latest > sent_at) {
            return;
        }
        if upstream_list.take_changed() || latest != *list_published {
            *self.shared.new_list.lock() = Some((upstream_list.entries_at(sent_at), sent_at));
        }
        *list_published = Some(sent_at);
        self.shared.list_time.store(Arc::new(*list_published));
    }

    /// Reads the upstream list while no leader provides it.
    fn poll_list(&self, directory: &mut dyn Directory) {
        let mut failures = 0;
        loop {
            let sent_at = self.clock.now();
            let list_time = **self.shared.list_time.load();
            let is_wanted = self.shared.list_wanted.swap(false, Ordering::Relaxed);
            let max_age = if is_wanted { Duration::ZERO } else { MAX_LIST_AGE };
            if list_time.is_some_and(|list_time| sent_at.since(list_time) < max_age) {
                thread::sleep(LIST_CHECK_INTERVAL);
                continue;
            }
            match directory.read() {
                Ok(list) => {
                    if failures > 0 {
                        info!(self.logger, "list of upstreams is read again"; "tries" => failures);
                    }
                    failures = 0;
                    *self.shared.new_list.lock() = Some((list, sent_at));
                    self.shared.list_time.store(Arc::new(Some(sent_at)));
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(self.logger, "list of upstreams can't be read"; "step" => "list", "error" => error);
                    }
                    counter!("gentian_gateway_list_failed_total").increment(1);
                    failures += 1;
                }
            }
            let interval = self.list_interval(directory.rate());
            thread::sleep(if list_time.is_none() && failures > 0 {
                first_read_pause(failures, interval, rand::random())
            } else {
                interval
            });
        }
    }

    fn list_interval(&self, rate: f64) -> Duration {
        let interval = f64::from(self.entry_count()) / (rate * LIST_RATE_SHARE).max(0.1);
        // Processes that start together would otherwise stay in step forever.
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        MIN_LIST_INTERVAL.max(duration_from_secs(interval)).mul_f64(jitter)
    }
}

/// Returns the kept client if it is one of `peer`, and otherwise replaces it.
fn client_of(
    rpc: &RpcRuntime,
    kept: &mut Option<(SocketAddr, HttpClient)>,
    peer: SocketAddr,
) -> Result<HttpClient, CallError> {
    if let Some((_, client)) = kept.as_ref().filter(|(current, _)| *current == peer) {
        return Ok(client.clone());
    }
    let client = rpc.reachable_client(peer, Duration::ZERO)?;
    *kept = Some((peer, client.clone()));
    Ok(client)
}
