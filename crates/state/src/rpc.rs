//! Server of the inner protocol: passes calls on to the thread that owns the state.

use std::sync::Arc;
use std::time::Duration;

use contract::{NodeId, Quota, Revision};
use crossbeam_channel::Sender;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use metrics::counter;
use policy::catalog_lag::Progress;
use slog::{Logger, info, warn};
use telemetry::Clock;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};
use wire::Envelope;
use wire::catalog::{CatalogRpcServer, Fetched, Follow, Followed, Publish, Published, Upload, Uploaded};
use wire::origins::{AskOrigin, KnownOrigin, TellOrigins, ToldOrigins};
use wire::quarantine::{QuarantineReply, ReportCrashes, ReportReply, TryParts, TryReply, WatchQuarantine};
use wire::raft::{Packet, RaftRpcServer};
use wire::registry::{Borrow, BorrowReply, Heartbeat, HeartbeatReply, Lender};
use wire::rollout::{RolloutCall, RolloutReply};
use wire::slots::{ReleaseSlots, TakeSlot, TakeSlotReply};
use wire::state::{
    Claim, Claimed, Lease, Leased, Propose, Proposed, Settle, Settled, StateRpcServer, StateStatus, Unavailable, Watch,
    Watched,
};

use crate::applied::{Command, Reply};
use crate::core::StateRequest;
use crate::origins::OriginStore;
use crate::peers::PeerBatch;
use crate::registry::{EntryRegistry, SharedLimits};

/// JSON-RPC error code of a node that is stopping or overloaded.
const STOPPING_CODE: i32 = -32_001;
/// JSON-RPC error code for Raft messages that cannot be decoded, such as those of another version.
const UNREADABLE_CODE: i32 = -32_002;

/// Longest time for which a watch of the quarantine is held, whatever the caller asks for.
const MAX_QUARANTINE_WAIT: Duration = Duration::from_secs(30);
/// Longest time for which the reply to a report waits until the other hosts know what follows from it.
const MAX_TELL_TIME: Duration = Duration::from_millis(50);
/// Longest wait for the thread that owns the state, which may stand on a slow disk, before a host is answered without the
/// versions: shorter than hosts wait.
const VERSIONS_TIMEOUT: Duration = Duration::from_millis(60);
/// Most late entry hosts that a log line names.
const MAX_NAMED_HOSTS: usize = 8;

/// Answers the calls of the inner protocol.
#[derive(Clone, Debug)]
pub struct Rpc {
    node: NodeId,
    requests: Sender<StateRequest>,
    registry: Arc<EntryRegistry>,
    origins: Arc<OriginStore>,
    clock: Clock,
    logger: Logger,
}

impl Rpc {
    /// Creates the server; calls become requests to the thread that owns the state.
    #[must_use]
    pub fn new(
        node: NodeId,
        requests: Sender<StateRequest>,
        registry: Arc<EntryRegistry>,
        origins: OriginStore,
        clock: Clock,
        logger: Logger,
    ) -> Self {
        Self {
            node,
            requests,
            registry,
            origins: Arc::new(origins),
            clock,
            logger,
        }
    }

    fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope::new(&self.node, Revision::default(), body)
    }

    /// Appends a command; a full queue answers [`Unavailable::NoQuorum`], since the command was not written.
    async fn command(&self, command: Command) -> RpcResult<Result<Reply, Unavailable>> {
        let (reply, answer) = oneshot::channel();
        if self
            .requests
            .try_send(StateRequest::Command(Box::new(command), reply))
            .is_err()
        {
            return Ok(Err(Unavailable::NoQuorum {
                reason: "too many requests wait".to_owned(),
            }));
        }
        answer.await.map_err(|_closed| stopping_error())
    }

    /// Returns the replicated inputs of shared quotas.
    async fn shared_limits(&self) -> RpcResult<SharedLimits> {
        let read = |reply: oneshot::Sender<SharedLimits>| {
            StateRequest::Read(Box::new(move |applied, _age| {
                let accounts = applied.catalog().map(|catalog| catalog.accounts.iter());
                let quotas = accounts.into_iter().flatten();
                let quotas = quotas.filter_map(|account| Some((account.name.clone(), account.quota?)));
                // A dropped receiver needs no answer.
                let _ = reply.send(SharedLimits {
                    quotas: quotas.collect(),
                    entry_hosts: applied.sharers,
                    catalog_version: applied.catalog().map_or(0, |catalog| catalog.version),
                });
            }))
        };
        Ok(self.request(read).await?.body)
    }

    /// Returns the quota of an account, if it has one, and the stored number of entry hosts.
    async fn quota(&self, account: &str) -> RpcResult<(Option<Quota>, u32)> {
        let account = account.to_owned();
        let read = |reply: oneshot::Sender<(Option<Quota>, u32)>| {
            StateRequest::Read(Box::new(move |applied, _age| {
                let accounts = applied.catalog().map(|catalog| catalog.accounts.iter());
                let found = accounts.into_iter().flatten().find(|known| known.name == account);
                // A dropped receiver needs no answer.
                let _ = reply.send((found.and_then(|known| known.quota), applied.sharers));
            }))
        };
        Ok(self.request(read).await?.body)
    }

    fn log_lag(&self, progress: &Progress) {
        match progress {
            Progress::Complete { version, took, hosts } => {
                info!(self.logger, "configuration in force on all entry hosts"; "version" => version,
                    "took_ms" => took.as_millis() as u64, "hosts" => hosts);
            }
            Progress::Late { version, lag, hosts } => {
                let named = hosts
                    .iter()
                    .take(MAX_NAMED_HOSTS)
                    .map(|(host, held)| format!("{host}:{held}"));
                let named: Vec<String> = named.collect();
                warn!(self.logger, "entry hosts lag behind the configuration"; "version" => version,
                    "lag_ms" => lag.as_millis() as u64, "late" => hosts.len(), "held" => named.join(" "));
            }
        }
    }

    /// Waits a short time until the hosts that follow the quarantine know it: the caller of a request that is quarantined
    /// comes back to another host as soon as it has its response.
    async fn wait_quarantine_known(&self, from: &NodeId) {
        let until = Instant::now() + MAX_TELL_TIME;
        let mut followers = self.registry.quarantine_followers();
        while !self.registry.knows_quarantine(from, self.clock.now()) {
            if timeout_at(until, followers.changed()).await.is_err() {
                counter!("gentian_state_quarantine_late_total").increment(1);
                return;
            }
        }
    }

    /// Sends a request to the thread that owns the state and wraps its answer.
    async fn request<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> StateRequest) -> RpcResult<Envelope<T>> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(ask(reply)).map_err(|_full| stopping_error())?;
        let body = answer.await.map_err(|_closed| stopping_error())?;
        Ok(self.envelope(body))
    }
}

macro_rules! answer {
    ($rpc:ident, $command:expr, $kind:ident) => {{
        let body = match $rpc.command($command).await? {
            Ok(Reply::$kind(body)) => body,
            Ok(_) => return Err(stopping_error()),
            Err(why) => $kind::Unavailable(why),
        };
        Ok($rpc.envelope(body))
    }};
}

#[async_trait]
impl StateRpcServer for Rpc {
    async fn propose(&self, request: Envelope<Propose>) -> RpcResult<Envelope<Proposed>> {
        answer!(self, Command::Propose(request.body), Proposed)
    }

