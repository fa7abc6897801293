//! The inner protocol's calls, passed to the thread that owns the state.

use std::sync::Arc;

use contract::{NodeId, Revision};
use crossbeam_channel::Sender;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use metrics::counter;
use policy::rollout::Progress;
use slog::{Logger, info, warn};
use telemetry::Clock;
use tokio::sync::oneshot;
use wire::Envelope;
use wire::catalog::{CatalogRpcServer, Fetched, Follow, Followed, Publish, Published, Upload, Uploaded};
use wire::raft::{Packet, RaftRpcServer};
use wire::registry::{Borrow, BorrowReply, Heartbeat, HeartbeatReply};
use wire::state::{
    Claim, Claimed, Lease, Leased, Propose, Proposed, Settle, Settled, StateRpcServer, StateStatus, Unavailable, Watch,
    Watched,
};

use crate::applied::{Command, Reply};
use crate::core::Ask;
use crate::peers::Delivery;
use crate::registry::{EntryRegistry, SharedLimits};

/// JSON-RPC code for a node that is stopping.
const STOPPING: i32 = -32_001;
/// JSON-RPC code for messages of another version.
const UNREADABLE: i32 = -32_002;

/// Late entry hosts that a log line names.
const NAMED: usize = 8;

/// Answers the calls of the inner protocol.
#[derive(Clone, Debug)]
pub struct Rpc {
    me: NodeId,
    ring: Sender<Ask>,
    registry: Arc<EntryRegistry>,
    clock: Clock,
    logger: Logger,
}

impl Rpc {
    /// Makes the server side for a ring.
    #[must_use]
    pub const fn new(
        me: NodeId,
        ring: Sender<Ask>,
        registry: Arc<EntryRegistry>,
        clock: Clock,
        logger: Logger,
    ) -> Self {
        Self {
            me,
            ring,
            registry,
            clock,
            logger,
        }
    }

    fn wrap<T>(&self, body: T) -> Envelope<T> {
        Envelope::new(&self.me, Revision::default(), body)
    }

    /// Appends a command; a full ring is a refusal, since the command was not written.
    async fn command(&self, command: Command) -> RpcResult<Result<Reply, Unavailable>> {
        let (reply, answer) = oneshot::channel();
        if self.ring.try_send(Ask::Command(Box::new(command), reply)).is_err() {
            return Ok(Err(Unavailable::NoQuorum {
                reason: "too many requests wait".to_owned(),
            }));
        }
        answer.await.map_err(|_closed| stopping())
    }

    /// Gives what the log says of shared limits.
    async fn sharing(&self) -> RpcResult<SharedLimits> {
        let read = |reply: oneshot::Sender<SharedLimits>| {
            Ask::Read(Box::new(move |applied, _age| {
                let accounts = applied.catalog().map(|catalog| catalog.accounts.iter());
                let quotas = accounts.into_iter().flatten();
                let quotas = quotas.filter_map(|account| Some((account.name.clone(), account.quota?)));
                // An asker that has gone away needs no answer.
                let _ = reply.send(SharedLimits {
                    quotas: quotas.collect(),
                    entry_hosts: applied.sharers,
                    catalog_version: applied.catalog().map_or(0, |catalog| catalog.version),
                });
            }))
        };
        Ok(self.ask(read).await?.body)
    }

    fn tell_rollout(&self, progress: &Progress) {
        match progress {
            Progress::Complete { version, took, hosts } => {
                info!(self.logger, "configuration in force on all entry hosts"; "version" => version,
                    "took_ms" => took.as_millis() as u64, "hosts" => hosts);
            }
            Progress::Late { version, lag, hosts } => {
                let named = hosts.iter().take(NAMED).map(|(host, held)| format!("{host}:{held}"));
                let named: Vec<String> = named.collect();
                warn!(self.logger, "entry hosts lag behind the configuration"; "version" => version,
                    "lag_ms" => lag.as_millis() as u64, "late" => hosts.len(), "held" => named.join(" "));
            }
        }
    }

    async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> RpcResult<Envelope<T>> {
        let (reply, answer) = oneshot::channel();
        self.ring.try_send(ask(reply)).map_err(|_full| stopping())?;
        let body = answer.await.map_err(|_closed| stopping())?;
        Ok(self.wrap(body))
    }
}

macro_rules! answer {
    ($rpc:ident, $command:expr, $kind:ident) => {{
        let body = match $rpc.command($command).await? {
            Ok(Reply::$kind(body)) => body,
            Ok(_) => return Err(stopping()),
            Err(why) => $kind::Unavailable(why),
        };
        Ok($rpc.wrap(body))
    }};
}

