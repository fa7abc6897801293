//! The replicated state machine: its state is a deterministic function of the log entries.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use contract::{
    Catalog, Change, ChangeId, ChangeRecord, Config, CustomerId, KeyHash, NodeId, RequestId, Revision, Rollout,
    RolloutOrder, RolloutState, ServiceName,
};
use derive_more::{Display, FromStr};
use policy::rollout::{Admission, admit};
use serde::{Deserialize, Serialize};
use wire::catalog::{Document, Fetched, Publish, Published, Upload, Uploaded};
use wire::rollout::{RolloutCall, RolloutReply};
use wire::state::{Claim, Claimed, Lease, Leased, Outcome, Propose, Proposed, Settle, Settled, Watched};

use crate::uploads::{AddedPiece, Uploads};
use crate::versions::{ListedVersions, SeenVersions};

/// Configuration changes that are kept for followers of the configuration; one that lacks older ones gets all of it.
const KEPT_RECORDS: usize = 256;
/// Most changes in the audit trail; older ones are dropped.
pub const KEPT_AUDITS: usize = 4_096;
/// Usage windows that are kept; many times those that may still have to be reported.
const KEPT_WINDOWS: usize = 64;
/// How long a claim and its outcome are kept, in milliseconds of log time; after that its key may be used again.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long the answer to a change is kept for retries, in milliseconds of log time.
pub const CHANGE_RETENTION_MS: u64 = 7 * CLAIM_RETENTION_MS;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Log time in milliseconds, set by the leader; it never goes back.
    pub at_ms: u64,
    /// The leader's wall clock in milliseconds since 1970; used only in the audit trail.
    pub wall_ms: u64,
    /// Command to apply.
    pub command: Command,
}

/// Command of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes one item of the configuration.
    Propose(Propose),
    /// Claims a call under its idempotency key.
    Claim(Claim),
    /// Records the outcome of a claimed call.
    Settle(Settle),
    /// Acquires, renews or releases a lease.
    Lease(Lease),
    /// Adds, changes or removes an operator.
    Operator(PutOperator),
    /// Publishes a catalog.
    Publish(Publish),
    /// Reads the newest document. Only a committed read proves that no newer document exists elsewhere.
    Fetch,
    /// Fixes the usage of a window before it is reported.
    Usage(WindowUsage),
    /// Stores the number of entry hosts that share quotas, for the next leader.
    Sharers(u32),
    /// Adds a piece to the upload of a large publication.
    Upload(Upload),
    /// Orders, reads or ends a rollout.
    Rollout(RolloutCall),
    /// Records which versions of services are listed.
    Versions(ListedVersions),
}

/// Request counts of one usage window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// Number of the window: the wall clock divided by its length.
    pub window: u64,
    /// Requests that began in the window, by client account.
    pub counts: BTreeMap<String, u64>,
}

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Read everything.
    #[display("view")]
    View,
    /// Read everything and change contracts.
    #[display("contract")]
    Contract,
    /// Read everything and change upstreams.
    #[display("capacity")]
    Capacity,
}

/// An operator of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Permissions of the operator.
    pub role: Role,
    /// Hash of the operator's bearer key.
    pub key_hash: KeyHash,
}

/// Adds, changes or removes an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutOperator {
    /// Id of the change; a retry with the same id gets the first answer.
    pub id: ChangeId,
    /// Name of the operator who makes the change.
    pub by: String,
    /// Name of the operator who is changed.
    pub name: String,
    /// New role and key; `None` removes the operator.
    pub operator: Option<Operator>,
}

/// Result of applying a log entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Result of [`Command::Propose`] and [`Command::Operator`].
    Proposed(Proposed),
    /// Result of [`Command::Claim`].
    Claimed(Claimed),
    /// Result of [`Command::Settle`].
    Settled(Settled),
    /// Result of [`Command::Lease`].
    Leased(Leased),
    /// Result of [`Command::Publish`].
    Published(Published),
    /// Result of [`Command::Upload`].
    Uploaded(Uploaded),
    /// Result of [`Command::Fetch`].
    Fetched(Fetched),
    /// Result of [`Command::Usage`]: the counts to report.
    Usage(WindowUsage),
    /// Result of [`Command::Sharers`] and [`Command::Versions`].
    Stored,
    /// Result of [`Command::Rollout`].
    RolloutReply(RolloutReply),
}

