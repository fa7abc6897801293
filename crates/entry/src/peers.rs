//! RPC clients of the other entry hosts, for handovers and lookups of requests and for configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use contract::{NodeId, RequestId, Revision};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use metrics::counter;
use parking_lot::Mutex;
use wire::Envelope;
use wire::client::{CallError, RpcRuntime};
use wire::entry::{EntryRpcClient, Handover, Journal, JournalRequest};
use wire::state::Watched;

/// The clients of all peers in the settings.
#[derive(Debug)]
pub struct PeerClients {
    calls: RpcRuntime,
    node: NodeId,
    clients: Vec<HttpClient>,
    by_name: Mutex<HashMap<NodeId, usize>>,
    next_client: AtomicUsize,
}

impl PeerClients {
    /// Creates the clients; each connects at its first call.
    ///
    /// # Errors
    /// Fails if an address can't be used.
    pub fn new(calls: &RpcRuntime, node: &NodeId, peers: &[SocketAddr]) -> Result<Self, CallError> {
        let clients = peers.iter().map(|peer| calls.client(*peer, Duration::ZERO));
        Ok(Self {
            calls: calls.clone(),
            node: node.clone(),
            clients: clients.collect::<Result<_, _>>()?,
            by_name: Mutex::default(),
            next_client: AtomicUsize::new(0),
        })
    }

    /// Asks one peer, in round-robin order, for a configuration newer than a revision.
    pub fn newer_config(&self, after: Revision) -> Option<Watched> {
        let count = self.clients.len();
        let index = self.next_client.fetch_add(1, Ordering::Relaxed).checked_rem(count)?;
        let message = Envelope::new(&self.node, after, after);
        let answer = self.calls.wait(self.clients[index].config(message)).ok()?;
        Some(answer.body)
    }

    /// Looks up a request, first at the peer whose name the request id starts with.
    pub fn find_journal(&self, revision: Revision, request: &RequestId, from: usize) -> Option<Journal> {
        let first = self.creator(request);
        let others = (0..self.clients.len()).filter(|index| Some(*index) != first);
        first
            .into_iter()
            .chain(others)
            .find_map(|index| self.read_journal(index, revision, request, from).ok().flatten())
    }

    /// Hands a request over to the first peer that accepts it; returns whether one did.
    pub fn hand_over(&self, revision: Revision, handover: &Handover) -> bool {
        let first = self.next_client.fetch_add(1, Ordering::Relaxed);
        let count = self.clients.len();
        let taken = (0..count).any(|step| self.hand_over_to((first + step) % count, revision, handover));
        let result = if taken { "taken" } else { "declined" };
        counter!("gentian_handovers_total", "result" => result).increment(1);
        taken
    }

    /// Hands a request over to one peer.
    ///
    /// If the reply is lost, the peer may have accepted the request; asking it for the journal shows that. Otherwise
    /// another peer would run the same request, and a caller could be shown either answer.
    fn hand_over_to(&self, index: usize, revision: Revision, handover: &Handover) -> bool {
        let message = Envelope::new(&self.node, revision, handover.clone());
        match self.calls.wait(self.clients[index].adopt(message)) {
            Ok(answer) => answer.from != self.node && answer.body,
            Err(ClientError::Transport(_)) => false,
            Err(_) => matches!(self.read_journal(index, revision, &handover.request, 0), Ok(Some(_))),
        }
    }

    fn read_journal(
        &self,
        index: usize,
        revision: Revision,
        request: &RequestId,
        from: usize,
    ) -> Result<Option<Journal>, ClientError> {
        let journal_request = JournalRequest {
            request: request.clone(),
            from: from as u64,
        };
        let message = Envelope::new(&self.node, revision, journal_request);
        let answer = self.calls.wait(self.clients[index].journal(message))?;
        self.by_name.lock().insert(answer.from, index);
        Ok(answer.body)
    }

    fn creator(&self, request: &RequestId) -> Option<usize> {
        let names = self.by_name.lock();
        let created = |name: &NodeId| {
            let rest = request.as_str().strip_prefix(name.as_str());
            rest.is_some_and(|rest| rest.starts_with('-'))
        };
        names.iter().find(|(name, _)| created(name)).map(|(_, index)| *index)
    }
}
