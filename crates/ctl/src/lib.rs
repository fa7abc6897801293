//! The operator's command line.

pub mod admin;
pub mod cli;
pub mod contracts;
pub mod state;
pub mod upstreams;
