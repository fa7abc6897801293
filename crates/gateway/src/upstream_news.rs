//! Exchanges with upstreams, and what each of their responses says of the upstream itself.

use std::net::SocketAddr;
use std::time::Duration;

use contract::ServiceName;
use metrics::counter;
use policy::Tick;
use policy::backoff::MAX_PAUSE;
use policy::pace::moment::BadPace;
use policy::send_gate::{Heard, Hold, SendGate};
use slog::{info, warn};
use tokio::task::spawn_local;
use wire::relay::{RelayRequest, RelayedNews};

use crate::attempt_head::OutgoingRequest;
use crate::dialect::{BackoffHint, ResponseInfo};
use crate::exchange::{AttemptError, UpstreamResponse, send_request};
use crate::gate::Gateway;
use crate::pool::Connection;
use crate::relay::connect_through;
use crate::response_room::ResponseRoom;

/// Shortest interval between two log lines about paces that can't be read; a faulty service sends one in each response.
const BAD_PACE_INTERVAL: Duration = Duration::from_secs(1);

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
        request: &OutgoingRequest,
        id: &str,
    ) -> Result<UpstreamResponse, AttemptError> {
        let sent_at = self.clock.now();
        let relay = connection.relay.as_ref().map(|lease| lease.host);
        let mut relayed = RelayedNews::default();
        let mut on_head = |told: &ResponseInfo| {
            let answers = told.id.as_deref().is_none_or(|answered_id| answered_id == id);
            self.record_news(service, upstream, told, answers.then_some(sent_at));
            add_news(&mut relayed, told);
        };
        let room = ResponseRoom::open(&self.responses, upstream).map_err(|full| AttemptError::NotSent {
            reason: format!("no room for the answer: {full}"),
        })?;
        let response = send_request((connection, room), request, id, self.codec.as_ref(), &mut on_head).await;
        if let Some(host) = relay.filter(|_| !relayed.is_empty()) {
            self.tell_relay(host, (service, upstream), relayed);
        }
        response
    }

    /// Tells the host that relays what the upstream has said, as it passes bytes and reads no responses.
    fn tell_relay(&self, host: SocketAddr, (service, upstream): (&ServiceName, &str), news: RelayedNews) {
        let request = RelayRequest {
            from: self.settings.node.clone(),
            request: String::new(),
            service: service.clone(),
            upstream: upstream.to_owned(),
            end_mark: None,
            news: Some(news),
        };
        let logger = self.logger.clone();
        spawn_local(async move {
            let told = connect_through(host, &request).await;
            // The other host takes the news by refusing a connection.
            if let Err(error) = told
                && !error.is_held()
            {
                counter!("gentian_gateway_relays_untold_total").increment(1);
                warn!(logger, "relay not told of an upstream"; "host" => %host, "upstream" => &request.upstream,
                    "error" => %error);
            }
        });
    }

    /// Records what another host has read on a connection that this host relays.
    pub(crate) fn record_relayed_news(&self, upstream: &str, news: &RelayedNews) {
        let now = self.clock.now();
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(gate) = upstreams.gate_mut(upstream) {
            let pause = Duration::from_millis(news.pause_ms);
            gate.backoff.record_pause(pause, rand::random(), now);
            if news.leaving {
                gate.record_leaving(Heard { at: now, own: true });
            }
        }
        info!(self.logger, "told of an upstream"; "upstream" => upstream, "pause_ms" => news.pause_ms,
            "leaving" => news.leaving);
    }

    /// Takes the right to send a request to an upstream now.
    ///
    /// # Errors
    /// Returns why nothing may be sent.
    pub(crate) fn claim_send(&self, upstream: &str) -> Result<(), Hold> {
        self.claim_by(upstream, SendGate::claim)
    }

    /// Takes the right to open a connection to an upstream for another host.
    ///
    /// # Errors
    /// Returns why the upstream may get nothing.
    pub(crate) fn claim_relayed(&self, upstream: &str) -> Result<(), Hold> {
        self.claim_by(upstream, SendGate::claim_relayed)
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

    /// Records what a response says of the upstream; `sent_at` tells when its request was sent, if that is known.
    fn record_news(&self, service: &ServiceName, upstream: &str, told: &ResponseInfo, sent_at: Option<Tick>) {
        // The response of another incarnation tells nothing of the upstream that was meant.
        if told.wrong_incarnation {
            return;
        }
        let news = &told.news;
        if let Some(error) = news.bad_pace {
            self.record_bad_pace(service, upstream, error);
        }
        // The response to an earlier request may have waited on the connection, and its pace is as old.
        if let Some(pace) = news.load.and_then(|load| load.pace)
            && sent_at.is_some()
            && let Some(known) = self.upstreams.borrow_mut().get_mut(upstream)
        {
            known.record_pace(pace, self.clock.now());
        }
        self.record_rate_limit(upstream, news.rate_limit);
        self.record_brittleness(service, upstream, news.max_rejections, told.not_run);
        match &news.backoff {
            Some(BackoffHint::Lasts(lasts)) => self.record_pause(upstream, told, *lasts),
            Some(BackoffHint::Unreadable(text)) => {
                counter!("gentian_gateway_unreadable_pauses_total").increment(1);
                warn!(self.logger, "pause of an upstream not readable"; "upstream" => upstream,
                    "request" => &told.id, "value" => text);
            }
            None => {
                if let Some(sent_at) = sent_at.filter(|_| !told.not_run)
                    && let Some(gate) = self.upstreams.borrow_mut().gate_mut(upstream)
                {
                    gate.backoff.record_taken(sent_at);
                }
            }
        }
        if news.leaving {
            self.record_leaving(upstream, told);
        }
    }

    /// Counts a pace that can't be read, and logs it unless another one was logged lately.
    fn record_bad_pace(&self, service: &ServiceName, upstream: &str, error: BadPace) {
        counter!("gentian_gateway_bad_paces_total", "service" => service.to_string()).increment(1);
        let now = self.clock.now();
        let is_recent = |at: Tick| now.since(at) < BAD_PACE_INTERVAL;
        if self.bad_pace_at.get().is_some_and(is_recent) {
            return;
        }
        self.bad_pace_at.set(Some(now));
        warn!(self.logger, "pace of an upstream not readable"; "service" => %service, "upstream" => upstream,
            "error" => %error);
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

/// Adds what a response says to what the host that relays it has to know.
fn add_news(relayed: &mut RelayedNews, told: &ResponseInfo) {
    if told.wrong_incarnation {
        return;
    }
    if let Some(BackoffHint::Lasts(lasts)) = &told.news.backoff {
        relayed.pause_ms = relayed.pause_ms.max(lasts.min(&MAX_PAUSE).as_millis() as u64);
    }
    relayed.leaving |= told.news.leaving;
}
