//! Prompt parts that crash the upstreams which begin to answer a prompt with them.
//!
//! Requests with such a part need not be alike otherwise. A crash puts all parts under suspicion whose requests were
//! about to begin on the upstream. Requests with a sound part soon begin elsewhere, which clears it of the crashes before;
//! a bad one collects crash after crash. It is treated like a failing upstream by a circuit breaker:
//! after some crashes only one request at a time is let through, and after more of them none for a time.

use std::collections::HashMap;
use std::time::Duration;

use contract::PartId;

use super::rules::{Admission, PartRule, TRIAL_CRASHES, Trials, admit};
use crate::Tick;

/// Crashes, one after the other, from which on hosts watch whether requests with the part begin elsewhere.
pub const WATCHED_CRASHES: usize = 2;
/// Pauses after the crashes that follow [`TRIAL_CRASHES`]; each later crash doubles the last one.
const PAUSES: [Duration; 3] = [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(30)];
/// Crashes without another explanation by which a part counts as bad.
const MIN_UNEXPLAINED: usize = 2;
/// Further crashes before the longer pauses begin if other parts may be to blame as well.
const EXTRA_CRASHES: usize = 2;
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_mins(5);
/// Time after the last crash and the pause for which a part is remembered.
pub const PART_MEMORY: Duration = Duration::from_mins(1);
/// Time without a crash after which a request that has begun shows that its parts are sound.
pub const SOUND_TIME: Duration = Duration::from_millis(250);
/// Time by which the clocks of two hosts can be apart, as reports travel between them.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Shortest time between two searches for expired parts.
const DROP_INTERVAL: Duration = Duration::from_secs(1);
/// Most parts that are remembered.
const MAX_PARTS: usize = 8_192;
/// Most crashed upstreams whose suspects are remembered.
const MAX_UPSTREAMS: usize = 1_024;
/// Most crashes that are remembered of a part.
const MAX_PART_CRASHES: usize = 16;

/// An attempt under which an upstream crashed before or just after it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect<'a> {
    /// Parts of the prompt that other requests may have too.
    pub parts: &'a [PartId],
    /// Hash of the client account.
    pub account: u64,
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
    /// When the request was sent.
    pub sent_at: Tick,
    /// When the upstream crashed.
    pub at: Tick,
}

/// Crashes of upstreams by the parts of prompts.
#[derive(Debug, Default)]
pub struct PartHistory {
    parts: HashMap<PartId, PartRecord>,
    /// Parts of all suspects by the upstream that crashed, with the time of the crash.
    crashed: HashMap<u64, (Tick, Vec<PartId>)>,
    /// When expired parts were dropped for want of room.
    dropped_at: Option<Tick>,
    trials: Trials,
}

#[derive(Debug)]
struct PartRecord {
    /// Crashes in the order of their times; no upstream is named twice.
    crashes: Vec<PartCrash>,
    companions: Vec<PartId>,
}

#[derive(Clone, Copy, Debug)]
struct PartCrash {
    upstream: u64,
    account: u64,
    sent_at: Tick,
    at: Tick,
}

impl PartHistory {
    /// Records a crash. Returns whether the rules have changed.
    pub fn record(&mut self, suspect: &Suspect<'_>, now: Tick) -> bool {
        let is_due = self.dropped_at.is_none_or(|at| now.since(at) >= DROP_INTERVAL);
        if is_due && self.parts.len() + suspect.parts.len() > MAX_PARTS {
            self.drop_expired(now);
            self.dropped_at = Some(now);
        }
        self.record_upstream(suspect);
        let mut changed = false;
        for part in suspect.parts {
            self.trials.end(*part);
            if !self.parts.contains_key(part) && self.parts.len() >= MAX_PARTS {
                continue;
            }
            let record = self
                .parts
                .entry(*part)
                .and_modify(|record| record.add(*part, suspect, now))
                .or_insert_with(|| PartRecord::new(*part, suspect));
            changed |= record.count() >= WATCHED_CRASHES;
        }
        changed
    }

