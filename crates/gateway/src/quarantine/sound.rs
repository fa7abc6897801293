//! Prompt parts of requests that have begun without a crash of their upstream.

use std::collections::HashMap;
use std::time::Duration;

use contract::PartId;
use policy::Tick;
use policy::quarantine::parts::PART_MEMORY;
use policy::quarantine::rules::PartRule;

/// Most parts that are remembered.
const MAX_PARTS: usize = 8_192;
/// Shortest time between two searches for parts that are no longer of use.
const DROP_INTERVAL: Duration = Duration::from_secs(1);

/// When requests with a part began last.
#[derive(Debug, Default)]
pub(super) struct SoundParts {
    parts: HashMap<PartId, Began>,
    dropped_at: Tick,
}

#[derive(Clone, Copy, Debug, Default)]
struct Began {
    at: Tick,
    /// The time that the leader was told; `None` if it was told none.
    told: Option<Tick>,
}

impl SoundParts {
    /// Records that a request began at some time.
    pub(super) fn record(&mut self, parts: &[PartId], began_at: Tick, now: Tick) {
        if self.parts.len() + parts.len() > MAX_PARTS && now.since(self.dropped_at) >= DROP_INTERVAL {
            self.parts.retain(|_, began| now.since(began.at) < PART_MEMORY);
            self.dropped_at = now;
        }
        for part in parts {
            if self.parts.len() < MAX_PARTS || self.parts.contains_key(part) {
                let began = self.parts.entry(*part).or_default();
                began.at = began.at.max(began_at);
            }
        }
    }

    /// Returns the parts that the leader has to be told of, with the time at which a request with them began, and notes
    /// that it is told.
    pub(super) fn take_news(&mut self, rules: &[PartRule]) -> Vec<(PartId, Tick)> {
        let watched = rules.iter().flat_map(|rule| rule.companions.iter().chain([&rule.part]));
        let mut news = Vec::new();
        for part in watched {
            let Some(began) = self.parts.get_mut(part) else {
                continue;
            };
            if began.told.is_none_or(|told| began.at > told) {
                began.told = Some(began.at);
                news.push((*part, began.at));
            }
        }
        news
    }

    /// Has everything told again, to a leader that knows nothing.
    pub(super) fn forget_told(&mut self) {
        for began in self.parts.values_mut() {
            began.told = None;
        }
    }
}