    async fn watch(&self, request: Envelope<Watch>) -> RpcResult<Envelope<Watched>> {
        self.request(|reply| StateRequest::Watch(request.body, reply)).await
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
        self.request(StateRequest::Status).await
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

    async fn rollout(&self, request: Envelope<RolloutCall>) -> RpcResult<Envelope<RolloutReply>> {
        answer!(self, Command::Rollout(request.body), RolloutReply)
    }

    async fn follow(&self, request: Envelope<Follow>) -> RpcResult<Envelope<Followed>> {
        self.request(|reply| StateRequest::Follow(request.body, reply)).await
    }

    async fn beat(&self, request: Envelope<Heartbeat>) -> RpcResult<Envelope<HeartbeatReply>> {
        let leadership = self.request(StateRequest::Leadership).await?.body;
        if leadership.since.is_none() {
            let leader = leadership.leader;
            return Ok(self.envelope(HeartbeatReply::Unavailable(Unavailable::NotLeader { leader })));
        }
        let shared = self.shared_limits().await?;
        let held = request.revision.0;
        let progress = self
            .registry
            .record_version(&request.from, held, shared.catalog_version, self.clock.now());
        if let Some(progress) = progress {
            self.log_lag(&progress);
        }
        let beat = (&request.from, request.body);
        let update = self
            .registry
            .heartbeat(leadership.term, beat, &shared, self.clock.now());
        if let Some(count) = self.registry.changed_count(self.clock.now()) {
            let (reply, _) = oneshot::channel();
            // A count that is not stored now is stored when it changes next; until then the leader uses its own.
            let _ = self
                .requests
                .try_send(StateRequest::Command(Box::new(Command::Sharers(count)), reply));
        }
        let collecting = || Unavailable::NoQuorum {
            reason: "a new leader listens who shares the limits".to_owned(),
        };
        let body = update.map_or_else(
            || HeartbeatReply::Unavailable(collecting()),
            |update| HeartbeatReply::News(Box::new(update)),
        );
        Ok(self.envelope(body))
    }

    async fn borrow_units(&self, request: Envelope<Borrow>) -> RpcResult<Envelope<BorrowReply>> {
        let leadership = self.request(StateRequest::Leadership).await?.body;
        let Borrow { account, units, lender } = request.body;
        let lent = match lender {
            Lender::Leader if leadership.since.is_none() => {
                let leader = leadership.leader;
                return Ok(self.envelope(BorrowReply::Unavailable(Unavailable::NotLeader { leader })));
            }
            Lender::Leader => self.registry.lend(leadership.term, &account, units, self.clock.now()),
            Lender::Node => {
                let (quota, entries) = self.quota(&account).await?;
                let now = self.clock.now();
                quota.is_some_and(|quota| {
                    let account = (account.as_str(), &quota);
                    self.registry.lend_own(account, &leadership, entries, units, now)
                })
            }
        };
        Ok(self.envelope(if lent { BorrowReply::Lent } else { BorrowReply::Over }))
    }

    async fn take_slot(&self, request: Envelope<TakeSlot>) -> RpcResult<Envelope<TakeSlotReply>> {
        let leadership = self.request(StateRequest::Leadership).await?.body;
        if leadership.since.is_none() {
            let leader = leadership.leader;
            return Ok(self.envelope(TakeSlotReply::Unavailable(Unavailable::NotLeader { leader })));
        }
        let now = self.clock.now();
        let lease = self
            .registry
            .take_slot(leadership.term, &request.from, &request.body, now);
        Ok(self.envelope(lease.map_or(TakeSlotReply::Full, TakeSlotReply::Leased)))
    }

    async fn tell_origins(&self, request: Envelope<TellOrigins>) -> RpcResult<Envelope<ToldOrigins>> {
        Ok(self.envelope(self.origins.record(&request.body, self.clock.now())))
    }

    async fn ask_origin(&self, request: Envelope<AskOrigin>) -> RpcResult<Envelope<KnownOrigin>> {
        let mut known = self.origins.find(&request.body, self.clock.now());
        if let Some(service) = request.body.service.filter(|_| known.origin.is_none()) {
            // A node that can't tell the versions may still know the stream.
            let seen = self.request(|reply| StateRequest::Versions(service, reply));
            if let Ok(Ok(Envelope { body: seen, .. })) = timeout(VERSIONS_TIMEOUT, seen).await {
                known.versions = seen.versions;
                known.age_ms = Some(seen.age.as_millis() as u64);
            }
        }
        Ok(self.envelope(known))
    }

    async fn report_crashes(&self, request: Envelope<ReportCrashes>) -> RpcResult<Envelope<ReportReply>> {
        let leadership = self.request(StateRequest::Leadership).await?.body;
        if leadership.since.is_none() {
            let leader = leadership.leader;
            return Ok(self.envelope(ReportReply::Unavailable(Unavailable::NotLeader { leader })));
        }
        let report = (&request.from, &request.body);
        let now = self.clock.now();
        let recorded = self.registry.report_crashes(leadership.term, report, &self.logger, now);
        if matches!(recorded, Some((_, true))) {
            self.wait_quarantine_known(&request.from).await;
        }
        let counts = recorded.map(|(counts, _)| counts);
        Ok(self.envelope(counts.map_or_else(|| ReportReply::Unavailable(new_leader()), ReportReply::Counted)))
    }

    async fn try_parts(&self, request: Envelope<TryParts>) -> RpcResult<Envelope<TryReply>> {
        let leadership = self.request(StateRequest::Leadership).await?.body;
        let unavailable = if leadership.since.is_none() {
            let leader = leadership.leader;
            Unavailable::NotLeader { leader }
        } else {
            let asked = (&request.from, &request.body);
            let now = self.clock.now();
            if let Some(reply) = self.registry.try_parts(leadership.term, asked, &self.logger, now) {
                return Ok(self.envelope(reply));
            }
            new_leader()
        };
        Ok(self.envelope(TryReply::Unavailable(unavailable)))
    }

    async fn watch_quarantine(&self, request: Envelope<WatchQuarantine>) -> RpcResult<Envelope<QuarantineReply>> {
        let leadership = self.request(StateRequest::Leadership).await?.body;
        if leadership.since.is_none() {
            let leader = leadership.leader;
            return Ok(self.envelope(QuarantineReply::Unavailable(Unavailable::NotLeader { leader })));
        }
        let wait = Duration::from_millis(request.body.wait_ms).min(MAX_QUARANTINE_WAIT);
        let until = Instant::now() + wait;
        self.registry
            .record_follower(&request.from, request.body.mark, self.clock.now());
        let mut changes = self.registry.quarantine_changes();
        loop {
            // Hosts replace what they know by the news: a node that leads no more, or has not heard of hosts yet, has none.
            let Some(news) = self.registry.quarantine(leadership.term, self.clock.now()) else {
                return Ok(self.envelope(QuarantineReply::Unavailable(new_leader())));
            };
            let is_new = news.mark != request.body.mark;
            // The sender lives as long as the registry, so that only a change or the end of the wait ends this.
            if is_new || timeout_at(until, changes.changed()).await.is_err() {
                return Ok(self.envelope(QuarantineReply::News(news)));
            }
        }
    }

    async fn release_slots(&self, request: Envelope<ReleaseSlots>) -> RpcResult<()> {
        let now = self.clock.now();
        self.registry.release_slots(&request.from, &request.body.released, now);
        Ok(())
    }
}

#[async_trait]
impl RaftRpcServer for Rpc {
    async fn deliver(&self, batch: Envelope<Packet>) -> RpcResult<()> {
        let delivery: PeerBatch = postcard::from_bytes(&batch.body.messages).map_err(|error| {
            ErrorObjectOwned::owned(
                UNREADABLE_CODE,
                format!("messages of {}: {error}", batch.from),
                None::<()>,
            )
        })?;
        if self.requests.try_send(StateRequest::Deliver(delivery)).is_err() {
            counter!("gentian_state_messages_dropped_total").increment(1);
        }
        Ok(())
    }
}

/// Returns why a leader does not answer that no entry host has called yet.
fn new_leader() -> Unavailable {
    Unavailable::NoQuorum {
        reason: "a new leader has not heard of the entry hosts".to_owned(),
    }
}

fn stopping_error() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STOPPING_CODE, "the node is stopping or overloaded", None::<()>)
}
