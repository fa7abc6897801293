//! The state that the log produces: a deterministic function of its entries.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use contract::{Catalog, Change, ChangeId, ChangeRecord, Config, CustomerId, KeyHash, NodeId, RequestId, Revision};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use wire::catalog::{Document, Fetched, Publish, Published, Upload, Uploaded};
use wire::state::{Claim, Claimed, Lease, Leased, Outcome, Propose, Proposed, Settle, Settled, Watched};

use crate::uploads::{Added, Uploads};

/// Changes that are kept for learners; one further behind gets the whole configuration.
const KEPT_RECORDS: usize = 256;
/// Changes that the audit trail keeps; older ones are forgotten.
pub const KEPT_AUDITS: usize = 4_096;
/// Windows of usage that are kept: those that may still be reported, many times over.
const KEPT_WINDOWS: usize = 64;
/// How long a claim and its outcome are kept, in milliseconds of log time; after that the key may be used anew.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long the answer to a change is kept for resends, in milliseconds of log time.
pub const CHANGE_RETENTION_MS: u64 = 7 * CLAIM_RETENTION_MS;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Log time in milliseconds, set by the leader; it never goes back.
    pub at_ms: u64,
    /// The leader's wall clock in milliseconds since 1970; only for people who read the audit trail.
    pub wall_ms: u64,
    /// What to do.
    pub command: Command,
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Propose(Propose),
    /// Claims a call.
    Claim(Claim),
    /// Records an outcome.
    Settle(Settle),
    /// Acquires, renews or releases a lease.
    Lease(Lease),
    /// Adds, changes or removes an operator.
    Operator(PutOperator),
    /// Publishes a catalog.
    Publish(Publish),
    /// Reads the newest document; an answer shows that a majority still follows, so that no newer one exists elsewhere.
    Fetch,
    /// Fixes the usage of a window before it is reported.
    Usage(WindowUsage),
    /// Notes how many entry hosts share limits, for the next leader.
    Sharers(u32),
    /// Adds a piece to a publication.
    Upload(Upload),
}

/// The usage of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// Number of the window.
    pub window: u64,
    /// Requests that began in it, by client account.
    pub counts: BTreeMap<String, u64>,
}

/// What an operator may do.
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

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// What the operator may do.
    pub role: Role,
    /// Hash of the bearer key.
    pub key_hash: KeyHash,
}

/// A change of the operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutOperator {
    /// Id of the change.
    pub id: ChangeId,
    /// Who makes it.
    pub by: String,
    /// The operator's name.
    pub name: String,
    /// What the operator is from now on; `None` removes the operator.
    pub operator: Option<Operator>,
}

/// What an entry answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// To a proposal.
    Proposed(Proposed),
    /// To a claim.
    Claimed(Claimed),
    /// To an outcome.
    Settled(Settled),
    /// To a lease.
    Leased(Leased),
    /// To a document.
    Published(Published),
    /// To a piece of a document.
    Uploaded(Uploaded),
    /// To a read of the newest document.
    Fetched(Fetched),
    /// To the usage of a window: what is to be reported.
    Usage(WindowUsage),
    /// To what only is noted.
    Noted,
}

/// Who changed what, as operators read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// The revision that the change led to, or the newest one for other changes.
    pub revision: Revision,
    /// The change's id.
    pub id: ChangeId,
    /// The operator whose key was shown.
    pub operator: String,
    /// What changed, in words.
    pub change: String,
    /// Wall clock of the leader in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Everything that the log has produced so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedState {
    /// Index of the newest entry that is contained.
    pub index: u64,
    /// Log time of that entry.
    pub at_ms: u64,
    /// Contracts and upstreams.
    pub config: Config,
    /// The newest changes.
    pub records: VecDeque<ChangeRecord>,
    /// Operators by name.
    pub operators: BTreeMap<String, Operator>,
    /// The audit trail.
    pub audits: VecDeque<Audit>,
    /// The newest document with the catalog that it stands for.
    pub published: Option<Arc<Publish>>,
    /// Documents that have come in part.
    pub uploads: Uploads,
    /// Entry hosts that share limits, as last counted.
    pub sharers: u32,
    /// Usage of the newest windows, as it was or will be reported.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    answered: BTreeMap<ChangeId, Proposed>,
    answered_at: VecDeque<(u64, ChangeId)>,
    touched: BTreeMap<String, Revision>,
    claims: BTreeMap<Key, Held>,
    claimed_at: VecDeque<(u64, Key)>,
    leases: BTreeMap<String, Granted>,
}

