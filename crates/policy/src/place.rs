//! Choice of the upstream for a request by predicted time: queueing plus prefill of the uncached prompt tokens.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::Tick;
use crate::pace::{EngineRates, PrefillWork};

/// Share of the longest allowed pause that a prefill may take: an event carries the tokens of several steps, and their
/// time is added to the pause.
const PAUSE_SHARE: f64 = 0.67;
/// Cost of a millisecond by which a prefill exceeds the allowed pause, for each running request, in milliseconds of the
/// new request's own wait. With a larger value more long prompts start late; with a smaller one more running answers
/// pause for too long.
const STALL_WEIGHT: f64 = 0.25;
/// Share of the slots up to which an upstream counts as not crowded. With a larger value, prompts may find no free
/// slot. With a smaller one, entry hosts that read the same outdated reports leave busy homes together and overload the
/// same other upstreams.
const CROWDED_FILL: f64 = 0.75;
/// Extra cost of another data centre, in milliseconds. It breaks ties and saves traffic between data centres.
const DISTANCE_MS: f64 = 2.0;
/// Time after its last use for which a prompt part is assumed to be cached.
const CACHE_TIME: Duration = Duration::from_mins(1);
/// Requests per slot up to which an upstream takes requests while nothing recent is known of its load: one that runs and
/// one in its queue. It refuses any more.
const MAX_LOAD_PER_SLOT: f64 = 2.0;
/// Most prompt parts recorded for one upstream; more than its cache holds at common sizes.
const MAX_RECORDED_PARTS: usize = 4_096;

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part together with all parts before it.
    pub key: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// The prompt parts that an upstream is assumed to have cached.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    /// Time of the last use of each part, by key.
    used: HashMap<u64, Tick>,
    /// All recorded uses, oldest first.
    order: VecDeque<(Tick, u64)>,
}

impl CachedParts {
    /// Records the parts of a prompt that the upstream has prefilled.
    pub fn store(&mut self, parts: &[PromptPart], now: Tick) {
        for part in parts {
            self.used.insert(part.key, now);
            self.order.push_back((now, part.key));
        }
        while self.order.len() > MAX_RECORDED_PARTS {
            self.forget_oldest();
        }
    }

    /// Returns the number of tokens in the longest cached sequence of leading parts.
    #[must_use]
    pub fn tokens(&self, parts: &[PromptPart], now: Tick) -> u64 {
        let cached = |part: &&PromptPart| self.used.get(&part.key).is_some_and(|at| now.since(*at) < CACHE_TIME);
        parts.iter().take_while(cached).map(|part| part.tokens).sum()
    }

    fn forget_oldest(&mut self) {
        if let Some((at, key)) = self.order.pop_front()
            && self.used.get(&key) == Some(&at)
        {
            self.used.remove(&key);
        }
    }
}

/// An upstream that may serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index among the upstreams.
    pub index: usize,
    /// Running and waiting requests.
    pub load: f64,
    /// Most requests that run at once.
    pub slots: f64,
    /// Prompt tokens that are assumed to be cached.
    pub cached: u64,
    /// Prompt tokens of them that this host has sent there itself.
    pub sent: u64,
    /// Rendezvous hash of prompt and upstream, equal at all entry hosts; the highest marks the home.
    pub weight: u64,
    /// Whether the upstream is in the data centre of this host.
    pub local: bool,
    /// Known work queued before the request, in milliseconds: prompts sent there and not prefilled yet.
    pub backlog_ms: f64,
    /// Extra cost of an upstream that may no longer exist, in milliseconds.
    pub doubt_ms: f64,
    /// Estimated times of the engine.
    pub rates: EngineRates,
}

impl Candidate {
    /// Returns the prefill work of a prompt of `tokens` tokens at this upstream.
    #[must_use]
    pub fn prefill(&self, tokens: u64) -> PrefillWork {
        PrefillWork {
            cached: self.cached,
            fresh: tokens.saturating_sub(self.cached),
        }
    }
}

