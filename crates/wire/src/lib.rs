//! The inner protocol between gentianspring's own processes.
//!
//! What must be confirmed travels as JSON-RPC over HTTP ([`state`], [`raft`], [`entry`]); what is only a hint travels as
//! UDP datagrams ([`digest`]). Every message carries the sender's name and the newest configuration revision that it
//! has applied, so that a receiver learns at once that it is behind.

mod bytes;
pub mod catalog;
pub mod client;
pub mod digest;
pub mod entry;
mod envelope;
pub mod raft;
pub mod registry;
mod settler;
pub mod state;

pub use envelope::Envelope;
