//! Observations of upstreams by entry hosts, merged for all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::NodeId;
use metrics::counter;
use policy::Tick;
use policy::home_speed::{AnswerTimes, SpeedStep};
use policy::pace::moment::Pace;
use wire::registry::UpstreamObservation;

/// Age up to which an observed load of an upstream is shared.
const LOAD_TTL: Duration = Duration::from_millis(2_500);
/// Age up to which a reported backlog counts: by then its prompts have been read, or the entry host is gone.
const BACKLOG_TTL: Duration = Duration::from_millis(1_500);
/// Most observations in one answer: those of the busiest upstreams. Entry hosts have to avoid only a few upstreams; the
/// observations of all, at 70 bytes each, would fill the slow links of a large deployment.
const MAX_OBSERVATIONS: usize = 64;
/// Most observations of them that are kept for upstreams that were slowed lately. At a deployment of a hundred upstreams
/// a seventh is slowed at a time and another seventh was a moment ago.
const MAX_SLOWED: usize = 32;
/// Pace in hundredths from which an upstream counts as slowed. A smaller difference hardly changes a choice.
const MIN_SLOWED_PACE: u32 = 125;
/// Time for which an upstream counts as slowed after the last such pace, so that hosts learn of its usual pace as well.
const SLOWED_TIME: Duration = Duration::from_secs(1);
/// Most upstreams in one answer that were replaced or leave, beside the busiest ones.
const MAX_GONE: usize = 128;
/// Age up to which a report of a replaced upstream is shared: hosts that hear of it keep it for longer.
const REPLACED_TTL: Duration = Duration::from_secs(1);
/// Age up to which a report of an upstream that leaves is shared. Hosts that hear of it keep it.
const LEAVING_TTL: Duration = Duration::from_secs(2);
/// Time after the last reported answer for which the speed of an upstream is kept.
const SPEED_TTL: Duration = Duration::from_mins(10);
/// Weight of one running or waiting request, in milliseconds of unprocessed prompts.
const REQUEST_WEIGHT_MS: u32 = 30;
/// Backlog below which none is reported: the prompts of a few small requests.
const MIN_BACKLOG_MS: u64 = 10;
/// Age up to which a summary answers heartbeats. It is much shorter than the interval between two heartbeats of a host,
/// and bounds how often the backlogs of all hosts are added up.
const SUMMARY_TTL: Duration = Duration::from_millis(20);

/// The newest observations of all upstreams, by upstream id.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    upstreams: BTreeMap<String, UpstreamView>,
    summary: Option<Summary>,
}

#[derive(Debug, Default)]
struct UpstreamView {
    /// Running and waiting requests, and when they were observed.
    load: Option<(u32, u32, Tick)>,
    /// The newest pace by time of measurement.
    pace: Option<ObservedPace>,
    /// When the upstream was measured as slowed last.
    slowed_at: Option<Tick>,
    backlogs: BTreeMap<NodeId, Backlog>,
    /// When a host reported last that another incarnation has the address.
    replaced: Option<Tick>,
    /// Start of the incarnation that leaves, and when a host reported it last.
    leaving: Option<(u64, Tick)>,
    speed: Option<ObservedSpeed>,
}

/// The lasting speed of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedSpeed {
    times: AnswerTimes,
    step: SpeedStep,
    /// When an answer was reported last.
    at: Tick,
}

/// A momentary pace of an upstream, as an entry host reported it.
#[derive(Clone, Debug)]
struct ObservedPace {
    /// Hundredths of the usual time.
    hundredths: u32,
    /// When it was measured.
    at: Tick,
    /// The host that reported it, which is not told of it again.
    from: NodeId,
}

/// What one entry host has reported about its own requests at an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    /// Prompt processing time of requests whose prompts are not processed yet.
    unread: Duration,
    /// By how much the wait of a request exceeds its prediction.
    overdue: Duration,
    at: Tick,
    /// The part of the current summary that comes from this host.
    summarized: BacklogMs,
}

/// A backlog in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct BacklogMs {
    unread: u64,
    overdue: u64,
}

/// The busiest upstreams, as all entry hosts together have observed them.
#[derive(Debug)]
struct Summary {
    at: Tick,
    /// Upstreams that were replaced or leave first, then the busiest.
    upstreams: Vec<UpstreamSummary>,
}

#[derive(Debug)]
struct UpstreamSummary {
    id: String,
    load: Option<(u32, u32, Tick)>,
    pace: Option<ObservedPace>,
    /// Whether it was slowed lately.
    slowed: bool,
    /// Unprocessed prompts of all entry hosts.
    unread_ms: u64,
    /// The largest overrun of an entry host's requests, and the largest of the other hosts.
    overdue_ms: (u64, u64),
    /// Whether another incarnation has the address.
    replaced: bool,
    /// Start of the incarnation that leaves.
    leaving: Option<u64>,
    step: Option<i8>,
}