    /// Records that a request with a part began at some time, and went on. Returns whether the rules have changed.
    pub fn clear(&mut self, part: PartId, began_at: Tick) -> bool {
        let is_before = |crash: &PartCrash| crash.at + CLOCK_MARGIN <= began_at;
        let mut changed = false;
        for record in self.parts.values_mut() {
            if record.crashes.first().is_some_and(is_before) && record.companions.contains(&part) {
                record.companions.retain(|companion| *companion != part);
                changed |= record.count() >= WATCHED_CRASHES;
            }
        }
        let Some(record) = self.parts.get_mut(&part) else {
            return changed;
        };
        let (crashes, count) = (record.crashes.len(), record.count());
        record.crashes.retain(|crash| !is_before(crash));
        if record.crashes.len() < crashes {
            self.trials.end(part);
            changed |= count >= WATCHED_CRASHES;
        }
        if record.crashes.is_empty() {
            self.parts.remove(&part);
        }
        changed
    }

    /// Returns the parts that hosts watch or restrict.
    pub fn rules(&self, now: Tick) -> impl Iterator<Item = PartRule> {
        let known = self.parts.iter().filter(move |(_, record)| !record.is_expired(now));
        known.filter_map(|(part, record)| self.rule(*part, record))
    }

    /// Returns whether a request may be sent.
    #[must_use]
    pub fn admit(&self, parts: &[PartId], account: u64, now: Tick) -> Admission {
        admit(&self.rules_of(parts, now), parts, account, now)
    }

    /// Lets a request through if it may be sent and no other one with its parts is on trial.
    ///
    /// # Errors
    /// Returns the delay after which the caller should come back.
    pub fn start_trial(&mut self, parts: &[PartId], account: u64, now: Tick) -> Result<(), Duration> {
        let rules = self.rules_of(parts, now);
        self.trials.start(&rules, parts, account, now)
    }

    /// Returns whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Forgets parts whose last crash is long ago.
    pub fn drop_expired(&mut self, now: Tick) {
        self.parts.retain(|_, record| !record.is_expired(now));
    }

    fn record_upstream(&mut self, suspect: &Suspect<'_>) {
        if self.crashed.len() >= MAX_UPSTREAMS && !self.crashed.contains_key(&suspect.upstream) {
            let oldest = self.crashed.iter().min_by_key(|(_, (at, _))| *at);
            if let Some(oldest) = oldest.map(|(upstream, _)| *upstream) {
                self.crashed.remove(&oldest);
            }
        }
        let (_, parts) = self.crashed.entry(suspect.upstream).or_insert((suspect.at, Vec::new()));
        let new = suspect.parts.iter().filter(|part| !parts.contains(part));
        let new: Vec<PartId> = new.copied().collect();
        parts.extend(new);
    }

    fn count(&self, part: PartId) -> usize {
        self.parts.get(&part).map_or(0, PartRecord::count)
    }

    /// Counts the crashes of a part that no other part explains, of those which hit the same upstream. Companions don't:
    /// the part is only restricted together with them.
    fn count_unexplained(&self, part: PartId, record: &PartRecord, explains: impl Fn(usize) -> bool) -> usize {
        let is_unexplained = |crash: &&PartCrash| {
            let parts = self.crashed.get(&crash.upstream).map_or(&[][..], |(_, parts)| parts);
            let others = parts
                .iter()
                .filter(|other| **other != part && !record.companions.contains(other));
            !others.copied().any(|other| explains(self.count(other)))
        };
        record.crashes.iter().filter(is_unexplained).count()
    }

    /// Returns how certain it is that a part is to blame for its crashes.
    fn blame(&self, part: PartId, record: &PartRecord) -> Blame {
        let own = record.count();
        if self.count_unexplained(part, record, |other| other >= own.min(TRIAL_CRASHES)) >= MIN_UNEXPLAINED {
            Blame::Sole
        } else if self.count_unexplained(part, record, |other| other > own) >= MIN_UNEXPLAINED {
            Blame::Shared
        } else {
            Blame::Other
        }
    }

