//! Load generator: compares routing policies and measures the costs of the system.

pub mod cli;
pub mod compare;
pub mod demo;
pub mod link;
pub mod overhead;
pub mod report;
pub mod slopes;
pub mod table;
pub mod trial;
pub mod workload;
