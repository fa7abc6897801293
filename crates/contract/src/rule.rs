//! What operators say about capacity; it goes before the plan.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{MachineClass, ModelName, Problems, Zone};

/// Most hosts in one rule.
const MAX_HOSTS: u32 = 10_000;

/// How many hosts of a class a model has in a zone.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{}: {least} to {most}", self.key())]
#[serde(deny_unknown_fields)]
pub struct HostRule {
    /// The model.
    pub model: ModelName,
    /// The zone.
    pub zone: Zone,
    /// Whether the hosts can be reclaimed.
    pub class: MachineClass,
    /// Hosts that are held at least.
    pub least: u32,
    /// Hosts that are held at most.
    pub most: u32,
}

impl HostRule {
    /// Gives the name under which the rule is kept.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}/{}/{}", self.model, self.zone, self.class)
    }

    /// Checks every field and reports all problems together.
    ///
    /// # Errors
    /// Returns the fields that are empty or out of range.
    pub fn validate(&self) -> Result<(), Problems> {
        const NAME: &str = "a name of letters, digits and -_.:/";
        let mut problems = Problems::default();
        problems.check(self.model.is_valid(), "model", &self.model, NAME);
        problems.check(self.zone.is_valid(), "zone", &self.zone, NAME);
        problems.check(self.most <= MAX_HOSTS, "most", &self.most, "0 to 10000");
        problems.check(self.least <= self.most, "least", &self.least, "no more than most");
        problems.into_result()
    }
}
