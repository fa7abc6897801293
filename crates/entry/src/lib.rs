//! The gateway process of the system: the HTTP server for callers, admission control, routing, and attempts at engines
//! and services.

pub mod active_config;
pub mod admission;
pub mod attempt;
pub mod burn;
pub mod callers;
pub mod claims;
pub mod cli;
pub mod drain;
pub mod entry;
pub mod exchange;
pub mod hosts;
pub mod journal;
pub mod ops;
pub mod peers;
pub mod rescue;
pub mod rpc;
pub mod settings;
pub mod upstreams;

pub use entry::EntryHost;
