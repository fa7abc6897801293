//! What operators are shown, and health checks.

use contract::KeyHash;
use parking_lot::Mutex;
use rouille::{Request, Response};
use serde_json::json;
use telemetry::scrape::MetricsExporter;

use crate::control::Report;

/// The newest report of the loop.
#[derive(Debug, Default)]
pub struct Shown {
    report: Mutex<Report>,
}

impl Shown {
    /// Replaces the report.
    pub fn set(&self, report: Report) {
        *self.report.lock() = report;
    }
}

/// Answers one request.
#[must_use]
pub fn answer(shown: &Shown, scrape: &MetricsExporter, key: Option<&KeyHash>, request: &Request) -> Response {
    match request.url().as_str() {
        "/livez" => Response::text("ok\n"),
        "/metrics" => Response::text(scrape.render()),
        "/v1/capacity" if !is_allowed(key, request) => {
            let detail = "a valid operator key is needed in the Authorization header";
            Response::json(&json!({"title": "refused", "status": 401, "detail": detail})).with_status_code(401)
        }
        "/v1/capacity" => Response::json(&*shown.report.lock()),
        _ => Response::empty_404(),
    }
}

fn is_allowed(key: Option<&KeyHash>, request: &Request) -> bool {
    let shown = request
        .header("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "));
    key.zip(shown)
        .is_some_and(|(key, shown)| KeyHash::of(shown).matches(key))
}
