//! The state that the log produces: a deterministic function of its entries.

use std::collections::{BTreeMap, VecDeque};

use contract::{Change, ChangeId, ChangeRecord, Config, CustomerId, NodeId, RequestId, Revision};
use serde::{Deserialize, Serialize};
use wire::state::{Claim, Claimed, Lease, Leased, Outcome, Propose, Proposed, Settle, Settled, Watched};

/// Changes that are kept for learners; one further behind gets the whole configuration.
const KEPT_RECORDS: usize = 256;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Log time in milliseconds, set by the leader; it never goes back.
    pub at_ms: u64,
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
}

/// Everything that the log has produced so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Index of the newest entry that is contained.
    pub index: u64,
    /// Log time of that entry.
    pub at_ms: u64,
    /// Contracts and upstreams.
    pub config: Config,
    /// The newest changes.
    pub records: VecDeque<ChangeRecord>,
    answered: BTreeMap<ChangeId, Proposed>,
    touched: BTreeMap<String, Revision>,
    claims: BTreeMap<(CustomerId, String), Held>,
    leases: BTreeMap<String, Granted>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Held {
    digest: String,
    request: RequestId,
    outcome: Option<Outcome>,
    at_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Granted {
    holder: NodeId,
    token: u64,
    until_ms: u64,
}

impl Applied {
    /// Applies the entry at the next index.
    pub fn apply(&mut self, entry: &Entry) -> Reply {
        self.index += 1;
        self.at_ms = self.at_ms.max(entry.at_ms);
        match &entry.command {
            Command::Propose(ask) => Reply::Proposed(self.propose(ask)),
            Command::Claim(ask) => Reply::Claimed(self.claim(ask)),
            Command::Settle(ask) => Reply::Settled(self.settle(ask)),
            Command::Lease(ask) => Reply::Leased(self.lease(ask)),
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

    /// Gives the number of claims that are kept.
    #[must_use]
    pub fn claim_count(&self) -> u64 {
        self.claims.len() as u64
    }

    fn propose(&mut self, ask: &Propose) -> Proposed {
        // The answer to a change may be lost; the operator's resend must neither apply twice nor be told of a conflict
        // with itself.
        if let Some(first) = self.answered.get(&ask.id) {
            return first.clone();
        }
        let item = item_of(&ask.change);
        let touched = self.touched.get(&item).copied().unwrap_or_default();
        let answer = match ask.change.validate() {
            Err(problems) => Proposed::Invalid(problems.to_string()),
            Ok(()) if ask.base.is_some_and(|base| base < touched) => Proposed::Conflict(touched),
            Ok(()) => self.accept(ask, item),
        };
        self.answered.insert(ask.id.clone(), answer.clone());
        answer
    }

    fn accept(&mut self, ask: &Propose, item: String) -> Proposed {
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
        Proposed::Accepted(revision)
    }

    fn claim(&mut self, ask: &Claim) -> Claimed {
        let key = (ask.customer.clone(), ask.key.clone());
        let Some(held) = self.claims.get(&key) else {
            let held = Held {
                digest: ask.digest.clone(),
                request: ask.request.clone(),
                outcome: None,
                at_ms: self.at_ms,
            };
            self.claims.insert(key, held);
            return Claimed::Granted;
        };
        if held.digest != ask.digest {
            return Claimed::Mismatch;
        }
        match &held.outcome {
            Some(outcome) => Claimed::Done(outcome.clone()),
            None if held.request == ask.request => Claimed::Granted,
            None => Claimed::Running(held.request.clone()),
        }
    }

    fn settle(&mut self, ask: &Settle) -> Settled {
        let key = (ask.customer.clone(), ask.key.clone());
        let Some(held) = self.claims.get_mut(&key) else {
            return Settled::NotHeld;
        };
        if held.request != ask.request {
            return Settled::NotHeld;
        }
        if ask.outcome == Outcome::NotRun && held.outcome.is_none() {
            self.claims.remove(&key);
            return Settled::Stored;
        }
        // A known answer is final; an unknown outcome may still be settled by what the service tells later.
        if !matches!(held.outcome, Some(Outcome::Answered { .. })) {
            held.outcome = Some(ask.outcome.clone());
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
    }
}
