//! Tells what has been learnt of upstreams: in metrics always, and in the log when it has changed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use contract::ServiceName;
use metrics::gauge;
use policy::Tick;
use policy::pace::EngineRates;
use slog::{Logger, info};

use crate::upstreams::Upstreams;

/// Shortest time between two lines about a service; rates settle within some seconds of load.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Change of a rate, as a part of it, that is worth a line: what shows in predictions.
const MIN_LOG_CHANGE: f64 = 0.2;

/// What was logged last of each service.
#[derive(Debug, Default)]
pub(crate) struct RateReporter {
    reported: RefCell<HashMap<ServiceName, (Tick, EngineRates)>>,
}

impl RateReporter {
    /// Tells what is learnt now.
    pub(crate) fn report(&self, upstreams: &Upstreams, logger: &Logger, now: Tick) {
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

fn rates_changed(a: &EngineRates, b: &EngineRates) -> bool {
    let changed = |a: f64, b: f64| (a / b).ln().abs() > MIN_LOG_CHANGE;
    changed(a.token_ms, b.token_ms) || changed(a.attention_ms, b.attention_ms) || changed(a.run_ms, b.run_ms)
}
