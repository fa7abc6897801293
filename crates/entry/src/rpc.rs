//! The internal RPC server of an entry host.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use contract::{RequestId, Revision};
use jsonrpsee::core::{RpcResult, async_trait};
use serde_json::json;
use wire::Envelope;
use wire::entry::{EntryRpcServer, Handover, HostSignal, Journal, JournalRequest};
use wire::state::Watched;

use crate::{EntryHost, burn, callers, drain};

/// Handles RPCs of other processes of the system.
#[derive(Clone, Debug)]
pub struct EntryRpcHandler {
    entry: Arc<EntryHost>,
}

impl EntryRpcHandler {
    /// Creates the handler.
    #[must_use]
    pub const fn new(entry: Arc<EntryHost>) -> Self {
        Self { entry }
    }

    fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope::new(&self.entry.settings.node, self.entry.config.revision(), body)
    }
}

#[async_trait]
impl EntryRpcServer for EntryRpcHandler {
    async fn hosts(&self, signs: Envelope<Vec<HostSignal>>) -> RpcResult<Envelope<()>> {
        let now = self.entry.clock.now();
        for signal in &signs.body {
            self.entry.upstreams.apply_signal(signal, now);
            drain::handle_signal(&self.entry, signal);
        }
        Ok(self.envelope(()))
    }

    async fn journal(&self, ask: Envelope<JournalRequest>) -> RpcResult<Envelope<Option<Journal>>> {
        let from = usize::try_from(ask.body.from).unwrap_or(usize::MAX);
        let found = self.entry.journals.find(&ask.body.request);
        // A peer has taken over the answer and has all of it.
        let found = found.filter(|journal| !journal.is_elsewhere()).map(|journal| {
            let part = journal.part_from(from);
            Journal {
                owner: journal.owner.clone(),
                tokens: part.tokens,
                done: part.complete,
                failed: part.failed,
            }
        });
        Ok(self.envelope(found))
    }

    async fn adopt(&self, handover: Envelope<Handover>) -> RpcResult<Envelope<bool>> {
        let taken = handover.from != self.entry.settings.node && callers::adopt(&self.entry, &handover.body);
        Ok(self.envelope(taken))
    }

    async fn explain(&self, request: Envelope<RequestId>) -> RpcResult<Envelope<Option<serde_json::Value>>> {
        let found = self.entry.journals.find(&request.body);
        Ok(self.envelope(found.map(|journal| json!(journal.choices()))))
    }

    async fn burn(&self, handed: Envelope<serde_json::Value>) -> RpcResult<Envelope<serde_json::Value>> {
        burn::store_counts(&self.entry, handed.body);
        Ok(self.envelope(json!(burn::all_counts(&self.entry))))
    }

    async fn config(&self, after: Envelope<Revision>) -> RpcResult<Envelope<Watched>> {
        Ok(self.envelope(self.entry.config.news_since(after.body, self.entry.clock.now())))
    }

    async fn status(&self, _request: Envelope<()>) -> RpcResult<Envelope<serde_json::Value>> {
        let entry = &self.entry;
        let status = json!({
            "node": entry.settings.node,
            "data_center": entry.settings.data_center,
            "revision": entry.config.revision(),
            "config_age_ms": entry.config.age(entry.clock.now()).as_millis() as u64,
            "leaving": entry.leaving.load(Ordering::Relaxed),
        });
        Ok(self.envelope(status))
    }
}
