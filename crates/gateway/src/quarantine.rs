//! Crashes of upstreams under requests: finds them out, reports them to the leader, and keeps requests from being sent
//! that have crashed too many.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{Fingerprint, PartId, Revision, ServiceName};
use metrics::counter;
use policy::Tick;
use policy::quarantine::{Crash, CrashHistory, MAX_CRASHES, MEMORY_TIME};
use slog::{info, warn};
use tokio::sync::{Notify, OnceCell, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::quarantine::{QuarantineMark, QuarantineNews, ReportCrashes, ReportReply, ReportedCrash};
use xxhash_rust::xxh3::xxh3_64;

use crate::dial::DialError;
use crate::exchange::AttemptError;
use crate::gate::Gateway;
use crate::node_clients::NodeClients;
use crate::pool::Connection;
use crate::request::{AttemptTimes, Request};
use crate::upstreams::ChosenUpstream;

/// Longest wait for the leader's count. Data centres are a few milliseconds apart, and the caller waits meanwhile.
const REPORT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest wait for a connection that shows that an upstream still exists.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an upstream counts as crashed after such a check; all its requests break within it.
const CHECK_TIME: Duration = Duration::from_millis(200);
/// Time that a new connection has to stay open: an upstream that is crashing may accept it and close it at once.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Most connections that are opened to find out; an upstream that closes them all has too many, but goes on.
const MAX_CONNECTIONS: usize = 3;
/// Time for which the leader's count is used until its news arrive.
const COUNT_TIME: Duration = Duration::from_secs(1);

/// The quarantine as the leader told it last.
#[derive(Debug, Default)]
pub struct KnownQuarantine {
    /// Position in the leader's changes.
    pub mark: QuarantineMark,
    /// Until when requests are not sent.
    until: HashMap<Fingerprint, Tick>,
}

impl KnownQuarantine {
    /// Replaces the quarantine by the leader's.
    pub fn apply(&mut self, news: QuarantineNews, received_at: Tick) {
        self.mark = news.mark;
        let requests = news.requests.into_iter();
        self.until = requests
            .map(|(request, left_ms)| (request, received_at + Duration::from_millis(u64::from(left_ms))))
            .collect();
    }
}

/// What this host has seen of crashes, and has not told the leader yet.
#[derive(Debug, Default)]
pub(crate) struct CrashReporter {
    clients: NodeClients,
    history: RefCell<CrashHistory>,
    /// Checks of whether upstreams have crashed, by incarnation.
    checks: RefCell<HashMap<String, Rc<CrashCheck>>>,
    /// Requests that the leader has just counted too many crashes for, with the time of the count.
    counted: RefCell<HashMap<Fingerprint, Tick>>,
    unreported: RefCell<Vec<Unreported>>,
    cleared: RefCell<Vec<Fingerprint>>,
    has_news: Notify,
    /// Term of the leader that knows the whole history; zero if none does.
    reported_term: Cell<u64>,
}

/// A check of whether an upstream has crashed.
#[derive(Debug)]
struct CrashCheck {
    begun: Tick,
    /// The outcome; unset until it is known.
    crashed: OnceCell<bool>,
}

impl CrashCheck {
    /// Returns whether the check also tells of a connection that broke at some time.
    fn covers(&self, broken_at: Tick) -> bool {
        self.crashed.get() == Some(&true) || broken_at.since(self.begun) < SETTLE_TIME
    }
}

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

/// A crash that the leader has not been told of.
#[derive(Debug)]
struct Unreported {
    request: Fingerprint,
    crash: Crash,
    /// Receives the leader's count.
    reply: Option<oneshot::Sender<u32>>,
}

impl Gateway {
    /// Returns for how long a request is not sent; `None` if it may be.
    pub(crate) fn quarantine_left(&self, request: &Request) -> Option<Duration> {
        let reporter = &self.crashes;
        let known = self.shared.quarantine.lock();
        if known.until.is_empty() && reporter.history.borrow().is_empty() {
            return None;
        }
        let (fingerprint, now) = (request.fingerprint(), self.clock.now());
        let told = known.until.get(&fingerprint).map(|until| until.since(now));
        if let Some(left) = told.filter(|left| !left.is_zero()) {
            return Some(left);
        }
        let counted = reporter.counted.borrow().get(&fingerprint).copied();
        let is_counted = counted.is_some_and(|at| now.since(at) < COUNT_TIME);
        let crashes = reporter.history.borrow().count(&fingerprint, now);
        (is_counted || crashes >= MAX_CRASHES).then_some(MEMORY_TIME)
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
            warn!(self.logger, "crash not recorded"; "request" => &request.info.id, "error" => %error);
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
        let age_ms = |since: Tick| broken.at.since(since).as_millis() as u64;
        info!(self.logger, "upstream crashed under a request"; "request" => &broken.request,
            "part_ids" => parts.join(","), "sent_ms" => age_ms(broken.times.sent_at),
            "began_ms" => broken.times.began_at.map(age_ms),
            "content" => %broken.fingerprint, "service" => %broken.service, "upstream" => &broken.upstream.id,
            "seen_here" => seen_here, "counted" => counted,
            "took_ms" => self.clock.now().since(broken.at).as_millis() as u64);
    }

    /// Adds a crash to the history and to the next report; returns how many this host has seen under the request, and a
    /// receiver of the leader's count.
    fn note_crash(&self, broken: &BrokenAttempt) -> (usize, oneshot::Receiver<u32>) {
        let crash = Crash {
            upstream: xxh3_64(broken.upstream.id.as_bytes()),
            attempt: xxh3_64(broken.request.as_bytes()),
            at: broken.at,
        };
        counter!("gentian_gateway_crashes_total", "service" => broken.service.to_string()).increment(1);
        let mut history = self.crashes.history.borrow_mut();
        if !history.record(broken.fingerprint, crash, broken.at) {
            counter!("gentian_gateway_crashes_unrecorded_total").increment(1);
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

    /// Forgets the crashes under a request that has run to its end.
    pub(crate) fn clear_crashes(&self, request: &Request) {
        let is_suspect = {
            let known = self.shared.quarantine.lock();
            !known.until.is_empty() || !self.crashes.history.borrow().is_empty()
        };
        if !is_suspect {
            return;
        }
        let fingerprint = request.fingerprint();
        let was_told = self.shared.quarantine.lock().until.contains_key(&fingerprint);
        if self.crashes.history.borrow_mut().clear(&fingerprint) || was_told {
            self.crashes.cleared.borrow_mut().push(fingerprint);
            self.crashes.has_news.notify_one();
        }
    }

    /// Returns whether an upstream is listed and no end of it was announced.
    fn stays_listed(&self, id: &str) -> bool {
        let now = self.clock.now();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams
            .get_mut(id)
            .is_some_and(|upstream| !upstream.listed.leaving && upstream.notice().time_left(now).is_none())
    }

    /// Returns whether an upstream takes no connection any more. Requests that break together share a check.
    async fn has_crashed(&self, broken: &BrokenAttempt) -> bool {
        let now = self.clock.now();
        let check = {
            let mut checks = self.crashes.checks.borrow_mut();
            checks.retain(|id, check| {
                now.since(check.begun) < CHECK_TIME && (*id != broken.upstream.id || check.covers(broken.at))
            });
            let new = || {
                Rc::new(CrashCheck {
                    begun: now,
                    crashed: OnceCell::new(),
                })
            };
            Rc::clone(checks.entry(broken.upstream.id.clone()).or_insert_with(new))
        };
        *check
            .crashed
            .get_or_init(|| self.refuses_connection(&broken.service, &broken.upstream, &broken.request))
            .await
    }

    async fn refuses_connection(&self, service: &ServiceName, chosen: &ChosenUpstream, request_id: &str) -> bool {
        for _ in 0..MAX_CONNECTIONS {
            match self.dial(service, chosen, request_id, CHECK_TIMEOUT).await {
                Ok(connection) if stays_open(&connection).await => {
                    self.pool.borrow_mut().put(connection, None);
                    return false;
                }
                Ok(_closed) => sleep(SETTLE_TIME).await,
                Err(error) => return self.is_gone(service, chosen, request_id, &error).await,
            }
        }
        false
    }

    /// Returns whether an upstream that took no connection is gone, and not this host cut off from it.
    async fn is_gone(
        &self,
        service: &ServiceName,
        chosen: &ChosenUpstream,
        request_id: &str,
        error: &DialError,
    ) -> bool {
        let is_in_doubt = self.is_isolated(service) && !error.is_confirmed();
        let is_cut = is_in_doubt && !self.reaches_another(service, &chosen.id).await;
        info!(self.logger, "upstream takes no connection"; "request" => request_id, "service" => %service,
            "upstream" => &chosen.id, "cut_off" => is_cut, "error" => %error);
        if is_cut {
            return false;
        }
        let now = self.clock.now();
        if let Some(upstream) = self.upstreams.borrow_mut().get_mut(&chosen.id) {
            upstream.record_connect_failure(now);
        }
        true
    }

    /// Tells the leader of crashes as they are found out, several at a time.
    pub(crate) async fn report_crashes(self: Rc<Self>) {
        loop {
            self.crashes.has_news.notified().await;
            let waiting = self.crashes.unreported.take();
            let cleared = self.crashes.cleared.take();
            let Some(counts) = self.send_report(&waiting, cleared).await else {
                // The next exchange of state begins again with the whole history.
                self.crashes.reported_term.set(0);
                continue;
            };
            for (unreported, count) in waiting.into_iter().zip(counts) {
                if let Some(reply) = unreported.reply {
                    // The caller may have left.
                    let _ = reply.send(count);
                }
            }
        }
    }

    /// Sends a report to the leader; returns its counts, or `None` if it has not taken the report.
    async fn send_report(&self, waiting: &[Unreported], cleared: Vec<Fingerprint>) -> Option<Vec<u32>> {
        let leader = (**self.shared.leader.load())?;
        let client = self.crashes.clients.get(leader)?;
        let now = self.clock.now();
        let crashes = waiting.iter().map(|unreported| ReportedCrash {
            request: unreported.request,
            upstream: unreported.crash.upstream,
            attempt: unreported.crash.attempt,
            age_ms: now.since(unreported.crash.at).as_millis() as u32,
        });
        let report = ReportCrashes {
            crashes: crashes.collect(),
            cleared,
        };
        let request = Envelope::new(&self.settings.node, Revision::default(), report);
        let error = match timeout(REPORT_TIMEOUT, client.report_crashes(request)).await {
            Ok(Ok(reply)) => match reply.body {
                ReportReply::Counted(counts) => return Some(counts),
                ReportReply::Unavailable(reason) => reason.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_late) => "no answer in time".to_owned(),
        };
        self.log_unreported(leader, waiting.len(), &error);
        None
    }

    fn log_unreported(&self, leader: SocketAddr, count: usize, error: &str) {
        counter!("gentian_gateway_crash_reports_failed_total").increment(1);
        warn!(self.logger, "crashes not reported"; "peer" => %leader, "crashes" => count, "error" => error);
        self.crashes.clients.forget(leader);
    }

    /// Has the whole history reported again if the leader may not know it.
    pub(crate) fn renew_crash_reports(&self) {
        let term = self.shared.quarantine.lock().mark.term;
        let reporter = &self.crashes;
        let now = self.clock.now();
        reporter
            .counted
            .borrow_mut()
            .retain(|_, at| now.since(*at) < COUNT_TIME);
        let mut history = reporter.history.borrow_mut();
        history.drop_expired(now);
        if self.shared.leader.load().is_none() {
            return;
        }
        let is_known = reporter.reported_term.replace(term) == term;
        if is_known || history.is_empty() {
            return;
        }
        let unreported = history.crashes(now).map(|(request, crash)| Unreported {
            request,
            crash,
            reply: None,
        });
        reporter.unreported.borrow_mut().extend(unreported);
        reporter.has_news.notify_one();
    }
}

/// Returns whether the other side leaves a new connection open.
async fn stays_open(connection: &Connection) -> bool {
    timeout(SETTLE_TIME, connection.stream.peek(&mut [0])).await.is_err()
}
