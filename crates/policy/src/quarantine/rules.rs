//! Restrictions of requests by the parts of their prompts, and the requests that are sent to try a part.

use std::collections::HashMap;
use std::time::Duration;

use contract::PartId;

use crate::Tick;

/// Crashes, one after the other, from which on only one request with the part is sent at a time.
pub const TRIAL_CRASHES: usize = 3;
/// Longest time for which a trial keeps other requests back if its outcome isn't reported.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Delay of a trial for each restricted part of the request beyond the first. Requests with fewer of them go first: if one
/// succeeds, it clears its parts, and the others are left with those that are bad.
const PART_DELAY: Duration = Duration::from_millis(300);
/// Restricted parts that are counted for this delay.
const MAX_DELAYED_PARTS: u32 = 3;
/// Delay after which a caller should come back while another request is on trial.
const TRIAL_RETURN: Duration = Duration::from_millis(500);

/// What hosts do about requests with a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRule {
    /// The part.
    pub part: PartId,
    /// Parts that all requests under which upstreams crashed had too. A request without one of them is not affected.
    pub companions: Vec<PartId>,
    /// The only client account whose requests are affected; `None` for all, as upstreams crashed under several.
    pub account: Option<u64>,
    /// Upstreams that crashed one after the other.
    pub crashes: usize,
    /// Until when no request is sent.
    pub closed_until: Tick,
}

impl PartRule {
    /// Returns whether the rule restricts a request with these parts.
    fn applies(&self, parts: &[PartId], account: u64) -> bool {
        self.crashes >= TRIAL_CRASHES
            && self.account.is_none_or(|only| only == account)
            && parts.contains(&self.part)
            && self.companions.iter().all(|companion| parts.contains(companion))
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No rule applies.
    Free,
    /// If no other request with one of its parts is on trial.
    Trial,
    /// Not before this time has passed.
    Closed(Duration),
}

/// Requests on trial, by the restricted parts that they have.
#[derive(Debug, Default)]
pub struct Trials {
    until: HashMap<PartId, Tick>,
}

impl Trials {
    /// Lets a request through if no rule closes one of its parts and no other request with a restricted part is on trial.
    ///
    /// # Errors
    /// Returns the delay after which the caller should come back.
    pub fn start(&mut self, rules: &[PartRule], parts: &[PartId], account: u64, now: Tick) -> Result<(), Duration> {
        self.until.retain(|_, until| *until > now);
        let applied = || rules.iter().filter(|rule| rule.applies(parts, account));
        let Some(opened_at) = applied().map(|rule| rule.closed_until).max() else {
            return Ok(());
        };
        if opened_at > now {
            return Err(opened_at.since(now));
        }
        let others = (applied().count() as u32 - 1).min(MAX_DELAYED_PARTS);
        let is_early = now.since(opened_at) < PART_DELAY * others;
        if is_early || applied().any(|rule| self.until.contains_key(&rule.part)) {
            return Err(TRIAL_RETURN);
        }
        self.until.extend(applied().map(|rule| (rule.part, now + TRIAL_TIME)));
        Ok(())
    }

    /// Ends the trial of a part.
    pub fn end(&mut self, part: PartId) {
        self.until.remove(&part);
    }
}

/// Returns whether a request with these parts may be sent.
pub fn admit<'a>(
    rules: impl IntoIterator<Item = &'a PartRule>,
    parts: &[PartId],
    account: u64,
    now: Tick,
) -> Admission {
    let applied = rules.into_iter().filter(|rule| rule.applies(parts, account));
    let longest = applied.map(|rule| rule.closed_until.since(now)).max();
    match longest {
        None => Admission::Free,
        Some(Duration::ZERO) => Admission::Trial,
        Some(left) => Admission::Closed(left),
    }
}
