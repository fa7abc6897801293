//! HTTP endpoints for health checks and metrics.

use std::sync::atomic::Ordering;

use rouille::{Request, Response};
use telemetry::scrape::MetricsExporter;

use crate::EntryHost;

/// Serves the load balancer's health checks and the metrics scraper.
#[must_use]
pub fn respond(entry: &EntryHost, scrape: &MetricsExporter, request: &Request) -> Response {
    match request.url().as_str() {
        "/livez" => Response::text("ok\n"),
        "/readyz" if entry.leaving.load(Ordering::Relaxed) => Response::text("leaving\n").with_status_code(503),
        "/readyz" if !entry.config.is_ready() => Response::text("no configuration yet\n").with_status_code(503),
        "/readyz" => Response::text("ready\n"),
        "/metrics" => Response::text(scrape.render()),
        _ => Response::empty_404(),
    }
}