type Key = (CustomerId, String);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Held {
    digest: String,
    request: RequestId,
    outcome: Option<Outcome>,
    at_ms: u64,
    /// Until when the holder may send, in log time.
    until_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Granted {
    holder: NodeId,
    token: u64,
    until_ms: u64,
}

impl AppliedState {
    /// Applies the entry at an index of the log; indexes in between held no entries.
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
            Command::Usage(ask) => Reply::Usage(self.fix_usage(ask)),
            Command::Sharers(count) => {
                self.sharers = *count;
                Reply::Noted
            }
            Command::Upload(piece) => Reply::Uploaded(self.upload(piece)),
            Command::Fetch => Reply::Fetched(Fetched::Document(self.document())),
        }
    }

    /// Gives a learner what it misses after a revision.
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

    /// Gives the newest catalog.
    #[must_use]
    pub fn catalog(&self) -> Option<&Catalog> {
        self.published.as_ref().map(|published| &published.catalog)
    }

    /// Puts a document in force unless one of the same or a higher version is; the operator who was overtaken is answered
    /// like the one who came first, since a resend must never be refused.
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
            Added::Held(bytes) => Uploaded::Held(bytes),
            Added::Complete(bytes) => match postcard::from_bytes(&bytes) {
                Ok(ask) => Uploaded::Published(self.publish(&ask)),
                Err(error) => Uploaded::Unreadable(error.to_string()),
            },
        }
    }

    /// Keeps the first counts of a window: two reports of one window must be equal, whoever sends the second.
    fn fix_usage(&mut self, ask: &WindowUsage) -> WindowUsage {
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

    fn document(&self) -> Option<Document> {
        self.published.as_ref().map(|published| Document {
            version: published.catalog.version,
            bytes: published.document.clone(),
        })
    }

    /// Gives the number of claims that are kept.
    #[must_use]
    pub fn claim_count(&self) -> u64 {
        self.claims.len() as u64
    }

    fn propose(&mut self, ask: &Propose, wall_ms: u64) -> Proposed {
        // The answer to a change may be lost; the operator's resend must neither apply twice nor be told of a conflict
        // with itself.
        if let Some(first) = self.answered.get(&ask.id) {
            return first.clone();
        }
        let item = item_of(&ask.change);
        let touched = self.touched.get(&item).copied().unwrap_or_default();
        let answer = match self.config.check(&ask.change) {
            Err(problems) => Proposed::Invalid(problems.to_string()),
            Ok(()) if ask.base.is_some_and(|base| base < touched) => Proposed::Conflict(touched),
            Ok(()) => self.accept(ask, item, wall_ms),
        };
        self.remember(&ask.id, &answer);
        answer
    }

    fn accept(&mut self, ask: &Propose, item: String, wall_ms: u64) -> Proposed {
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
        self.audit(&ask.id, &ask.operator, ask.change.to_string(), wall_ms);
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
        self.audit(&ask.id, &ask.by, change, wall_ms);
        let answer = Proposed::Accepted(self.config.revision);
        self.remember(&ask.id, &answer);
        answer
    }

    fn audit(&mut self, id: &ChangeId, operator: &str, change: String, wall_ms: u64) {
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

    fn remember(&mut self, id: &ChangeId, answer: &Proposed) {
        self.answered.insert(id.clone(), answer.clone());
        self.answered_at.push_back((self.at_ms, id.clone()));
    }

    /// Forgets what has been kept for its time.
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
            // A key that became free may have been claimed anew since.
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
            return self.grant(key, ask);
        };
        if held.outcome == Some(Outcome::NotRun) {
            // The holder gave its claim back and has told its caller so. A copy of its question that arrives late would
            // otherwise hold the key for nobody.
            if held.request == ask.request {
                return Claimed::Done(Outcome::NotRun);
            }
            return self.grant(key, ask);
        }
        if held.digest != ask.digest {
            return Claimed::Mismatch;
        }
        match &held.outcome {
            Some(outcome) => Claimed::Done(outcome.clone()),
            None if held.request == ask.request => Claimed::Granted,
            None if held.until_ms < now => {
                // The holder has died or was frozen. It may have sent the call, so the key is never granted again; the
                // caller learns that the outcome is not known, and the service is asked where it can tell.
                held.outcome = Some(Outcome::Unknown);
                Claimed::Done(Outcome::Unknown)
            }
            None => Claimed::Running(held.request.clone()),
        }
    }

    fn grant(&mut self, key: Key, ask: &Claim) -> Claimed {
        self.hold(key, ask.digest.clone(), &ask.request, None, ask.hold_ms);
        Claimed::Granted
    }

    fn hold(&mut self, key: Key, digest: String, request: &RequestId, outcome: Option<Outcome>, hold_ms: u64) {
        let held = Held {
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
                // The claim that is given back may still be on its way; it must not be granted when it arrives.
                self.hold(key, String::new(), &ask.request, Some(Outcome::NotRun), 0);
                return Settled::Stored;
            }
            return Settled::NotHeld;
        };
        let told = held.outcome == Some(Outcome::Unknown) && matches!(ask.outcome, Outcome::Answered { .. });
        if held.request != ask.request && !told {
            return Settled::NotHeld;
        }
        // A known answer is final; an unknown outcome may still be settled by what the service tells later. Only a
        // holder that has not sent anything says that the call was not run, which it can't after anything else.
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
        // The index of the entry grows for ever, so no later holder can get an older token.
        let token = current.map_or(self.index, |granted| granted.token);
        self.leases.insert(
            ask.name.clone(),
            Granted {
                holder: ask.holder.clone(),
                token,
                until_ms,
            },
        );
        Leased::Held { token }
    }
}

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
