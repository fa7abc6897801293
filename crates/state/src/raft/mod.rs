//! The project's own agreement between the state nodes, in the manner of Raft.
//!
//! [`Node`] does no input or output and has no clock: time and messages come in, messages and writes come out. That
//! makes every history repeatable, so that property tests can drive it through losses, crashes and wrong clocks.

mod change;
mod election;
mod follow;
mod lead;
mod log;
mod member;
mod message;
mod node;
mod ready;
mod timing;
mod types;

pub use change::ChangeError;
pub use member::{Member, Members};
pub use message::{Body, Message};
pub use node::{Node, NotLeading, Restored};
pub use ready::Ready;
pub use timing::Timing;
pub use types::{Hard, Index, MemberId, Payload, Position, Record, Snapshot, Term};
