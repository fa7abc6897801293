//! Questions to entry hosts over the inner protocol.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{NodeId, Revision};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use wire::Envelope;
use wire::client::{CallError, RpcRuntime};

/// Longest wait for one entry host.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A client of every entry host.
#[derive(Debug)]
pub struct Entries {
    calls: RpcRuntime,
    peers: Vec<SocketAddr>,
}

/// What the entry hosts answered.
#[derive(Debug)]
pub struct Answers<T> {
    /// Answers with the addresses that gave them.
    pub good: Vec<(SocketAddr, T)>,
    /// A line for each entry host that did not answer.
    pub notes: Vec<String>,
}

impl Entries {
    /// Makes a client for inner addresses.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn new(peers: Vec<SocketAddr>) -> anyhow::Result<Self> {
        let calls = RpcRuntime::start(1, TIMEOUT)?;
        Ok(Self { calls, peers })
    }

    /// Asks every entry host, all at the same time.
    ///
    /// # Panics
    /// Panics when a question does.
    pub fn ask<B, T, F, G>(&self, step: &'static str, body: &B, ask: F) -> Answers<T>
    where
        B: Clone,
        F: Fn(HttpClient, Envelope<B>) -> G,
        G: Future<Output = Result<Envelope<T>, ClientError>> + Send + 'static,
        T: Send + 'static,
    {
        let me = NodeId::from("gentianctl");
        let waiting: Vec<_> = self
            .peers
            .iter()
            .map(|peer| {
                let client = self.calls.client(*peer, Duration::ZERO);
                let message = Envelope::new(&me, Revision::default(), body.clone());
                (*peer, client.map(|client| self.calls.spawn(ask(client, message))))
            })
            .collect();
        let mut answers = Answers {
            good: Vec::new(),
            notes: Vec::new(),
        };
        for (peer, started) in waiting {
            let ended = started.and_then(|task| {
                let ended = self.calls.wait(task).expect("a question does not panic");
                ended.map_err(|source| CallError { step, peer, source })
            });
            match ended {
                Ok(answer) => answers.good.push((peer, answer.body)),
                Err(error) => answers.notes.push(format!(
                    "{error}; is the entry host up and its inner port reachable from here?"
                )),
            }
        }
        answers
    }
}
