//! The predicted cost of sending a request to a candidate, in milliseconds.

use contract::MachineClass;
use serde::{Deserialize, Serialize};

use super::{Ablation, Candidate, RequestNeed, RoutingRules};

/// Weight of a measurement against all earlier ones.
const WEIGHT: f64 = 0.1;
/// Weight of one request in the share of those that continue a conversation.
const FOLLOW_WEIGHT: f64 = 0.03;
/// Factors by which the measured prefill follows a faster and a slower one; it settles where one in five is faster.
///
/// What is slower is mostly a wait in the engine and no prefill.
const PREFILL_STEPS: (f64, f64) = (0.92, 1.02);
/// Fewest tokens from which the time of prefill can be read; with fewer, the connection takes most of the time.
const PREFILL_TOKENS: u64 = 64;
/// Wait that is no sign of too many requests at once, in milliseconds.
const EASY_MS: f64 = 150.0;
/// Share of an answer's pauses that may be longer than promised.
const LATE_PAUSES: f64 = 0.05;
/// By how much the allowed use of slots falls after a request that fared badly and rises after a good one, and its least value.
const EASE: (f64, f64, f64) = (0.97, 0.01, 0.25);
/// Milliseconds that a fully used upstream answers later than an idle one; it spreads requests between equals.
const CROWD_MS: f64 = 20.0;
/// Share of its slots that an upstream without a valid report is taken to use, beside own requests.
const UNKNOWN_LOAD: f64 = 0.5;
/// Milliseconds that one micro-dollar is worth.
const MS_PER_MICRODOLLAR: f64 = 1.0;
/// Milliseconds that a request to another data centre takes longer, both ways.
const DISTANCE_MS: f64 = 5.0;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// What was measured of one model or service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRates {
    /// Milliseconds that one prompt token takes to prefill.
    pub prefill_token_ms: f64,
    /// Milliseconds between two tokens.
    pub decode_ms: f64,
    /// Milliseconds for which a request keeps its slot.
    pub hold_ms: f64,
    /// Milliseconds that a request's own prefill takes.
    pub own_prefill_ms: f64,
    /// Share of requests that continue a conversation, which is the chance that another turn will follow.
    pub follow_share: f64,
    /// Share of a conversation's earlier words that its home is found to hold.
    pub cached_share: f64,
    /// Milliseconds until the first token; zero until one was measured.
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
    /// Takes in how long a request kept its slot.
    pub fn record_hold(&mut self, ms: f64) {
        self.hold_ms += WEIGHT * (ms - self.hold_ms);
    }

    /// Takes in the time to the first token of a request with so many tokens to prefill.
    ///
    /// Slots alone don't tell what an engine can take: where there is too little time for prefill, first tokens are late
    /// long before the slots are full, and every request that is let in makes all of them later. One would notice many
    /// answers, nearly all of them late. So the share of the slots that is used falls while waits are longer than the
    /// prefill itself, and rises while they are short.
    pub fn record_first_token(&mut self, fresh: u64, ms: f64) {
        if fresh >= PREFILL_TOKENS {
            let sample = ms / fresh as f64;
            let faster = sample < self.prefill_token_ms;
            let step = if faster { PREFILL_STEPS.0 } else { PREFILL_STEPS.1 };
            // The first one is taken as it is: a wrong constant would take a hundred requests to forget.
            self.prefill_token_ms = if self.first_token_ms == 0.0 {
                sample
            } else {
                self.prefill_token_ms * step
            };
        }
        self.first_token_ms += WEIGHT * (ms - self.first_token_ms);
        let own = fresh as f64 * self.prefill_token_ms;
        self.own_prefill_ms += WEIGHT * (own - self.own_prefill_ms);
        self.judge(ms - own <= own.max(EASY_MS));
    }

    /// Takes in the pauses between an answer's tokens: so many, of which some were longer than promised.
    ///
    /// Each further request in a batch makes the pauses of all others longer. Where the slots allow more than the
    /// promised pauses do, every answer of a full batch would be whole and late.
    pub fn record_pauses(&mut self, pauses: u32, late: u32) {
        if pauses > 0 {
            self.judge(f64::from(late) <= f64::from(pauses) * LATE_PAUSES);
        }
    }

    /// Moves the share of the slots that is used by how one request fared.
    fn judge(&mut self, good: bool) {
        self.usable_share = if good {
            (self.usable_share + EASE.1).min(1.0)
        } else {
            (self.usable_share * EASE.0).max(EASE.2)
        };
    }

    /// Takes in a request by whether it continues a conversation.
    pub fn record_turn(&mut self, continues: bool) {
        self.follow_share += FOLLOW_WEIGHT * (f64::from(u8::from(continues)) - self.follow_share);
    }

    /// Takes in which share of the earlier words a conversation's home held.
    pub fn record_cached(&mut self, share: f64) {
        self.cached_share += WEIGHT * (share.clamp(0.0, 1.0) - self.cached_share);
    }
}

