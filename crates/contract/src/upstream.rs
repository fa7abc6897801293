//! Descriptions of engines and services and of the hosts that they run on.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{DataCenter, HostId, ModelName, ServiceName, UpstreamId, ValidationErrors, Zone};

/// An engine or service that requests can be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name, unique over all upstreams.
    pub id: UpstreamId,
    /// Whether it is an engine or a service, and what it serves.
    pub kind: UpstreamKind,
    /// Address of the HTTP interface.
    pub address: SocketAddr,
    /// Host that it runs on.
    pub host: HostSpec,
    /// Requests that it can run concurrently within its latency targets; 1 to 100000.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// The host that an upstream runs on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSpec {
    /// Name that the cloud gave the host.
    pub id: HostId,
    /// Number of the host among all that have had this name; a host that reappears under a name counts as new.
    #[serde(default)]
    pub incarnation: u64,
    /// Zone of the host; the cloud reclaims the hosts of a zone together.
    pub zone: Zone,
    /// Data centre of the host.
    pub data_center: DataCenter,
    /// Whether the cloud may reclaim the host.
    pub class: HostClass,
    /// Price in micro-dollars per hour.
    pub price: u64,
}

/// Whether the cloud may reclaim a host.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostClass {
    /// Cheap (spot); the cloud reclaims it with seconds of notice.
    #[display("reclaimable")]
    Reclaimable,
    /// Expensive; kept until it is stopped by its user.
    #[display("on_demand")]
    OnDemand,
}

/// Engine or service, and what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Model that the engine has loaded.
        model: ModelName,
        /// Whether the engine rejects orders with an outdated fencing token.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Name in `/services/NAME/…`.
        service: ServiceName,
        /// Whether the service can report the outcome of an earlier call by its idempotency key.
        tells_outcome: bool,
    },
}

impl UpstreamSpec {
    /// Checks every field and collects all errors.
    ///
    /// # Errors
    /// Returns the fields that are empty or out of range.
    pub fn validate(&self) -> Result<(), ValidationErrors> {
        const FORM: &str = "a name of letters, digits and -_.:/";
        let mut problems = ValidationErrors::default();
        problems.check(self.id.is_valid(), "id", &self.id, FORM);
        problems.check(self.host.id.is_valid(), "host.id", &self.host.id, FORM);
        problems.check(self.host.zone.is_valid(), "host.zone", &self.host.zone, FORM);
        problems.check(
            self.host.data_center.is_valid(),
            "host.data_center",
            &self.host.data_center,
            FORM,
        );
        problems.check((1..=100_000).contains(&self.slots), "slots", &self.slots, "1 to 100000");
        problems.check(
            self.address.port() != 0,
            "address",
            &self.address,
            "an IP number and a port above 0",
        );
        match &self.kind {
            UpstreamKind::Engine { model, .. } => problems.check(model.is_valid(), "kind.engine.model", model, FORM),
            UpstreamKind::Service { service, .. } => {
                problems.check(service.is_valid(), "kind.service.service", service, FORM);
            }
        }
        problems.into_result()
    }

    /// Returns whether this is an engine with the given model.
    #[must_use]
    pub fn serves_model(&self, name: &str) -> bool {
        matches!(&self.kind, UpstreamKind::Engine { model, .. } if model.as_str() == name)
    }

    /// Returns whether this is the service of the given name.
    #[must_use]
    pub fn serves_service(&self, name: &str) -> bool {
        matches!(&self.kind, UpstreamKind::Service { service, .. } if service.as_str() == name)
    }
}

const fn default_slots() -> u32 {
    16
}
