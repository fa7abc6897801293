//! Order among the requests of a client account that asks for more than its quota.
//!
//! The load: an account sends several times its usual. Its short prompts fit into what is left of the quota at each entry
//! host, its long ones don't, so that the least urgent requests are served and the most urgent ones refused. While requests of
//! a service are refused for lack of quota, the less urgent ones of the same account and service are held back, and what
//! they would have used serves the others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Tick;

/// Time after a refusal for which less urgent requests are held back. With dozens of hosts each sees a few long prompts of an
/// account in a second, so that a shorter time would often end before the next refusal.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// One in so many of the held back requests passes all the same, so that the least urgent ones are not starved.
const PASSED_ONE_IN: u32 = 8;

/// Holds back less urgent requests of one account and service.
#[derive(Clone, Debug, Default)]
pub struct UrgencyGate {
    /// When a request of each priority was refused last for lack of quota; 0 is the most urgent priority.
    refused: BTreeMap<u8, Tick>,
    /// Number of requests held back or passed all the same.
    checked: u32,
}

impl UrgencyGate {
    /// Records that a request was refused for lack of quota.
    pub fn record_refused(&mut self, priority: u8, now: Tick) {
        self.refused.insert(priority, now);
    }

    /// Returns whether a request may use quota: no more urgent one was refused lately, or it is one of the few that pass all
    /// the same.
    pub fn passes(&mut self, priority: u8, now: Tick) -> bool {
        self.refused.retain(|_, at| now.since(*at) < HOLD_TIME);
        if self.refused.range(..priority).next().is_none() {
            return true;
        }
        self.checked = self.checked.wrapping_add(1);
        self.checked.is_multiple_of(PASSED_ONE_IN)
    }

    /// Returns whether nothing is held back.
    #[must_use]
    pub fn is_idle(&self, now: Tick) -> bool {
        self.refused.values().all(|at| now.since(*at) >= HOLD_TIME)
    }
}
