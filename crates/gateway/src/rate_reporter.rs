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
const PAUSE: Duration = Duration::from_secs(5);
/// Change of a rate, as a part of it, that is worth a line: what shows in predictions.
const CHANGED: f64 = 0.2;

/// What was logged last of each service.
#[derive(Debug, Default)]
pub(crate) struct Learnt {
    told: RefCell<HashMap<ServiceName, (Tick, EngineRates)>>,
}

impl Learnt {
    /// Tells what is learnt now.
    pub(crate) fn tell(&self, upstreams: &Upstreams, logger: &Logger, now: Tick) {
        for (service, rates) in upstreams.learnt() {
            let name = service.to_string();
            gauge!("gentian_gateway_read_tokens_per_ms", "service" => name.clone()).set(1.0 / rates.token_ms);
            gauge!("gentian_gateway_run_ms", "service" => name).set(rates.run_ms);
            let mut told = self.told.borrow_mut();
            let before = told.entry(service.clone()).or_insert((now, EngineRates::default()));
            if now.since(before.0) < PAUSE || !differs(&before.1, &rates) {
                continue;
            }
            *before = (now, rates);
            info!(logger, "rates learnt"; "service" => %service, "tokens_per_ms" => 1.0 / rates.token_ms,
                "pairs_ms" => rates.attention_ms, "base_ms" => rates.base_ms, "run_ms" => rates.run_ms);
        }
    }
}

fn differs(a: &EngineRates, b: &EngineRates) -> bool {
    let moved = |a: f64, b: f64| (a / b).ln().abs() > CHANGED;
    moved(a.token_ms, b.token_ms) || moved(a.attention_ms, b.attention_ms) || moved(a.run_ms, b.run_ms)
}
