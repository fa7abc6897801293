//! The upstreams of the list, with what is known of each: load, failures, cached parts of prompts.

mod upstream;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{Listed, ServiceName, Zone};
use policy::Tick;
use policy::homes::{PartUsage, assume_home_cached};
use policy::pace::{EngineRates, PrefillWork, SpeedEstimate};
use policy::place::{Candidate, Prediction, PromptNeed, PromptPart, choose};
use policy::reach::Reachability;
use wire::registry::UpstreamObservation;

pub use upstream::Upstream;

/// Milliseconds by which predictions may differ and still count as equal, so that entry hosts agree on the place of a
/// prompt's parts instead of spreading them over all. Replayed with 75 engines, 0.49 of the shared tokens are read again at 25,
/// 0.42 at 60 and 0.37 at 120, and no more answers are late.
const CLOSE_MS: f64 = 100.0;
/// Queue places behind the slots that may be filled; an upstream refuses what comes on top.
const QUEUE: f64 = 2.0;

/// All upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    all: HashMap<String, Upstream>,
    zones: HashMap<Zone, Rc<Reachability>>,
    /// How fast the upstreams of a service read prompts.
    paces: HashMap<ServiceName, Rc<RefCell<SpeedEstimate>>>,
    /// How often prompts share their parts.
    uses: PartUsage,
    /// When the newest list was asked for.
    pub listed: Option<Tick>,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Incarnations that were tried already.
    pub tried: &'a [String],
    /// Own data centre.
    pub zone: &'a Zone,
    /// Whether the request may run only once.
    pub once: bool,
    /// Milliseconds of the longest pause of an answer in time; zero where it comes whole.
    pub pause_ms: u64,
    /// Entry hosts that share the upstreams.
    pub entries: u32,
}

impl Need<'_> {
    fn wish(&self) -> PromptNeed {
        let paced = (self.pause_ms > 0).then_some(self.pause_ms as f64);
        PromptNeed {
            tokens: self.tokens(),
            max_pause_ms: paced.unwrap_or(f64::INFINITY),
        }
    }

    /// Gives the tokens of the prompt.
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Gives the tokens that other prompts may share; the last part belongs to the request alone.
    fn shared_tokens(&self) -> u64 {
        self.parts.iter().rev().skip(1).map(|part| part.tokens).sum()
    }
}

