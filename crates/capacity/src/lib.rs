//! The capacity controller: watches the cloud API, notifies entry hosts of hosts that are being reclaimed, and keeps as
//! many hosts running as contracts need.
//!
//! Any number of these processes may run. Every one notifies entry hosts of reclaims; only the holder of the lease
//! starts and stops hosts and sends orders to engines.

pub mod api;
pub mod cli;
pub mod config_watch;
pub mod control;
pub mod inventory;
pub mod lease;
pub mod orders;
pub mod reclaim_watch;
pub mod settings;
