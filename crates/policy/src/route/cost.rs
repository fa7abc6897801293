//! Predicted cost of sending a request to a candidate, in milliseconds.

use contract::HostClass;
use serde::{Deserialize, Serialize};

use super::{Ablation, Candidate, RequestNeed, RoutingRules};

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the newest request in the share of those that continue a conversation.
const FOLLOW_WEIGHT: f64 = 0.03;
/// Factors on the prefill time after a faster and after a slower sample; the estimate settles where one sample in five
/// is faster.
///
/// Slower samples mostly contain a wait in the engine.
const PREFILL_STEPS: (f64, f64) = (0.92, 1.02);
/// Fewest prefilled tokens of a usable sample; with fewer, most of the time is spent on the connection.
const MIN_PREFILL_TOKENS: u64 = 64;
/// Wait before the first token that does not count as overload, in milliseconds.
const ACCEPTED_WAIT_MS: f64 = 150.0;
/// Share of an answer's pauses that may be longer than its target.
const LATE_PAUSE_SHARE: f64 = 0.05;
/// Changes of the usable share of the slots: factor after a request that did badly, increment after a good one, and
/// lower bound.
const USABLE_SHARE_STEPS: (f64, f64, f64) = (0.97, 0.01, 0.25);
/// Additional time to answer of a fully used upstream over an idle one, in milliseconds; it spreads requests between
/// otherwise equal upstreams.
const CROWDED_MS: f64 = 20.0;
/// Share of its slots that an upstream without a valid report is assumed to use, in addition to the own requests there.
const UNKNOWN_LOAD_SHARE: f64 = 0.5;
/// Cost of one micro-dollar, in milliseconds.
const MS_PER_MICRODOLLAR: f64 = 1.0;
/// Additional round-trip time of a request to another data centre, in milliseconds.
const DISTANCE_MS: f64 = 5.0;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// Measured averages of one model or service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRates {
    /// Time to prefill one prompt token, in milliseconds.
    pub prefill_token_ms: f64,
    /// Time between two tokens, in milliseconds.
    pub decode_ms: f64,
    /// Time for which a request keeps its slot, in milliseconds.
    pub hold_ms: f64,
    /// Time of a request's own prefill, without waits, in milliseconds.
    pub own_prefill_ms: f64,
    /// Share of requests that continue a conversation, which is the probability of another turn.
    pub follow_share: f64,
    /// Share of a conversation's earlier words that its home still has cached.
    pub cached_share: f64,
    /// Time to the first token, in milliseconds; zero before the first sample.
    pub first_token_ms: f64,
    /// Share of the slots that can be used without long waits.
    pub usable_share: f64,
}

impl Default for ServiceRates {
    fn default() -> Self {
        Self {
            prefill_token_ms: 0.25,
            decode_ms: 20.0,
            hold_ms: 1_000.0,
            own_prefill_ms: 50.0,
            follow_share: 0.5,
            cached_share: 0.9,
            first_token_ms: 0.0,
            usable_share: 1.0,
        }
    }
}

impl ServiceRates {
    /// Records how long a request kept its slot.
    pub fn record_hold(&mut self, ms: f64) {
        self.hold_ms += SAMPLE_WEIGHT * (ms - self.hold_ms);
    }

    /// Records the time to the first token of a request with `fresh` tokens to prefill.
    ///
    /// The number of slots alone does not show what an engine can serve. If prefill is the bottleneck, first tokens are
    /// late long before all slots are used, and each admitted request delays all others, so that nearly all answers are
    /// late. So the usable share of the slots falls while waits exceed the prefill itself, and rises while they are
    /// short.
    pub fn record_first_token(&mut self, fresh: u64, ms: f64) {
        if fresh >= MIN_PREFILL_TOKENS {
            let sample = ms / fresh as f64;
            let faster = sample < self.prefill_token_ms;
            let step = if faster { PREFILL_STEPS.0 } else { PREFILL_STEPS.1 };
            // The first sample replaces the default, which would otherwise take a hundred requests to correct.
            self.prefill_token_ms = if self.first_token_ms == 0.0 {
                sample
            } else {
                self.prefill_token_ms * step
            };
        }
        self.first_token_ms += SAMPLE_WEIGHT * (ms - self.first_token_ms);
        let own = fresh as f64 * self.prefill_token_ms;
        self.own_prefill_ms += SAMPLE_WEIGHT * (own - self.own_prefill_ms);
        self.adapt_usable_share(ms - own <= own.max(ACCEPTED_WAIT_MS));
    }

