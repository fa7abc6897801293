//! The leader's count of upstreams that crashed under requests and prompt parts, and the quarantine that follows from it.

use std::collections::HashMap;
use std::time::Duration;

use contract::{Fingerprint, NodeId, PartId};
use metrics::gauge;
use policy::Tick;
use policy::quarantine::parts::{PartHistory, Suspect};
use policy::quarantine::rules::{PartRule, TRIAL_CRASHES};
use policy::quarantine::{Crash, CrashHistory, MAX_CRASHES};
use slog::{Logger, info};
use wire::quarantine::{
    QuarantineMark, QuarantineNews, ReportCrashes, ReportedCrash, ReportedSuspect, SoundPart, ToldPart, TryParts,
    TryReply,
};

/// Time since its last call after which a host no longer counts as following the quarantine; it calls again within ten
/// seconds.
const FOLLOWS_TIME: Duration = Duration::from_secs(12);
/// Most requests of which hosts are told; those that leave the quarantine last go first.
const MAX_TOLD: usize = 1_024;
/// Most prompt parts of which hosts are told; those with the fewest crashes go first.
const MAX_TOLD_PARTS: usize = 256;

/// Crashes under requests as the leader of a term knows them.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    crashes: CrashHistory,
    parts: PartHistory,
    /// Prompt parts of which hosts are told; as of the last change.
    rules: Vec<PartRule>,
    /// Number of changes of the quarantine.
    changes: u64,
    /// Changes that each host knows, with the time of its last call.
    followers: HashMap<NodeId, (u64, Tick)>,
}

impl Quarantine {
    /// Records what a host reports. Returns the number of crashes under the request of each reported one, and whether the
    /// quarantine has changed.
    pub(crate) fn record(
        &mut self,
        from: &NodeId,
        report: &ReportCrashes,
        logger: &Logger,
        now: Tick,
    ) -> (Vec<u32>, bool) {
        let before = self.changes;
        for request in &report.cleared {
            self.clear(from, request, logger, now);
        }
        for sound in &report.sound {
            self.clear_part(from, sound, logger, now);
        }
        for suspect in &report.suspects {
            self.record_suspect(from, suspect, logger, now);
        }
        let counts = report
            .crashes
            .iter()
            .map(|reported| self.count(from, reported, logger, now));
        let counts = counts.collect();
        let changed = self.changes != before;
        if changed {
            self.update_rules(now);
        }
        (counts, changed)
    }

    fn clear(&mut self, from: &NodeId, request: &Fingerprint, logger: &Logger, now: Tick) {
        let was_quarantined = self.crashes.count(request, now) >= MAX_CRASHES;
        self.crashes.clear(request);
        if was_quarantined {
            self.changes += 1;
            info!(logger, "request leaves the quarantine"; "content" => %request, "from" => %from);
        }
    }

    fn update_rules(&mut self, now: Tick) {
        self.rules = self.parts.rules(now).collect();
        gauge!("gentian_state_watched_parts_count").set(self.rules.len() as f64);
        self.rules.sort_by_key(|rule| std::cmp::Reverse(rule.crashes));
        self.rules.truncate(MAX_TOLD_PARTS);
    }

    fn clear_part(&mut self, from: &NodeId, sound: &SoundPart, logger: &Logger, now: Tick) {
        let began_at = now - Duration::from_millis(u64::from(sound.began_ms));
        if self.parts.clear(sound.part, began_at) {
            self.changes += 1;
            info!(logger, "prompt part is sound"; "part" => %sound.part, "from" => %from, "began_ms" => sound.began_ms);
        }
    }

    fn record_suspect(&mut self, from: &NodeId, reported: &ReportedSuspect, logger: &Logger, now: Tick) {
        let suspect = Suspect {
            parts: &reported.parts,
            account: reported.account,
            upstream: reported.upstream,
            sent_at: now - Duration::from_millis(u64::from(reported.sent_ms)),
            at: now - Duration::from_millis(u64::from(reported.age_ms)),
        };
        if !self.parts.record(&suspect, now) {
            return;
        }
        self.changes += 1;
        let rules = self.parts.rules_of(&reported.parts, now);
        for rule in rules.iter().filter(|rule| rule.crashes >= TRIAL_CRASHES) {
            info!(logger, "prompt part restricted"; "part" => %rule.part, "from" => %from, "crashes" => rule.crashes,
                "companions" => join(&rule.companions), "all_accounts" => rule.account.is_none(),
                "closed_ms" => rule.closed_until.since(now).as_millis() as u64);
        }
    }

    /// Decides whether a host may send a request with suspected prompt parts.
    pub(crate) fn try_parts(&mut self, from: &NodeId, asked: &TryParts, logger: &Logger, now: Tick) -> TryReply {
        let reply = match self.parts.start_trial(&asked.parts, asked.account, now) {
            Ok(()) => TryReply::Granted,
            Err(left) => TryReply::Later {
                wait_ms: left.as_millis() as u32,
            },
        };
        if reply == TryReply::Granted {
            info!(logger, "prompt part on trial"; "parts" => join(&asked.parts), "from" => %from);
        }
        reply
    }

    fn count(&mut self, from: &NodeId, reported: &ReportedCrash, logger: &Logger, now: Tick) -> u32 {
        let request = reported.request;
        let before = self.crashes.count(&request, now);
        let crash = Crash {
            upstream: reported.upstream,
            attempt: reported.attempt,
            at: now - Duration::from_millis(u64::from(reported.age_ms)),
        };
        self.crashes.record(request, crash, now);
        let count = self.crashes.count(&request, now);
        if count >= MAX_CRASHES && count > before {
            self.changes += 1;
            info!(logger, "request quarantined"; "content" => %request, "from" => %from, "crashes" => count,
                "age_ms" => reported.age_ms);
        }
        count as u32
    }

    /// Records up to which change a host knows the quarantine. Returns whether the host has learnt of a change.
    pub(crate) fn record_follower(&mut self, from: &NodeId, known: u64, now: Tick) -> bool {
        let before = self.followers.insert(from.clone(), (known, now));
        before.is_none_or(|(before, _)| before != known)
    }

    /// Returns whether all hosts that follow know the quarantine, but for `except`.
    pub(crate) fn is_known(&self, except: &NodeId, now: Tick) -> bool {
        let others = self.followers.iter().filter(|(host, _)| *host != except);
        let mut behind = others.filter(|(_, (known, at))| *known < self.changes && now.since(*at) < FOLLOWS_TIME);
        behind.next().is_none()
    }

    /// Returns the quarantine of a term.
    pub(crate) fn news(&self, term: u64, now: Tick) -> QuarantineNews {
        let mut quarantined = self.crashes.quarantined(now);
        gauge!("gentian_state_quarantined_count").set(quarantined.len() as f64);
        quarantined.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        quarantined.truncate(MAX_TOLD);
        let requests = quarantined.into_iter();
        QuarantineNews {
            mark: QuarantineMark {
                term,
                number: self.changes,
            },
            requests: requests
                .map(|(request, left)| (request, left.as_millis() as u32))
                .collect(),
            parts: self.rules.iter().map(|rule| told(rule, now)).collect(),
        }
    }
}

fn told(rule: &PartRule, now: Tick) -> ToldPart {
    ToldPart {
        part: rule.part,
        companions: rule.companions.clone(),
        account: rule.account,
        crashes: rule.crashes as u32,
        closed_ms: rule.closed_until.since(now).as_millis() as u32,
    }
}

fn join(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    parts.join(",")
}
