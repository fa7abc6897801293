//! Raft consensus between the state nodes, with pre-votes, leader leases, learners and snapshots.
//!
//! [`Node`] does no I/O and has no clock: time and messages are its input, messages and writes its output. Every run is
//! therefore reproducible, and property tests can drive it through message loss, crashes and clocks of different rates.

mod change;
mod election;
mod follower;
mod founding;
mod leader;
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
pub use types::{HardState, Index, MemberId, Payload, Position, Record, Snapshot, Term};