    /// Records the number of pauses between the tokens of an answer, and how many of them exceeded the target.
    ///
    /// Each additional request in a batch lengthens the pauses of all others. If the slots allow more requests than the
    /// target pauses do, every answer of a full batch is complete but late.
    pub fn record_pauses(&mut self, pauses: u32, late: u32) {
        if pauses > 0 {
            self.adapt_usable_share(f64::from(late) <= f64::from(pauses) * LATE_PAUSE_SHARE);
        }
    }

    /// Adapts the usable share of the slots to the outcome of one request.
    fn adapt_usable_share(&mut self, on_time: bool) {
        self.usable_share = if on_time {
            (self.usable_share + USABLE_SHARE_STEPS.1).min(1.0)
        } else {
            (self.usable_share * USABLE_SHARE_STEPS.0).max(USABLE_SHARE_STEPS.2)
        };
    }

    /// Records whether a request continues a conversation.
    pub fn record_turn(&mut self, continues: bool) {
        self.follow_share += FOLLOW_WEIGHT * (f64::from(u8::from(continues)) - self.follow_share);
    }

    /// Records the share of the earlier words that a conversation's home had cached.
    pub fn record_cached(&mut self, share: f64) {
        self.cached_share += SAMPLE_WEIGHT * (share.clamp(0.0, 1.0) - self.cached_share);
    }
}

/// The terms of a candidate's cost in milliseconds, and its load in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Predicted requests there, own and reported.
    pub load: f64,
    /// Predicted wait for a slot and for the prefill of others, and the slowdown by a full batch.
    pub wait: f64,
    /// Prefill of the prompt tokens that are not cached there.
    pub prefill: f64,
    /// Expected prefill of the whole prompt by a later turn, which goes to the home; zero for the home.
    pub stray: f64,
    /// Price of the share of the host that the request uses.
    pub price: f64,
    /// Expected loss if the host is reclaimed while the request runs.
    pub risk: f64,
    /// Extra time to another data centre.
    pub distance: f64,
}

impl Cost {
    /// Predicts the cost of a candidate.
    ///
    /// Prefill delays every request of the batch. The prefill that a later turn repeats therefore costs all requests
    /// that run beside it; `beside` is their average number now.
    pub(super) fn of(
        candidate: &Candidate<'_>,
        need: &RequestNeed,
        rates: &ServiceRates,
        rules: &RoutingRules,
        beside: f64,
    ) -> Self {
        let slots = f64::from(candidate.slots.max(1));
        // An expired report says nothing. A cautious constant replaces it: an upstream that stopped reporting while
        // idle must not attract all requests, and one that stopped while busy must not be avoided for ever.
        let unknown = || slots * UNKNOWN_LOAD_SHARE + f64::from(candidate.load.own_requests);
        let load = candidate.load.reported.unwrap_or_else(unknown);
        let queued = (load + 1.0 - slots).max(0.0);
        let fresh = need.prompt_tokens.saturating_sub(candidate.cached) as f64;
        let prefill = fresh * rates.prefill_token_ms;
        let answer = need.answer_tokens as f64 * rates.decode_ms;
        let hold = if need.answer_tokens == 0 {
            rates.hold_ms
        } else {
            prefill + answer
        };
        let if_enabled = |term, value: f64| if rules.with(term) { value } else { 0.0 };
        let reclaims = match candidate.class {
            HostClass::Reclaimable => candidate.reclaims_per_hour,
            HostClass::OnDemand => 0.0,
        };
        // A reclaim halfway through repeats the prefill, and half of the answer if its cache cannot be moved.
        let repeated_ms = need.prompt_tokens as f64 * rates.prefill_token_ms + answer / 2.0;
        let reclaim_probability = (reclaims * hold / MS_PER_HOUR).min(1.0);
        let host_price = candidate.price as f64 * hold / MS_PER_HOUR / slots;
        // Engines prefill one prompt after the other: those already there and not prefilled yet go first.
        let queued_prefills = if need.answer_tokens == 0 {
            0.0
        } else {
            load.min(slots) * rates.own_prefill_ms / rates.hold_ms.max(1.0)
        };
        let crowd = (load / slots).min(1.0) * CROWDED_MS;
        Self {
            load,
            wait: queued / slots * rates.hold_ms + crowd + queued_prefills * rates.own_prefill_ms,
            prefill,
            stray: if candidate.home {
                0.0
            } else {
                rates.follow_share * need.prompt_tokens as f64 * rates.prefill_token_ms * (1.0 + beside)
            },
            price: if_enabled(Ablation::Price, host_price * MS_PER_MICRODOLLAR),
            risk: if_enabled(Ablation::Risk, reclaim_probability * repeated_ms),
            distance: if_enabled(Ablation::Distance, if candidate.local { 0.0 } else { DISTANCE_MS }),
        }
    }

    /// Returns the sum of the terms in milliseconds; the load is not part of it.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.wait + self.prefill + self.stray + self.price + self.risk + self.distance
    }
}
