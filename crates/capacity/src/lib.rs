//! Capacity: watches the cloud API and tells entry hosts about hosts that leave.

pub mod cli;
pub mod settings;
pub mod watch;
