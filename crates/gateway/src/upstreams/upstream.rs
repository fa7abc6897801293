//! One upstream with the state known of it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use contract::ListedUpstream;
use policy::Tick;
use policy::backlog::{Backlog, FirstEvent, SentRequest};
use policy::home_speed::{AnswerTimes, SpeedStep};
use policy::load::{LoadEstimate, LoadReport};
use policy::pace::moment::MomentPace;
use policy::pace::{PrefillWork, RelativeSpeed};
use policy::place::{CachedParts, Candidate, PromptPart};
use policy::reach::Reachability;
use policy::send_gate::{Heard, SendGate};
use wire::registry::{PrefillSample, UpstreamObservation};
use xxhash_rust::xxh3::xxh3_64;

use super::service_speed::ServiceSpeed;
use super::{ChosenUpstream, UpstreamNeed};
use crate::dialect::ReportedLoad;
use crate::reclaim_notice::ReclaimNotice;

/// Age up to which a reported load counts. After that, the load is estimated from this host's own requests.
/// Observations of other entry hosts take two heartbeats to arrive.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_500);
/// Age up to which a load reported to this host is passed on to the others; longer than a heartbeat interval.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Age up to which this host reports a replaced upstream to the others; longer than a heartbeat interval.
const MAX_REPLACED_AGE: Duration = Duration::from_secs(1);
/// Age up to which this host tells the others that an upstream has said that it leaves. Its responses to what it still runs
/// say so again.
const MAX_LEAVING_AGE: Duration = Duration::from_secs(2);
/// Time for which a replaced upstream casts doubt on the others of its service: upstreams that end together are found
/// out one after the other.
const DOUBT_TIME: Duration = Duration::from_secs(2);
/// Age up to which a response proves that an upstream exists.
const PROOF_TIME: Duration = Duration::from_millis(500);
/// Age of the last response on this host's own link up to which its idle connections are used while the host is cut off.
const OWN_LINK_TIME: Duration = Duration::from_secs(1);
/// Milliseconds of queued work that hardly show in the time to the first event of the next request.
const MAX_UNQUEUED_MS: f64 = 5.0;
/// Share of an upstream's slots up to which other requests hardly slow down the prefill of a prompt.
const MAX_UNQUEUED_SHARE: f64 = 0.5;

/// An upstream with the state known of it.
#[derive(Debug)]
pub struct Upstream {
    /// Entry of the upstream list.
    pub listed: ListedUpstream,
    load: LoadEstimate,
    /// Whether requests may be sent.
    pub(crate) gate: SendGate,
    cached: CachedParts,
    /// Number of requests that this host runs there.
    pub(super) own_requests: u32,
    /// Hash of the id, from which the homes of prompts are determined.
    pub(crate) id_hash: u64,
    /// When the upstream was first listed.
    pub(super) listed_since: Tick,
    pub(super) backlog: Backlog,
    /// Load that the upstream reported to this host, with the time.
    last_report: Option<(ReportedLoad, Tick)>,
    /// When the upstream will have prefilled the prompts of other entry hosts.
    pub(super) others_busy_until: Tick,
    /// Until when requests of other entry hosts count as overdue there.
    pub(super) overdue_until: Tick,
    /// Learnt speed of the service's upstreams, and this upstream's speed relative to it.
    pub(super) service_speed: ServiceSpeed,
    relative_speed: RelativeSpeed,
    /// Momentary pace.
    pub(super) moment: MomentPace,
    /// Answer times that the leader has not been told.
    answer_times: Cell<AnswerTimes>,
    /// Lasting time relative to the service, as the leader has told all hosts.
    pub(super) step: SpeedStep,
    /// Reachability of the data centre.
    pub(super) reachability: Rc<Reachability>,
    /// When the upstream responded last, or was first listed; `None` if it stood on the first list and has not
    /// responded yet.
    alive_at: Option<Tick>,
    /// When anything last arrived on this host's own link.
    own_link_at: Option<Tick>,
    /// Announced end of the upstream.
    pub(super) notice: Rc<ReclaimNotice>,
    /// Number of places promised to requests that are about to be sent.
    promised: Rc<Cell<u32>>,
}