/// An entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// Revision of the configuration after the change.
    pub revision: Revision,
    /// Id of the change.
    pub id: ChangeId,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Description of the change.
    pub change: String,
    /// The leader's wall clock in milliseconds since 1970.
    pub wall_ms: u64,
}

/// State after the log entries applied so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedState {
    /// Index of the newest applied entry.
    pub index: u64,
    /// Log time of that entry, in milliseconds.
    pub at_ms: u64,
    /// Contracts and upstreams.
    pub config: Config,
    /// The newest changes of the configuration, for hosts that follow it.
    pub records: VecDeque<ChangeRecord>,
    /// Operators by name.
    pub operators: BTreeMap<String, Operator>,
    /// Audit trail, oldest first.
    pub audits: VecDeque<Audit>,
    /// The newest published document with its catalog; `None` before the first.
    pub published: Option<Arc<Publish>>,
    /// Unfinished uploads.
    pub uploads: Uploads,
    /// Number of entry hosts that share quotas, as stored by the last leader.
    pub sharers: u32,
    /// Request counts of the newest usage windows, as they were or will be reported.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Answers to changes, for retries.
    answered: BTreeMap<ChangeId, Proposed>,
    answered_at: VecDeque<(u64, ChangeId)>,
    /// Revision of the last change of each item.
    touched: BTreeMap<String, Revision>,
    claims: BTreeMap<ClaimKey, StoredClaim>,
    claimed_at: VecDeque<(u64, ClaimKey)>,
    leases: BTreeMap<String, StoredLease>,
    /// The newest rollout of each service. Snapshots hold it after all other fields.
    #[serde(skip)]
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// Versions of services that were listed lately. Snapshots hold them after the rollouts.
    #[serde(skip)]
    pub versions: SeenVersions,
}

