//! Requests that crash the upstreams they run on.
//!
//! Such a request would crash every upstream that it is retried on, and break all requests that run beside it. One crash
//! doesn't tell which of them is to blame. Crashes are therefore counted by the fingerprint of the request, over all tries
//! of its caller and over all entry hosts: after [`MAX_CRASHES`] it is not sent any more. Where many upstreams are lost at
//! once, a request that runs for long can meet as many without being to blame, and is not sent again either.

pub mod parts;
pub mod rules;

use std::collections::HashMap;
use std::time::Duration;

use contract::Fingerprint;

use crate::Tick;

/// Number of upstreams that may crash under a request.
pub const MAX_CRASHES: usize = 3;
/// Time after the last crash for which a request is remembered: longer than callers go on trying.
pub const MEMORY_TIME: Duration = Duration::from_secs(30);
/// Most requests that are remembered.
const MAX_REQUESTS: usize = 8_192;
/// Shortest time after a crash in which a caller can have come back and another upstream can have crashed. Crashes under
/// different tries that are closer together belong to different callers that sent the same, such as a popular lookup.
const RETURN_TIME: Duration = Duration::from_millis(10);

/// The crash of an upstream that ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
    /// Hash of the id of the caller's try.
    pub attempt: u64,
    /// When the upstream crashed.
    pub at: Tick,
}

/// Upstreams that crashed under requests.
#[derive(Debug, Default)]
pub struct CrashHistory {
    /// Crashes by request, in the order of their times; no upstream is named twice.
    requests: HashMap<Fingerprint, Vec<Crash>>,
}

impl CrashHistory {
    /// Records a crash. Returns whether it is news: the request had not met this crash yet, and is remembered.
    pub fn record(&mut self, request: Fingerprint, crash: Crash, now: Tick) -> bool {
        if !self.requests.contains_key(&request) && self.requests.len() >= MAX_REQUESTS {
            self.drop_expired(now);
            if self.requests.len() >= MAX_REQUESTS {
                return false;
            }
        }
        let crashes = self.requests.entry(request).or_default();
        if is_expired(crashes, now) {
            crashes.clear();
        }
        if crashes.iter().any(|known| known.upstream == crash.upstream) {
            return false;
        }
        let index = crashes.partition_point(|known| known.at <= crash.at);
        crashes.insert(index, crash);
        true
    }

    /// Returns how many upstreams crashed under a request, one after the other.
    #[must_use]
    pub fn count(&self, request: &Fingerprint, now: Tick) -> usize {
        let crashes = self.requests.get(request);
        crashes
            .filter(|crashes| !is_expired(crashes, now))
            .map_or(0, |crashes| count(crashes))
    }

    /// Forgets a request that has run to its end. Returns whether it was remembered.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        self.requests.remove(request).is_some()
    }

    /// Returns whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns all crashes that are remembered.
    pub fn crashes(&self, now: Tick) -> impl Iterator<Item = (Fingerprint, Crash)> {
        let all = self
            .requests
            .iter()
            .filter(move |(_, crashes)| !is_expired(crashes, now));
        all.flat_map(|(request, crashes)| crashes.iter().map(|crash| (*request, *crash)))
    }

    /// Returns the requests that are not sent any more, with the time for which that holds.
    #[must_use]
    pub fn quarantined(&self, now: Tick) -> Vec<(Fingerprint, Duration)> {
        let all = self.requests.iter().filter(|(_, crashes)| !is_expired(crashes, now));
        let quarantined = all.filter(|(_, crashes)| count(crashes) >= MAX_CRASHES);
        let until = |crashes: &[Crash]| crashes.last().map_or(now, |crash| crash.at + MEMORY_TIME);
        quarantined
            .map(|(request, crashes)| (*request, until(crashes).since(now)))
            .collect()
    }

    /// Forgets what is older than [`MEMORY_TIME`].
    pub fn drop_expired(&mut self, now: Tick) {
        self.requests.retain(|_, crashes| !is_expired(crashes, now));
    }
}

fn is_expired(crashes: &[Crash], now: Tick) -> bool {
    crashes.last().is_some_and(|newest| now.since(newest.at) >= MEMORY_TIME)
}

/// Counts crashes that can have happened under the tries of one caller, one after the other.
fn count(crashes: &[Crash]) -> usize {
    let mut counted: Option<&Crash> = None;
    let mut number = 0;
    for crash in crashes {
        let follows =
            counted.is_none_or(|before| before.attempt == crash.attempt || crash.at.since(before.at) >= RETURN_TIME);
        if follows {
            counted = Some(crash);
            number += 1;
        }
    }
    number
}
