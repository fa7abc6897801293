//! Rate limits that upstreams name, as this host exchanges them with the leader.

use std::collections::HashMap;
use std::time::Duration;

use contract::ServiceName;
use policy::Tick;
use policy::rate_limit::NamedLimit;
use wire::registry::{HeardLimit, LimitPart};

use super::{Upstream, Upstreams};

impl Upstreams {
    /// Returns the rate limits that the leader should know of, given the requests per second that callers ask of services.
    #[must_use]
    pub fn heard_limits(&self, wanted: impl Fn(&ServiceName) -> f64, now: Tick) -> Vec<HeardLimit> {
        let mut counts: HashMap<&ServiceName, usize> = HashMap::new();
        for upstream in self.all.values().filter(|upstream| !upstream.is_leaving()) {
            *counts.entry(&upstream.listed.service).or_default() += 1;
        }
        let heard = self.all.iter().filter_map(|(id, upstream)| {
            let service = &upstream.listed.service;
            // Callers ask for a service; its upstreams get like parts.
            let wanted = wanted(service) / counts.get(service).copied().unwrap_or(1) as f64;
            let (named, held) = upstream.gate.limit.report(wanted, now)?;
            Some(HeardLimit {
                id: id.clone(),
                per_s: named.per_s,
                age_ms: now.since(named.at).as_millis() as u32,
                held: held.per_s > 0.0,
                part: held.per_s,
                wanted: held.wanted,
            })
        });
        heard.collect()
    }

    /// Applies this host's parts of rate limits, from an answer to a heartbeat of `asked_at`. Returns the upstreams of
    /// which it now has another part.
    pub fn apply_limits(&mut self, parts: &[LimitPart], asked_at: Tick, now: Tick) -> Vec<LimitPart> {
        let mut changed = Vec::new();
        for part in parts {
            let Some(upstream) = self.all.get_mut(&part.id) else {
                continue;
            };
            let named = NamedLimit {
                per_s: part.per_s,
                at: asked_at - Duration::from_millis(u64::from(part.age_ms)),
            };
            let limit = &mut upstream.gate.limit;
            let before = (limit.per_s(), limit.part_per_s(now));
            limit.record_part(named, part.part, asked_at, now);
            if before != (limit.per_s(), limit.part_per_s(now)) {
                changed.push(part.clone());
            }
        }
        changed
    }

    /// Returns the number of upstreams that limit their requests.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let limited = |upstream: &&Upstream| upstream.gate.limit.per_s().is_some();
        self.all.values().filter(limited).count()
    }
}
