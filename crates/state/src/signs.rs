//! What entry hosts have seen of upstreams, put together.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use wire::registry::UpstreamObservation;

/// How long a sight of an upstream's load is told on.
const LOAD_FRESH: Duration = Duration::from_millis(2_500);
/// How long a backlog counts that its entry host tells no more; it is read within that time, or the host is gone.
const BACKLOG_FRESH: Duration = Duration::from_millis(1_500);
/// Signs that one answer holds, those of the busiest upstreams. Entry hosts keep away from few; at 70 bytes each, the news of
/// all would fill the thin links of a large deployment.
const MOST: usize = 64;
/// Milliseconds that one running or waiting request weighs against unread prompts.
const REQUEST_MS: u32 = 30;
/// Backlog that is not worth telling: the prompts of a few small requests.
const LITTLE_MS: u64 = 10;

/// The newest signs of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Signs(BTreeMap<String, Known>);

#[derive(Debug, Default)]
struct Known {
    load: Option<(u32, u32, Tick)>,
    backlogs: BTreeMap<NodeId, Backlog>,
}

/// What one entry host has told of its own requests at an upstream.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    unread: Duration,
    overdue: Duration,
    at: Tick,
}

impl Signs {
    /// Takes what an entry host has seen.
    pub(crate) fn note(&mut self, from: &NodeId, signs: Vec<UpstreamObservation>, now: Tick) {
        for sign in signs {
            let known = self.0.entry(sign.id).or_default();
            if let Some((running, waiting, age_ms)) = sign.load {
                let at = now - Duration::from_millis(u64::from(age_ms));
                if known.load.is_none_or(|(_, _, before)| before < at) {
                    known.load = Some((running, waiting, at));
                }
            }
            let backlog = Backlog {
                unread: Duration::from_millis(u64::from(sign.backlog_ms)),
                overdue: Duration::from_millis(u64::from(sign.overdue_ms)),
                at: now,
            };
            known.backlogs.insert(from.clone(), backlog);
        }
        self.0.retain(|_, known| known.is_fresh(now));
    }

    /// Gives what others than one entry host have seen.
    pub(crate) fn others(&self, to: &NodeId, now: Tick) -> Vec<UpstreamObservation> {
        let sign = |(id, known): (&String, &Known)| {
            let load = known.load.filter(|(_, _, at)| now.since(*at) < LOAD_FRESH);
            let load = load.map(|(running, waiting, at)| (running, waiting, now.since(at).as_millis() as u32));
            let (backlog_ms, overdue_ms) = known.backlog_without(to, now);
            (load.is_some() || backlog_ms > 0 || overdue_ms > 0).then(|| UpstreamObservation {
                id: id.clone(),
                load,
                backlog_ms,
                overdue_ms,
            })
        };
        let mut signs: Vec<UpstreamObservation> = self.0.iter().filter_map(sign).collect();
        signs.sort_by_key(|sign| std::cmp::Reverse(weight(sign)));
        signs.truncate(MOST);
        signs
    }
}

/// Gives how much a sign should keep requests away, in milliseconds.
fn weight(sign: &UpstreamObservation) -> u32 {
    let (running, waiting, _) = sign.load.unwrap_or_default();
    sign.backlog_ms
        .max(sign.overdue_ms)
        .saturating_add((running + waiting).saturating_mul(REQUEST_MS))
}

impl Known {
    fn is_fresh(&self, now: Tick) -> bool {
        let seen = self.load.is_some_and(|(_, _, at)| now.since(at) < LOAD_FRESH);
        seen || self.backlogs.values().any(|told| now.since(told.at) < BACKLOG_FRESH)
    }

    /// Gives the milliseconds that others have sent and are not read yet, added up, and by which their requests are overdue at
    /// most: all of them wait in one queue. Both pass with time.
    fn backlog_without(&self, node: &NodeId, now: Tick) -> (u32, u32) {
        let others = || {
            self.backlogs
                .iter()
                .filter(|(other, _)| *other != node)
                .map(|(_, told)| told)
        };
        let left = |told: &Backlog, span: Duration| span.saturating_sub(now.since(told.at)).as_millis() as u64;
        let unread: u64 = others().map(|told| left(told, told.unread)).sum();
        let overdue = others().map(|told| left(told, told.overdue)).max().unwrap_or_default();
        let told = |ms: u64| if ms < LITTLE_MS { 0 } else { ms as u32 };
        (told(unread), told(overdue))
    }
}
