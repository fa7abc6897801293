//! The configuration that results from the replicated log, and the changes that the log carries.

use std::collections::{BTreeMap, HashSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    ChangeId, Contract, CustomerId, HostId, HostRule, KeyHash, Revision, UpstreamId, UpstreamSpec, ValidationErrors,
};

/// Contracts, upstreams and capacity settings at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Revision of the newest change that is applied.
    pub revision: Revision,
    /// Contracts by customer.
    pub contracts: BTreeMap<CustomerId, Contract>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
    /// Capacity rules set by operators, by [`HostRule::key`].
    #[serde(default)]
    pub rules: BTreeMap<String, HostRule>,
    /// Incarnations of the hosts that operators are draining, by host.
    #[serde(default)]
    pub drains: BTreeMap<HostId, u64>,
}

/// A change of the configuration.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a contract.
    #[display("put contract {}", _0.customer)]
    PutContract(Contract),
    /// Removes a contract.
    #[display("drop contract {_0}")]
    DropContract(CustomerId),
    /// Registers or replaces an upstream.
    #[display("put upstream {}", _0.id)]
    PutUpstream(UpstreamSpec),
    /// Removes an upstream.
    #[display("drop upstream {_0}")]
    DropUpstream(UpstreamId),
    /// Sets bounds on the hosts that a model has in a zone.
    #[display("put rule {}", _0.key())]
    PutRule(HostRule),
    /// Removes a capacity rule, so that the capacity plan alone decides again.
    #[display("drop rule {_0}")]
    DropRule(String),
    /// Drains a host; this can't be undone, since the host may be gone already.
    #[display("drain host {host}")]
    DrainHost {
        /// Name of the host.
        host: HostId,
        /// Tells the host from earlier and later hosts of the same name.
        incarnation: u64,
    },
    /// Deletes the record of a drained host that is gone.
    #[display("forget drain of host {_0}")]
    ForgetDrain(HostId),
}

/// An accepted change with its revision and origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Position of the change in the order of all changes.
    pub revision: Revision,
    /// Idempotency id that the operator chose.
    pub id: ChangeId,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Content of the change.
    pub change: Change,
}

impl Change {
    /// Checks the content of the change by itself.
    ///
    /// # Errors
    /// Returns the fields that failed validation.
    pub fn validate(&self) -> Result<(), ValidationErrors> {
        match self {
            Self::PutContract(contract) => contract.validate(),
            Self::PutUpstream(spec) => spec.validate(),
            Self::PutRule(rule) => rule.validate(),
            Self::DropContract(_)
            | Self::DropUpstream(_)
            | Self::DropRule(_)
            | Self::DrainHost { .. }
            | Self::ForgetDrain(_) => Ok(()),
        }
    }
}

impl Config {
    /// Checks a change by itself and against the current configuration.
    ///
    /// If accounts of two customers had the same key, one could call in the name of the other, who would be charged.
    ///
    /// # Errors
    /// Returns the fields that failed validation.
    pub fn check(&self, change: &Change) -> Result<(), ValidationErrors> {
        change.validate()?;
        let Change::PutContract(contract) = change else {
            return Ok(());
        };
        let others = self
            .contracts
            .values()
            .filter(|other| other.customer != contract.customer);
        let used: HashSet<&KeyHash> = others
            .flat_map(|other| other.accounts.iter().map(|account| &account.key_hash))
            .collect();
        let mut problems = ValidationErrors::default();
        for (at, account) in contract.accounts.iter().enumerate() {
            problems.check(
                !used.contains(&account.key_hash),
                &format!("accounts[{at}].key_hash"),
                &"***",
                "a key that no other customer's account has",
            );
        }
        problems.into_result()
    }

    /// Applies a change and advances the revision to that of the change.
    pub fn apply(&mut self, record: &ChangeRecord) {
        match &record.change {
            Change::PutContract(contract) => {
                self.contracts.insert(contract.customer.clone(), contract.clone());
            }
            Change::DropContract(customer) => {
                self.contracts.remove(customer);
            }
            Change::PutUpstream(spec) => {
                self.upstreams.insert(spec.id.clone(), spec.clone());
            }
            Change::DropUpstream(id) => {
                self.upstreams.remove(id);
            }
            Change::PutRule(rule) => {
                self.rules.insert(rule.key(), rule.clone());
            }
            Change::DropRule(key) => {
                self.rules.remove(key);
            }
            Change::DrainHost { host, incarnation } => {
                self.drains.insert(host.clone(), *incarnation);
            }
            Change::ForgetDrain(host) => {
                self.drains.remove(host);
            }
        }
        self.revision = record.revision;
    }
}
