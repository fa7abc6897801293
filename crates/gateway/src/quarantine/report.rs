//! Tells the leader of crashes, and asks it about requests with restricted prompt parts.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{Fingerprint, PartId, Revision};
use metrics::counter;
use policy::Tick;
use policy::quarantine::parts::{PartHistory, Suspect};
use policy::quarantine::rules::{PartRule, Trials};
use policy::quarantine::{Crash, CrashHistory};
use slog::warn;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::quarantine::{ReportCrashes, ReportReply, ReportedCrash, ReportedSuspect, SoundPart, TryParts, TryReply};

use crate::gate::Gateway;
use crate::node_clients::NodeClients;
use crate::quarantine::COUNT_TIME;
use crate::quarantine::check::CrashCheck;
use crate::quarantine::sound::SoundParts;

/// Longest wait for the leader's count. Data centres are a few milliseconds apart, and the caller waits meanwhile.
const REPORT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which attempts are kept for a new leader: longer than the first pauses of a bad part.
const SUSPECT_MEMORY: Duration = Duration::from_mins(5);
/// Most attempts that are kept for a new leader; the oldest go first.
const MAX_SUSPECTS: usize = 1_024;

/// What this host has seen of crashes, and has not told the leader yet.
#[derive(Debug, Default)]
pub(crate) struct CrashReporter {
    clients: NodeClients,
    pub(super) history: RefCell<CrashHistory>,
    /// Checks of whether upstreams have crashed, by incarnation.
    pub(super) checks: RefCell<HashMap<String, Rc<CrashCheck>>>,
    /// Requests that the leader has just counted too many crashes for, with the time of the count.
    pub(super) counted: RefCell<HashMap<Fingerprint, Tick>>,
    pub(super) unreported: RefCell<Vec<Unreported>>,
    pub(super) cleared: RefCell<Vec<Fingerprint>>,
    /// Attempts that were about to begin when their upstreams crashed, for the next report and for a new leader.
    new_suspects: RefCell<Vec<OwnSuspect>>,
    suspects: RefCell<VecDeque<OwnSuspect>>,
    /// Crashes that no leader has been told of.
    pub(super) own: RefCell<PartHistory>,
    /// Requests that are on trial without a leader.
    pub(super) trials: RefCell<Trials>,
    pub(super) sound: RefCell<SoundParts>,
    /// Parts that the next report names as sound, with the time at which a request with them began.
    sound_news: RefCell<Vec<(PartId, Tick)>>,
    pub(super) has_news: Notify,
    /// Term of the leader that knows the whole history; zero if none does.
    reported_term: Cell<u64>,
}

impl CrashReporter {
    /// Returns whether this host remembers no crash that counts for a single request.
    pub(super) fn is_empty(&self) -> bool {
        self.history.borrow().is_empty()
    }

    /// Adds an attempt to the next report, and keeps it for a new leader.
    pub(super) fn add_suspect(&self, suspect: OwnSuspect) {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.len() >= MAX_SUSPECTS {
            suspects.pop_front();
        }
        suspects.push_back(suspect.clone());
        self.new_suspects.borrow_mut().push(suspect);
    }

    /// Counts attempts on this host alone, as no leader has been told of them.
    fn keep_untold(&self, suspects: &[OwnSuspect], now: Tick) {
        let mut own = self.own.borrow_mut();
        for suspect in suspects {
            own.record(&suspect.view(), now);
        }
    }
}

/// A crash that the leader has not been told of.
#[derive(Debug)]
pub(super) struct Unreported {
    pub(super) request: Fingerprint,
    pub(super) crash: Crash,
    /// Receives the leader's count.
    pub(super) reply: Option<oneshot::Sender<u32>>,
}

/// An attempt on this host that was about to begin when its upstream crashed.
#[derive(Clone, Debug)]
pub(super) struct OwnSuspect {
    pub(super) parts: Vec<PartId>,
    /// Hash of the client account.
    pub(super) account: u64,
    /// Hash of the upstream's incarnation.
    pub(super) upstream: u64,
    pub(super) sent_at: Tick,
    pub(super) at: Tick,
}

impl OwnSuspect {
    fn view(&self) -> Suspect<'_> {
        Suspect {
            parts: &self.parts,
            account: self.account,
            upstream: self.upstream,
            sent_at: self.sent_at,
            at: self.at,
        }
    }

    fn reported(&self, now: Tick) -> ReportedSuspect {
        ReportedSuspect {
            parts: self.parts.clone(),
            account: self.account,
            upstream: self.upstream,
            sent_ms: now.since(self.sent_at).as_millis() as u32,
            age_ms: now.since(self.at).as_millis() as u32,
        }
    }
}

/// What one report tells.
#[derive(Debug, Default)]
struct Batch {
    crashes: Vec<Unreported>,
    cleared: Vec<Fingerprint>,
    suspects: Vec<OwnSuspect>,
    sound: Vec<(PartId, Tick)>,
}

