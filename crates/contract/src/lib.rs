//! Data model that all crates share: identifiers, customer contracts, upstreams, the replicated configuration, the
//! gateway's catalog, and how settings are read and validated.

mod catalog;
mod class;
mod config;
mod customer;
mod delta;
mod error;
mod fingerprint;
mod listed;
mod name;
mod origin;
mod part_id;
mod relay;
mod rollout;
mod rule;
pub mod settings;
mod upstream;

pub use catalog::{
    CallerLimits, Catalog, ClientAccount, EngineSpec, Quota, RetryMode, Route, Scaling, Service, WeightedService,
};
pub use class::{Class, Matcher, RequestAttributes, RetrySafety, Targets};
pub use config::{Change, ChangeRecord, Config};
pub use customer::{Account, Contract, CustomerLimits, KeyHash, MAX_ACCOUNTS, MAX_CLASSES};
pub use delta::{CatalogDelta, Keyed, ListChanges, RouteKey};
pub use error::{FieldError, ValidationErrors};
pub use fingerprint::Fingerprint;
pub use listed::ListedUpstream;
pub use name::{
    AccountName, ChangeId, ClassName, CustomerId, DataCenter, HostId, ModelName, NodeId, RequestId, Revision,
    ServiceName, UpstreamId, Zone,
};
pub use origin::StreamOrigin;
pub use part_id::PartId;
pub use relay::RelayHost;
pub use rollout::{Histogram, Rollout, RolloutOrder, RolloutState, RolloutTrial, RouteTrial, TrialCounts};
pub use rule::HostRule;
pub use upstream::{HostClass, HostSpec, UpstreamKind, UpstreamSpec};
