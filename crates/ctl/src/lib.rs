//! `gentianctl`, the command line tool of operators.

pub mod admin;
pub mod burn;
pub mod capacity;
pub mod chart;
pub mod cli;
pub mod contracts;
pub mod diff;
pub mod entries;
pub mod exit;
pub mod host;
pub mod keys;
pub mod logs;
pub mod losses;
pub mod requests;
pub mod state;
pub mod status;
pub mod trace;
pub mod upstreams;
