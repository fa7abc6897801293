//! Keeps the rate limits that upstreams name.

use metrics::{counter, gauge};
use policy::Tick;
use slog::info;
use wire::registry::LimitPart;

use crate::gate::Gateway;

impl Gateway {
    /// Applies this host's parts of rate limits, from the leader's answer to a heartbeat of `asked_at`.
    pub(crate) fn apply_limits(&self, parts: &[LimitPart], asked_at: Tick) {
        let mut upstreams = self.upstreams.borrow_mut();
        for part in upstreams.apply_limits(parts, asked_at, self.clock.now()) {
            info!(self.logger, "part of a rate limit"; "upstream" => part.id, "per_s" => part.per_s,
                "part" => part.part, "age_ms" => part.age_ms);
        }
        gauge!("gentian_gateway_limited_upstreams_count").set(upstreams.limited_count() as f64);
    }

    /// Records the rate limit that an upstream named in a response, or that it named none.
    pub(crate) fn record_rate_limit(&self, upstream_id: &str, per_s: Option<f64>) {
        let mut upstreams = self.upstreams.borrow_mut();
        let Some(upstream) = upstreams.get_mut(upstream_id) else {
            return;
        };
        let before = upstream.gate.limit.per_s();
        upstream.gate.limit.record_response(per_s, self.clock.now());
        if before != per_s {
            info!(self.logger, "rate limit of an upstream"; "upstream" => upstream_id, "per_s" => per_s,
                "before" => before);
        }
        if per_s.is_some() {
            counter!("gentian_gateway_limited_responses_total").increment(1);
        }
    }
}
