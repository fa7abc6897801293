//! The inner protocol's calls to an entry host.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use contract::{RequestId, Revision};
use jsonrpsee::core::{RpcResult, async_trait};
use serde_json::json;
use wire::Envelope;
use wire::entry::{EntryRpcServer, Handover, HostSignal, Journal, JournalRequest};
use wire::state::Watched;

use crate::{Entry, burn, callers, drain};

/// Answers other processes of the system.
#[derive(Clone, Debug)]
pub struct Rpc {
    entry: Arc<Entry>,
}

impl Rpc {
    /// Makes the server side of an entry host.
    #[must_use]
    pub const fn new(entry: Arc<Entry>) -> Self {
        Self { entry }
    }

    fn wrap<T>(&self, body: T) -> Envelope<T> {
        Envelope::new(&self.entry.settings.node, self.entry.current.revision(), body)
    }
}

#[async_trait]
impl EntryRpcServer for Rpc {
    async fn hosts(&self, signs: Envelope<Vec<HostSignal>>) -> RpcResult<Envelope<()>> {
        let now = self.entry.clock.now();
        for sign in &signs.body {
            self.entry.fleet.sign(sign, now);
            drain::hear(&self.entry, sign);
        }
        Ok(self.wrap(()))
    }

    async fn journal(&self, ask: Envelope<JournalRequest>) -> RpcResult<Envelope<Option<Journal>>> {
        let from = usize::try_from(ask.body.from).unwrap_or(usize::MAX);
        let found = self.entry.journals.find(&ask.body.request);
        // The answer goes on at a peer, which has all of it.
        let found = found.filter(|journal| !journal.is_moved()).map(|journal| {
            let part = journal.from(from);
            Journal {
                owner: journal.owner.clone(),
                tokens: part.tokens,
                done: part.whole,
                failed: part.failed,
            }
        });
        Ok(self.wrap(found))
    }

    async fn adopt(&self, handover: Envelope<Handover>) -> RpcResult<Envelope<bool>> {
        let taken = handover.from != self.entry.settings.node && callers::adopt(&self.entry, &handover.body);
        Ok(self.wrap(taken))
    }

    async fn explain(&self, request: Envelope<RequestId>) -> RpcResult<Envelope<Option<serde_json::Value>>> {
        let found = self.entry.journals.find(&request.body);
        Ok(self.wrap(found.map(|journal| json!(journal.choices()))))
    }

    async fn burn(&self, handed: Envelope<serde_json::Value>) -> RpcResult<Envelope<serde_json::Value>> {
        burn::take(&self.entry, handed.body);
        Ok(self.wrap(json!(burn::parts(&self.entry))))
    }

    async fn config(&self, after: Envelope<Revision>) -> RpcResult<Envelope<Watched>> {
        Ok(self.wrap(self.entry.current.since(after.body, self.entry.clock.now())))
    }

    async fn status(&self, _request: Envelope<()>) -> RpcResult<Envelope<serde_json::Value>> {
        let entry = &self.entry;
        let status = json!({
            "node": entry.settings.node,
            "data_center": entry.settings.data_center,
            "revision": entry.current.revision(),
            "config_age_ms": entry.current.age(entry.clock.now()).as_millis() as u64,
            "leaving": entry.leaving.load(Ordering::Relaxed),
        });
        Ok(self.wrap(status))
    }
}
