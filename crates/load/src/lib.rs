//! Load and experiment tool.

pub mod cli;
pub mod demo;
