//! Data model that all crates share: identifiers, customer contracts, upstreams, the replicated configuration, the
//! gateway's catalog, and how settings are read and validated.

mod catalog;
mod class;
mod config;
mod customer;
mod delta;
mod error;
mod listed;
mod name;
mod rule;
pub mod settings;
mod upstream;

pub use catalog::{
    CallerLimits, Catalog, ClientAccount, EngineSpec, Quota, Repeatable, Route, Scaling, Service, Share,
};
pub use class::{Class, Matcher, Repeat, Request, Targets};
pub use config::{Change, ChangeRecord, Config};
pub use customer::{Account, Contract, KeyHash, Limits, MAX_ACCOUNTS, MAX_CLASSES};
pub use delta::{Changes, Delta, Keyed, RouteKey};
pub use error::{FieldError, Problems};
pub use listed::Listed;
pub use name::{
    AccountName, ChangeId, ClassName, CustomerId, DataCenter, HostId, ModelName, NodeId, RequestId, Revision,
    ServiceName, UpstreamId, Zone,
};
pub use rule::HostRule;
pub use upstream::{HostSpec, MachineClass, UpstreamKind, UpstreamSpec};
