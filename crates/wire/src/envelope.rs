//! What every inner message carries besides its content.

use contract::{NodeId, Revision};
use serde::{Deserialize, Serialize};

/// An inner message with its sender and the newest revision that the sender has applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sending process.
    pub from: NodeId,
    /// The newest configuration revision that the sender has applied.
    pub revision: Revision,
    /// The content.
    pub body: T,
}

impl<T> Envelope<T> {
    /// Wraps a message.
    #[must_use]
    pub fn new(from: &NodeId, revision: Revision, body: T) -> Self {
        Self {
            from: from.clone(),
            revision,
            body,
        }
    }
}
