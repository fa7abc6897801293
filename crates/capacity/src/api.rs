//! HTTP endpoints: the capacity report for operators, health checks and metrics.

use contract::KeyHash;
use parking_lot::Mutex;
use rouille::{Request, Response};
use serde_json::json;
use telemetry::scrape::MetricsExporter;

use crate::control::Report;

/// The report of the controller's latest round.
#[derive(Debug, Default)]
pub struct LatestReport {
    report: Mutex<Report>,
}

impl LatestReport {
    /// Replaces the report.
    pub fn set(&self, report: Report) {
        *self.report.lock() = report;
    }
}

/// Responds to one HTTP request; the report needs the operator key.
///
/// Without an operator key in the settings, the report is refused to everybody.
#[must_use]
pub fn respond(
    latest: &LatestReport,
    scrape: &MetricsExporter,
    operator_key: Option<&KeyHash>,
    request: &Request,
) -> Response {
    match request.url().as_str() {
        "/livez" => Response::text("ok\n"),
        "/metrics" => Response::text(scrape.render()),
        "/v1/capacity" if !is_authorized(operator_key, request) => {
            let detail = "a valid operator key is needed in the Authorization header";
            Response::json(&json!({"title": "refused", "status": 401, "detail": detail})).with_status_code(401)
        }
        "/v1/capacity" => Response::json(&*latest.report.lock()),
        _ => Response::empty_404(),
    }
}

fn is_authorized(operator_key: Option<&KeyHash>, request: &Request) -> bool {
    let bearer = request
        .header("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "));
    operator_key
        .zip(bearer)
        .is_some_and(|(expected, bearer)| KeyHash::of(bearer).matches(expected))
}
