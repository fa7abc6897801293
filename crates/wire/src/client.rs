//! Blocking clients for threads outside the asynchronous runtime.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use contract::{NodeId, Revision};
use derive_more::{Display, Error};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};

use crate::Envelope;
use crate::state::{
    Claim, Claimed, Lease, Leased, Propose, Proposed, Settle, Settled, StateRpcClient, StateStatus, Unavailable, Watch,
    Watched,
};

/// Largest inner message, in bytes.
pub const MAX_MESSAGE: u32 = 16 * 1024 * 1024;

/// Longest that a node may hold a watch.
pub const MAX_WAIT: Duration = Duration::from_secs(5);

/// A call that got no answer.
#[derive(Debug, Display, Error)]
#[display("{step} at {peer}: {source}")]
pub struct CallError {
    /// The call that failed.
    pub step: &'static str,
    /// The process that was called.
    pub peer: SocketAddr,
    /// Why it failed.
    pub source: jsonrpsee::core::ClientError,
}

/// The threads on which inner calls run.
#[derive(Clone, Debug)]
pub struct Calls {
    runtime: Arc<Runtime>,
    timeout: Duration,
}

impl Calls {
    /// Starts the threads.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
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

    /// Gives the same threads with another longest wait for an answer.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self {
            runtime: Arc::clone(&self.runtime),
            timeout,
        }
    }

    /// Opens a client; the connection itself is made at the first call.
    ///
    /// # Errors
    /// Fails when the address cannot be used.
    pub fn client(&self, peer: SocketAddr, extra: Duration) -> Result<HttpClient, CallError> {
        HttpClientBuilder::default()
            .request_timeout(self.timeout + extra)
            .max_request_size(MAX_MESSAGE)
            .max_response_size(MAX_MESSAGE)
            .build(format!("http://{peer}"))
            .map_err(|source| CallError {
                step: "open",
                peer,
                source,
            })
    }

    /// Starts a call that goes on beside the calling thread.
    pub fn spawn<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> tokio::task::JoinHandle<T> {
        self.runtime.spawn(call)
    }

    /// Runs a call to its end.
    pub fn wait<T>(&self, call: impl Future<Output = T>) -> T {
        self.runtime.block_on(call)
    }
}

/// A client of the state group that finds the leader by itself.
#[derive(Debug)]
pub struct StateClient {
    calls: Calls,
    me: NodeId,
    peers: Vec<SocketAddr>,
    clients: Vec<HttpClient>,
    /// Clients whose calls may be held by the node for a while; kept, so that a watch costs no new connection.
    watchers: Vec<HttpClient>,
    leader: Mutex<usize>,
}

macro_rules! group_call {
    ($(#[$doc:meta])* $name:ident, $ask:ty => $answer:ident) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// Returns the last failure when no node of the group answered.
        pub fn $name(&self, revision: Revision, ask: &$ask) -> Result<$answer, CallError> {
            let call = |at: usize| {
                let client = self.clients[at].clone();
                let message = Envelope::new(&self.me, revision, ask.clone());
                async move { client.$name(message).await }
            };
            self.to_leader(stringify!($name), call, |answer| match &answer.body {
                $answer::Unavailable(why) => Some(why.clone()),
                _ => None,
            })
            .map(|answer| answer.body)
        }
    };
}

impl StateClient {
    /// Makes a client for the nodes of a group.
    ///
    /// # Errors
    /// Fails when an address cannot be used.
    pub fn new(calls: &Calls, me: &NodeId, peers: &[SocketAddr]) -> Result<Self, CallError> {
        let open = |extra| {
            peers
                .iter()
                .map(|peer| calls.client(*peer, extra))
                .collect::<Result<_, _>>()
        };
        let clients = open(Duration::ZERO)?;
        let watchers = open(MAX_WAIT)?;
        Ok(Self {
            calls: calls.clone(),
            me: me.clone(),
            peers: peers.to_vec(),
            clients,
            watchers,
            leader: Mutex::new(0),
        })
    }

    group_call! {
        /// Proposes a configuration change.
        propose, Propose => Proposed
    }

    group_call! {
        /// Claims a non-idempotent call.
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

    /// Waits for news at one node, chosen by the caller; any node may answer.
    ///
    /// # Errors
    /// Returns the failure of that node.
    pub fn watch(&self, node: usize, revision: Revision, ask: Watch) -> Result<Envelope<Watched>, CallError> {
        let at = node % self.peers.len();
        let (peer, client) = (self.peers[at], &self.watchers[at]);
        let message = Envelope::new(&self.me, revision, ask);
        self.calls.wait(client.watch(message)).map_err(|source| CallError {
            step: "watch",
            peer,
            source,
        })
    }

    /// Asks one node for its status.
    ///
    /// # Errors
    /// Returns the failure of that node.
    pub fn status(&self, node: usize) -> Result<StateStatus, CallError> {
        let at = node % self.peers.len();
        let message = Envelope::new(&self.me, Revision::default(), ());
        let answer = self.calls.wait(self.clients[at].status(message));
        answer.map(|answer| answer.body).map_err(|source| CallError {
            step: "status",
            peer: self.peers[at],
            source,
        })
    }

    /// Gives the addresses of the group.
    #[must_use]
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Asks the last known leader first and follows at most one round of hints.
    ///
    /// A node that does not lead has written nothing, so asking the next one repeats nothing.
    fn to_leader<T, F>(
        &self,
        step: &'static str,
        call: impl Fn(usize) -> F,
        refused: impl Fn(&T) -> Option<Unavailable>,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, jsonrpsee::core::ClientError>>,
    {
        let mut at = *self.leader.lock();
        let mut last = None;
        for _ in 0..=self.peers.len() {
            let answer = self.calls.wait(call(at));
            let next = (at + 1) % self.peers.len();
            match answer {
                Ok(answer) => {
                    let Some(Unavailable::NotLeader { leader }) = refused(&answer) else {
                        *self.leader.lock() = at;
                        return Ok(answer);
                    };
                    at = leader.and_then(|leader| self.place_of(leader)).unwrap_or(next);
                    last = Some(Ok(answer));
                }
                Err(source) => {
                    last = Some(Err(CallError {
                        step,
                        peer: self.peers[at],
                        source,
                    }));
                    at = next;
                }
            }
        }
        last.expect("the group has at least one node")
    }

    fn place_of(&self, leader: SocketAddr) -> Option<usize> {
        self.peers.iter().position(|peer| *peer == leader)
    }
}
