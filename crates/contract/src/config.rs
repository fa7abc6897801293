//! The configuration that the replicated log produces, and the changes that it is made of.

use std::collections::{BTreeMap, HashSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ChangeId, Contract, CustomerId, HostId, HostRule, KeyHash, Problems, Revision, UpstreamId, UpstreamSpec};

/// Contracts and upstreams at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The newest change that is contained.
    pub revision: Revision,
    /// Contracts by customer.
    pub contracts: BTreeMap<CustomerId, Contract>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
    /// What operators have said about capacity, by [`HostRule::key`].
    #[serde(default)]
    pub rules: BTreeMap<String, HostRule>,
    /// Hosts that operators drain, with their incarnation.
    #[serde(default)]
    pub drains: BTreeMap<HostId, u64>,
}

/// One change of the configuration.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a contract.
    #[display("put contract {}", _0.customer)]
    PutContract(Contract),
    /// Ends a contract.
    #[display("drop contract {_0}")]
    DropContract(CustomerId),
    /// Registers or replaces an upstream.
    #[display("put upstream {}", _0.id)]
    PutUpstream(UpstreamSpec),
    /// Removes an upstream.
    #[display("drop upstream {_0}")]
    DropUpstream(UpstreamId),
    /// Says how many hosts of a class a model has in a zone.
    #[display("put rule {}", _0.key())]
    PutRule(HostRule),
    /// Leaves that to the plan again.
    #[display("drop rule {_0}")]
    DropRule(String),
    /// Drains a host; that can't be taken back, since the host may be gone already.
    #[display("drain host {host}")]
    DrainHost {
        /// The host.
        host: HostId,
        /// Which host of that name.
        incarnation: u64,
    },
    /// Forgets the drain of a host that is gone.
    #[display("forget drain of host {_0}")]
    ForgetDrain(HostId),
}

/// A change that was accepted, with who made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Its position.
    pub revision: Revision,
    /// The id that the operator gave it.
    pub id: ChangeId,
    /// The operator.
    pub operator: String,
    /// What changed.
    pub change: Change,
}

impl Change {
    /// Checks the content of the change.
    ///
    /// # Errors
    /// Returns the fields that failed validation.
    pub fn validate(&self) -> Result<(), Problems> {
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
    /// Checks a change by itself and against what is in force.
    ///
    /// A key that two customers' accounts had would let one call in the other's name, and be charged for it.
    ///
    /// # Errors
    /// Returns the fields that failed validation.
    pub fn check(&self, change: &Change) -> Result<(), Problems> {
        change.validate()?;
        let Change::PutContract(contract) = change else {
            return Ok(());
        };
        let others = self
            .contracts
            .values()
            .filter(|other| other.customer != contract.customer);
        let taken: HashSet<&KeyHash> = others
            .flat_map(|other| other.accounts.iter().map(|account| &account.key_hash))
            .collect();
        let mut problems = Problems::default();
        for (at, account) in contract.accounts.iter().enumerate() {
            problems.check(
                !taken.contains(&account.key_hash),
                &format!("accounts[{at}].key_hash"),
                &"***",
                "a key that no other customer's account has",
            );
        }
        problems.into_result()
    }

    /// Applies the next change and moves the revision to it.
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