/// A place at an upstream that is promised to one request; dropping it gives the place back.
#[derive(Debug)]
pub struct PromisedPlace(Rc<Cell<u32>>);

impl Drop for PromisedPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Upstream {
    pub(super) fn new(
        listed: ListedUpstream,
        (reachability, service_speed): (Rc<Reachability>, ServiceSpeed),
        listed_since: Tick,
    ) -> Self {
        Self {
            reachability,
            service_speed,
            relative_speed: RelativeSpeed::default(),
            moment: MomentPace::default(),
            answer_times: Cell::default(),
            step: SpeedStep::default(),
            listed_since,
            id_hash: xxh3_64(listed.id.as_bytes()),
            listed,
            load: LoadEstimate::default(),
            gate: SendGate::default(),
            cached: CachedParts::default(),
            own_requests: 0,
            backlog: Backlog::default(),
            last_report: None,
            others_busy_until: Tick::default(),
            overdue_until: Tick::default(),
            alive_at: None,
            own_link_at: None,
            notice: Rc::default(),
            promised: Rc::default(),
        }
    }

    /// Promises a place to a request.
    pub(super) fn promise(&self) -> PromisedPlace {
        self.promised.set(self.promised.get() + 1);
        PromisedPlace(Rc::clone(&self.promised))
    }

    /// Returns the age of the last load report of any host; `None` if it is too old to count.
    pub(super) fn report_age(&self, now: Tick) -> Option<Duration> {
        let report = self.load.newest()?;
        Some(now.since(report.measured_at)).filter(|age| *age < MAX_LOAD_AGE)
    }

    /// Returns the prompt tokens that this host has sent to the upstream and that it is assumed to have cached.
    pub(super) fn cached_tokens(&self, prompt_parts: &[PromptPart], now: Tick) -> u64 {
        self.cached.tokens(prompt_parts, now)
    }

    pub(super) fn candidate(&self, index: usize, shared_key: u64, need: &UpstreamNeed<'_>, now: Tick) -> Candidate {
        // Without a recent report, each entry host is assumed to have sent as much as this one.
        let estimated = f64::from(self.own_requests) * f64::from(need.entry_hosts.clamp(1, 4));
        let predicted = self.load.predict(now, MAX_LOAD_AGE, true);
        let sent = self.cached.tokens(need.prompt_parts, now);
        let slowness = self.relative_speed.factor() * self.pace(now).factor;
        Candidate {
            index,
            load: predicted.reported.unwrap_or(estimated) + f64::from(self.promised.get()),
            slots: f64::from(self.listed.slots.max(1)),
            cached: sent,
            sent,
            weight: self.step.weigh(xxh3_64(&(self.id_hash ^ shared_key).to_le_bytes())),
            local: self.listed.zone == *need.zone,
            backlog_ms: self.queued_ms(now),
            doubt_ms: 0.0,
            rates: self.service_speed.rates().rates().scaled(slowness),
        }
    }

    /// Returns the milliseconds of work queued before a request that is sent now. It is the known prefill backlog, or
    /// the delay of overdue requests of this and other entry hosts if that is longer.
    fn queued_ms(&self, now: Tick) -> f64 {
        let ms = |until: Tick| until.since(now).as_secs_f64() * 1_000.0;
        let pending = self.backlog.pending_ms(now) + ms(self.others_busy_until);
        pending.max(self.backlog.overdue_ms(now)).max(ms(self.overdue_until))
    }

