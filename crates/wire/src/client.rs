//! Blocking clients for threads outside the asynchronous runtime.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use contract::{NodeId, Revision};
use derive_more::{Display, Error};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};

use crate::Envelope;
use crate::settler::Settler;
use crate::state::{
    Claim, Claimed, Lease, Leased, Propose, Proposed, Settle, Settled, StateRpcClient, StateStatus, Unavailable, Watch,
    Watched,
};

/// Largest inner message, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Longest that a node may hold a watch.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);

/// How long a node is passed over after it let a call wait in vain.
const SILENT: Duration = Duration::from_secs(5);
/// Wait from which a failed call counts as in vain; a node that refuses the connection costs nothing to ask.
const IN_VAIN: Duration = Duration::from_millis(500);

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
pub struct RpcRuntime {
    runtime: Arc<Runtime>,
    timeout: Duration,
}

impl RpcRuntime {
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
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
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
    group: Arc<Group>,
    settler: OnceLock<Settler>,
}

/// The nodes of the group and what is known of their leader.
#[derive(Debug)]
pub(crate) struct Group {
    calls: RpcRuntime,
    me: NodeId,
    peers: Vec<SocketAddr>,
    clients: Vec<HttpClient>,
    /// Clients whose calls may be held by the node for a while; kept, so that a watch costs no new connection.
    watchers: Vec<HttpClient>,
    leader: Mutex<usize>,
    /// When each node last let a call wait in vain.
    silent: Mutex<Vec<Option<Instant>>>,
}

