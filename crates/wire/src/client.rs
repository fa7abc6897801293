//! Blocking RPC clients for threads outside the asynchronous runtime.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use contract::{NodeId, Revision};
use derive_more::{Display, Error};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};

use crate::Envelope;
use crate::settler::Settler;
use crate::state::{
    Claim, Claimed, Lease, Leased, Propose, Proposed, Settle, Settled, StateRpcClient, StateStatus, Unavailable, Watch,
    Watched,
};

/// Largest internal RPC message, request or response.
pub const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Longest time for which a node may delay the reply to a watch.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Longest wait for a connection: many round trips between data centres, and less than callers can wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a node is skipped after a call to it failed slowly.
const SKIP_TIME: Duration = Duration::from_secs(5);
/// Duration from which a failed call marks the node as unresponsive; a node that refuses connections costs no time.
const SLOW_FAILURE: Duration = Duration::from_millis(500);

/// An RPC call that got no response.
#[derive(Debug, Display, Error)]
#[display("{step} at {peer}: {source}")]
pub struct CallError {
    /// Name of the failed call, or `open` if no client could be made.
    pub step: &'static str,
    /// Address of the called process.
    pub peer: SocketAddr,
    /// Underlying client error.
    pub source: ClientError,
}

/// The threads on which internal RPC calls run, with the timeout of the calls.
#[derive(Clone, Debug)]
pub struct RpcRuntime {
    runtime: Arc<Runtime>,
    timeout: Duration,
}

impl RpcRuntime {
    /// Starts the worker threads.
    ///
    /// # Errors
    /// Fails if the operating system can't start a thread.
    pub fn start(threads: usize, timeout: Duration) -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("calls")
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Arc::new(runtime),
            timeout,
        })
    }

    /// Returns a handle to the same threads with another call timeout.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self {
            runtime: Arc::clone(&self.runtime),
            timeout,
        }
    }

    /// Creates a client whose call timeout is longer by `extra`; it connects at the first call.
    ///
    /// # Errors
    /// Fails if the address can't be used.
    pub fn client(&self, peer: SocketAddr, extra: Duration) -> Result<HttpClient, CallError> {
        HttpClientBuilder::default()
            .request_timeout(self.timeout + extra)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{peer}"))
            .map_err(|source| CallError {
                step: "open",
                peer,
                source,
            })
    }

    /// Creates a client like [`RpcRuntime::client`], but only if the peer accepts a connection within 100 ms.
    ///
    /// A host without power does not refuse connections, so that a call to it would take its whole timeout.
    ///
    /// # Errors
    /// Fails if the peer accepts no connection or the address can't be used.
    pub fn reachable_client(&self, peer: SocketAddr, extra: Duration) -> Result<HttpClient, CallError> {
        TcpStream::connect_timeout(&peer, CONNECT_TIMEOUT).map_err(|error| CallError {
            step: "connect",
            peer,
            source: ClientError::Transport(error.into()),
        })?;
        self.client(peer, extra)
    }

    /// Starts a call in the background.
    pub fn spawn<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> tokio::task::JoinHandle<T> {
        self.runtime.spawn(call)
    }

    /// Blocks until a call is complete.
    pub fn wait<T>(&self, call: impl Future<Output = T>) -> T {
        self.runtime.block_on(call)
    }
}

/// A client of the state group that finds the leader.
#[derive(Debug)]
pub struct StateClient {
    group: Arc<Group>,
    settler: OnceLock<Settler>,
}

/// The nodes of the state group, with the last known leader and unresponsive nodes.
#[derive(Debug)]
pub(crate) struct Group {
    runtime: RpcRuntime,
    node: NodeId,
    peers: Vec<SocketAddr>,
    clients: Vec<HttpClient>,
    /// Clients with a longer timeout for watches; kept, so that a watch needs no new connection.
    watchers: Vec<HttpClient>,
    /// Index of the last known leader.
    leader: Mutex<usize>,
    /// For each node, when a call to it last failed slowly.
    slow_failures: Mutex<Vec<Option<Instant>>>,
}