type ClaimKey = (CustomerId, String);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredClaim {
    digest: String,
    request: RequestId,
    outcome: Option<Outcome>,
    at_ms: u64,
    /// Log time until which the holder may send the call.
    until_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredLease {
    holder: NodeId,
    token: u64,
    until_ms: u64,
}

impl AppliedState {
    /// Applies the entry at an index of the log; skipped indexes held no entries.
    pub fn apply_at(&mut self, index: u64, entry: &LogEntry) -> Reply {
        self.index = index.saturating_sub(1);
        self.apply(entry)
    }

    /// Applies the entry at the next index.
    pub fn apply(&mut self, entry: &LogEntry) -> Reply {
        self.index += 1;
        self.at_ms = self.at_ms.max(entry.at_ms);
        self.expire();
        match &entry.command {
            Command::Propose(ask) => Reply::Proposed(self.propose(ask, entry.wall_ms)),
            Command::Operator(ask) => Reply::Proposed(self.put_operator(ask, entry.wall_ms)),
            Command::Claim(ask) => Reply::Claimed(self.claim(ask)),
            Command::Settle(ask) => Reply::Settled(self.settle(ask)),
            Command::Lease(ask) => Reply::Leased(self.lease(ask)),
            Command::Publish(ask) => Reply::Published(self.publish(ask)),
            Command::Usage(ask) => Reply::Usage(self.store_usage(ask)),
            Command::Sharers(count) => {
                self.sharers = *count;
                Reply::Stored
            }
            Command::Upload(piece) => Reply::Uploaded(self.upload(piece)),
            Command::Rollout(call) => Reply::RolloutReply(self.rollout(call)),
            Command::Versions(listed) => {
                self.versions.record(listed, self.at_ms);
                Reply::Stored
            }
            Command::Fetch => Reply::Fetched(Fetched::Document(self.newest_document())),
        }
    }

    /// Returns the changes after a revision for a host that follows the configuration, or the whole configuration if
    /// these changes are not kept any more.
    #[must_use]
    pub fn since(&self, after: Revision, age_ms: u64) -> Watched {
        let known = self
            .records
            .front()
            .is_some_and(|first| first.revision.0 <= after.0 + 1);
        if after >= self.config.revision {
            return Watched {
                snapshot: None,
                records: Vec::new(),
                age_ms,
            };
        }
        if !known {
            return Watched {
                snapshot: Some(self.config.clone()),
                records: Vec::new(),
                age_ms,
            };
        }
        let records = self
            .records
            .iter()
            .filter(|record| record.revision > after)
            .cloned()
            .collect();
        Watched {
            snapshot: None,
            records,
            age_ms,
        }
    }

    /// Returns the newest catalog; `None` before the first publication.
    #[must_use]
    pub fn catalog(&self) -> Option<&Catalog> {
        self.published.as_ref().map(|published| &published.catalog)
    }

    /// Puts a document in force unless one of the same or a higher version is in force. A late publication is accepted
    /// all the same, since a retry must never be refused.
    fn publish(&mut self, ask: &Publish) -> Published {
        let current = self.catalog().map_or(0, |catalog| catalog.version);
        let changed = self.published.is_none() || ask.catalog.version > current;
        if changed {
            self.published = Some(Arc::new(ask.clone()));
        }
        Published::Accepted {
            version: if changed { ask.catalog.version } else { current },
            changed,
        }
    }

    fn upload(&mut self, piece: &Upload) -> Uploaded {
        match self.uploads.add(piece, self.at_ms) {
            AddedPiece::Held(bytes) => Uploaded::Held(bytes),
            AddedPiece::Complete(bytes) => match postcard::from_bytes(&bytes) {
                Ok(ask) => Uploaded::Published(self.publish(&ask)),
                Err(error) => Uploaded::Unreadable(error.to_string()),
            },
        }
    }

    /// Stores the first counts of a window and returns them from then on: all reports of a window must be equal,
    /// whichever leader sends them.
    fn store_usage(&mut self, ask: &WindowUsage) -> WindowUsage {
        let counts = self
            .usage
            .entry(ask.window)
            .or_insert_with(|| ask.counts.clone())
            .clone();
        while self.usage.len() > KEPT_WINDOWS {
            self.usage.pop_first();
        }
        WindowUsage {
            window: ask.window,
            counts,
        }
    }

    fn rollout(&mut self, call: &RolloutCall) -> RolloutReply {
        match call {
            RolloutCall::Start { order, repeat_ms } => self.start_rollout(order, *repeat_ms),
            RolloutCall::Read(service) => RolloutReply::Known(self.rollouts.get(service).cloned()),
            RolloutCall::End { service, id, state } => {
                let known = self.rollouts.get_mut(service);
                if let Some(rollout) = known
                    && rollout.id == *id
                    && rollout.state == RolloutState::Running
                {
                    rollout.state = *state;
                    rollout.ended_ms = Some(self.at_ms);
                }
                RolloutReply::Known(self.rollouts.get(service).cloned())
            }
        }
    }

    fn start_rollout(&mut self, order: &RolloutOrder, repeat_ms: u64) -> RolloutReply {
        let known = self.rollouts.get(&order.service);
        match admit(known, order, Duration::from_millis(repeat_ms), self.at_ms) {
            Admission::Repeated => return RolloutReply::Known(known.cloned()),
            Admission::Busy(running) => return RolloutReply::Busy(running.clone()),
            Admission::New => {}
        }
        let mut services = self.catalog().into_iter().flat_map(|catalog| &catalog.services);
        if !services.any(|service| service.name == order.service) {
            return RolloutReply::UnknownService;
        }
        let rollout = Rollout {
            order: order.clone(),
            id: self.index,
            state: RolloutState::Running,
            started_ms: self.at_ms,
            ended_ms: None,
        };
        self.rollouts.insert(order.service.clone(), rollout.clone());
        RolloutReply::Known(Some(rollout))
    }

    /// Returns whether a rollout of a service runs.
    #[must_use]
    pub fn is_rolling_out(&self, service: &ServiceName) -> bool {
        let known = self.rollouts.get(service);
        known.is_some_and(|rollout| rollout.state == RolloutState::Running)
    }

    fn newest_document(&self) -> Option<Document> {
        self.published.as_ref().map(|published| Document {
            version: published.catalog.version,
            bytes: published.document.clone(),
        })
    }

    /// Returns the number of claims that are kept.
    #[must_use]
    pub fn claim_count(&self) -> u64 {
        self.claims.len() as u64
    }

    fn propose(&mut self, ask: &Propose, wall_ms: u64) -> Proposed {
        // The answer to a change may be lost; a retry must neither apply the change twice nor conflict with it.
        if let Some(first) = self.answered.get(&ask.id) {
            return first.clone();
        }
        let item = item_of(&ask.change);
        let touched = self.touched.get(&item).copied().unwrap_or_default();
        let answer = match self.config.check(&ask.change) {
            Err(problems) => Proposed::Invalid(problems.to_string()),
            Ok(()) if ask.base.is_some_and(|base| base < touched) => Proposed::Conflict(touched),
            Ok(()) => self.accept_change(ask, item, wall_ms),
        };
        self.store_answer(&ask.id, &answer);
        answer
    }

    /// Applies a valid change under the next revision.
    fn accept_change(&mut self, ask: &Propose, item: String, wall_ms: u64) -> Proposed {
        let revision = self.config.revision.next();
        let record = ChangeRecord {
            revision,
            id: ask.id.clone(),
            operator: ask.operator.clone(),
            change: ask.change.clone(),
        };
        self.config.apply(&record);
        self.records.push_back(record);
        if self.records.len() > KEPT_RECORDS {
            self.records.pop_front();
        }
        self.touched.insert(item, revision);
        self.add_audit(&ask.id, &ask.operator, ask.change.to_string(), wall_ms);
        Proposed::Accepted(revision)
    }

    fn put_operator(&mut self, ask: &PutOperator, wall_ms: u64) -> Proposed {
        if let Some(first) = self.answered.get(&ask.id) {
            return first.clone();
        }
        let change = if let Some(operator) = &ask.operator {
            self.operators.insert(ask.name.clone(), operator.clone());
            format!("put operator {} as {}", ask.name, operator.role)
        } else {
            self.operators.remove(&ask.name);
            format!("drop operator {}", ask.name)
        };
        self.add_audit(&ask.id, &ask.by, change, wall_ms);
        let answer = Proposed::Accepted(self.config.revision);
        self.store_answer(&ask.id, &answer);
        answer
    }

    fn add_audit(&mut self, id: &ChangeId, operator: &str, change: String, wall_ms: u64) {
        self.audits.push_back(Audit {
            revision: self.config.revision,
            id: id.clone(),
            operator: operator.to_owned(),
            change,
            wall_ms,
        });
        if self.audits.len() > KEPT_AUDITS {
            self.audits.pop_front();
        }
    }

    fn store_answer(&mut self, id: &ChangeId, answer: &Proposed) {
        self.answered.insert(id.clone(), answer.clone());
        self.answered_at.push_back((self.at_ms, id.clone()));
    }

    /// Drops answers and claims whose retention time has passed.
    fn expire(&mut self) {
        let now = self.at_ms;
        while let Some((at, id)) = self.answered_at.front()
            && at.saturating_add(CHANGE_RETENTION_MS) < now
        {
            self.answered.remove(id);
            self.answered_at.pop_front();
        }
        while let Some((at, key)) = self.claimed_at.front()
            && at.saturating_add(CLAIM_RETENTION_MS) < now
        {
            // A key that was given back may have been claimed again since.
            if self.claims.get(key).is_some_and(|held| held.at_ms == *at) {
                self.claims.remove(key);
            }
            self.claimed_at.pop_front();
        }
    }

    fn claim(&mut self, ask: &Claim) -> Claimed {
        let key = (ask.customer.clone(), ask.key.clone());
        let now = self.at_ms;
        let Some(held) = self.claims.get_mut(&key) else {
            return self.grant_claim(key, ask);
        };
        if held.outcome == Some(Outcome::NotRun) {
            // The holder gave its claim back and has told its caller so. A late copy of its claim would otherwise hold
            // the key for nobody.
            if held.request == ask.request {
                return Claimed::Done(Outcome::NotRun);
            }
            return self.grant_claim(key, ask);
        }
        if held.digest != ask.digest {
            return Claimed::Mismatch;
        }
        match &held.outcome {
            Some(outcome) => Claimed::Done(outcome.clone()),
            None if held.request == ask.request => Claimed::Granted,
            None if held.until_ms < now => {
                // The holder died or was paused. It may have sent the call, so the key is not granted again; the caller
                // learns that the outcome is unknown until the service reports it.
                held.outcome = Some(Outcome::Unknown);
                Claimed::Done(Outcome::Unknown)
            }
            None => Claimed::Running(held.request.clone()),
        }
    }

    fn grant_claim(&mut self, key: ClaimKey, ask: &Claim) -> Claimed {
        self.store_claim(key, ask.digest.clone(), &ask.request, None, ask.hold_ms);
        Claimed::Granted
    }

    fn store_claim(
        &mut self,
        key: ClaimKey,
        digest: String,
        request: &RequestId,
        outcome: Option<Outcome>,
        hold_ms: u64,
    ) {
        let held = StoredClaim {
            digest,
            request: request.clone(),
            outcome,
            at_ms: self.at_ms,
            until_ms: self.at_ms.saturating_add(hold_ms),
        };
        self.claimed_at.push_back((self.at_ms, key.clone()));
        self.claims.insert(key, held);
    }

    fn settle(&mut self, ask: &Settle) -> Settled {
        let key = (ask.customer.clone(), ask.key.clone());
        let Some(held) = self.claims.get_mut(&key) else {
            if ask.outcome == Outcome::NotRun {
                // The claim that is given back may still be in flight; it must not be granted when it arrives.
                self.store_claim(key, String::new(), &ask.request, Some(Outcome::NotRun), 0);
                return Settled::Stored;
            }
            return Settled::NotHeld;
        };
        let reported_later = held.outcome == Some(Outcome::Unknown) && matches!(ask.outcome, Outcome::Answered { .. });
        if held.request != ask.request && !reported_later {
            return Settled::NotHeld;
        }
        // A known answer is final; an unknown outcome may still be replaced by an answer that the service reports
        // later. A holder reports `NotRun` only if it has not sent the call, so it cannot follow another outcome.
        match (&held.outcome, &ask.outcome) {
            (None, _) | (Some(Outcome::Unknown), Outcome::Answered { .. }) => held.outcome = Some(ask.outcome.clone()),
            _ => {}
        }
        Settled::Stored
    }

    fn lease(&mut self, ask: &Lease) -> Leased {
        let until_ms = self.at_ms.saturating_add(ask.ttl_ms);
        let current = self
            .leases
            .get(&ask.name)
            .filter(|granted| granted.until_ms > self.at_ms);
        if let Some(granted) = current
            && granted.holder != ask.holder
        {
            return Leased::Taken {
                by: granted.holder.clone(),
            };
        }
        if ask.ttl_ms == 0 {
            self.leases.remove(&ask.name);
            return Leased::Released;
        }
        // Entry indexes only grow, so that no later holder gets a smaller token.
        let token = current.map_or(self.index, |granted| granted.token);
        self.leases.insert(
            ask.name.clone(),
            StoredLease {
                holder: ask.holder.clone(),
                token,
                until_ms,
            },
        );
        Leased::Held { token }
    }
}

/// Returns the key of the item that a change concerns; two changes of one item can conflict.
fn item_of(change: &Change) -> String {
    match change {
        Change::PutContract(contract) => format!("contract {}", contract.customer),
        Change::DropContract(customer) => format!("contract {customer}"),
        Change::PutUpstream(spec) => format!("upstream {}", spec.id),
        Change::DropUpstream(id) => format!("upstream {id}"),
        Change::PutRule(rule) => format!("rule {}", rule.key()),
        Change::DropRule(key) => format!("rule {key}"),
        Change::DrainHost { host, .. } | Change::ForgetDrain(host) => format!("drain {host}"),
    }
}