macro_rules! group_call {
    ($(#[$doc:meta])* $name:ident, $ask:ty => $answer:ident) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// Returns the last failure when no node of the group answered.
        pub fn $name(&self, revision: Revision, ask: &$ask) -> Result<$answer, CallError> {
            let group = &self.group;
            let call = |at: usize| {
                let client = group.clients[at].clone();
                let message = Envelope::new(&group.me, revision, ask.clone());
                async move { client.$name(message).await }
            };
            group.to_leader(stringify!($name), call, |answer| match &answer.body {
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
    pub fn new(calls: &RpcRuntime, me: &NodeId, peers: &[SocketAddr]) -> Result<Self, CallError> {
        let open = |extra| {
            peers
                .iter()
                .map(|peer| calls.client(*peer, extra))
                .collect::<Result<_, _>>()
        };
        let group = Group {
            calls: calls.clone(),
            me: me.clone(),
            peers: peers.to_vec(),
            clients: open(Duration::ZERO)?,
            watchers: open(MAX_WATCH_WAIT)?,
            leader: Mutex::new(0),
            silent: Mutex::new(vec![None; peers.len()]),
        };
        Ok(Self {
            group: Arc::new(group),
            settler: OnceLock::new(),
        })
    }

    /// Records an outcome in the background, for as long as it takes until the group has a leader.
    ///
    /// Returns whether there was room for it; a full ring is a refusal that the caller counts.
    pub fn settle_later(&self, ask: Settle) -> bool {
        self.settler.get_or_init(|| Settler::start(&self.group)).add(ask)
    }

    /// Waits until everything that was given to [`Self::settle_later`] is recorded.
    ///
    /// Returns whether that came true in time.
    pub fn flush(&self, patience: Duration) -> bool {
        self.settler.get().is_none_or(|settler| settler.flush(patience))
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
        let group = &self.group;
        let at = node % group.peers.len();
        let (peer, client) = (group.peers[at], &group.watchers[at]);
        let message = Envelope::new(&group.me, revision, ask);
        group.calls.wait(client.watch(message)).map_err(|source| CallError {
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
        let group = &self.group;
        let at = node % group.peers.len();
        let message = Envelope::new(&group.me, Revision::default(), ());
        let answer = group.calls.wait(group.clients[at].status(message));
        answer.map(|answer| answer.body).map_err(|source| CallError {
            step: "status",
            peer: group.peers[at],
            source,
        })
    }

    /// Gives the place of the node that this process watches first; the processes spread over all of them.
    #[must_use]
    pub fn preferred_node(&self) -> usize {
        let sum = self.group.me.as_str().bytes().fold(7_usize, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(usize::from(byte))
        });
        sum % self.group.peers.len()
    }

    /// Gives the addresses of the group.
    #[must_use]
    pub fn peers(&self) -> &[SocketAddr] {
        &self.group.peers
    }
}

impl Group {
    /// Records an outcome once; returns whether nothing is left to do.
    pub(crate) fn settle(&self, ask: &Settle) -> bool {
        let call = |at: usize| {
            let client = self.clients[at].clone();
            let message = Envelope::new(&self.me, Revision::default(), ask.clone());
            async move { client.settle(message).await }
        };
        let answer = self.to_leader("settle", call, |answer| match &answer.body {
            Settled::Unavailable(why) => Some(why.clone()),
            _ => None,
        });
        answer.is_ok_and(|answer| !matches!(answer.body, Settled::Unavailable(_)))
    }

    /// Asks the last known leader first, then the others, until a node decides.
    ///
    /// Every call carries an id under which it counts once, so a second node may be asked after a lost answer. When no
    /// node decides, the most careful answer wins: only if each one said that nothing was written, nothing was.
    fn to_leader<T, F>(
        &self,
        step: &'static str,
        call: impl Fn(usize) -> F,
        refused: impl Fn(&T) -> Option<Unavailable>,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, jsonrpsee::core::ClientError>>,
    {
        let mut at = self.first();
        let mut worst = None;
        let mut hinted = false;
        for _ in 0..=self.peers.len() {
            let next = (at + 1) % self.peers.len();
            // On the small side of a cut the other nodes don't refuse, they are silent. If every call waited for them, a
            // caller would learn only at its deadline that nothing was run.
            if worst.is_some() && !hinted && self.is_silent(at) {
                at = next;
                continue;
            }
            hinted = false;
            let begin = Instant::now();
            match self.calls.wait(call(at)) {
                Ok(answer) => {
                    self.silent.lock()[at] = None;
                    let Some(why) = refused(&answer) else {
                        *self.leader.lock() = at;
                        return Ok(answer);
                    };
                    let hint = self.hinted(&why);
                    hinted = hint.is_some();
                    at = hint.unwrap_or(next);
                    let written = matches!(why, Unavailable::Undecided { .. });
                    if worst.is_none() || (written && !matches!(worst, Some(Err(_)))) {
                        worst = Some(Ok(answer));
                    }
                }
                Err(source) => {
                    if begin.elapsed() > IN_VAIN {
                        self.silent.lock()[at] = Some(Instant::now());
                    }
                    let peer = self.peers[at];
                    worst = Some(Err(CallError { step, peer, source }));
                    at = next;
                }
            }
            *self.leader.lock() = at;
        }
        worst.expect("the group has at least one node")
    }

    /// Gives the node to ask first: the last known leader unless it was silent, else the next one that wasn't.
    fn first(&self) -> usize {
        let leader = *self.leader.lock();
        let order = (0..self.peers.len()).map(|step| (leader + step) % self.peers.len());
        order.into_iter().find(|at| !self.is_silent(*at)).unwrap_or(leader)
    }

    /// Tells whether a node is to be passed over; one caller at a time finds out whether it answers again.
    fn is_silent(&self, at: usize) -> bool {
        let since = &mut self.silent.lock()[at];
        let silent = since.is_some_and(|since| since.elapsed() < SILENT);
        if !silent && since.is_some() {
            *since = Some(Instant::now());
        }
        silent
    }

    fn hinted(&self, why: &Unavailable) -> Option<usize> {
        let Unavailable::NotLeader { leader: Some(leader) } = why else {
            return None;
        };
        self.peers.iter().position(|peer| peer == leader)
    }
}
