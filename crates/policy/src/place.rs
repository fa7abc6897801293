//! Which upstream a request goes to, by predicted time: the wait there and the prompt tokens that are not cached.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::Tick;
use crate::pace::{EngineRates, PrefillWork};

/// Part of the longest pause of an answer in time for which an engine may read without making tokens: one event holds the
/// tokens of several steps, and these come on top.
const PAUSE: f64 = 0.67;
/// Milliseconds of the caller's own wait that one millisecond beyond it weighs for each request that runs there. Replayed with
/// 65 engines, plans that pause too long fall from 16 to 8 in 100 and questions from 13 to 5, while plans that begin late rise
/// from 6.8 to 7.7; with half as much they are 9, 7 and 6.7.
const HARM: f64 = 0.25;
/// Part of the slots up to which an engine counts as not crowded. Beyond it a prompt may find no slot. With a half, hosts that
/// read the same old reports left busy homes together and met elsewhere: of the consultations and plans of ninety and a
/// hundred and twelve engines 79 and 63 in 100 began in time, with three quarters 82 and 67.
const CROWDED: f64 = 0.75;
/// Milliseconds that another data centre is taken to be farther; it breaks ties and saves traffic between them.
const DISTANCE_MS: f64 = 2.0;
/// How long a part of a prompt is believed to stay cached after its last use.
const CACHED: Duration = Duration::from_mins(1);
/// Parts of prompts that are remembered for one upstream; more than its cache holds at common sizes.
const MAX_PARTS: usize = 4_096;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies it together with all parts before it.
    pub key: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// The parts of prompts that an upstream is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    used: HashMap<u64, Tick>,
    order: VecDeque<(Tick, u64)>,
}

impl CachedParts {
    /// Notes that the upstream has read a prompt.
    pub fn store(&mut self, parts: &[PromptPart], now: Tick) {
        for part in parts {
            self.used.insert(part.key, now);
            self.order.push_back((now, part.key));
        }
        while self.order.len() > MAX_PARTS {
            self.forget_oldest();
        }
    }

    /// Gives the tokens at the beginning of a prompt that the upstream holds.
    #[must_use]
    pub fn tokens(&self, parts: &[PromptPart], now: Tick) -> u64 {
        let held = |part: &&PromptPart| self.used.get(&part.key).is_some_and(|at| now.since(*at) < CACHED);
        parts.iter().take_while(held).map(|part| part.tokens).sum()
    }

    fn forget_oldest(&mut self) {
        if let Some((at, key)) = self.order.pop_front()
            && self.used.get(&key) == Some(&at)
        {
            self.used.remove(&key);
        }
    }
}

/// An upstream that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its number among the upstreams.
    pub at: usize,
    /// Requests that run or wait there.
    pub load: f64,
    /// Requests that run at once.
    pub slots: f64,
    /// Prompt tokens that are cached there.
    pub cached: u64,
    /// Weight of the rendezvous hash of prompt and upstream, on which all entry hosts agree.
    pub weight: u64,
    /// Whether it stands in the own data centre.
    pub near: bool,
    /// Milliseconds of work that goes before, as far as known: prompts that were sent there and are not read yet.
    pub backlog_ms: f64,
    /// What it takes to read a prompt.
    pub rates: EngineRates,
}

impl Candidate {
    /// Gives what a prompt of so many tokens asks of it.
    #[must_use]
    pub fn prefill(&self, tokens: u64) -> PrefillWork {
        PrefillWork {
            cached: self.cached,
            fresh: tokens.saturating_sub(self.cached),
        }
    }
}

/// What is predicted for one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The upstream's number.
    pub at: usize,
    /// Milliseconds until the answer begins.
    pub ms: f64,
    /// Milliseconds of them in which the prompt is read.
    pub prefill_ms: f64,
    /// Milliseconds of them for what goes before.
    pub backlog_ms: f64,
    /// Milliseconds that weigh against it besides: requests that run there get no tokens while a long prompt is read.
    pub stall_ms: f64,
    /// Whether it takes the request without queueing it.
    pub has_slot: bool,
}

/// What is asked of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptNeed {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Milliseconds of the longest pause of an answer in time; endless where the answer comes whole.
    pub max_pause_ms: f64,
}

/// Predicts the time until an upstream answers.
#[must_use]
pub fn predict(option: &Candidate, wish: PromptNeed) -> Prediction {
    let PromptNeed {
        tokens,
        max_pause_ms: pause_ms,
    } = wish;
    let slots = option.slots.max(1.0);
    let queued = (option.load + 1.0 - slots).max(0.0);
    let filled = (option.load / slots).min(1.0);
    // Prompts go to their home as long as it is not crowded. Reports are as old as two beats, and many entry hosts read the
    // same ones: if small differences counted, all of them would send to whichever was idle then.
    let crowd = if tokens == 0 {
        filled
    } else {
        ((filled - CROWDED) / (1.0 - CROWDED)).max(0.0)
    };
    let reading_ms = option.rates.prefill_ms(option.prefill(tokens));
    // Until one of the slots is free; a crowded upstream may be full when the request comes.
    let slot_ms = option.rates.run_ms / slots;
    let ms = reading_ms * (1.0 + crowd)
        + (crowd * crowd + queued) * slot_ms
        + if option.near { 0.0 } else { DISTANCE_MS }
        + option.backlog_ms;
    let held_up = (option.backlog_ms + reading_ms - pause_ms * PAUSE).max(0.0);
    Prediction {
        at: option.at,
        ms,
        prefill_ms: reading_ms,
        backlog_ms: option.backlog_ms,
        stall_ms: held_up * option.load * HARM,
        has_slot: queued == 0.0,
    }
}

/// Gives the upstream with the lowest predicted time and harm; of those that differ by little, the one with the highest weight.
#[must_use]
pub fn choose(options: &[Candidate], wish: PromptNeed, close_ms: f64) -> Option<Prediction> {
    let predicted: Vec<(Prediction, u64)> = options
        .iter()
        .map(|option| (predict(option, wish), option.weight))
        .collect();
    let cost = |one: &Prediction| one.ms + one.stall_ms;
    let least = predicted.iter().map(|(one, _)| cost(one)).min_by(f64::total_cmp)?;
    let close = predicted.iter().filter(|(one, _)| cost(one) <= least + close_ms);
    let best = close.max_by(|(_, a), (_, b)| a.cmp(b).then(Ordering::Equal));
    best.map(|(one, _)| *one)
}
