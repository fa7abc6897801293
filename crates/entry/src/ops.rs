//! Health checks and metrics.

use std::sync::atomic::Ordering;

use rouille::{Request, Response};
use telemetry::scrape::MetricsExporter;

use crate::Entry;

/// Answers the platform's balancer and scrapers.
#[must_use]
pub fn answer(entry: &Entry, scrape: &MetricsExporter, request: &Request) -> Response {
    match request.url().as_str() {
        "/livez" => Response::text("ok\n"),
        "/readyz" if entry.leaving.load(Ordering::Relaxed) => Response::text("leaving\n").with_status_code(503),
        "/readyz" if !entry.current.is_ready() => Response::text("no configuration yet\n").with_status_code(503),
        "/readyz" => Response::text("ready\n"),
        "/metrics" => Response::text(scrape.render()),
        _ => Response::empty_404(),
    }
}
