//! Exchanges with upstreams, and what each of their responses says of the upstream itself.

use contract::ServiceName;
use metrics::counter;
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
        let mut on_head = |told: &ResponseInfo| self.record_news(service, upstream, told);
        send_request(connection, request, id, self.codec.as_ref(), &mut on_head).await
    }

    /// Records what a response says of the upstream that sent it.
    fn record_news(&self, service: &ServiceName, upstream: &str, told: &ResponseInfo) {
        // The response of another incarnation tells nothing of the upstream that was meant.
        if told.wrong_incarnation {
            return;
        }
        let news = &told.news;
        self.record_rate_limit(upstream, news.rate_limit);
        self.record_brittleness(service, upstream, news.max_rejections, told.not_run);
        if let Some(backoff) = &news.backoff {
            self.log_backoff(upstream, told, backoff);
        }
        if news.leaving && self.may_log() {
            info!(self.logger, "upstream says that it leaves"; "upstream" => upstream, "request" => &told.id);
        }
    }

    fn log_backoff(&self, upstream: &str, told: &ResponseInfo, backoff: &BackoffHint) {
        match backoff {
            BackoffHint::Lasts(lasts) => {
                counter!("gentian_gateway_pauses_total").increment(1);
                info!(self.logger, "upstream asks for a pause"; "upstream" => upstream, "request" => &told.id,
                    "lasts_ms" => lasts.as_millis() as u64, "not_run" => told.not_run);
            }
            BackoffHint::Unreadable(text) => {
                counter!("gentian_gateway_unreadable_pauses_total").increment(1);
                warn!(self.logger, "pause of an upstream not readable"; "upstream" => upstream,
                    "request" => &told.id, "value" => text);
            }
        }
    }
}