/// The prediction for one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Index of the upstream.
    pub index: usize,
    /// Time to first event, in milliseconds.
    pub ms: f64,
    /// Part of the time that is prefill of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Part of the time that is work queued before the request, in milliseconds.
    pub backlog_ms: f64,
    /// Extra cost for the requests that run there, which get no tokens during a long prefill, in milliseconds.
    pub stall_ms: f64,
    /// Extra cost of an upstream that may no longer exist, in milliseconds.
    pub doubt_ms: f64,
    /// Whether the request finds a free slot.
    pub has_slot: bool,
}

/// Returns whether an upstream with `load` running and waiting requests takes another one now.
///
/// It addresses bursts that many hosts see at once: requests that go to an upstream with a full queue wait there in the
/// order of their arrival, where hosts can no longer order, move or refuse them. The bound is the slots and as many
/// requests as end while the report travels (`slots * report_age / run_ms`, at least one and at most the slots), so that
/// slots don't stand empty until the next report. `pace` is a factor on `run_ms`. Without a recent report
/// (`report_age` is `None`) the bound is twice the slots.
#[must_use]
pub fn has_room(load: f64, slots: f64, report_age: Option<Duration>, run_ms: f64, pace: f64) -> bool {
    let slots = slots.max(1.0);
    let Some(age) = report_age else {
        return load < slots * MAX_LOAD_PER_SLOT;
    };
    let ended = slots * age.as_secs_f64() * 1_000.0 / (run_ms * pace);
    // A quotient that is negative or not a number counts as one.
    load < slots + ended.max(1.0).min(slots)
}

/// What a request needs from an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptNeed {
    /// Prompt length in tokens.
    pub tokens: u64,
    /// Longest pause between two events that running answers may have, in milliseconds; infinite for answers sent as a
    /// whole.
    pub max_pause_ms: f64,
}

/// Predicts the time until an upstream begins its answer.
#[must_use]
pub fn predict(candidate: &Candidate, need: PromptNeed) -> Prediction {
    let PromptNeed { tokens, max_pause_ms } = need;
    let slots = candidate.slots.max(1.0);
    let queued = (candidate.load + 1.0 - slots).max(0.0);
    let filled = (candidate.load / slots).min(1.0);
    // Prompts go to their home unless it is crowded. Reports are up to two heartbeats old, and many entry hosts read
    // the same ones: if small differences counted, all of them would send to the upstream that was idle then.
    let crowd = if tokens == 0 {
        filled
    } else {
        ((filled - CROWDED_FILL) / (1.0 - CROWDED_FILL)).max(0.0)
    };
    let prefill_ms = candidate.rates.prefill_ms(candidate.prefill(tokens));
    // Time until one of the slots becomes free; a crowded upstream may be full when the request arrives.
    let slot_ms = candidate.rates.run_ms / slots;
    let ms = prefill_ms * (1.0 + crowd)
        + (crowd * crowd + queued) * slot_ms
        + if candidate.local { 0.0 } else { DISTANCE_MS }
        + candidate.backlog_ms;
    let excess_ms = (candidate.backlog_ms + prefill_ms - max_pause_ms * PAUSE_SHARE).max(0.0);
    Prediction {
        index: candidate.index,
        ms,
        prefill_ms,
        backlog_ms: candidate.backlog_ms,
        stall_ms: excess_ms * candidate.load * STALL_WEIGHT,
        doubt_ms: candidate.doubt_ms,
        has_slot: queued == 0.0,
    }
}

/// Returns the upstream with the lowest predicted time and extra costs. Among those within `close_ms` of it, the highest
/// weight wins.
#[must_use]
pub fn choose(candidates: &[Candidate], need: PromptNeed, close_ms: f64) -> Option<Prediction> {
    let predictions: Vec<(Prediction, u64)> = candidates
        .iter()
        .map(|candidate| (predict(candidate, need), candidate.weight))
        .collect();
    let cost = |prediction: &Prediction| prediction.ms + prediction.stall_ms + prediction.doubt_ms;
    let lowest = predictions
        .iter()
        .map(|(prediction, _)| cost(prediction))
        .min_by(f64::total_cmp)?;
    let near_lowest = predictions
        .iter()
        .filter(|(prediction, _)| cost(prediction) <= lowest + close_ms);
    let best = near_lowest.max_by(|(_, a), (_, b)| a.cmp(b).then(Ordering::Equal));
    best.map(|(prediction, _)| *prediction)
}
