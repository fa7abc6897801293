//! The listed upstreams with the state known of each: load, failures and cached prompt parts.

mod former;
mod limits;
mod no_upstream;
mod paces;
mod service_speed;
mod upstream;
mod versions;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{ListedUpstream, RolloutTrial, ServiceName, Zone};
use metrics::counter;
use policy::Tick;
use policy::breaker::Breaker;
use policy::fetch::plan_fetch;
use policy::home_speed::SpeedStep;
use policy::homes::{PartUsage, assume_former_homes_cached, assume_home_cached};
use policy::origins::{ListCoverage, VersionHistory};
use policy::pace::moment::ExpectedPace;
use policy::pace::{EngineRates, PrefillWork};
use policy::place::{Candidate, Prediction, PromptNeed, PromptPart, choose, has_room};
use policy::reach::Reachability;
use policy::spread::choose_spread;
use wire::registry::{PrefillSample, UpstreamObservation};
use xxhash_rust::xxh3::xxh3_64;

use former::FormerUpstream;
pub use no_upstream::NoUpstream;
pub use paces::PaceSummary;
use service_speed::ServiceSpeed;
pub use upstream::{PromisedPlace, Upstream};

use crate::prefill_samples::is_plausible;
use crate::rollouts::{Rollouts, TrialSubject};

/// Milliseconds by which predictions may differ and still count as equal. Among equal ones entry hosts prefer the same
/// upstream for the same prompt parts. A smaller value spreads the parts, so that more shared tokens are prefilled
/// again; a larger one takes slower upstreams.
const EQUAL_WITHIN_MS: f64 = 100.0;
/// Cost of a wasted attempt at an upstream that was replaced, in milliseconds: it takes one of few retries. An upstream
/// without a recent response is expected to cost the share of it that its service has replaced upstreams. With a larger
/// value, the few that have responded get all requests.
const WASTED_ATTEMPT_MS: f64 = 1_000.0;
/// Factor on the slot time of a candidate, whose rates include the momentary pace already.
const USUAL_PACE: f64 = 1.0;

/// All listed upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    all: HashMap<String, Upstream>,
    /// Upstreams that are no longer listed.
    former: HashMap<String, FormerUpstream>,
    reachability: HashMap<Zone, Rc<Reachability>>,
    /// Learnt speed by service.
    speeds: HashMap<ServiceName, ServiceSpeed>,
    /// How often prompts share their parts.
    part_usage: PartUsage,
    /// Rollouts that run or have just ended.
    pub rollouts: Rollouts,
    /// When each service last had several versions.
    versions: HashMap<ServiceName, VersionHistory>,
    /// For how long this host has known which versions are listed.
    pub(crate) coverage: ListCoverage,
    /// Whether the last list brought a second version of a service.
    has_mixed: bool,
    /// When the newest list was requested; `None` before the first one.
    pub list_time: Option<Tick>,
}

/// Requirements of a request on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamNeed<'a> {
    /// Service that the upstream has to serve.
    pub service: &'a ServiceName,
    /// Parts of the prompt in order; empty for a plain request.
    pub prompt_parts: &'a [PromptPart],
    /// Incarnations that were tried already.
    pub tried: &'a [String],
    /// Data centre of this entry host.
    pub zone: &'a Zone,
    /// Whether the request must run at most once.
    pub runs_once: bool,
    /// Longest pause in an output that counts as in time, in milliseconds; zero if the response comes as a whole.
    pub max_pause_ms: u64,
    /// Number of entry hosts that share the upstreams.
    pub entry_hosts: u32,
    /// Time to copy the KV cache of one token between upstreams, in milliseconds; `None` if they can't copy.
    pub copy_ms: Option<f64>,
    /// Uniform in 0 to 1 and the same for all attempts of a request; chooses the version during a rollout.
    pub draw: f64,
    /// Version that the upstream has to have; `None` for any.
    pub version: Option<&'a str>,
}

impl UpstreamNeed<'_> {
    fn prompt_need(&self) -> PromptNeed {
        let max_pause = (self.max_pause_ms > 0).then_some(self.max_pause_ms as f64);
        PromptNeed {
            tokens: self.tokens(),
            max_pause_ms: max_pause.unwrap_or(f64::INFINITY),
        }
    }

    /// Returns a number that is uniform in 0 to 1, for the choice of an upstream at `now`. It does not depend on the
    /// version that `draw` chooses, and a retry has another one.
    fn call_draw(&self, now: Tick) -> f64 {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.draw.to_bits().to_le_bytes());
        bytes[8..].copy_from_slice(&now.0.as_nanos().to_le_bytes());
        xxh3_64(&bytes) as f64 / u64::MAX as f64
    }

    /// Returns the number of prompt tokens.
    fn tokens(&self) -> u64 {
        self.prompt_parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens that other prompts may share; the last part belongs to this request alone.
    fn shared_tokens(&self) -> u64 {
        self.prompt_parts.iter().rev().skip(1).map(|part| part.tokens).sum()
    }
}