#[async_trait]
impl StateRpcServer for Rpc {
    async fn propose(&self, request: Envelope<Propose>) -> RpcResult<Envelope<Proposed>> {
        answer!(self, Command::Propose(request.body), Proposed)
    }

    async fn watch(&self, request: Envelope<Watch>) -> RpcResult<Envelope<Watched>> {
        self.ask(|reply| Ask::Watch(request.body, reply)).await
    }

    async fn claim(&self, request: Envelope<Claim>) -> RpcResult<Envelope<Claimed>> {
        answer!(self, Command::Claim(request.body), Claimed)
    }

    async fn settle(&self, request: Envelope<Settle>) -> RpcResult<Envelope<Settled>> {
        answer!(self, Command::Settle(request.body), Settled)
    }

    async fn lease(&self, request: Envelope<Lease>) -> RpcResult<Envelope<Leased>> {
        answer!(self, Command::Lease(request.body), Leased)
    }

    async fn status(&self, _request: Envelope<()>) -> RpcResult<Envelope<StateStatus>> {
        self.ask(Ask::Status).await
    }
}

#[async_trait]
impl CatalogRpcServer for Rpc {
    async fn publish(&self, request: Envelope<Publish>) -> RpcResult<Envelope<Published>> {
        answer!(self, Command::Publish(request.body), Published)
    }

    async fn upload(&self, request: Envelope<Upload>) -> RpcResult<Envelope<Uploaded>> {
        answer!(self, Command::Upload(request.body), Uploaded)
    }

    async fn fetch(&self, _request: Envelope<()>) -> RpcResult<Envelope<Fetched>> {
        answer!(self, Command::Fetch, Fetched)
    }

    async fn follow(&self, request: Envelope<Follow>) -> RpcResult<Envelope<Followed>> {
        self.ask(|reply| Ask::Follow(request.body, reply)).await
    }

    async fn beat(&self, request: Envelope<Heartbeat>) -> RpcResult<Envelope<HeartbeatReply>> {
        let lead = self.ask(Ask::Lead).await?.body;
        if lead.since.is_none() {
            let leader = lead.leader;
            return Ok(self.wrap(HeartbeatReply::Unavailable(Unavailable::NotLeader { leader })));
        }
        let sharing = self.sharing().await?;
        let held = request.revision.0;
        let progress = self
            .registry
            .record_version(&request.from, held, sharing.catalog_version, self.clock.now());
        if let Some(progress) = progress {
            self.tell_rollout(&progress);
        }
        let beat = (&request.from, request.body);
        let parts = self.registry.heartbeat(lead.term, beat, &sharing, self.clock.now());
        if let Some(count) = self.registry.changed_count(self.clock.now()) {
            let (reply, _) = oneshot::channel();
            // A count that is not noted now is noted when it next changes; until then the leader's own is used.
            let _ = self
                .ring
                .try_send(Ask::Command(Box::new(Command::Sharers(count)), reply));
        }
        let listening = || Unavailable::NoQuorum {
            reason: "a new leader listens who shares the limits".to_owned(),
        };
        let body = parts.map_or_else(
            || HeartbeatReply::Unavailable(listening()),
            |news| HeartbeatReply::News(Box::new(news)),
        );
        Ok(self.wrap(body))
    }

    async fn borrow_units(&self, request: Envelope<Borrow>) -> RpcResult<Envelope<BorrowReply>> {
        let lead = self.ask(Ask::Lead).await?.body;
        if lead.since.is_none() {
            let leader = lead.leader;
            return Ok(self.wrap(BorrowReply::Unavailable(Unavailable::NotLeader { leader })));
        }
        let Borrow { account, units } = request.body;
        let lent = self.registry.lend(lead.term, &account, units, self.clock.now());
        Ok(self.wrap(if lent { BorrowReply::Lent } else { BorrowReply::Over }))
    }
}

#[async_trait]
impl RaftRpcServer for Rpc {
    async fn deliver(&self, batch: Envelope<Packet>) -> RpcResult<()> {
        let delivery: Delivery = postcard::from_bytes(&batch.body.messages).map_err(|error| {
            ErrorObjectOwned::owned(UNREADABLE, format!("messages of {}: {error}", batch.from), None::<()>)
        })?;
        if self.ring.try_send(Ask::Deliver(delivery)).is_err() {
            counter!("gentian_state_messages_dropped_total").increment(1);
        }
        Ok(())
    }
}

fn stopping() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STOPPING, "the node is stopping or overloaded", None::<()>)
}
