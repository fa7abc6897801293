//! Claims of non-idempotent calls in the replicated state.

use std::time::{Duration, Instant};

use contract::{CustomerId, RequestId, Revision, UpstreamKind, UpstreamSpec};
use metrics::counter;
use sha2::{Digest, Sha256};
use upstream::service::ServiceCall;
use wire::client::StateClient;
use wire::state::{Claim, Claimed, Outcome, Settle, Settled, Unavailable};

use crate::Entry;

/// The agreement group that holds all claims today.
const GROUP: u32 = 0;
/// Pause between two questions for a call that is under way.
const PAUSE: Duration = Duration::from_millis(20);
/// Tries to learn whether a claim was written before it is given back; they last about as long as an election.
const CLAIM_TRIES: u32 = 50;
/// Longest wait for a service that is asked for an outcome.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

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
    let mut undecided = 0;
    loop {
        match state.claim(revision, &ask) {
            // The group counts the call's outcome as unknown from now on, so it is too late to send it.
            Ok(Claimed::Granted) if Instant::now() >= until => return give_back(state, call),
            Ok(Claimed::Granted) => return Verdict::Granted,
            Ok(Claimed::Done(outcome)) => return Verdict::Done(outcome),
            Ok(Claimed::Mismatch) => return Verdict::Mismatch,
            Ok(Claimed::Running(_)) if Instant::now() < until => std::thread::sleep(PAUSE),
            Ok(Claimed::Running(_)) => return Verdict::Running,
            // Nothing was written, so nothing is to be given back.
            Ok(Claimed::Unavailable(Unavailable::NotLeader { .. } | Unavailable::NoQuorum { .. })) => {
                return Verdict::Unavailable;
            }
            // The claim may have been written, and this request has not sent anything: asking again gives it the same
            // claim, as nobody else knows the request's id.
            Ok(Claimed::Unavailable(Unavailable::Undecided { .. })) | Err(_) => {
                undecided += 1;
                if undecided >= CLAIM_TRIES || Instant::now() >= until {
                    return give_back(state, call);
                }
                std::thread::sleep(PAUSE);
            }
        }
    }
}

/// Gives back a claim under which nothing was sent, so that the caller can try again under the same key.
///
/// If it were kept, the caller would be told that the call was not run, and at the next try that its outcome is unknown.
fn give_back(state: &StateClient, call: &Keyed<'_>) -> Verdict {
    if !state.settle_later(settle_of(call, &Outcome::NotRun)) {
        counter!("gentian_claims_not_given_back_total").increment(1);
    }
    Verdict::Unavailable
}

/// Records an outcome; while the state group has no leader, it is recorded in the background.
///
/// Returns whether it is recorded or will be.
pub fn settle(state: &StateClient, revision: Revision, call: &Keyed<'_>, outcome: &Outcome) -> bool {
    let ask = settle_of(call, outcome);
    match state.settle(revision, &ask) {
        Ok(Settled::Stored) => true,
        Ok(Settled::NotHeld) => false,
        Ok(Settled::Unavailable(_)) | Err(_) => state.settle_later(ask),
    }
}

/// Replaces an unknown outcome by what the service tells of it, where it can tell.
pub fn ask_if_unknown(entry: &Entry, service: &str, call: &Keyed<'_>, verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Done(Outcome::Unknown) => Verdict::Done(ask_service(entry, service, call).unwrap_or(Outcome::Unknown)),
        other => other,
    }
}

/// Asks the service how an earlier call under the key ended, and records what it says.
///
/// Only an answer counts. A service that knows nothing of the key may still be about to run the call, so that stays
/// unknown and the call is never sent again.
fn ask_service(entry: &Entry, service: &str, call: &Keyed<'_>) -> Option<Outcome> {
    let view = entry.current.view();
    let tells = |spec: &&UpstreamSpec| {
        spec.serves_service(service)
            && matches!(
                spec.kind,
                UpstreamKind::Service {
                    tells_outcome: true,
                    ..
                }
            )
    };
    let specs = view.config.upstreams.values().filter(tells);
    let path = format!("/outcomes/{}", escape(call.key));
    let ask = ServiceCall {
        method: "GET",
        path: &path,
        headers: &[],
        body: &[],
    };
    let mut answers = specs.filter_map(|spec| entry.services.send(spec.address, &ask, ASK_TIMEOUT).ok());
    let answer = answers.find(|answer| answer.status < 300)?;
    let outcome = Outcome::Answered {
        status: answer.status,
        media: answer.media,
        body: answer.body,
    };
    counter!("gentian_outcomes_told_total").increment(1);
    if !settle(&entry.state, view.config.revision, call, &outcome) {
        counter!("gentian_outcomes_unrecorded_total").increment(1);
    }
    Some(outcome)
}

fn settle_of(call: &Keyed<'_>, outcome: &Outcome) -> Settle {
    Settle {
        group: GROUP,
        customer: call.customer.clone(),
        key: call.key.to_owned(),
        request: call.request.clone(),
        outcome: outcome.clone(),
    }
}

/// Writes a key so that it is one part of a path.
fn escape(key: &str) -> String {
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