impl Batch {
    fn render(&self, now: Tick) -> ReportCrashes {
        let crashes = self.crashes.iter().map(|unreported| ReportedCrash {
            request: unreported.request,
            upstream: unreported.crash.upstream,
            attempt: unreported.crash.attempt,
            age_ms: now.since(unreported.crash.at).as_millis() as u32,
        });
        let sound = self.sound.iter().map(|(part, began_at)| SoundPart {
            part: *part,
            began_ms: now.since(*began_at).as_millis() as u32,
        });
        ReportCrashes {
            crashes: crashes.collect(),
            cleared: self.cleared.clone(),
            suspects: self.suspects.iter().map(|suspect| suspect.reported(now)).collect(),
            sound: sound.collect(),
        }
    }
}

impl Gateway {
    /// Tells the leader of crashes as they are found out, several at a time.
    pub(crate) async fn report_crashes(self: Rc<Self>) {
        loop {
            self.crashes.has_news.notified().await;
            let batch = Batch {
                crashes: self.crashes.unreported.take(),
                cleared: self.crashes.cleared.take(),
                suspects: self.crashes.new_suspects.take(),
                sound: self.crashes.sound_news.take(),
            };
            let Some(counts) = self.send_report(&batch).await else {
                // The next exchange of state begins again with the whole history.
                self.crashes.reported_term.set(0);
                self.crashes.keep_untold(&batch.suspects, self.clock.now());
                continue;
            };
            for (unreported, count) in batch.crashes.into_iter().zip(counts) {
                if let Some(reply) = unreported.reply {
                    // The caller may have left.
                    let _ = reply.send(count);
                }
            }
        }
    }

    /// Sends a report to the leader; returns its counts, or `None` if it has not taken the report.
    async fn send_report(&self, batch: &Batch) -> Option<Vec<u32>> {
        let leader = (**self.shared.leader.load())?;
        let client = self.crashes.clients.get(leader)?;
        let report = batch.render(self.clock.now());
        let request = Envelope::new(&self.settings.node, Revision::default(), report);
        let error = match timeout(REPORT_TIMEOUT, client.report_crashes(request)).await {
            Ok(Ok(reply)) => match reply.body {
                ReportReply::Counted(counts) => return Some(counts),
                ReportReply::Unavailable(reason) => reason.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_late) => "no answer in time".to_owned(),
        };
        self.log_unreported(leader, batch.crashes.len(), &error);
        None
    }

    fn log_unreported(&self, leader: SocketAddr, count: usize, error: &str) {
        counter!("gentian_gateway_crash_reports_failed_total").increment(1);
        warn!(self.logger, "crashes not reported"; "peer" => %leader, "crashes" => count, "error" => error);
        self.crashes.clients.forget(leader);
    }

    /// Asks the leader whether a request with restricted prompt parts may be sent; `None` without an answer.
    pub(super) async fn try_parts(&self, parts: &[PartId], account: u64) -> Option<TryReply> {
        let leader = (**self.shared.leader.load())?;
        let client = self.crashes.clients.get(leader)?;
        let asked = TryParts {
            parts: parts.to_vec(),
            account,
        };
        let request = Envelope::new(&self.settings.node, Revision::default(), asked);
        let error = match timeout(REPORT_TIMEOUT, client.try_parts(request)).await {
            Ok(Ok(reply)) => return Some(reply.body),
            Ok(Err(error)) => error.to_string(),
            Err(_late) => "no answer in time".to_owned(),
        };
        self.log_unreported(leader, 0, &error);
        None
    }

    /// Has the whole history reported again if the leader may not know it, and watched parts that are sound.
    pub(crate) fn renew_crash_reports(&self) {
        let reporter = &self.crashes;
        let now = self.clock.now();
        let (term, rules) = {
            let known = self.shared.quarantine.lock();
            let rules: Vec<PartRule> = known.rules(now).cloned().collect();
            (known.mark().term, rules)
        };
        reporter
            .counted
            .borrow_mut()
            .retain(|_, at| now.since(*at) < COUNT_TIME);
        reporter.history.borrow_mut().drop_expired(now);
        reporter.own.borrow_mut().drop_expired(now);
        if self.shared.leader.load().is_none() {
            return;
        }
        if reporter.reported_term.replace(term) != term {
            self.renew_history(now);
        }
        let news = reporter.sound.borrow_mut().take_news(&rules);
        if !news.is_empty() {
            reporter.sound_news.borrow_mut().extend(news);
            reporter.has_news.notify_one();
        }
    }

    fn renew_history(&self, now: Tick) {
        let reporter = &self.crashes;
        let history = reporter.history.borrow();
        let unreported = history.crashes(now).map(|(request, crash)| Unreported {
            request,
            crash,
            reply: None,
        });
        reporter.unreported.borrow_mut().extend(unreported);
        let mut suspects = reporter.suspects.borrow_mut();
        suspects.retain(|suspect| now.since(suspect.at) < SUSPECT_MEMORY);
        reporter.new_suspects.replace(suspects.iter().cloned().collect());
        reporter.own.take();
        reporter.sound.borrow_mut().forget_told();
        if !reporter.unreported.borrow().is_empty() || !suspects.is_empty() {
            reporter.has_news.notify_one();
        }
    }
}