/// Gives the key of the innermost part that others share, by which the home of a prompt is found.
fn lead(parts: &[PromptPart]) -> u64 {
    let at = parts.len().saturating_sub(2);
    parts.get(at).map_or(0, |part| part.key)
}

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenUpstream {
    /// Its incarnation.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// What was predicted.
    pub prediction: Prediction,
    /// Load that the prediction rests on.
    pub load: f64,
    /// What the prompt is believed to ask of it.
    pub prefill: PrefillWork,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum NoUpstream {
    /// The list names none.
    #[display("no upstream is listed")]
    None,
    /// All that are listed fail or were tried.
    #[display("every upstream fails")]
    Failing,
    /// All are full.
    #[display("every upstream is full")]
    Full,
}

impl Upstreams {
    /// Takes a list over; what is known of upstreams that stay is kept. Returns those that began to leave or are gone.
    pub fn update(&mut self, list: Vec<Listed>, asked: Tick) -> Vec<String> {
        let mut ended: Vec<String> = Vec::new();
        let mut before = std::mem::take(&mut self.all);
        for listed in list {
            let id = listed.id.clone();
            let reach = Rc::clone(self.zones.entry(listed.zone.clone()).or_default());
            let pace = Rc::clone(self.paces.entry(listed.service.clone()).or_default());
            let upstream = match before.remove(&id) {
                Some(known) if known.listed.start != listed.start => Upstream::new(listed, (reach, pace), asked),
                Some(mut known) => {
                    if listed.leaving && !known.listed.leaving {
                        ended.push(id.clone());
                    }
                    known.gone &= known.listed.address == listed.address;
                    known.listed = listed;
                    known
                }
                None => Upstream::new(listed, (reach, pace), asked),
            };
            if let Some(left) = upstream.listed.left.filter(|_| upstream.listed.leaving) {
                upstream.notice.tell(asked + left);
            }
            self.all.insert(id, upstream);
        }
        ended.extend(before.into_keys());
        self.listed = Some(asked);
        ended
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    /// Tells why there is none.
    pub fn choose(&self, need: &Need<'_>, now: Tick) -> Result<ChosenUpstream, NoUpstream> {
        self.judge_reach(now);
        let open = self.open(need, now)?;
        let lead = lead(need.parts);
        let all = open.iter().enumerate();
        let candidates = all.map(|(at, upstream)| upstream.candidate(at, lead, need, now));
        let mut candidates: Vec<Candidate> = candidates.filter(|one| one.load < one.slots * QUEUE).collect();
        let others = need.entries.saturating_sub(1);
        assume_home_cached(&mut candidates, need.shared_tokens(), |home| {
            let there = now.since(open[home.at].since).min(self.uses.observed_span(now));
            self.uses.cached_by_others(lead, others, there, now)
        });
        // Without a prompt there is nothing that entry hosts could agree on: the least loaded one is taken.
        let close_ms = if need.parts.is_empty() { 0.0 } else { CLOSE_MS };
        let predicted = choose(&candidates, need.wish(), close_ms).ok_or(NoUpstream::Full)?;
        let chosen = open[predicted.at];
        let candidate = candidates.iter().find(|one| one.at == predicted.at);
        Ok(ChosenUpstream {
            id: chosen.listed.id.clone(),
            address: chosen.listed.address,
            prediction: predicted,
            load: candidate.map_or(0.0, |one| one.load),
            prefill: candidate.map_or_else(PrefillWork::default, |one| one.prefill(need.tokens())),
        })
    }

    /// Judges data centres by the requests that wait there.
    fn judge_reach(&self, now: Tick) {
        for upstream in self.all.values() {
            if let Some(sent) = upstream.backlog.oldest() {
                upstream.reach.record_wait(sent, now);
            }
        }
    }

    /// Gives the upstreams of a service that may take a request, in the order of their names.
    fn open(&self, need: &Need<'_>, now: Tick) -> Result<Vec<&Upstream>, NoUpstream> {
        let serves = |upstream: &&Upstream| upstream.listed.service == *need.service && !upstream.listed.leaving;
        let all: Vec<&Upstream> = self.all.values().filter(serves).collect();
        if all.is_empty() {
            return Err(NoUpstream::None);
        }
        let usable = |upstream: &&Upstream| {
            !upstream.gone && upstream.breaker.allows(now) && !need.tried.contains(&upstream.listed.id)
        };
        let mut open: Vec<&Upstream> = all.into_iter().filter(usable).collect();
        if open.is_empty() {
            return Err(NoUpstream::Failing);
        }
        // Where all others are cut off too, being cut off is no reason to refuse.
        let reached = |upstream: &&Upstream| !upstream.reach.is_silent(need.once, now);
        if open.iter().any(reached) {
            open.retain(|upstream| reached(upstream));
        }
        open.sort_by(|a, b| a.listed.id.cmp(&b.listed.id));
        Ok(open)
    }

    /// Gives what the others should know.
    #[must_use]
    pub fn signs(&self, now: Tick) -> Vec<UpstreamObservation> {
        self.all.values().filter_map(|upstream| upstream.sign(now)).collect()
    }

    /// Takes what others have seen.
    pub fn take_signs(&mut self, signs: &[UpstreamObservation], told: Tick) {
        for sign in signs {
            let Some(upstream) = self.all.get_mut(&sign.id) else {
                continue;
            };
            if let Some((running, waiting, age_ms)) = sign.load {
                upstream.note_load(running, waiting, told - Duration::from_millis(u64::from(age_ms)));
            }
            upstream.others_until = told + Duration::from_millis(u64::from(sign.backlog_ms));
            upstream.overdue_until = told + Duration::from_millis(u64::from(sign.overdue_ms));
        }
    }

    /// Notes that a prompt is sent.
    pub fn note_use(&mut self, parts: &[PromptPart], now: Tick) {
        if parts.len() > 1 {
            self.uses.record(lead(parts), now);
        }
    }

    /// Gives the services of which something may have been learnt, with what it is.
    pub fn learnt(&self) -> impl Iterator<Item = (&ServiceName, EngineRates)> {
        self.paces
            .iter()
            .map(|(service, pace)| (service, pace.borrow().rates()))
    }

    /// Gives what has been learnt of the upstreams of a service.
    #[must_use]
    pub fn rates(&self, service: &ServiceName) -> EngineRates {
        let pace = self.paces.get(service);
        pace.map_or_else(EngineRates::default, |pace| pace.borrow().rates())
    }

    /// Gives an upstream.
    pub fn get(&mut self, id: &str) -> Option<&mut Upstream> {
        self.all.get_mut(id)
    }
}
