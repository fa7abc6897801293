//! The internal protocol between gentianspring's own processes.
//!
//! Messages that need a reply use JSON-RPC over HTTP ([`state`], [`catalog`], [`raft`], [`entry`]); advisory messages
//! use UDP datagrams ([`digest`]). Requests that one entry host passes on for another are plain byte streams ([`relay`]), as
//! bodies and streams would be copied and encoded in JSON-RPC. Every message carries the sender's name and the newest configuration revision that
//! the sender has applied, so that the receiver notices at once when it is behind.

mod bytes;
pub mod catalog;
pub mod client;
pub mod digest;
pub mod entry;
mod envelope;
pub mod origins;
pub mod quarantine;
pub mod raft;
pub mod registry;
pub mod relay;
pub mod rollout;
mod settler;
pub mod slots;
pub mod state;

pub use envelope::Envelope;
