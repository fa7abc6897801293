//! Claims of non-idempotent calls in the replicated state.

use std::time::{Duration, Instant};

use contract::{CustomerId, RequestId, Revision};
use sha2::{Digest, Sha256};
use wire::client::StateClient;
use wire::state::{Claim, Claimed, Outcome, Settle, Settled};

/// The agreement group that holds all claims today.
const GROUP: u32 = 0;
/// Pause between two questions for a call that is under way.
const PAUSE: Duration = Duration::from_millis(20);
/// Tries to record an outcome; after that the claim stays open and is settled by the service's own record.
const SETTLE_TRIES: u32 = 20;

/// A claim that this request holds, or why it doesn't.
#[derive(Debug)]
pub enum Verdict {
    /// The call may be sent, once.
    Granted,
    /// It ended before.
    Done(Outcome),
    /// The key was used with another body.
    Mismatch,
    /// Another request under the key is still under way.
    Running,
    /// Nothing can be claimed now; the call was not run.
    Unavailable,
}

/// Identifies a call: who makes it and under which key.
#[derive(Clone, Copy, Debug)]
pub struct Keyed<'a> {
    /// The customer.
    pub customer: &'a CustomerId,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// The request that makes it.
    pub request: &'a RequestId,
}

/// Gives the digest that tells whether two calls under one key are the same.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    format!("{:x}", hash.finalize())
}

/// Claims a call, waiting for an earlier one under the same key.
pub fn claim(state: &StateClient, revision: Revision, call: &Keyed<'_>, digest: &str, until: Instant) -> Verdict {
    let ask = Claim {
        group: GROUP,
        customer: call.customer.clone(),
        key: call.key.to_owned(),
        digest: digest.to_owned(),
        request: call.request.clone(),
        hold_ms: until.saturating_duration_since(Instant::now()).as_millis() as u64,
    };
    loop {
        match state.claim(revision, &ask) {
            Ok(Claimed::Granted) => return Verdict::Granted,
            Ok(Claimed::Done(outcome)) => return Verdict::Done(outcome),
            Ok(Claimed::Mismatch) => return Verdict::Mismatch,
            Ok(Claimed::Running(_)) if Instant::now() < until => std::thread::sleep(PAUSE),
            Ok(Claimed::Running(_)) => return Verdict::Running,
            Ok(Claimed::Unavailable(_)) | Err(_) => return Verdict::Unavailable,
        }
    }
}

/// Records an outcome, trying again while the state group has no leader.
///
/// Returns whether it is recorded.
pub fn settle(state: &StateClient, revision: Revision, call: &Keyed<'_>, outcome: &Outcome) -> bool {
    let ask = Settle {
        group: GROUP,
        customer: call.customer.clone(),
        key: call.key.to_owned(),
        request: call.request.clone(),
        outcome: outcome.clone(),
    };
    for _ in 0..SETTLE_TRIES {
        match state.settle(revision, &ask) {
            Ok(Settled::Stored) => return true,
            Ok(Settled::NotHeld) => return false,
            Ok(Settled::Unavailable(_)) | Err(_) => std::thread::sleep(PAUSE),
        }
    }
    false
}
