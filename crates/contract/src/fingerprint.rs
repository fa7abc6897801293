//! Recognises a request by what its caller sent.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Hashes of a request's client account and of its content. They are the same at each try of its caller, on every host.
///
/// The account has a hash of its own, so that no account can make up content with the fingerprint of another one's
/// request.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{account:016x}-{content:016x}")]
pub struct Fingerprint {
    /// Hash of the account's name.
    pub account: u64,
    /// Hash of method, target, prompt and body.
    pub content: u64,
}
