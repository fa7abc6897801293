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

use super::{ChosenUpstream, Need};
use crate::dialect::ReportedLoad;
use crate::reclaim_notice::Notice;

/// How long a load that an upstream told counts; afterwards own requests stand for those of all entry hosts. What others
/// have seen takes two beats to come here.
const LOAD_FRESH: Duration = Duration::from_millis(2_500);
/// Age up to which an own sight of an upstream's load is told to the others; longer than a beat.
const SIGHT_FRESH: Duration = Duration::from_millis(600);
/// Milliseconds of work before a request that don't show in the time to its first event.
const LITTLE_MS: f64 = 5.0;
/// Part of an upstream's slots up to which the other requests there don't hold up the reading of a prompt.
const ALONE: f64 = 0.5;

/// An upstream with what is known of it.
#[derive(Debug)]
pub struct Upstream {
    /// As the list names it.
    pub listed: Listed,
    load: LoadEstimate,
    pub(super) breaker: Breaker,
    cached: CachedParts,
    /// Own requests there.
    own: u32,
    /// Hash of its name, for the homes of prompts.
    hash: u64,
    /// When it was listed first.
    pub(super) since: Tick,
    pub(super) backlog: Backlog,
    /// Load that it told this entry host, and when.
    sight: Option<(ReportedLoad, Tick)>,
    /// Until when it reads what other entry hosts have sent.
    pub(super) others_until: Tick,
    /// Until when requests of other entry hosts are taken to be overdue there.
    pub(super) overdue_until: Tick,
    /// What is learnt of its service's upstreams, and how it differs from them.
    pace: Rc<RefCell<SpeedEstimate>>,
    relative: RelativeSpeed,
    /// What is heard of its data centre.
    pub(super) reach: Rc<Reachability>,
    /// It said that it is another incarnation.
    pub(super) gone: bool,
    /// Its announced end.
    pub(super) notice: Rc<Notice>,
}

impl Upstream {
    pub(super) fn new(
        listed: Listed,
        (reach, pace): (Rc<Reachability>, Rc<RefCell<SpeedEstimate>>),
        since: Tick,
    ) -> Self {
        Self {
            reach,
            pace,
            relative: RelativeSpeed::default(),
            since,
            hash: xxh3_64(listed.id.as_bytes()),
            listed,
            load: LoadEstimate::default(),
            breaker: Breaker::default(),
            cached: CachedParts::default(),
            own: 0,
            backlog: Backlog::default(),
            sight: None,
            others_until: Tick::default(),
            overdue_until: Tick::default(),
            gone: false,
            notice: Rc::default(),
        }
    }

    pub(super) fn candidate(&self, at: usize, lead: u64, need: &Need<'_>, now: Tick) -> Candidate {
        // Other entry hosts send about as much as this one; without a fresh report the own requests stand for theirs.
        let unknown = f64::from(self.own) * f64::from(need.entries.clamp(1, 4));
        let predicted = self.load.predict(now, LOAD_FRESH, true);
        Candidate {
            at,
            load: predicted.reported.unwrap_or(unknown),
            slots: f64::from(self.listed.slots.max(1)),
            cached: self.cached.tokens(need.parts, now),
            weight: xxh3_64(&(self.hash ^ lead).to_le_bytes()),
            near: self.listed.zone == *need.zone,
            backlog_ms: self.before_ms(now),
            rates: self.pace.borrow().rates().scaled(self.relative.factor()),
        }
    }

    /// Gives the milliseconds of work that goes before a request that is sent now: what is known to be unread, or by how much
    /// requests are seen to wait longer, here or at another entry host.
    fn before_ms(&self, now: Tick) -> f64 {
        let ms = |until: Tick| until.since(now).as_secs_f64() * 1_000.0;
        let unread = self.backlog.pending_ms(now) + ms(self.others_until);
        unread.max(self.backlog.overdue_ms(now)).max(ms(self.overdue_until))
    }

    /// Notes that a request is sent; with a prompt, its parts will be cached. Gives the number under which it waits for
    /// its first event.
    pub fn sent(&mut self, parts: &[PromptPart], chosen: &ChosenUpstream, now: Tick) -> u64 {
        let alone = self.before_ms(now) < LITTLE_MS && chosen.load < f64::from(self.listed.slots) * ALONE;
        let sent = SentRequest {
            prefill: chosen.prefill,
            prefill_ms: chosen.prediction.prefill_ms,
            predicted_ms: chosen.prediction.ms,
            unqueued: alone && !parts.is_empty(),
        };
        let number = self.backlog.sent(sent, now);
        self.own += 1;
        self.load.sent(now);
        self.cached.store(parts, now);
        // The choice has looked at the breaker; the claim keeps a second request from following a probe.
        let _ = self.breaker.claim(now);
        number
    }

    /// Notes that a request got its first event, or its whole answer.
    pub fn begun(&mut self, number: u64, now: Tick) {
        self.breaker.succeeded();
        let Some(begun) = self
            .backlog
            .first_event(number, now)
            .filter(|begun| begun.sent.unqueued)
        else {
            return;
        };
        let mut pace = self.pace.borrow_mut();
        let (reading, rates) = (begun.sent.prefill, pace.rates());
        self.relative
            .learn(begun.elapsed_ms, rates.base_ms + rates.prefill_ms(reading));
        pace.learn(reading, begun.elapsed_ms, self.relative.factor());
    }

    /// Notes that a request has ended there.
    pub fn ended(&mut self, number: u64, sent: Tick, now: Tick) {
        self.pace
            .borrow_mut()
            .learn_run(now.since(sent).as_secs_f64() * 1_000.0);
        self.backlog.ended(number);
        self.own = self.own.saturating_sub(1);
        self.load.ended(now);
    }

    /// Gives its announced end.
    #[must_use]
    pub fn notice(&self) -> Rc<Notice> {
        Rc::clone(&self.notice)
    }

    /// Gives what is heard of its data centre.
    #[must_use]
    pub fn reach(&self) -> Rc<Reachability> {
        Rc::clone(&self.reach)
    }

    /// Notes that it did not accept a connection.
    pub fn refused(&mut self, now: Tick) {
        self.reach.record_connect_timeout(now);
        self.breaker.failed(now);
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Tick) {
        self.breaker.failed(now);
    }

    /// Notes that another incarnation answers at its address.
    pub fn replaced(&mut self) {
        self.gone = true;
    }

    /// Notes the load that it told.
    pub fn told(&mut self, load: ReportedLoad, now: Tick) {
        if load.slots > 0 {
            self.listed.slots = load.slots;
        }
        self.sight = Some((load, now));
        self.note_load(load.running, load.waiting, now);
    }

    pub(super) fn note_load(&mut self, running: u32, waiting: u32, measured: Tick) {
        self.load.update(LoadReport {
            measured_at: measured,
            running,
            waiting,
            kv_used: 0.0,
        });
    }

    /// Gives what the others should know of it, if there is something.
    pub(super) fn sign(&self, now: Tick) -> Option<UpstreamObservation> {
        let fresh = self.sight.filter(|(_, at)| now.since(*at) < SIGHT_FRESH);
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
