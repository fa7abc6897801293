//! RPC calls from the command line to all entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{NodeId, Revision};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use wire::Envelope;
use wire::client::{CallError, RpcRuntime};

/// Longest wait for the answer of one entry host.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Calls every entry host.
#[derive(Debug)]
pub struct EntryClients {
    rpc: RpcRuntime,
    peers: Vec<SocketAddr>,
}

/// The answers of the entry hosts to one call.
#[derive(Debug)]
pub struct Answers<T> {
    /// Each answer, with the address of the host that sent it.
    pub received: Vec<(SocketAddr, T)>,
    /// A line for standard error for each entry host that didn't answer.
    pub notes: Vec<String>,
}

impl EntryClients {
    /// Creates clients for inner addresses of entry hosts.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn new(peers: Vec<SocketAddr>) -> anyhow::Result<Self> {
        let rpc = RpcRuntime::start(1, CALL_TIMEOUT)?;
        Ok(Self { rpc, peers })
    }

    /// Calls every entry host at the same time; `step` names the call in error messages.
    ///
    /// # Panics
    /// Panics when a call panics.
    pub fn call_all<B, T, F, G>(&self, step: &'static str, body: &B, start_call: F) -> Answers<T>
    where
        B: Clone,
        F: Fn(HttpClient, Envelope<B>) -> G,
        G: Future<Output = Result<Envelope<T>, ClientError>> + Send + 'static,
        T: Send + 'static,
    {
        let sender = NodeId::from("gentianctl");
        let in_flight: Vec<_> = self
            .peers
            .iter()
            .map(|peer| {
                let client = self.rpc.client(*peer, Duration::ZERO);
                let message = Envelope::new(&sender, Revision::default(), body.clone());
                (*peer, client.map(|client| self.rpc.spawn(start_call(client, message))))
            })
            .collect();
        let mut answers = Answers {
            received: Vec::new(),
            notes: Vec::new(),
        };
        for (peer, call) in in_flight {
            let result = call.and_then(|task| {
                let result = self.rpc.wait(task).expect("a call does not panic");
                result.map_err(|source| CallError { step, peer, source })
            });
            match result {
                Ok(answer) => answers.received.push((peer, answer.body)),
                Err(error) => answers.notes.push(format!(
                    "{error}; is the entry host up and its inner port reachable from here?"
                )),
            }
        }
        answers
    }
}
