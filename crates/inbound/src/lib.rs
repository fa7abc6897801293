//! Receives HTTP/1.1 requests within bounds that all peers of a listener share.
//!
//! [`intake`] accounts for what connections hold, and closes those that have stalled for others. [`api`] serves an API whose
//! requests and responses are held whole.

pub mod api;
pub mod body;
pub mod head;
pub mod intake;
pub mod listen;
pub mod request_reader;
mod status;

pub use status::reason_phrase;