    /// Records that a request is sent; the parts of its prompt will be cached. Returns its id in the backlog.
    pub fn record_sent(&mut self, prompt_parts: &[PromptPart], chosen: &ChosenUpstream, now: Tick) -> u64 {
        let unqueued =
            self.queued_ms(now) < MAX_UNQUEUED_MS && chosen.load < f64::from(self.listed.slots) * MAX_UNQUEUED_SHARE;
        let sent = SentRequest {
            prefill: chosen.prefill,
            prefill_ms: chosen.prediction.prefill_ms,
            predicted_ms: chosen.prediction.ms,
            unqueued: unqueued && !prompt_parts.is_empty() && chosen.fetch_from.is_none(),
            pace: chosen.pace,
        };
        let backlog_id = self.backlog.sent(sent, now);
        self.own_requests += 1;
        self.load.sent(now);
        self.cached.store(prompt_parts, now);
        backlog_id
    }

    /// Records that a request is on its way to the upstream. The choice has already asked the breaker; this keeps further
    /// requests away while one tests the upstream, from before it connects.
    pub fn record_attempt(&mut self, now: Tick) {
        // Another request may have claimed the test since the choice.
        let _ = self.gate.breaker.claim(now);
    }

    /// Records the first event of a request, or its whole response. Returns the timed prefill if the request found no
    /// other work at the upstream, and upstreams of the service report their pace: these are uneven, so that hosts have to
    /// learn their speeds together.
    pub fn record_first_event(&mut self, backlog_id: u64, now: Tick) -> Option<PrefillSample> {
        self.gate.breaker.succeeded();
        self.record_alive(now);
        let first_event = self.backlog.first_event(backlog_id, now);
        let FirstEvent { sent, elapsed_ms } = first_event.filter(|first_event| first_event.sent.unqueued)?;
        self.learn_prefill(sent.prefill, elapsed_ms, sent.pace.factor);
        if !self.reports_pace() {
            return None;
        }
        self.record_answer_time(sent.prefill, elapsed_ms / sent.pace.factor);
        Some(PrefillSample {
            id: self.listed.id.clone(),
            cached: sent.prefill.cached,
            fresh: sent.prefill.fresh,
            ms: elapsed_ms,
            pace: sent.pace.factor,
        })
    }

    /// Records the time of an answer without the momentary pace, for the speed step that the leader decides.
    fn record_answer_time(&mut self, prefill: PrefillWork, ms: f64) {
        let mut service_rates = self.service_speed.rates_mut();
        let rates = service_rates.rates();
        let expected_ms = rates.base_ms + rates.prefill_ms(prefill);
        self.answer_times
            .get_mut()
            .record(&mut service_rates.usual, ms, expected_ms);
    }

    /// Learns the lasting speeds of the upstream and of its service from a prefill that found no other work, without the
    /// momentary pace that was expected when the request was sent.
    pub(super) fn learn_prefill(&mut self, prefill: PrefillWork, ms: f64, pace: f64) {
        let mut service_rates = self.service_speed.rates_mut();
        let rates = service_rates.rates();
        self.relative_speed
            .learn_paced(ms, rates.base_ms + rates.prefill_ms(prefill), pace);
        service_rates.learn(prefill, ms / pace, self.relative_speed.factor());
    }

    /// Returns whether upstreams of the service say how fast they are at the moment.
    #[must_use]
    pub fn reports_pace(&self) -> bool {
        self.service_speed.trust().is_reported()
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, backlog_id: u64, chosen: &ChosenUpstream, sent_at: Tick, now: Tick) {
        let run = now.since(sent_at);
        let pace = self.service_speed.trust().mean_over(chosen.pace.factor, run);
        self.service_speed
            .rates_mut()
            .learn_run(run.as_secs_f64() * 1_000.0 / pace);
        self.backlog.ended(backlog_id);
        self.own_requests = self.own_requests.saturating_sub(1);
        self.load.ended(now);
    }

    /// Returns the announced end.
    #[must_use]
    pub fn notice(&self) -> Rc<ReclaimNotice> {
        Rc::clone(&self.notice)
    }

    /// Returns the reachability of the data centre.
    #[must_use]
    pub fn reachability(&self) -> Rc<Reachability> {
        Rc::clone(&self.reachability)
    }