macro_rules! group_call {
    ($(#[$doc:meta])* $name:ident, $request:ty => $reply:ident) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// Returns the last failure if no node of the group responded.
        pub fn $name(&self, revision: Revision, request: &$request) -> Result<$reply, CallError> {
            let group = &self.group;
            let call = |at: usize| {
                let client = group.clients[at].clone();
                let message = Envelope::new(&group.node, revision, request.clone());
                async move { client.$name(message).await }
            };
            group.call_leader(stringify!($name), call, |reply| match &reply.body {
                $reply::Unavailable(reason) => Some(reason.clone()),
                _ => None,
            })
            .map(|reply| reply.body)
        }
    };
}

impl StateClient {
    /// Creates a client of the state group; `node` is the name of the calling process.
    ///
    /// # Errors
    /// Fails if an address can't be used.
    pub fn new(runtime: &RpcRuntime, node: &NodeId, peers: &[SocketAddr]) -> Result<Self, CallError> {
        let open = |extra| {
            peers
                .iter()
                .map(|peer| runtime.client(*peer, extra))
                .collect::<Result<_, _>>()
        };
        let group = Group {
            runtime: runtime.clone(),
            node: node.clone(),
            peers: peers.to_vec(),
            clients: open(Duration::ZERO)?,
            watchers: open(MAX_WATCH_WAIT)?,
            leader: Mutex::new(0),
            slow_failures: Mutex::new(vec![None; peers.len()]),
        };
        Ok(Self {
            group: Arc::new(group),
            settler: OnceLock::new(),
        })
    }

    /// Records the outcome of a claimed call in the background, with retries until the group has a leader.
    ///
    /// Returns false if the queue is full and the outcome was dropped; the caller counts that.
    pub fn settle_later(&self, request: Settle) -> bool {
        self.settler.get_or_init(|| Settler::start(&self.group)).add(request)
    }

    /// Waits until all outcomes passed to [`Self::settle_later`] are recorded, for at most `timeout`.
    ///
    /// Returns whether all were recorded in time.
    pub fn flush(&self, timeout: Duration) -> bool {
        self.settler.get().is_none_or(|settler| settler.flush(timeout))
    }

    group_call! {
        /// Proposes a configuration change.
        propose, Propose => Proposed
    }

    group_call! {
        /// Claims a non-idempotent call before it is sent.
        claim, Claim => Claimed
    }

    group_call! {
        /// Records the outcome of a claimed call.
        settle, Settle => Settled
    }

    group_call! {
        /// Acquires, renews or releases a lease.
        lease, Lease => Leased
    }

    /// Waits for configuration changes at one node; any node can serve a watch.
    ///
    /// `node` is an index into [`Self::peers`] and wraps around.
    ///
    /// # Errors
    /// Returns the failure of the call to that node.
    pub fn watch(&self, node: usize, revision: Revision, request: Watch) -> Result<Envelope<Watched>, CallError> {
        let group = &self.group;
        let at = node % group.peers.len();
        let (peer, client) = (group.peers[at], &group.watchers[at]);
        let message = Envelope::new(&group.node, revision, request);
        group.runtime.wait(client.watch(message)).map_err(|source| CallError {
            step: "watch",
            peer,
            source,
        })
    }

    /// Reads the status of one node; `node` is an index into [`Self::peers`] and wraps around.
    ///
    /// # Errors
    /// Returns the failure of the call to that node.
    pub fn status(&self, node: usize) -> Result<StateStatus, CallError> {
        let group = &self.group;
        let at = node % group.peers.len();
        let message = Envelope::new(&group.node, Revision::default(), ());
        let reply = group.runtime.wait(group.clients[at].status(message));
        reply.map(|reply| reply.body).map_err(|source| CallError {
            step: "status",
            peer: group.peers[at],
            source,
        })
    }

    /// Returns the index of the node that this process watches first; derived from the name of the process, so that
    /// processes spread over the nodes.
    #[must_use]
    pub fn preferred_node(&self) -> usize {
        let hash = self.group.node.as_str().bytes().fold(7_usize, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(usize::from(byte))
        });
        hash % self.group.peers.len()
    }

    /// Returns the addresses of the group's nodes.
    #[must_use]
    pub fn peers(&self) -> &[SocketAddr] {
        &self.group.peers
    }
}

