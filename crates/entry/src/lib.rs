//! The entry: callers' HTTP, admission, routing, attempts and streams.

pub mod admission;
pub mod attempt;
pub mod burn;
pub mod callers;
pub mod claims;
pub mod cli;
pub mod current;
pub mod drain;
pub mod entry;
pub mod exchange;
pub mod fleet;
pub mod hosts;
pub mod journal;
pub mod ops;
pub mod peers;
pub mod rescue;
pub mod rpc;
pub mod settings;

pub use entry::Entry;