    fn closed_until(&self, part: PartId, record: &PartRecord) -> Tick {
        let last = record.crashes.last().map_or(Tick::default(), |crash| crash.at);
        last + pause(record.count(), self.blame(part, record))
    }

    fn rule(&self, part: PartId, record: &PartRecord) -> Option<PartRule> {
        let crashes = record.count();
        let first = record.crashes.first()?.account;
        let is_shared = record.crashes.iter().any(|crash| crash.account != first);
        (crashes >= WATCHED_CRASHES).then(|| PartRule {
            part,
            companions: record.companions.clone(),
            account: (!is_shared).then_some(first),
            crashes,
            closed_until: self.closed_until(part, record),
        })
    }

    /// Returns the rules for some parts.
    #[must_use]
    pub fn rules_of(&self, parts: &[PartId], now: Tick) -> Vec<PartRule> {
        let known = parts.iter().filter_map(|part| Some((part, self.parts.get(part)?)));
        let current = known.filter(|(_, record)| !record.is_expired(now));
        current.filter_map(|(part, record)| self.rule(*part, record)).collect()
    }
}

impl PartRecord {
    fn new(part: PartId, suspect: &Suspect<'_>) -> Self {
        let others = suspect.parts.iter().filter(|other| **other != part);
        Self {
            crashes: vec![PartCrash::new(suspect)],
            companions: others.copied().collect(),
        }
    }

    fn add(&mut self, part: PartId, suspect: &Suspect<'_>, now: Tick) {
        if self.is_expired(now) {
            *self = Self::new(part, suspect);
            return;
        }
        self.companions.retain(|companion| suspect.parts.contains(companion));
        if self.crashes.iter().any(|crash| crash.upstream == suspect.upstream) {
            return;
        }
        let index = self.crashes.partition_point(|crash| crash.at <= suspect.at);
        self.crashes.insert(index, PartCrash::new(suspect));
        if self.crashes.len() > MAX_PART_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Counts crashes one after the other: upstreams that are lost together say no more than one of them.
    fn count(&self) -> usize {
        let mut counted: Option<&PartCrash> = None;
        let mut number = 0;
        for crash in &self.crashes {
            if counted.is_none_or(|before| crash.sent_at >= before.at) {
                counted = Some(crash);
                number += 1;
            }
        }
        number
    }

    fn is_expired(&self, now: Tick) -> bool {
        let last = self.crashes.last().map_or(Tick::default(), |crash| crash.at);
        now.since(last + pause(self.count(), Blame::Sole)) >= PART_MEMORY
    }
}

impl PartCrash {
    fn new(suspect: &Suspect<'_>) -> Self {
        Self {
            upstream: suspect.upstream,
            account: suspect.account,
            sent_at: suspect.sent_at,
            at: suspect.at,
        }
    }
}

/// What explains the crashes of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Blame {
    /// No other part that is restricted.
    Sole,
    /// Other parts, which met as many crashes at most.
    Shared,
    /// A part that met more crashes.
    Other,
}

/// Returns the pause after a number of crashes.
fn pause(crashes: usize, blame: Blame) -> Duration {
    let Some(step) = crashes.checked_sub(TRIAL_CRASHES) else {
        return Duration::ZERO;
    };
    let last = PAUSES.len() - 1;
    let step = match blame {
        Blame::Shared if step >= last => (step - EXTRA_CRASHES).max(last - 1),
        Blame::Other => step.min(last - 1),
        Blame::Sole | Blame::Shared => step,
    };
    let doublings = u32::try_from(step.saturating_sub(last)).unwrap_or(u32::MAX);
    PAUSES[step.min(last)]
        .saturating_mul(2_u32.saturating_pow(doublings))
        .min(MAX_PAUSE)
}
