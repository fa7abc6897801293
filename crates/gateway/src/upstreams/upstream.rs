//! One upstream with what is known of it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use contract::Listed;
use policy::Tick;
use policy::backlog::{Backlog, SentRequest};
use policy::breaker::Breaker;
use policy::load::{LoadEstimate, LoadReport};
use policy::pace::{RelativeSpeed, SpeedEstimate};
use policy::place::{CachedParts, Candidate, PromptPart};
use policy::reach::Reachability;
use wire::registry::UpstreamObservation;
use xxhash_rust::xxh3::xxh3_64;

use super::{ChosenUpstream, UpstreamNeed};
use crate::dialect::ReportedLoad;
use crate::reclaim_notice::ReclaimNotice;

/// How long a load that an upstream told counts; afterwards own requests stand for those of all entry hosts. What others
/// have seen takes two beats to come here.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_500);
/// Age up to which an own sight of an upstream's load is told to the others; longer than a beat.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Milliseconds of work before a request that don't show in the time to its first event.
const MAX_UNQUEUED_MS: f64 = 5.0;
/// Part of an upstream's slots up to which the other requests there don't hold up the reading of a prompt.
const MAX_UNQUEUED_SHARE: f64 = 0.5;

/// An upstream with what is known of it.
#[derive(Debug)]
pub struct Upstream {
    /// As the list names it.
    pub listed: Listed,
    load: LoadEstimate,
    pub(super) breaker: Breaker,
    cached: CachedParts,
    /// Own requests there.
    own_requests: u32,
    /// Hash of its name, for the homes of prompts.
    id_hash: u64,
    /// When it was listed first.
    pub(super) listed_since: Tick,
    pub(super) backlog: Backlog,
    /// Load that it told this entry host, and when.
    last_report: Option<(ReportedLoad, Tick)>,
    /// Until when it reads what other entry hosts have sent.
    pub(super) others_busy_until: Tick,
    /// Until when requests of other entry hosts are taken to be overdue there.
    pub(super) overdue_until: Tick,
    /// What is learnt of its service's upstreams, and how it differs from them.
    service_speed: Rc<RefCell<SpeedEstimate>>,
    relative_speed: RelativeSpeed,
    /// What is heard of its data centre.
    pub(super) reachability: Rc<Reachability>,
    /// It said that it is another incarnation.
    pub(super) replaced: bool,
    /// Its announced end.
    pub(super) notice: Rc<ReclaimNotice>,
}

impl Upstream {
    pub(super) fn new(
        listed: Listed,
        (reachability, service_speed): (Rc<Reachability>, Rc<RefCell<SpeedEstimate>>),
        listed_since: Tick,
    ) -> Self {
        Self {
            reachability,
            service_speed,
            relative_speed: RelativeSpeed::default(),
            listed_since,
            id_hash: xxh3_64(listed.id.as_bytes()),
            listed,
            load: LoadEstimate::default(),
            breaker: Breaker::default(),
            cached: CachedParts::default(),
            own_requests: 0,
            backlog: Backlog::default(),
            last_report: None,
            others_busy_until: Tick::default(),
            overdue_until: Tick::default(),
            replaced: false,
            notice: Rc::default(),
        }
    }

    pub(super) fn candidate(&self, at: usize, shared_key: u64, need: &UpstreamNeed<'_>, now: Tick) -> Candidate {
        // Other entry hosts send about as much as this one; without a fresh report the own requests stand for theirs.
        let estimated = f64::from(self.own_requests) * f64::from(need.entry_hosts.clamp(1, 4));
        let predicted = self.load.predict(now, MAX_LOAD_AGE, true);
        Candidate {
            at,
            load: predicted.reported.unwrap_or(estimated),
            slots: f64::from(self.listed.slots.max(1)),
            cached: self.cached.tokens(need.prompt_parts, now),
            weight: xxh3_64(&(self.id_hash ^ shared_key).to_le_bytes()),
            near: self.listed.zone == *need.zone,
            backlog_ms: self.queued_ms(now),
            rates: self.service_speed.borrow().rates().scaled(self.relative_speed.factor()),
        }
    }

