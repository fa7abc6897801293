//! The other entry hosts of the data centre, as far as requests are handed over or looked up there.

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

/// Clients of the other entry hosts.
#[derive(Debug)]
pub struct Peers {
    calls: RpcRuntime,
    me: NodeId,
    clients: Vec<HttpClient>,
    names: Mutex<HashMap<NodeId, usize>>,
    turn: AtomicUsize,
}

impl Peers {
    /// Makes the clients; connections are made at the first call.
    ///
    /// # Errors
    /// Fails when an address can't be used.
    pub fn new(calls: &RpcRuntime, me: &NodeId, peers: &[SocketAddr]) -> Result<Self, CallError> {
        let clients = peers.iter().map(|peer| calls.client(*peer, Duration::ZERO));
        Ok(Self {
            calls: calls.clone(),
            me: me.clone(),
            clients: clients.collect::<Result<_, _>>()?,
            names: Mutex::default(),
            turn: AtomicUsize::new(0),
        })
    }

    /// Asks one peer, each time another, for a newer configuration than a revision.
    pub fn config(&self, after: Revision) -> Option<Watched> {
        let count = self.clients.len();
        let at = self.turn.fetch_add(1, Ordering::Relaxed).checked_rem(count)?;
        let message = Envelope::new(&self.me, after, after);
        let answer = self.calls.wait(self.clients[at].config(message)).ok()?;
        Some(answer.body)
    }

    /// Looks a request up, first at the peer whose name the request carries.
    pub fn journal(&self, revision: Revision, request: &RequestId, from: usize) -> Option<Journal> {
        let first = self.made_by(request);
        let others = (0..self.clients.len()).filter(|at| Some(*at) != first);
        first
            .into_iter()
            .chain(others)
            .find_map(|at| self.journal_at(at, revision, request, from).ok().flatten())
    }

    /// Gives a request to a peer that takes it.
    pub fn hand_over(&self, revision: Revision, handover: &Handover) -> bool {
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        let count = self.clients.len();
        let taken = (0..count).any(|step| self.hand_to((first + step) % count, revision, handover));
        let result = if taken { "taken" } else { "declined" };
        counter!("gentian_handovers_total", "result" => result).increment(1);
        taken
    }

    /// Gives a request to one peer.
    ///
    /// A peer whose answer was lost may have taken the request; asking it for the journal tells. Without that, another
    /// peer would run the same request again, and a caller could be shown one or the other.
    fn hand_to(&self, at: usize, revision: Revision, handover: &Handover) -> bool {
        let message = Envelope::new(&self.me, revision, handover.clone());
        match self.calls.wait(self.clients[at].adopt(message)) {
            Ok(answer) => answer.from != self.me && answer.body,
            Err(ClientError::Transport(_)) => false,
            Err(_) => matches!(self.journal_at(at, revision, &handover.request, 0), Ok(Some(_))),
        }
    }

    fn journal_at(
        &self,
        at: usize,
        revision: Revision,
        request: &RequestId,
        from: usize,
    ) -> Result<Option<Journal>, ClientError> {
        let ask = JournalRequest {
            request: request.clone(),
            from: from as u64,
        };
        let message = Envelope::new(&self.me, revision, ask);
        let answer = self.calls.wait(self.clients[at].journal(message))?;
        self.names.lock().insert(answer.from, at);
        Ok(answer.body)
    }

    fn made_by(&self, request: &RequestId) -> Option<usize> {
        let names = self.names.lock();
        let made = |name: &NodeId| {
            let rest = request.as_str().strip_prefix(name.as_str());
            rest.is_some_and(|rest| rest.starts_with('-'))
        };
        names.iter().find(|(name, _)| made(name)).map(|(_, at)| *at)
    }
}
