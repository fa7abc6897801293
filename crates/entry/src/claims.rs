//! Claims of non-idempotent calls in the Raft-replicated state, so that each runs at most once.

use std::time::{Duration, Instant};

use contract::{CustomerId, RequestId, Revision, UpstreamKind, UpstreamSpec};
use metrics::counter;
use sha2::{Digest, Sha256};
use upstream::service::ServiceCall;
use wire::client::StateClient;
use wire::state::{Claim, Claimed, Outcome, Settle, Settled, Unavailable};

use crate::EntryHost;

/// The Raft group that holds all claims.
const CLAIM_GROUP: u32 = 0;
/// Pause before asking again for a claim that is undecided or held by another request.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Attempts to learn whether a claim was written before it is given back; together they take about as long as a leader
/// election.
const MAX_UNDECIDED_TRIES: u32 = 50;
/// Timeout of asking a service for the outcome of a call.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of claiming a call.
#[derive(Debug)]
pub enum ClaimResult {
    /// This request holds the claim; the call may be sent once.
    Granted,
    /// An earlier request under the key ended with this outcome.
    Done(Outcome),
    /// The key was used before with a different call.
    Mismatch,
    /// Another request under the key is still running.
    Running,
    /// The claim could not be written; the call was not run.
    Unavailable,
}

/// Identifies a call by customer and idempotency key, and the request that makes it.
#[derive(Clone, Copy, Debug)]
pub struct KeyedCall<'a> {
    /// The customer; keys of different customers are independent.
    pub customer: &'a CustomerId,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// Id of the request; it owns the claim.
    pub request: &'a RequestId,
}

/// Returns the digest by which two calls under one key are compared.
#[must_use]
pub fn call_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    format!("{:x}", hash.finalize())
}

/// Claims a call; waits until `deadline` for an earlier one under the same key.
pub fn claim(
    state: &StateClient,
    revision: Revision,
    call: &KeyedCall<'_>,
    digest: &str,
    deadline: Instant,
) -> ClaimResult {
    let request = Claim {
        group: CLAIM_GROUP,
        customer: call.customer.clone(),
        key: call.key.to_owned(),
        digest: digest.to_owned(),
        request: call.request.clone(),
        hold_ms: deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
    };
    let mut undecided_tries = 0;
    loop {
        match state.claim(revision, &request) {
            // The hold time of the claim is over and the group now treats the outcome as unknown, so the call must not
            // be sent.
            Ok(Claimed::Granted) if Instant::now() >= deadline => return give_back(state, call),
            Ok(Claimed::Granted) => return ClaimResult::Granted,
            Ok(Claimed::Done(outcome)) => return ClaimResult::Done(outcome),
            Ok(Claimed::Mismatch) => return ClaimResult::Mismatch,
            Ok(Claimed::Running(_)) if Instant::now() < deadline => std::thread::sleep(RETRY_PAUSE),
            Ok(Claimed::Running(_)) => return ClaimResult::Running,
            // The claim was not written, so it need not be given back.
            Ok(Claimed::Unavailable(Unavailable::NotLeader { .. } | Unavailable::NoQuorum { .. })) => {
                return ClaimResult::Unavailable;
            }
            // The claim may have been written. Nothing was sent under it, and the request id is unique, so asking again
            // returns the same claim.
            Ok(Claimed::Unavailable(Unavailable::Undecided { .. })) | Err(_) => {
                undecided_tries += 1;
                if undecided_tries >= MAX_UNDECIDED_TRIES || Instant::now() >= deadline {
                    return give_back(state, call);
                }
                std::thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Releases a claim under which nothing was sent, so that the caller can retry with the same key.
///
/// Otherwise the caller would be told that the call was not run, but on the retry that its outcome is unknown.
fn give_back(state: &StateClient, call: &KeyedCall<'_>) -> ClaimResult {
    if !state.settle_later(settle_request(call, &Outcome::NotRun)) {
        counter!("gentian_claims_not_given_back_total").increment(1);
    }
    ClaimResult::Unavailable
}

/// Records an outcome; if the state group has no leader, it is recorded in the background.
///
/// Returns whether it was recorded or queued for recording.
pub fn settle(state: &StateClient, revision: Revision, call: &KeyedCall<'_>, outcome: &Outcome) -> bool {
    let request = settle_request(call, outcome);
    match state.settle(revision, &request) {
        Ok(Settled::Stored) => true,
        Ok(Settled::NotHeld) => false,
        Ok(Settled::Unavailable(_)) | Err(_) => state.settle_later(request),
    }
}

/// Replaces an unknown outcome by the one that the service reports, if it can.
pub fn resolve_unknown(entry: &EntryHost, service: &str, call: &KeyedCall<'_>, result: ClaimResult) -> ClaimResult {
    match result {
        ClaimResult::Done(Outcome::Unknown) => {
            ClaimResult::Done(query_outcome(entry, service, call).unwrap_or(Outcome::Unknown))
        }
        other => other,
    }
}

/// Asks the service for the outcome of an earlier call under the key, and records it.
///
/// Only a successful response counts. A service that doesn't know the key may still be about to run the call, so the
/// outcome stays unknown and the call is never sent again.
fn query_outcome(entry: &EntryHost, service: &str, call: &KeyedCall<'_>) -> Option<Outcome> {
    let view = entry.config.view();
    let reports = |spec: &&UpstreamSpec| {
        spec.serves_service(service)
            && matches!(
                spec.kind,
                UpstreamKind::Service {
                    tells_outcome: true,
                    ..
                }
            )
    };
    let specs = view.config.upstreams.values().filter(reports);
    let path = format!("/outcomes/{}", percent_encode(call.key));
    let request = ServiceCall {
        method: "GET",
        path: &path,
        headers: &[],
        body: &[],
    };
    let mut answers = specs.filter_map(|spec| entry.service_client.send(spec.address, &request, OUTCOME_TIMEOUT).ok());
    let answer = answers.find(|answer| answer.status < 300)?;
    let outcome = Outcome::Answered {
        status: answer.status,
        media: answer.media,
        body: answer.body,
    };
    counter!("gentian_outcomes_told_total").increment(1);
    if !settle(&entry.state_client, view.config.revision, call, &outcome) {
        counter!("gentian_outcomes_unrecorded_total").increment(1);
    }
    Some(outcome)
}

fn settle_request(call: &KeyedCall<'_>, outcome: &Outcome) -> Settle {
    Settle {
        group: CLAIM_GROUP,
        customer: call.customer.clone(),
        key: call.key.to_owned(),
        request: call.request.clone(),
        outcome: outcome.clone(),
    }
}

/// Percent-encodes a key as a single path segment.
fn percent_encode(key: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let part = |byte| {
        if plain(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    key.bytes().map(part).collect()
}