/// Returns the key of the last part that prompts share. It determines the home of a prompt, the upstream that all entry
/// hosts prefer for it.
fn shared_key(parts: &[PromptPart]) -> u64 {
    let index = parts.len().saturating_sub(2);
    parts.get(index).map_or(0, |part| part.key)
}

/// Returns the upstream for a call without a prompt, and counts the choice. Calls are spread over upstreams that share their
/// machines with others and say so; otherwise the lowest predicted time is taken.
fn choose_for_call(
    candidates: &[Candidate],
    need: &UpstreamNeed<'_>,
    reports_pace: bool,
    now: Tick,
) -> Option<Prediction> {
    let prediction = if reports_pace {
        choose_spread(candidates, need.entry_hosts, need.call_draw(now))?
    } else {
        choose(candidates, need.prompt_need(), 0.0)?
    };
    let slot = if prediction.has_slot { "free" } else { "taken" };
    counter!("gentian_gateway_call_choices_total", "service" => need.service.to_string(), "slot" => slot).increment(1);
    Some(prediction)
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenUpstream {
    /// Incarnation of the upstream.
    pub id: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Version of its software; empty if none is known.
    pub version: String,
    /// Predicted times that led to the choice.
    pub prediction: Prediction,
    /// Load that the prediction assumes, in requests.
    pub load: f64,
    /// Prompt tokens that the upstream is assumed to have cached, and those that it has to prefill.
    pub prefill: PrefillWork,
    /// Momentary pace that the prediction assumes.
    pub pace: ExpectedPace,
    /// Address of the upstream from which it fetches cached parts of the prompt first.
    pub fetch_from: Option<SocketAddr>,
}

/// Up to which load an upstream counts as having room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoomBound {
    /// Its slots, and what ends before the next report arrives.
    Slots,
    /// Twice its slots, while any upstream has room by its slots.
    AnySlot,
    /// Twice its slots.
    Queue,
}

/// How a request is expected to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartForecast {
    /// Prompt tokens that no upstream is known to have cached.
    pub fresh: u64,
    /// Time from the start to the first event, or to the whole response of a call without a prompt, in milliseconds.
    pub first_ms: f64,
}

impl Upstreams {
    /// Applies a list, keeping the state of upstreams that stay. Returns the upstreams that started to leave or are
    /// gone.
    pub fn update(&mut self, list: Vec<ListedUpstream>, list_time: Tick) -> Vec<String> {
        let mut ended: Vec<String> = Vec::new();
        let mut previous = std::mem::take(&mut self.all);
        for listed in list {
            let id = listed.id.clone();
            let reach = Rc::clone(self.reachability.entry(listed.zone.clone()).or_default());
            let speed = self.speeds.entry(listed.service.clone()).or_default().clone();
            let upstream = match previous.remove(&id) {
                Some(known) if known.listed.start != listed.start => {
                    let mut restarted = Upstream::new(listed, (reach, speed), list_time);
                    restarted.record_alive(list_time);
                    restarted
                }
                Some(mut known) => {
                    if listed.leaving && !known.listed.leaving {
                        ended.push(id.clone());
                    }
                    if known.listed.address != listed.address {
                        known.gate.clear_replaced();
                    }
                    known.listed = listed;
                    known
                }
                None => {
                    let mut started = Upstream::new(listed, (reach, speed), list_time);
                    let former = self.former.remove(&id);
                    if let Some(former) = former.filter(|former| former.start == started.listed.start) {
                        started.gate = former.gate;
                    }
                    if self.list_time.is_some() {
                        started.record_alive(list_time);
                    }
                    started
                }
            };
            if let Some(left) = upstream.listed.left.filter(|_| upstream.listed.leaving) {
                upstream.notice.announce(list_time + left);
            }
            self.all.insert(id, upstream);
        }
        self.remember(previous, list_time, &mut ended);
        self.list_time = Some(list_time);
        self.record_versions(list_time);
        ended
    }

