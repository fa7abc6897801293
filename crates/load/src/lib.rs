//! Load and experiment tool.

pub mod cli;
pub mod demo;
pub mod link;
pub mod process;
pub mod slopes;
