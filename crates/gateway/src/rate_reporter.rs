//! Reports the speed of upstreams: the momentary pace and the learnt speed as metrics, and the learnt speed in the log
//! when it has changed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use contract::ServiceName;
use metrics::gauge;
use policy::Tick;
use policy::pace::EngineRates;
use slog::{Logger, info};

use crate::upstreams::Upstreams;

/// Shortest interval between two log lines about a service; rates settle within some seconds of load.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Relative change of a rate that is logged; a smaller one hardly shows in predictions.
const MIN_LOG_CHANGE: f64 = 0.2;

/// The rates of each service that were logged last.
#[derive(Debug, Default)]
pub(crate) struct RateReporter {
    reported: RefCell<HashMap<ServiceName, (Tick, EngineRates)>>,
}

impl RateReporter {
    /// Updates the metrics, and logs the rates that have changed.
    pub(crate) fn report(&self, upstreams: &Upstreams, logger: &Logger, now: Tick) {
        report_paces(upstreams, now);
        gauge!("gentian_gateway_stepped_upstreams_count").set(upstreams.stepped_count() as f64);
        for (service, rates) in upstreams.all_rates() {
            let name = service.to_string();
            gauge!("gentian_gateway_read_tokens_per_ms", "service" => name.clone()).set(1.0 / rates.token_ms);
            gauge!("gentian_gateway_run_ms", "service" => name).set(rates.run_ms);
            let mut reported = self.reported.borrow_mut();
            let last = reported.entry(service.clone()).or_insert((now, EngineRates::default()));
            if now.since(last.0) < MIN_LOG_INTERVAL || !rates_changed(&last.1, &rates) {
                continue;
            }
            *last = (now, rates);
            info!(logger, "rates learnt"; "service" => %service, "tokens_per_ms" => 1.0 / rates.token_ms,
                "pairs_ms" => rates.attention_ms, "base_ms" => rates.base_ms, "run_ms" => rates.run_ms);
        }
    }
}

/// Updates the metrics of services whose upstreams report their pace.
fn report_paces(upstreams: &Upstreams, now: Tick) {
    for (service, paces) in upstreams.paces(now) {
        let name = service.to_string();
        gauge!("gentian_gateway_upstreams_pace_mean", "service" => name.clone()).set(paces.mean);
        gauge!("gentian_gateway_upstreams_pace_slowest", "service" => name.clone()).set(paces.slowest);
        gauge!("gentian_gateway_pace_lifetime_seconds", "service" => name).set(paces.lifetime.as_secs_f64());
    }
}

fn rates_changed(a: &EngineRates, b: &EngineRates) -> bool {
    let changed = |a: f64, b: f64| (a / b).ln().abs() > MIN_LOG_CHANGE;
    changed(a.token_ms, b.token_ms) || changed(a.attention_ms, b.attention_ms) || changed(a.run_ms, b.run_ms)
}
