//! Crashes of upstreams under requests and prompt parts: finds them out, reports them to the leader, and keeps requests
//! from being sent that have crashed too many, or that have a part under which too many have crashed.

mod check;
mod known;
mod report;
mod sound;
pub(crate) mod watch;

use std::rc::Rc;
use std::time::Duration;

use contract::{Fingerprint, PartId, ServiceName};
use metrics::counter;
use policy::Tick;
use policy::quarantine::parts::SOUND_TIME;
use policy::quarantine::rules::{Admission, PartRule, admit};
use policy::quarantine::{Crash, MAX_CRASHES, MEMORY_TIME};
use slog::{info, warn};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use wire::quarantine::TryReply;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::AttemptError;
use crate::gate::Gateway;
use crate::request::{AttemptTimes, Request};
use crate::upstreams::ChosenUpstream;

pub use known::KnownQuarantine;
pub(crate) use report::CrashReporter;
use report::{OwnSuspect, Unreported};

/// Time for which the leader's count is used until its news arrive.
const COUNT_TIME: Duration = Duration::from_secs(1);
/// Delay after which a caller should come back whose own request has just crashed an upstream.
const SUSPECT_RETURN: Duration = Duration::from_millis(500);

/// An attempt whose connection ended before the response was complete.
#[derive(Debug)]
struct BrokenAttempt {
    fingerprint: Fingerprint,
    /// Id of the caller's try.
    request: String,
    service: ServiceName,
    upstream: ChosenUpstream,
    parts: Vec<PartId>,
    times: AttemptTimes,
    /// When the connection ended.
    at: Tick,
}

impl BrokenAttempt {
    /// Returns whether the request was about to begin, or had just begun, so that it can be what crashed the upstream.
    fn is_suspect(&self) -> bool {
        let began_at = self.times.began_at;
        !self.parts.is_empty() && began_at.is_none_or(|began_at| self.at.since(began_at) < SOUND_TIME)
    }

    fn age_ms(&self, since: Tick) -> u64 {
        self.at.since(since).as_millis() as u64
    }
}

impl Gateway {
    /// Returns for how long a request is not sent; `None` if it may be.
    pub(crate) fn quarantine_left(&self, request: &Request) -> Option<Duration> {
        let reporter = &self.crashes;
        let known = self.shared.quarantine.lock();
        if known.is_empty() && reporter.is_empty() {
            return None;
        }
        let (fingerprint, now) = (request.fingerprint(), self.clock.now());
        if let Some(left) = known.left(&fingerprint, now) {
            return Some(left);
        }
        if let Admission::Closed(left) = known.admit(&request.info.shared_parts, fingerprint.account, now) {
            return Some(left);
        }
        let counted = reporter.counted.borrow().get(&fingerprint).copied();
        let is_counted = counted.is_some_and(|at| now.since(at) < COUNT_TIME);
        let crashes = reporter.history.borrow().count(&fingerprint, now);
        (is_counted || crashes >= MAX_CRASHES).then_some(MEMORY_TIME)
    }

    /// Waits until a request with restricted prompt parts may be sent; others don't wait.
    ///
    /// # Errors
    /// Returns the delay after which the caller should come back.
    pub(crate) async fn admit_parts(&self, request: &Request) -> Result<(), Duration> {
        let parts = &request.info.shared_parts;
        let rules = self.part_rules();
        if rules.is_empty() || parts.is_empty() {
            return Ok(());
        }
        let (account, now) = (request.fingerprint().account, self.clock.now());
        match admit(&rules, parts, account, now) {
            Admission::Free => return Ok(()),
            Admission::Closed(left) => return Err(left),
            // What has crashed one upstream is no trial: its retry would crash the next.
            Admission::Trial if request.has_just_crashed() => return Err(SUSPECT_RETURN),
            Admission::Trial => {}
        }
        let own_trial = || self.crashes.trials.borrow_mut().start(&rules, parts, account, now);
        // A new leader lets everything through until hosts have reported.
        let is_kept = self.shared.quarantine.lock().keeps_for(now).is_some();
        let first = if is_kept { own_trial() } else { Ok(()) };
        let reply = match first {
            Ok(()) => self.try_parts(parts, account).await,
            Err(_) => None,
        };
        let outcome = first.and_then(|()| match reply {
            Some(TryReply::Granted) => Ok(()),
            Some(TryReply::Later { wait_ms }) => Err(Duration::from_millis(u64::from(wait_ms))),
            Some(TryReply::Unavailable(_)) | None if is_kept => Ok(()),
            // Without a leader each host has its own trials.
            Some(TryReply::Unavailable(_)) | None => own_trial(),
        });
        let wait_ms = outcome.err().map(|wait| wait.as_millis() as u64);
        info!(self.logger, "request with a restricted prompt part"; "request" => request.info.log_id(),
            "part_ids" => request.part_ids(), "leader" => reply.is_some(), "wait_ms" => wait_ms);
        outcome
    }

    /// Returns the rules that the leader told last, and those that follow from crashes which no leader knows.
    fn part_rules(&self) -> Vec<PartRule> {
        let now = self.clock.now();
        let mut rules: Vec<PartRule> = self.shared.quarantine.lock().rules(now).cloned().collect();
        let own = self.crashes.own.borrow();
        if !own.is_empty() {
            rules.extend(own.rules(now));
        }
        rules
    }

