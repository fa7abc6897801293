//! Choice of the upstream for a call without a prompt.
//!
//! Addressed load: dozens of entry hosts send short calls, in clumps, to few upstreams with few slots. Calls end faster
//! than load reports arrive through the leader. If all hosts took the lowest predicted time, they would send everything
//! to the upstream that was idle in the same old report, and it would turn calls away. Each host draws instead, so that
//! all hosts together use each upstream in proportion to the places that it has free and to the calls that it ends.

use crate::place::{Candidate, Prediction, PromptNeed, choose, predict};

/// Number of entry hosts from which calls are spread. Fewer hosts have sent much of the load themselves and know it: with
/// 5 hosts the lowest time is as good, with 10 more calls are turned away.
const MIN_HOSTS: u32 = 8;
/// Places of an upstream per slot: one that runs and one in its queue.
const PLACES_PER_SLOT: f64 = 2.0;
/// Fewest free places that a full upstream counts with, so that a draw among full upstreams is possible.
const MIN_PLACES: f64 = 0.01;
/// Predicted time of a call, as a multiple of the lowest, up to which an upstream is drawn. One that takes 2.5 times as
/// long for a moment and has a short queue is drawn. One that hangs, or may have been replaced, is not.
const MAX_TIME_RATIO: f64 = 4.0;
/// A call without a prompt, whose response comes as a whole.
const PLAIN_NEED: PromptNeed = PromptNeed {
    tokens: 0,
    max_pause_ms: f64::INFINITY,
};

/// Returns the upstream for a call without a prompt. `draw` is uniform in 0 to 1.
#[must_use]
pub fn choose_spread(candidates: &[Candidate], entry_hosts: u32, draw: f64) -> Option<Prediction> {
    if entry_hosts < MIN_HOSTS {
        return choose(candidates, PLAIN_NEED, 0.0);
    }
    let lowest = candidates.iter().map(call_ms).min_by(f64::total_cmp)?;
    let weight = |candidate: &Candidate| {
        let ms = call_ms(candidate);
        if ms <= lowest * MAX_TIME_RATIO {
            free_places(candidate) / ms
        } else {
            0.0
        }
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut left = draw.clamp(0.0, 1.0) * total;
    let drawn = candidates.iter().find(|candidate| {
        let weight = weight(candidate);
        left -= weight;
        weight > 0.0 && left <= 0.0
    });
    // Rounding may leave a rest after the last one.
    let drawn = drawn.or_else(|| candidates.iter().rfind(|candidate| weight(candidate) > 0.0));
    drawn.map(|candidate| predict(candidate, PLAIN_NEED))
}

/// Returns the predicted time of a call, from sending it to its response, in milliseconds.
fn call_ms(candidate: &Candidate) -> f64 {
    predict(candidate, PLAIN_NEED).ms + candidate.doubt_ms + candidate.rates.run_ms
}

fn free_places(candidate: &Candidate) -> f64 {
    (candidate.slots * PLACES_PER_SLOT - candidate.load).max(MIN_PLACES)
}
