//! Capacity: watches the cloud API, tells entry hosts about hosts that leave, and keeps the hosts that contracts need.
//!
//! Any number of these processes may run. All of them tell entry hosts about notices; only the one that holds the lease
//! starts and stops hosts and gives orders to engines.

pub mod api;
pub mod cli;
pub mod control;
pub mod follow;
pub mod lease;
pub mod orders;
pub mod settings;
pub mod watch;
pub mod world;