impl Observations {
    /// Records the observations of an entry host.
    pub(crate) fn record(&mut self, from: &NodeId, observations: Vec<UpstreamObservation>, now: Tick) {
        for observed in observations {
            let known = self.upstreams.entry(observed.id).or_default();
            if let Some((running, waiting, age_ms)) = observed.load {
                let at = now - Duration::from_millis(u64::from(age_ms));
                if known.load.is_none_or(|(_, _, before)| before < at) {
                    known.load = Some((running, waiting, at));
                }
            }
            if let Some(pace) = observed.pace {
                known.record_pace(from, pace, now);
            }
            if observed.replaced {
                known.replaced = Some(now);
            }
            if let Some(start) = observed.leaving {
                known.leaving = Some((start, now));
            }
            if let Some(times) = observed.times {
                known.speed.get_or_insert_default().record(times, now);
            }
            let backlog = known.backlogs.entry(from.clone()).or_default();
            backlog.unread = Duration::from_millis(u64::from(observed.backlog_ms));
            backlog.overdue = Duration::from_millis(u64::from(observed.overdue_ms));
            backlog.at = now;
        }
    }

    /// Returns what entry hosts other than `to` have observed, the busiest upstreams first.
    ///
    /// The backlogs of all hosts are added up at most once in [`SUMMARY_TTL`]; an answer only subtracts the host's own
    /// part. Adding them up for each answer would take time in proportion to the square of the number of hosts.
    pub(crate) fn of_others(&mut self, to: &NodeId, now: Tick) -> Vec<UpstreamObservation> {
        if self
            .summary
            .as_ref()
            .is_none_or(|known| now.since(known.at) >= SUMMARY_TTL)
        {
            self.summarize(now);
        }
        let busiest = self.summary.iter().flat_map(|summary| &summary.upstreams);
        busiest
            .filter_map(|upstream| {
                let own = self.upstreams.get(&upstream.id)?.backlogs.get(to);
                upstream.without(to, own.map_or_else(BacklogMs::default, |own| own.summarized), now)
            })
            .collect()
    }

    /// Adds up the backlogs of all hosts, and drops what is outdated.
    fn summarize(&mut self, now: Tick) {
        counter!("gentian_state_summaries_total").increment(1);
        self.upstreams.retain(|_, view| {
            view.expire(now);
            let is_delayed = view.pace.is_some() || !view.backlogs.is_empty();
            let is_known = view.load.is_some() || view.speed.is_some();
            is_known || is_delayed || view.replaced.is_some() || view.leaving.is_some()
        });
        let summaries = self.upstreams.iter_mut().map(|(id, view)| view.summarize(id, now));
        let mut upstreams: Vec<UpstreamSummary> = summaries.collect();
        keep_slowest(&mut upstreams);
        upstreams.sort_by_key(|upstream| std::cmp::Reverse((upstream.is_gone(), upstream.slowed, upstream.weight())));
        let gone = upstreams.iter().filter(|upstream| upstream.is_gone()).count();
        upstreams.truncate(MAX_OBSERVATIONS + gone.min(MAX_GONE));
        self.summary = Some(Summary { at: now, upstreams });
    }
}

/// Leaves only the slowest of the upstreams marked as slowed, as many as an answer names before the busiest.
fn keep_slowest(upstreams: &mut [UpstreamSummary]) {
    let mut slowed: Vec<&mut UpstreamSummary> = upstreams.iter_mut().filter(|upstream| upstream.slowed).collect();
    slowed.sort_by_key(|upstream| std::cmp::Reverse(upstream.pace.as_ref().map(|pace| pace.hundredths)));
    for upstream in slowed.into_iter().skip(MAX_SLOWED) {
        upstream.slowed = false;
    }
}

impl UpstreamView {
    /// Records a pace that can be one, unless a newer one is known.
    fn record_pace(&mut self, from: &NodeId, (hundredths, age_ms): (u32, u32), now: Tick) {
        let at = now - Duration::from_millis(u64::from(age_ms));
        let is_newer = self.pace.as_ref().is_none_or(|known| known.at < at);
        if !is_newer || Pace::from_hundredths(f64::from(hundredths)).is_err() {
            return;
        }
        if hundredths >= MIN_SLOWED_PACE {
            self.slowed_at = Some(at);
        }
        self.pace = Some(ObservedPace {
            hundredths,
            at,
            from: from.clone(),
        });
    }