    /// Records that an attempt broke off if its upstream has crashed, and has the leader count it.
    ///
    /// Broken connections alone say little: they may have been reset, and an upstream that was announced to leave ends as
    /// planned. It has crashed if it also takes no new connection, from other hosts either if this one is cut off. The
    /// crash counts also if the caller leaves meanwhile. A request that is not sent again doesn't wait for it.
    pub(crate) async fn record_crash(
        self: &Rc<Self>,
        request: &Request,
        chosen: &ChosenUpstream,
        error: &AttemptError,
    ) {
        if !error.is_closed() || !self.stays_listed(&chosen.id) {
            return;
        }
        let broken = BrokenAttempt {
            fingerprint: request.fingerprint(),
            request: request.info.id.clone(),
            service: request.service.clone(),
            upstream: chosen.clone(),
            parts: request.info.shared_parts.clone(),
            times: request.last_times.get(),
            at: self.clock.now(),
        };
        let recorded = spawn_local(Rc::clone(self).check_broken(broken));
        if request.is_idempotent()
            && let Err(error) = recorded.await
        {
            warn!(self.logger, "crash not recorded"; "request" => request.info.log_id(), "error" => %error);
        }
    }

    async fn check_broken(self: Rc<Self>, broken: BrokenAttempt) {
        if !self.has_crashed(&broken).await {
            return;
        }
        let (seen_here, count) = self.note_crash(&broken);
        // The report may have been lost; then only this host's count is known.
        let counted = count.await.ok();
        if counted.is_some_and(|counted| counted as usize >= MAX_CRASHES) {
            let mut counted = self.crashes.counted.borrow_mut();
            counted.insert(broken.fingerprint, self.clock.now());
        }
        let parts: Vec<String> = broken.parts.iter().map(PartId::to_string).collect();
        info!(self.logger, "upstream crashed under a request"; "request" => &broken.request,
            "part_ids" => parts.join(","), "sent_ms" => broken.age_ms(broken.times.sent_at),
            "began_ms" => broken.times.began_at.map(|began_at| broken.age_ms(began_at)),
            "suspect" => broken.is_suspect(),
            "content" => %broken.fingerprint, "service" => %broken.service, "upstream" => &broken.upstream.id,
            "seen_here" => seen_here, "counted" => counted,
            "took_ms" => self.clock.now().since(broken.at).as_millis() as u64);
    }

    /// Adds a crash to the history and to the next report; returns how many this host has seen under the request, and a
    /// receiver of the leader's count.
    fn note_crash(&self, broken: &BrokenAttempt) -> (usize, oneshot::Receiver<u32>) {
        let upstream = xxh3_64(broken.upstream.id.as_bytes());
        let crash = Crash {
            upstream,
            attempt: xxh3_64(broken.request.as_bytes()),
            at: broken.at,
        };
        counter!("gentian_gateway_crashes_total", "service" => broken.service.to_string()).increment(1);
        let mut history = self.crashes.history.borrow_mut();
        if !history.record(broken.fingerprint, crash, broken.at) {
            counter!("gentian_gateway_crashes_unrecorded_total").increment(1);
        }
        if broken.is_suspect() {
            self.crashes.add_suspect(OwnSuspect {
                parts: broken.parts.clone(),
                account: broken.fingerprint.account,
                upstream,
                sent_at: broken.times.sent_at,
                at: broken.at,
            });
        }
        let (reply, count) = oneshot::channel();
        self.crashes.unreported.borrow_mut().push(Unreported {
            request: broken.fingerprint,
            crash,
            reply: Some(reply),
        });
        self.crashes.has_news.notify_one();
        (history.count(&broken.fingerprint, broken.at), count)
    }

    /// Forgets the crashes under a request that has run to its end, and those under its prompt parts.
    pub(crate) fn clear_crashes(&self, request: &Request) {
        let times = request.last_times.get();
        self.record_sound(request, times.began_at.unwrap_or(times.sent_at));
        let is_suspect = {
            let known = self.shared.quarantine.lock();
            known.has_requests() || !self.crashes.history.borrow().is_empty()
        };
        if !is_suspect {
            return;
        }
        let fingerprint = request.fingerprint();
        let was_told = self.shared.quarantine.lock().has_request(&fingerprint);
        if self.crashes.history.borrow_mut().clear(&fingerprint) || was_told {
            self.crashes.cleared.borrow_mut().push(fingerprint);
            self.crashes.has_news.notify_one();
        }
    }

    /// Records that a request began at some time and no upstream crashed under it, so that its prompt parts are sound.
    pub(crate) fn record_sound(&self, request: &Request, began_at: Tick) {
        let parts = &request.info.shared_parts;
        if parts.is_empty() {
            return;
        }
        self.crashes
            .sound
            .borrow_mut()
            .record(parts, began_at, self.clock.now());
        let mut own = self.crashes.own.borrow_mut();
        if own.is_empty() {
            return;
        }
        for part in parts {
            own.clear(*part, began_at);
        }
    }
}
