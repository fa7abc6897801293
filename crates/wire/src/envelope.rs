//! The common header of all internal RPC messages.

use contract::{NodeId, Revision};
use serde::{Deserialize, Serialize};

/// An internal RPC message with its sender and the sender's configuration revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Name of the sending process.
    pub from: NodeId,
    /// Newest configuration revision that the sender has applied.
    pub revision: Revision,
    /// Content of the message.
    pub body: T,
}

impl<T> Envelope<T> {
    /// Wraps the content of a message.
    #[must_use]
    pub fn new(from: &NodeId, revision: Revision, body: T) -> Self {
        Self {
            from: from.clone(),
            revision,
            body,
        }
    }
}