    /// Gives the milliseconds of work that goes before a request that is sent now: what is known to be unread, or by how much
    /// requests are seen to wait longer, here or at another entry host.
    fn queued_ms(&self, now: Tick) -> f64 {
        let ms = |until: Tick| until.since(now).as_secs_f64() * 1_000.0;
        let pending = self.backlog.pending_ms(now) + ms(self.others_busy_until);
        pending.max(self.backlog.overdue_ms(now)).max(ms(self.overdue_until))
    }

    /// Notes that a request is sent; with a prompt, its parts will be cached. Gives the number under which it waits for
    /// its first event.
    pub fn record_sent(&mut self, prompt_parts: &[PromptPart], chosen: &ChosenUpstream, now: Tick) -> u64 {
        let unqueued =
            self.queued_ms(now) < MAX_UNQUEUED_MS && chosen.load < f64::from(self.listed.slots) * MAX_UNQUEUED_SHARE;
        let sent = SentRequest {
            prefill: chosen.prefill,
            prefill_ms: chosen.prediction.prefill_ms,
            predicted_ms: chosen.prediction.ms,
            unqueued: unqueued && !prompt_parts.is_empty(),
        };
        let backlog_id = self.backlog.sent(sent, now);
        self.own_requests += 1;
        self.load.sent(now);
        self.cached.store(prompt_parts, now);
        // The choice has looked at the breaker; the claim keeps a second request from following a probe.
        let _ = self.breaker.claim(now);
        backlog_id
    }

    /// Notes that a request got its first event, or its whole answer.
    pub fn record_first_event(&mut self, backlog_id: u64, now: Tick) {
        self.breaker.succeeded();
        let Some(first_event) = self
            .backlog
            .first_event(backlog_id, now)
            .filter(|first_event| first_event.sent.unqueued)
        else {
            return;
        };
        let mut service_speed = self.service_speed.borrow_mut();
        let (prefill, rates) = (first_event.sent.prefill, service_speed.rates());
        self.relative_speed
            .learn(first_event.elapsed_ms, rates.base_ms + rates.prefill_ms(prefill));
        service_speed.learn(prefill, first_event.elapsed_ms, self.relative_speed.factor());
    }

    /// Notes that a request has ended there.
    pub fn record_end(&mut self, backlog_id: u64, sent_at: Tick, now: Tick) {
        self.service_speed
            .borrow_mut()
            .learn_run(now.since(sent_at).as_secs_f64() * 1_000.0);
        self.backlog.ended(backlog_id);
        self.own_requests = self.own_requests.saturating_sub(1);
        self.load.ended(now);
    }

    /// Gives its announced end.
    #[must_use]
    pub fn notice(&self) -> Rc<ReclaimNotice> {
        Rc::clone(&self.notice)
    }

    /// Gives what is heard of its data centre.
    #[must_use]
    pub fn reachability(&self) -> Rc<Reachability> {
        Rc::clone(&self.reachability)
    }

    /// Notes that it did not accept a connection.
    pub fn record_connect_failure(&mut self, now: Tick) {
        self.reachability.record_connect_timeout(now);
        self.breaker.failed(now);
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: Tick) {
        self.breaker.failed(now);
    }

    /// Notes that another incarnation answers at its address.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// Notes the load that it told.
    pub fn record_load(&mut self, load: ReportedLoad, now: Tick) {
        if load.slots > 0 {
            self.listed.slots = load.slots;
        }
        self.last_report = Some((load, now));
        self.update_load(load.running, load.waiting, now);
    }

    pub(super) fn update_load(&mut self, running: u32, waiting: u32, measured_at: Tick) {
        self.load.update(LoadReport {
            measured_at,
            running,
            waiting,
            kv_used: 0.0,
        });
    }

    /// Gives what the others should know of it, if there is something.
    pub(super) fn observation(&self, now: Tick) -> Option<UpstreamObservation> {
        let fresh = self.last_report.filter(|(_, at)| now.since(*at) < MAX_REPORT_AGE);
        let load = fresh.map(|(load, at)| (load.running, load.waiting, now.since(at).as_millis() as u32));
        let backlog_ms = self.backlog.pending_ms(now) as u32;
        let overdue_ms = self.backlog.overdue_ms(now) as u32;
        (load.is_some() || backlog_ms > 0 || overdue_ms > 0).then(|| UpstreamObservation {
            id: self.listed.id.clone(),
            load,
            backlog_ms,
            overdue_ms,
        })
    }
}
