//! Observations of upstreams by entry hosts, merged for all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use wire::registry::UpstreamObservation;

/// Age up to which an observed load of an upstream is shared.
const LOAD_TTL: Duration = Duration::from_millis(2_500);
/// Age up to which a reported backlog counts: by then its prompts have been read, or the entry host is gone.
const BACKLOG_TTL: Duration = Duration::from_millis(1_500);
/// Most observations in one answer: those of the busiest upstreams. Entry hosts have to avoid only a few upstreams; the
/// observations of all, at 70 bytes each, would fill the slow links of a large deployment.
const MAX_OBSERVATIONS: usize = 64;
/// Weight of one running or waiting request, in milliseconds of unprocessed prompts.
const REQUEST_WEIGHT_MS: u32 = 30;
/// Backlog below which none is reported: the prompts of a few small requests.
const MIN_BACKLOG_MS: u64 = 10;

/// The newest observations of all upstreams, by upstream id.
#[derive(Debug, Default)]
pub(crate) struct Observations(BTreeMap<String, UpstreamView>);

#[derive(Debug, Default)]
struct UpstreamView {
    /// Running and waiting requests, and when they were observed.
    load: Option<(u32, u32, Tick)>,
    backlogs: BTreeMap<NodeId, Backlog>,
}

/// What one entry host has reported about its own requests at an upstream.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// Prompt processing time of requests whose prompts are not processed yet.
    unread: Duration,
    /// By how much the wait of a request exceeds its prediction.
    overdue: Duration,
    at: Tick,
}

impl Observations {
    /// Records the observations of an entry host.
    pub(crate) fn record(&mut self, from: &NodeId, observations: Vec<UpstreamObservation>, now: Tick) {
        for observed in observations {
            let known = self.0.entry(observed.id).or_default();
            if let Some((running, waiting, age_ms)) = observed.load {
                let at = now - Duration::from_millis(u64::from(age_ms));
                if known.load.is_none_or(|(_, _, before)| before < at) {
                    known.load = Some((running, waiting, at));
                }
            }
            let backlog = Backlog {
                unread: Duration::from_millis(u64::from(observed.backlog_ms)),
                overdue: Duration::from_millis(u64::from(observed.overdue_ms)),
                at: now,
            };
            known.backlogs.insert(from.clone(), backlog);
        }
        self.0.retain(|_, known| known.is_fresh(now));
    }

    /// Returns what entry hosts other than `to` have observed, the busiest upstreams first.
    pub(crate) fn of_others(&self, to: &NodeId, now: Tick) -> Vec<UpstreamObservation> {
        let observe = |(id, known): (&String, &UpstreamView)| {
            let load = known.load.filter(|(_, _, at)| now.since(*at) < LOAD_TTL);
            let load = load.map(|(running, waiting, at)| (running, waiting, now.since(at).as_millis() as u32));
            let (backlog_ms, overdue_ms) = known.backlog_without(to, now);
            (load.is_some() || backlog_ms > 0 || overdue_ms > 0).then(|| UpstreamObservation {
                id: id.clone(),
                load,
                backlog_ms,
                overdue_ms,
            })
        };
        let mut observations: Vec<UpstreamObservation> = self.0.iter().filter_map(observe).collect();
        observations.sort_by_key(|observed| std::cmp::Reverse(weight(observed)));
        observations.truncate(MAX_OBSERVATIONS);
        observations
    }
}

/// Returns how strongly an observation speaks against an upstream, in milliseconds.
fn weight(observed: &UpstreamObservation) -> u32 {
    let (running, waiting, _) = observed.load.unwrap_or_default();
    observed
        .backlog_ms
        .max(observed.overdue_ms)
        .saturating_add((running + waiting).saturating_mul(REQUEST_WEIGHT_MS))
}

impl UpstreamView {
    fn is_fresh(&self, now: Tick) -> bool {
        let seen = self.load.is_some_and(|(_, _, at)| now.since(at) < LOAD_TTL);
        seen || self
            .backlogs
            .values()
            .any(|backlog| now.since(backlog.at) < BACKLOG_TTL)
    }

    /// Returns the unprocessed prompts of other entry hosts, summed, and the maximum by which their requests are
    /// overdue, both in milliseconds and reduced by the time since they were reported. The maximum, since all requests
    /// wait in one queue.
    fn backlog_without(&self, node: &NodeId, now: Tick) -> (u32, u32) {
        let others = || {
            self.backlogs
                .iter()
                .filter(|(other, _)| *other != node)
                .map(|(_, backlog)| backlog)
        };
        let left = |backlog: &Backlog, span: Duration| span.saturating_sub(now.since(backlog.at)).as_millis() as u64;
        let unread: u64 = others().map(|backlog| left(backlog, backlog.unread)).sum();
        let overdue = others()
            .map(|backlog| left(backlog, backlog.overdue))
            .max()
            .unwrap_or_default();
        let reported = |ms: u64| if ms < MIN_BACKLOG_MS { 0 } else { ms as u32 };
        (reported(unread), reported(overdue))
    }
}
