//! Descriptions of engines and services and of the hosts that carry them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{DataCenter, HostId, ModelName, Problems, ServiceName, UpstreamId, Zone};

/// An engine or service that requests can be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Its name, unique over all upstreams.
    pub id: UpstreamId,
    /// Engine or service, and what it serves.
    pub kind: UpstreamKind,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// The host that it runs on.
    pub host: HostSpec,
    /// Requests that it runs at the same time without slowing down beyond its targets.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// The host under an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSpec {
    /// Its name in the cloud.
    pub id: HostId,
    /// Counts the hosts that have had this name; a host that comes back is a new one.
    #[serde(default)]
    pub incarnation: u64,
    /// The zone that it is reclaimed with.
    pub zone: Zone,
    /// The data centre that it stands in.
    pub data_center: DataCenter,
    /// Whether the cloud may take it back.
    pub class: MachineClass,
    /// Price in micro-dollars an hour.
    pub price: u64,
}

/// Whether the cloud may take a host back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineClass {
    /// Cheap, and taken back with seconds of notice.
    #[display("reclaimable")]
    Reclaimable,
    /// Dear, and kept until it is given back.
    #[display("on_demand")]
    OnDemand,
}

/// Engine or service, and what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// The model that is loaded.
        model: ModelName,
        /// Whether it refuses an order that carries an old fencing token.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The name in `/services/NAME/…`.
        service: ServiceName,
        /// Whether it can tell the outcome of an earlier call by idempotency key.
        tells_outcome: bool,
    },
}

impl UpstreamSpec {
    /// Checks every field and reports all problems together.
    ///
    /// # Errors
    /// Returns the fields that are empty or out of range.
    pub fn validate(&self) -> Result<(), Problems> {
        const NAME: &str = "a name of letters, digits and -_.:/";
        let mut problems = Problems::default();
        problems.check(self.id.is_valid(), "id", &self.id, NAME);
        problems.check(self.host.id.is_valid(), "host.id", &self.host.id, NAME);
        problems.check(self.host.zone.is_valid(), "host.zone", &self.host.zone, NAME);
        problems.check(
            self.host.data_center.is_valid(),
            "host.data_center",
            &self.host.data_center,
            NAME,
        );
        problems.check((1..=100_000).contains(&self.slots), "slots", &self.slots, "1 to 100000");
        problems.check(
            self.address.port() != 0,
            "address",
            &self.address,
            "an IP number and a port above 0",
        );
        match &self.kind {
            UpstreamKind::Engine { model, .. } => problems.check(model.is_valid(), "kind.engine.model", model, NAME),
            UpstreamKind::Service { service, .. } => {
                problems.check(service.is_valid(), "kind.service.service", service, NAME);
            }
        }
        problems.into_result()
    }

    /// Tells whether it serves a model.
    #[must_use]
    pub fn serves_model(&self, name: &str) -> bool {
        matches!(&self.kind, UpstreamKind::Engine { model, .. } if model.as_str() == name)
    }

    /// Tells whether it is a service of that name.
    #[must_use]
    pub fn serves_service(&self, name: &str) -> bool {
        matches!(&self.kind, UpstreamKind::Service { service, .. } if service.as_str() == name)
    }
}

const fn default_slots() -> u32 {
    16
}