    /// Records that the upstream did not accept a connection.
    pub fn record_connect_failure(&mut self, now: Tick) {
        self.reachability.record_connect_timeout(now);
        self.gate.breaker.failed(now);
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Tick) {
        self.gate.breaker.failed(now);
    }

    /// Records that another incarnation responded at the address; `own` tells whether to a request of this host.
    pub fn mark_replaced(&mut self, own: bool, now: Tick) {
        self.gate.record_replaced(Heard { at: now, own });
    }

    /// Records a load that the upstream reported.
    pub fn record_load(&mut self, load: ReportedLoad, now: Tick) {
        if load.slots > 0 {
            self.listed.slots = load.slots;
        }
        if let Some(pace) = load.pace {
            self.record_pace(pace, now);
        }
        self.last_report = Some((load, now));
        self.update_load(load.running, load.waiting, now);
    }

    /// Applies a load that the upstream reported to any host.
    pub fn update_load(&mut self, running: u32, waiting: u32, measured_at: Tick) {
        self.load.update(LoadReport {
            measured_at,
            running,
            waiting,
            kv_used: 0.0,
        });
        self.record_alive(measured_at);
    }

    /// Records that the upstream responded, or was listed for the first time.
    pub(super) fn record_alive(&mut self, at: Tick) {
        self.alive_at = self.alive_at.max(Some(at));
    }

    /// Returns whether the upstream takes no new requests, as the list or the upstream itself says.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.listed.leaving || self.gate.is_leaving()
    }

    /// Returns whether the upstream responded lately, so that it very likely still exists.
    pub(super) fn is_proven(&self, now: Tick) -> bool {
        self.alive_at.is_some_and(|at| now.since(at) < PROOF_TIME)
    }

    /// Records that something arrived on this host's own link.
    pub(crate) fn record_own_link(&mut self, now: Tick) {
        self.own_link_at = Some(now);
    }

    /// Returns whether the upstream has answered on this host's own link a moment ago.
    pub(crate) fn answers_on_own_link(&self, now: Tick) -> bool {
        self.own_link_at.is_some_and(|at| now.since(at) < OWN_LINK_TIME)
    }

    /// Returns the time since any host last heard from the upstream; `None` if nobody has.
    #[must_use]
    pub fn heard_age(&self, now: Tick) -> Option<Duration> {
        self.alive_at.map(|at| now.since(at))
    }

    /// Returns whether another incarnation was found at the address lately.
    pub(super) fn casts_doubt(&self, now: Tick) -> bool {
        self.gate.replaced_age(now).is_some_and(|age| age < DOUBT_TIME)
    }

    /// Returns what other entry hosts should know of the upstream, if anything. Answer times are told once.
    pub(super) fn observation(&self, now: Tick) -> Option<UpstreamObservation> {
        let fresh = self
            .last_report
            .filter(|(_, reported_at)| now.since(*reported_at) < MAX_REPORT_AGE);
        let load =
            fresh.map(|(load, reported_at)| (load.running, load.waiting, now.since(reported_at).as_millis() as u32));
        let backlog_ms = self.backlog.pending_ms(now) as u32;
        let overdue_ms = self.backlog.overdue_ms(now) as u32;
        let replaced = self
            .gate
            .own_replaced_age(now)
            .is_some_and(|age| age < MAX_REPLACED_AGE);
        let told_leaving = self.gate.own_leaving_age(now).filter(|age| *age < MAX_LEAVING_AGE);
        let leaving = told_leaving.map(|_| self.listed.start);
        let pace = self.shared_pace(now);
        let mut untold = self.answer_times.take();
        let times = untold.take();
        let is_delayed = backlog_ms > 0 || overdue_ms > 0 || pace.is_some();
        let is_news = load.is_some() || is_delayed || replaced || leaving.is_some() || times.is_some();
        is_news.then(|| UpstreamObservation {
            id: self.listed.id.clone(),
            load,
            backlog_ms,
            overdue_ms,
            replaced,
            leaving,
            pace,
            times,
            step: None,
        })
    }
}