/// What the cost of one candidate is made of, in milliseconds; the load is in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Predicted requests there, own and reported.
    pub load: f64,
    /// Predicted wait for a slot, and the crowd in the batch.
    pub wait: f64,
    /// Prefill of the prompt tokens that are not cached there.
    pub prefill: f64,
    /// Prefill of the whole prompt that a later turn will need because it looks for it at the home.
    pub stray: f64,
    /// Price of the host's share that the request takes.
    pub price: f64,
    /// Expected loss by a reclaim while it runs.
    pub risk: f64,
    /// Distance to its data centre.
    pub distance: f64,
}

impl Cost {
    /// Predicts the cost of a candidate.
    ///
    /// Prefill holds up every request of the batch. What a later turn prefills again is therefore paid by all that run
    /// beside it, of whom there are as many as run beside a request on average now.
    pub(super) fn of(
        candidate: &Candidate<'_>,
        need: &RequestNeed,
        rates: &ServiceRates,
        rules: &RoutingRules,
        beside: f64,
    ) -> Self {
        let slots = f64::from(candidate.slots.max(1));
        // An expired report tells nothing; a cautious constant stands in, so that neither an upstream that fell silent
        // while idle draws all requests nor one that fell silent while busy is never asked again.
        let unknown = || slots * UNKNOWN_LOAD + f64::from(candidate.load.own_requests);
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
        let count = |part, value: f64| if rules.with(part) { value } else { 0.0 };
        let reclaims = match candidate.class {
            MachineClass::Reclaimable => candidate.reclaims_per_hour,
            MachineClass::OnDemand => 0.0,
        };
        // A reclaim halfway costs the prefill again, and half of the answer's time if its cache can't be moved.
        let redo = need.prompt_tokens as f64 * rates.prefill_token_ms + answer / 2.0;
        let chance = (reclaims * hold / MS_PER_HOUR).min(1.0);
        let rent = candidate.price as f64 * hold / MS_PER_HOUR / slots;
        // Engines prefill one prompt after the other: what is there already and still in prefill goes first.
        let before = if need.answer_tokens == 0 {
            0.0
        } else {
            load.min(slots) * rates.own_prefill_ms / rates.hold_ms.max(1.0)
        };
        let crowd = (load / slots).min(1.0) * CROWD_MS;
        Self {
            load,
            wait: queued / slots * rates.hold_ms + crowd + before * rates.own_prefill_ms,
            prefill,
            stray: if candidate.home {
                0.0
            } else {
                rates.follow_share * need.prompt_tokens as f64 * rates.prefill_token_ms * (1.0 + beside)
            },
            price: count(Ablation::Price, rent * MS_PER_MICRODOLLAR),
            risk: count(Ablation::Risk, chance * redo),
            distance: count(Ablation::Distance, if candidate.near { 0.0 } else { DISTANCE_MS }),
        }
    }

    /// Gives the sum in milliseconds.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.wait + self.prefill + self.stray + self.price + self.risk + self.distance
    }
}
