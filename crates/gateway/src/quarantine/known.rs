//! The quarantine as leaders have told it.
//!
//! A new leader knows of crashes only when hosts have reported them to it. What a former leader told is kept for that time
//! beside the news of the new one, and for as long as nobody leads.

use std::collections::HashMap;
use std::time::Duration;

use contract::{Fingerprint, PartId};
use policy::Tick;
use policy::quarantine::parts::PART_MEMORY;
use policy::quarantine::rules::{Admission, PartRule, admit};
use wire::quarantine::{QuarantineMark, QuarantineNews, ToldPart};

/// Time after a new leader's first news in which hosts report to it what they know: two heartbeats at 390 hosts, a call
/// that times out, and the wait until a call that the former leader holds is given up.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Most requests that are kept from former leaders; as many as one leader tells.
const MAX_KEPT_REQUESTS: usize = 1_024;
/// Most rules that are kept from former leaders; as many as one leader tells.
const MAX_KEPT_RULES: usize = 256;

/// The quarantine as the leader told it last, with what former leaders told and the leader may not know yet.
#[derive(Debug, Default)]
pub struct KnownQuarantine {
    /// Position in the leader's changes.
    mark: QuarantineMark,
    /// What holds: the leader's news and what is kept.
    current: Entries,
    /// What former leaders told.
    kept: Entries,
    /// When the leader knows what hosts know.
    complete_at: Tick,
}

impl KnownQuarantine {
    /// Replaces the quarantine by the leader's. What a former leader told is kept until the hosts have had time to report it.
    pub fn apply(&mut self, news: QuarantineNews, received_at: Tick) {
        // The numbers of a term only grow: lower ones are a stale answer, or of a group that was formed anew.
        let continues = news.mark.term == self.mark.term && news.mark.number >= self.mark.number;
        if !continues {
            self.kept = std::mem::take(&mut self.current);
            self.complete_at = received_at + REPORT_TIME;
        } else if received_at >= self.complete_at {
            self.kept = Entries::default();
        }
        self.kept.bound(received_at);
        self.mark = news.mark;
        self.current = Entries::from_news(news, received_at);
        self.current.add(&self.kept);
    }

    /// Returns the position in the leader's changes.
    #[must_use]
    pub fn mark(&self) -> QuarantineMark {
        self.mark
    }

    /// Returns for how long what former leaders told is kept if the leader goes on leading; `None` if nothing is kept.
    #[must_use]
    pub fn keeps_for(&self, now: Tick) -> Option<Duration> {
        (!self.kept.is_empty()).then(|| self.complete_at.since(now))
    }

    /// Returns for how long a request is not sent; `None` if it may be.
    #[must_use]
    pub fn left(&self, request: &Fingerprint, now: Tick) -> Option<Duration> {
        let left = self.current.requests.get(request).map(|until| until.since(now));
        left.filter(|left| !left.is_zero())
    }

    /// Returns whether the rules let a request with these prompt parts be sent.
    #[must_use]
    pub fn admit(&self, parts: &[PartId], account: u64, now: Tick) -> Admission {
        admit(self.rules(now), parts, account, now)
    }

    /// Returns the rules for prompt parts.
    pub(super) fn rules(&self, now: Tick) -> impl Iterator<Item = &PartRule> {
        let rules = self.current.rules.iter();
        rules.filter(move |rule| !is_expired(rule, now))
    }

    /// Returns whether any request is not sent.
    pub(super) fn has_requests(&self) -> bool {
        !self.current.requests.is_empty()
    }

    /// Returns whether a request was told, even if its time has passed.
    pub(super) fn has_request(&self, request: &Fingerprint) -> bool {
        self.current.requests.contains_key(request)
    }

    /// Returns whether nothing is known.
    pub(super) fn is_empty(&self) -> bool {
        self.current.is_empty()
    }
}

/// Requests and prompt parts that are restricted.
#[derive(Debug, Default)]
struct Entries {
    /// Until when requests are not sent.
    requests: HashMap<Fingerprint, Tick>,
    /// Prompt parts that are watched or restricted; each once.
    rules: Vec<PartRule>,
}

impl Entries {
    fn from_news(news: QuarantineNews, received_at: Tick) -> Self {
        let requests = news.requests.into_iter();
        Self {
            requests: requests
                .map(|(request, left_ms)| (request, received_at + Duration::from_millis(u64::from(left_ms))))
                .collect(),
            rules: news.parts.into_iter().map(|told| rule(told, received_at)).collect(),
        }
    }

    fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.rules.is_empty()
    }

    /// Drops what has expired, and what leaders that change often would pile up.
    fn bound(&mut self, now: Tick) {
        self.requests.retain(|_, until| *until > now);
        if self.requests.len() > MAX_KEPT_REQUESTS {
            let mut latest: Vec<_> = self.requests.drain().collect();
            latest.sort_by_key(|(_, until)| std::cmp::Reverse(*until));
            self.requests.extend(latest.into_iter().take(MAX_KEPT_REQUESTS));
        }
        self.rules.retain(|rule| !is_expired(rule, now));
        self.rules.sort_by_key(|rule| std::cmp::Reverse(rule.crashes));
        self.rules.truncate(MAX_KEPT_RULES);
    }

    /// Adds other entries; what stands in both is restricted as both do.
    fn add(&mut self, others: &Self) {
        for (request, other) in &others.requests {
            let until = self.requests.entry(*request).or_insert(*other);
            *until = (*until).max(*other);
        }
        let index: HashMap<PartId, usize> = self.rules.iter().zip(0..).map(|(rule, i)| (rule.part, i)).collect();
        for other in &others.rules {
            match index.get(&other.part) {
                Some(i) => restrict(&mut self.rules[*i], other),
                None => self.rules.push(other.clone()),
            }
        }
    }
}

fn rule(told: ToldPart, received_at: Tick) -> PartRule {
    PartRule {
        part: told.part,
        companions: told.companions,
        account: told.account,
        crashes: told.crashes as usize,
        closed_until: received_at + Duration::from_millis(u64::from(told.closed_ms)),
    }
}

/// Has a rule restrict what another one for the same part does.
fn restrict(rule: &mut PartRule, other: &PartRule) {
    rule.companions.retain(|companion| other.companions.contains(companion));
    rule.account = rule.account.filter(|account| other.account == Some(*account));
    rule.crashes = rule.crashes.max(other.crashes);
    rule.closed_until = rule.closed_until.max(other.closed_until);
}

/// Returns whether the leader that told a rule has forgotten the part by now.
fn is_expired(rule: &PartRule, now: Tick) -> bool {
    now.since(rule.closed_until) >= PART_MEMORY
}