    /// Drops an outdated load and the backlogs that have ended.
    fn expire(&mut self, now: Tick) {
        self.load = self.load.filter(|(_, _, at)| now.since(*at) < LOAD_TTL);
        self.pace.take_if(|pace| now.since(pace.at) >= LOAD_TTL);
        self.slowed_at = self.slowed_at.filter(|at| now.since(*at) < SLOWED_TIME);
        self.backlogs.retain(|_, backlog| backlog.lasts_until() > now);
        self.replaced = self.replaced.filter(|at| now.since(*at) < REPLACED_TTL);
        self.leaving = self.leaving.filter(|(_, at)| now.since(*at) < LEAVING_TTL);
        self.speed = self.speed.filter(|speed| now.since(speed.at) < SPEED_TTL);
    }

    /// Adds up the backlogs of all hosts, reduced by the time since they were reported. Of the overruns the largest
    /// counts, since all requests wait in one queue.
    fn summarize(&mut self, id: &str, now: Tick) -> UpstreamSummary {
        let (mut unread_ms, mut overdue_ms) = (0, (0, 0));
        for backlog in self.backlogs.values_mut() {
            backlog.summarized = backlog.left(now);
            unread_ms += backlog.summarized.unread;
            let overdue = backlog.summarized.overdue;
            if overdue > overdue_ms.0 {
                overdue_ms = (overdue, overdue_ms.0);
            } else {
                overdue_ms.1 = overdue_ms.1.max(overdue);
            }
        }
        UpstreamSummary {
            id: id.to_owned(),
            load: self.load,
            pace: self.pace.clone(),
            slowed: self.slowed_at.is_some(),
            unread_ms,
            overdue_ms,
            replaced: self.replaced.is_some(),
            leaving: self.leaving.map(|(start, _)| start),
            step: self.speed.and_then(|speed| speed.known_step()),
        }
    }
}

impl ObservedSpeed {
    fn record(&mut self, times: (i32, u32), now: Tick) {
        self.times.add(times);
        self.step = self.step.follow(&self.times);
        self.at = now;
    }

    /// Returns the step to tell hosts; `None` while this leader has too few answers, so that hosts keep what an earlier
    /// leader told.
    fn known_step(&self) -> Option<i8> {
        self.times.are_enough().then(|| self.step.get())
    }
}

impl Backlog {
    /// Returns the end of the backlog, or when the report no longer counts.
    fn lasts_until(&self) -> Tick {
        self.at + self.unread.max(self.overdue).min(BACKLOG_TTL)
    }

    fn left(&self, now: Tick) -> BacklogMs {
        let elapsed = now.since(self.at);
        let left = |span: Duration| span.saturating_sub(elapsed).as_millis() as u64;
        BacklogMs {
            unread: left(self.unread),
            overdue: left(self.overdue),
        }
    }
}

impl UpstreamSummary {
    /// Returns the observation of all hosts but `to`, whose backlog is `own`, if anything is left.
    fn without(&self, to: &NodeId, own: BacklogMs, now: Tick) -> Option<UpstreamObservation> {
        let is_own = own.overdue > 0 && own.overdue == self.overdue_ms.0;
        let overdue = if is_own { self.overdue_ms.1 } else { self.overdue_ms.0 };
        let reported = |ms: u64| if ms < MIN_BACKLOG_MS { 0 } else { ms as u32 };
        let backlog_ms = reported(self.unread_ms.saturating_sub(own.unread));
        let overdue_ms = reported(overdue);
        let load = self.load.filter(|(_, _, at)| now.since(*at) < LOAD_TTL);
        let fresh_pace = self.pace.as_ref().filter(|pace| now.since(pace.at) < LOAD_TTL);
        let pace = fresh_pace.filter(|pace| pace.from != *to);
        let is_delayed = backlog_ms > 0 || overdue_ms > 0 || pace.is_some();
        (load.is_some() || is_delayed || self.is_gone()).then(|| UpstreamObservation {
            id: self.id.clone(),
            load: load.map(|(running, waiting, at)| (running, waiting, now.since(at).as_millis() as u32)),
            backlog_ms,
            overdue_ms,
            replaced: self.replaced,
            leaving: self.leaving,
            pace: pace.map(|pace| (pace.hundredths, now.since(pace.at).as_millis() as u32)),
            times: None,
            step: self.step,
        })
    }

    /// Returns whether the upstream was replaced or leaves.
    const fn is_gone(&self) -> bool {
        self.replaced || self.leaving.is_some()
    }

    /// Returns how strongly the observations speak against the upstream, in milliseconds.
    fn weight(&self) -> u64 {
        let (running, waiting, _) = self.load.unwrap_or_default();
        let requests = u64::from(running.saturating_add(waiting)) * u64::from(REQUEST_WEIGHT_MS);
        self.unread_ms.max(self.overdue_ms.0) + requests
    }
}
