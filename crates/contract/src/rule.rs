//! Capacity rules of operators, which override the capacity plan.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{HostClass, ModelName, ValidationErrors, Zone};

/// Most hosts in one rule.
const MAX_HOSTS: u32 = 10_000;

/// Bounds on the number of hosts of one class that a model has in a zone.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{}: {least} to {most}", self.key())]
#[serde(deny_unknown_fields)]
pub struct HostRule {
    /// Model that the hosts serve.
    pub model: ModelName,
    /// Zone of the hosts.
    pub zone: Zone,
    /// Whether the hosts can be reclaimed.
    pub class: HostClass,
    /// Fewest hosts; at most `most`.
    pub least: u32,
    /// Most hosts; at most 10000.
    pub most: u32,
}

impl HostRule {
    /// Returns the key under which the configuration stores the rule.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}/{}/{}", self.model, self.zone, self.class)
    }

    /// Checks every field and collects all errors.
    ///
    /// # Errors
    /// Returns the fields that are empty or out of range.
    pub fn validate(&self) -> Result<(), ValidationErrors> {
        const NAME_FORM: &str = "a name of letters, digits and -_.:/";
        let mut problems = ValidationErrors::default();
        problems.check(self.model.is_valid(), "model", &self.model, NAME_FORM);
        problems.check(self.zone.is_valid(), "zone", &self.zone, NAME_FORM);
        problems.check(self.most <= MAX_HOSTS, "most", &self.most, "0 to 10000");
        problems.check(self.least <= self.most, "least", &self.least, "no more than most");
        problems.into_result()
    }
}