impl Group {
    /// Tries once to record an outcome; returns whether the group has decided it.
    pub(crate) fn settle(&self, request: &Settle) -> bool {
        let call = |at: usize| {
            let client = self.clients[at].clone();
            let message = Envelope::new(&self.node, Revision::default(), request.clone());
            async move { client.settle(message).await }
        };
        let reply = self.call_leader("settle", call, |reply| match &reply.body {
            Settled::Unavailable(reason) => Some(reason.clone()),
            _ => None,
        });
        reply.is_ok_and(|reply| !matches!(reply.body, Settled::Unavailable(_)))
    }

    /// Calls the last known leader first, then the other nodes, until a node decides the request.
    ///
    /// Every request carries an id under which it applies once, so another node can be asked after a lost reply. If no
    /// node decides, the least certain result is returned: nothing was written only if every node said so.
    fn call_leader<T, F>(
        &self,
        step: &'static str,
        call: impl Fn(usize) -> F,
        unavailable: impl Fn(&T) -> Option<Unavailable>,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, jsonrpsee::core::ClientError>>,
    {
        let mut at = self.first_node();
        let mut least_certain = None;
        let mut hinted = false;
        for _ in 0..=self.peers.len() {
            let next = (at + 1) % self.peers.len();
            // On the minority side of a network partition the other nodes don't respond at all. If every call waited
            // for them, the caller would learn only at its deadline that nothing was run.
            if least_certain.is_some() && !hinted && self.should_skip(at) {
                at = next;
                continue;
            }
            hinted = false;
            let begin = Instant::now();
            match self.runtime.wait(call(at)) {
                Ok(reply) => {
                    self.slow_failures.lock()[at] = None;
                    let Some(reason) = unavailable(&reply) else {
                        *self.leader.lock() = at;
                        return Ok(reply);
                    };
                    let hint = self.leader_hint(&reason);
                    hinted = hint.is_some();
                    at = hint.unwrap_or(next);
                    let maybe_written = matches!(reason, Unavailable::Undecided { .. });
                    if least_certain.is_none() || (maybe_written && !matches!(least_certain, Some(Err(_)))) {
                        least_certain = Some(Ok(reply));
                    }
                }
                Err(source) => {
                    if begin.elapsed() > SLOW_FAILURE {
                        self.slow_failures.lock()[at] = Some(Instant::now());
                    }
                    let peer = self.peers[at];
                    least_certain = Some(Err(CallError { step, peer, source }));
                    at = next;
                }
            }
            *self.leader.lock() = at;
        }
        least_certain.expect("the group has at least one node")
    }

    /// Returns the index of the node to ask first: the last known leader, or the next node that is not skipped.
    fn first_node(&self) -> usize {
        let leader = *self.leader.lock();
        let order = (0..self.peers.len()).map(|step| (leader + step) % self.peers.len());
        order.into_iter().find(|at| !self.should_skip(*at)).unwrap_or(leader)
    }

    /// Returns whether to skip an unresponsive node; after [`SKIP_TIME`], one caller at a time probes it.
    fn should_skip(&self, at: usize) -> bool {
        let failed_at = &mut self.slow_failures.lock()[at];
        let skip = failed_at.is_some_and(|failed_at| failed_at.elapsed() < SKIP_TIME);
        if !skip && failed_at.is_some() {
            *failed_at = Some(Instant::now());
        }
        skip
    }

    /// Returns the index of the leader that a node named, if it is one of the known nodes.
    fn leader_hint(&self, reason: &Unavailable) -> Option<usize> {
        let Unavailable::NotLeader { leader: Some(leader) } = reason else {
            return None;
        };
        self.peers.iter().position(|peer| peer == leader)
    }
}
