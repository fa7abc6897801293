//! Replicated state: contracts and upstreams, claims and outcomes, leases with fencing tokens.

pub mod admin;
pub mod applied;
pub mod cli;
pub mod core;
pub mod disk;
pub mod duties;
pub mod feed;
mod listing;
pub mod lists;
pub mod notices;
pub mod peers;
pub mod program;
pub mod raft;
pub mod registry;
pub mod rpc;
pub mod settings;
mod signs;
pub mod uploads;
