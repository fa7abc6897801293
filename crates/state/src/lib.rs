//! Replicated state of gentianspring on Raft: contracts and upstreams, the catalog, claims of calls and their outcomes,
//! and leases with fencing tokens.

pub mod admin;
pub mod applied;
pub mod cli;
pub mod core;
pub mod disk;
pub mod duties;
pub mod feed;
mod list_changes;
pub mod lists;
pub mod membership;
pub mod notices;
pub mod origins;
pub mod peers;
mod prefill_samples;
pub mod program;
mod quarantine;
pub mod raft;
pub mod registry;
pub mod rollouts;
pub mod rpc;
pub mod settings;
mod shared_observations;
pub mod uploads;
pub mod versions;
