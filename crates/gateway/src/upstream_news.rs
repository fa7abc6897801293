//! Exchanges with upstreams, and what each of their responses says of the upstream itself.

use std::time::Duration;

use contract::ServiceName;
use metrics::counter;
use policy::Tick;
use policy::send_gate::{Heard, Hold, SendGate};
use slog::{info, warn};

use crate::dialect::{BackoffHint, ResponseInfo};
use crate::exchange::{AttemptError, UpstreamResponse, send_request};
use crate::gate::Gateway;
use crate::pool::Connection;

impl Gateway {
    /// Sends a request to an upstream of a service and reads the response head. Records what this response, and those to
    /// earlier requests before it, say of the upstream.
    ///
    /// # Errors
    /// Returns what is certain about the request if no response to it arrives.
    pub(crate) async fn exchange(
        &self,
        (service, upstream): (&ServiceName, &str),
        connection: Connection,
        request: &[u8],
        id: &str,
    ) -> Result<UpstreamResponse, AttemptError> {
        let sent_at = self.clock.now();
        let mut on_head = |told: &ResponseInfo| self.record_news(service, upstream, told, sent_at);
        send_request(connection, request, id, self.codec.as_ref(), &mut on_head).await
    }

    /// Takes the right to send a request to an upstream now.
    ///
    /// # Errors
    /// Returns why nothing may be sent.
    pub(crate) fn claim_send(&self, upstream: &str) -> Result<(), Hold> {
        self.claim_by(upstream, SendGate::claim)
    }

    /// Takes the right to send a call about a request that an upstream runs already.
    ///
    /// # Errors
    /// Returns why nothing may be sent.
    pub(crate) fn claim_call(&self, upstream: &str) -> Result<(), Hold> {
        self.claim_by(upstream, SendGate::claim_call)
    }

    fn claim_by(&self, upstream: &str, claim: fn(&mut SendGate, Tick) -> Result<(), Hold>) -> Result<(), Hold> {
        let mut upstreams = self.upstreams.borrow_mut();
        let gate = upstreams.gate_mut(upstream);
        let claimed = gate.map_or(Ok(()), |gate| claim(gate, self.clock.now()));
        if claimed.is_err() {
            counter!("gentian_gateway_held_sends_total").increment(1);
        }
        claimed
    }

    /// Records what the response to a request that was sent at `sent_at` says of the upstream.
    fn record_news(&self, service: &ServiceName, upstream: &str, told: &ResponseInfo, sent_at: Tick) {
        // The response of another incarnation tells nothing of the upstream that was meant.
        if told.wrong_incarnation {
            return;
        }
        let news = &told.news;
        self.record_rate_limit(upstream, news.rate_limit);
        self.record_brittleness(service, upstream, news.max_rejections, told.not_run);
        match &news.backoff {
            Some(BackoffHint::Lasts(lasts)) => self.record_pause(upstream, told, *lasts),
            Some(BackoffHint::Unreadable(text)) => {
                counter!("gentian_gateway_unreadable_pauses_total").increment(1);
                warn!(self.logger, "pause of an upstream not readable"; "upstream" => upstream,
                    "request" => &told.id, "value" => text);
            }
            None if told.not_run => {}
            None => {
                if let Some(gate) = self.upstreams.borrow_mut().gate_mut(upstream) {
                    gate.backoff.record_taken(sent_at);
                }
            }
        }
        if news.leaving {
            self.record_leaving(upstream, told);
        }
    }

    fn record_leaving(&self, upstream: &str, told: &ResponseInfo) {
        let heard = Heard {
            at: self.clock.now(),
            own: true,
        };
        let mut upstreams = self.upstreams.borrow_mut();
        let is_new = upstreams
            .gate_mut(upstream)
            .is_some_and(|gate| gate.record_leaving(heard));
        if is_new {
            counter!("gentian_gateway_leaving_told_total").increment(1);
            info!(self.logger, "upstream says that it leaves"; "upstream" => upstream, "request" => &told.id);
        }
    }

    fn record_pause(&self, upstream: &str, told: &ResponseInfo, lasts: Duration) {
        let now = self.clock.now();
        let mut left = Duration::ZERO;
        if let Some(gate) = self.upstreams.borrow_mut().gate_mut(upstream) {
            gate.backoff.record_pause(lasts, rand::random(), now);
            left = gate.backoff.wait(now);
        }
        counter!("gentian_gateway_pauses_total").increment(1);
        info!(self.logger, "upstream asks for a pause"; "upstream" => upstream, "request" => &told.id,
            "lasts_ms" => lasts.as_millis() as u64, "left_ms" => left.as_millis() as u64, "not_run" => told.not_run);
    }
}