    /// Chooses an upstream for a request, also one that will queue it.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn choose(&self, need: &UpstreamNeed<'_>, now: Tick) -> Result<ChosenUpstream, NoUpstream> {
        self.choose_within(need, RoomBound::Queue, now)
    }

    /// Chooses an upstream while any of them would run the request at once. It may be one that queues it: a home that has
    /// the prompt's parts can be worth the wait.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn choose_unless_full(&self, need: &UpstreamNeed<'_>, now: Tick) -> Result<ChosenUpstream, NoUpstream> {
        let bound = if need.prompt_parts.is_empty() {
            RoomBound::Queue
        } else {
            RoomBound::AnySlot
        };
        self.choose_within(need, bound, now)
    }

    /// Chooses an upstream that runs the request at once, or as soon as one of those that have just ended is reported.
    /// Requests without a prompt end faster than reports arrive, so that the upstream may queue them.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn choose_with_room(&self, need: &UpstreamNeed<'_>, now: Tick) -> Result<ChosenUpstream, NoUpstream> {
        let bound = if need.prompt_parts.is_empty() {
            RoomBound::Queue
        } else {
            RoomBound::Slots
        };
        self.choose_within(need, bound, now)
    }

    fn choose_within(
        &self,
        need: &UpstreamNeed<'_>,
        bound: RoomBound,
        now: Tick,
    ) -> Result<ChosenUpstream, NoUpstream> {
        self.check_reachability(now);
        let usable = self.usable(need, now)?;
        let shared_key = shared_key(need.prompt_parts);
        let indexed = usable.iter().enumerate();
        let candidates = indexed.map(|(at, upstream)| upstream.candidate(at, shared_key, need, now));
        let takes = |candidate: &Candidate, report_age| {
            let Candidate { load, slots, rates, .. } = candidate;
            has_room(*load, *slots, report_age, rates.run_ms, USUAL_PACE)
        };
        let runs_now = |candidate: &Candidate| takes(candidate, usable[candidate.index].report_age(now));
        let fits = |candidate: &Candidate| match bound {
            RoomBound::Queue | RoomBound::AnySlot => takes(candidate, None),
            RoomBound::Slots => runs_now(candidate),
        };
        let mut candidates: Vec<Candidate> = candidates.filter(fits).collect();
        if bound == RoomBound::AnySlot && !candidates.iter().any(runs_now) {
            return Err(NoUpstream::AllFull);
        }
        let doubt_ms = self.replaced_share(need.service, now) * WASTED_ATTEMPT_MS;
        for candidate in &mut candidates {
            let proven = usable[candidate.index].is_proven(now);
            candidate.doubt_ms = if proven { 0.0 } else { doubt_ms };
        }
        let other_entries = need.entry_hosts.saturating_sub(1);
        let observed_span = self.part_usage.observed_span(now);
        let cached_within = |span: Duration| {
            self.part_usage
                .cached_by_others(shared_key, other_entries, span.min(observed_span), now)
        };
        let listed_for = |candidate: &Candidate| now.since(usable[candidate.index].listed_since);
        assume_home_cached(&mut candidates, need.shared_tokens(), |home| {
            cached_within(listed_for(home))
        });
        assume_former_homes_cached(&mut candidates, need.shared_tokens(), listed_for, cached_within);
        let best = if need.prompt_parts.is_empty() {
            let reports_pace = usable.first().is_some_and(|upstream| upstream.reports_pace());
            choose_for_call(&candidates, need, reports_pace, now)
        } else {
            choose(&candidates, need.prompt_need(), EQUAL_WITHIN_MS)
        };
        let mut prediction = best.ok_or(NoUpstream::AllFull)?;
        let chosen = usable[prediction.index];
        let candidate = candidates.iter().find(|candidate| candidate.index == prediction.index);
        let mut prefill = candidate.map_or_else(PrefillWork::default, |candidate| candidate.prefill(need.tokens()));
        let fetch = candidate
            .zip(need.copy_ms)
            .and_then(|(target, copy_ms)| plan_fetch(&candidates, target, need.tokens(), copy_ms));
        if let Some(fetch) = fetch {
            prediction.ms -= prediction.prefill_ms - fetch.ms;
            prediction.prefill_ms = fetch.ms;
            prefill = fetch.prefill;
        }
        Ok(ChosenUpstream {
            id: chosen.listed.id.clone(),
            address: chosen.listed.address,
            version: chosen.listed.version.clone(),
            prediction,
            load: candidate.map_or(0.0, |candidate| candidate.load),
            prefill,
            pace: chosen.pace(now),
            fetch_from: fetch.map(|fetch| usable[fetch.source].listed.address),
        })
    }

    /// Forecasts how a request starts at an upstream that has room.
    #[must_use]
    pub fn forecast(&self, need: &UpstreamNeed<'_>, now: Tick) -> StartForecast {
        let rates = self.rates(need.service);
        if need.prompt_parts.is_empty() {
            return StartForecast {
                fresh: 0,
                first_ms: rates.run_ms,
            };
        }
        let serving = self
            .all
            .values()
            .filter(|upstream| upstream.listed.service == *need.service);
        let cached = serving
            .map(|upstream| upstream.cached_tokens(need.prompt_parts, now))
            .max();
        let prefill = PrefillWork {
            cached: cached.unwrap_or(0),
            fresh: need.tokens().saturating_sub(cached.unwrap_or(0)),
        };
        StartForecast {
            fresh: prefill.fresh,
            first_ms: rates.base_ms + rates.prefill_ms(prefill),
        }
    }

    /// Promises a place at an upstream to a request that is about to be sent; the place counts as taken until the promise
    /// is dropped. `None` if the upstream is not listed.
    #[must_use]
    pub fn promise(&self, id: &str) -> Option<PromisedPlace> {
        self.all.get(id).map(Upstream::promise)
    }

    /// Returns the share of a service's upstreams that were found to be replaced lately; others may be, too.
    fn replaced_share(&self, service: &ServiceName, now: Tick) -> f64 {
        let serving = self.all.values().filter(|upstream| upstream.listed.service == *service);
        let (mut all, mut replaced) = (0_u32, 0_u32);
        for upstream in serving {
            all += 1;
            replaced += u32::from(upstream.casts_doubt(now));
        }
        f64::from(replaced) / f64::from(all.max(1))
    }

    /// Updates the reachability of data centres from the requests that wait there.
    fn check_reachability(&self, now: Tick) {
        for upstream in self.all.values() {
            if let Some(sent) = upstream.backlog.oldest() {
                upstream.reachability.record_wait(sent, now);
            }
        }
    }

    /// Returns the upstreams of a service that may take a request, ordered by id.
    fn usable(&self, need: &UpstreamNeed<'_>, now: Tick) -> Result<Vec<&Upstream>, NoUpstream> {
        let serves = |upstream: &&Upstream| upstream.listed.service == *need.service && !upstream.listed.leaving;
        let mut serving: Vec<&Upstream> = self.all.values().filter(serves).collect();
        let is_listed = !serving.is_empty();
        serving.retain(|upstream| !upstream.gate.is_leaving());
        if serving.is_empty() && is_listed {
            return Err(NoUpstream::AllLeaving);
        }
        if let Some(version) = need.version
            && !serving.is_empty()
        {
            serving.retain(|upstream| upstream.listed.version == version);
            if serving.is_empty() {
                return Err(NoUpstream::NoVersion);
            }
        }
        self.rollouts.retain_version(&mut serving, need, now);
        if serving.is_empty() {
            return Err(NoUpstream::NoneListed);
        }
        let mut holds = Vec::new();
        let mut usable: Vec<&Upstream> = Vec::new();
        for upstream in serving {
            match upstream.gate.check(now) {
                Ok(()) if need.tried.contains(&upstream.listed.id) => {}
                Ok(()) => usable.push(upstream),
                Err(hold) => holds.push(hold),
            }
        }
        if usable.is_empty() {
            return Err(NoUpstream::all_held(&holds));
        }
        // If all upstreams are cut off, they are used all the same.
        let reached = |upstream: &&Upstream| !upstream.reachability.is_silent(need.runs_once, now);
        if usable.iter().any(reached) {
            usable.retain(|upstream| reached(upstream));
        }
        usable.sort_by(|a, b| a.listed.id.cmp(&b.listed.id));
        Ok(usable)
    }

    /// Returns what other entry hosts should know of the upstreams.
    #[must_use]
    pub fn observations(&self, now: Tick) -> Vec<UpstreamObservation> {
        self.all
            .values()
            .filter_map(|upstream| upstream.observation(now))
            .collect()
    }

    /// Applies the observations of other entry hosts.
    pub fn merge_observations(&mut self, observations: &[UpstreamObservation], received_at: Tick) {
        for observation in observations {
            if let Some(start) = observation.leaving {
                self.mark_leaving(&observation.id, start, received_at);
            }
            let Some(upstream) = self.all.get_mut(&observation.id) else {
                continue;
            };
            if let Some((running, waiting, age_ms)) = observation.load {
                upstream.update_load(running, waiting, received_at - Duration::from_millis(u64::from(age_ms)));
            }
            if let Some(pace) = observation.pace {
                upstream.merge_pace(pace, received_at);
            }
            upstream.others_busy_until = received_at + Duration::from_millis(u64::from(observation.backlog_ms));
            upstream.overdue_until = received_at + Duration::from_millis(u64::from(observation.overdue_ms));
            if let Some(step) = observation.step {
                upstream.step = SpeedStep::new(step);
            }
            if observation.replaced && !upstream.gate.is_replaced(received_at) {
                upstream.mark_replaced(false, received_at);
            }
        }
    }

    /// Learns from prefills that other entry hosts have timed, at upstreams that report their pace. Those of others, and of
    /// upstreams that are not listed here, are left out.
    pub fn learn_prefills(&mut self, samples: &[PrefillSample]) {
        for sample in samples.iter().filter(|sample| is_plausible(sample)) {
            if let Some(upstream) = self.all.get_mut(&sample.id).filter(|upstream| upstream.reports_pace()) {
                let prefill = PrefillWork {
                    cached: sample.cached,
                    fresh: sample.fresh,
                };
                upstream.learn_prefill(prefill, sample.ms, sample.pace);
            }
        }
    }

    /// Returns what this host has seen of running rollouts, by service.
    #[must_use]
    pub fn trials(&self) -> BTreeMap<String, RolloutTrial> {
        let old_running = |service: &ServiceName, version: &str| {
            let old = |upstream: &&Upstream| upstream.listed.service == *service && upstream.listed.version != version;
            let running = self
                .all
                .values()
                .filter(old)
                .map(|upstream| u64::from(upstream.own_requests));
            running.sum()
        };
        self.rollouts.trials(old_running).collect()
    }

    /// Records that a prompt is sent.
    pub fn record_use(&mut self, parts: &[PromptPart], now: Tick) {
        if parts.len() > 1 {
            self.part_usage.record(shared_key(parts), now);
        }
    }

    /// Returns the learnt rates of all services; default rates if nothing was learnt.
    pub fn all_rates(&self) -> impl Iterator<Item = (&ServiceName, EngineRates)> {
        self.speeds
            .iter()
            .map(|(service, speed)| (service, speed.rates().rates()))
    }

    /// Returns the number of upstreams whose lasting speed the homes of prompt parts follow.
    #[must_use]
    pub fn stepped_count(&self) -> usize {
        let is_stepped = |upstream: &&Upstream| upstream.step != SpeedStep::default();
        self.all.values().filter(is_stepped).count()
    }

    /// Returns the learnt rates of a service; default rates if nothing was learnt.
    #[must_use]
    pub fn rates(&self, service: &ServiceName) -> EngineRates {
        let speed = self.speeds.get(service);
        speed.map_or_else(EngineRates::default, |speed| speed.rates().rates())
    }

    /// Starts to count a request to an upstream; `None` if no rollout of the service is running.
    pub(crate) fn start_trial(&mut self, service: &ServiceName, route: &str, id: &str) -> Option<TrialSubject> {
        let upstream = self.all.get(id)?;
        self.rollouts.start_trial(service, route, upstream)
    }

    /// Returns the address of an upstream of a service; `None` if it is not listed.
    #[must_use]
    pub fn address_of(&self, service: &ServiceName, id: &str) -> Option<SocketAddr> {
        let upstream = self.all.get(id)?;
        (upstream.listed.service == *service).then_some(upstream.listed.address)
    }

    /// Forgets the failures of a service's upstreams, as the host's own link has caused them.
    pub(crate) fn close_breakers(&mut self, service: &ServiceName) {
        let serving = self.all.values_mut();
        for upstream in serving.filter(|upstream| upstream.listed.service == *service) {
            upstream.gate.breaker = Breaker::default();
        }
    }

    /// Returns the number of requests that an upstream runs at once; 1 if it is not listed.
    #[must_use]
    pub fn slots_of(&self, id: &str) -> u32 {
        self.all.get(id).map_or(1, |upstream| upstream.listed.slots)
    }

    /// Returns the number of requests that this host runs at the upstreams of a service, and the slots of all of these.
    #[must_use]
    pub fn use_of(&self, service: &ServiceName) -> (usize, u32) {
        let serving = self.all.values().filter(|upstream| upstream.listed.service == *service);
        serving.fold((0, 0), |(running, slots), upstream| {
            (
                running + upstream.own_requests as usize,
                slots.saturating_add(upstream.listed.slots),
            )
        })
    }

    /// Returns names and addresses of the upstreams of a service that stay.
    pub fn listed(&self, service: &ServiceName) -> impl Iterator<Item = (String, SocketAddr)> {
        let serving = self.all.values().filter(move |upstream| {
            let listed = &upstream.listed;
            listed.service == *service && !upstream.is_leaving()
        });
        serving.map(|upstream| (upstream.listed.id.clone(), upstream.listed.address))
    }

    /// Returns an upstream by its incarnation.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.all.get_mut(id)
    }
}
