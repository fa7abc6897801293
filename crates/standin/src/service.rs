//! A plain service: lookups that may be repeated and bookings that may not.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::cli::ServiceOptions;
use crate::http::{self, Running};
use crate::record::{Line, Record, now_us};

/// What goes wrong at a service until it's told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Milliseconds that each call takes longer.
    pub delay_ms: u64,
    /// Calls are refused with 503 before they run.
    pub refuse: bool,
    /// Connections break off before the call runs.
    pub break_before: bool,
    /// Connections break off after the call ran.
    pub break_after: bool,
    /// Faults but the delay hold for this many calls only; 0 is no limit.
    pub calls: u64,
}

#[derive(Debug)]
struct Service {
    options: ServiceOptions,
    record: Record,
    faults: Mutex<ServiceFaults>,
    /// Runs by idempotency key, and how often each ran.
    runs: Mutex<BTreeMap<String, u64>>,
}

impl FromStr for ServiceFaults {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}

/// Starts a service.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn start(options: &ServiceOptions) -> anyhow::Result<Running> {
    let service = Arc::new(Service {
        options: options.clone(),
        record: Record::open(options.record.as_deref())?,
        faults: Mutex::new(options.faults),
        runs: Mutex::default(),
    });
    Running::start(options.listen, options.slots, move |request| answer(&service, request))
}

/// Serves until the process is told to stop.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &ServiceOptions) -> anyhow::Result<()> {
    http::until_stopped(&start(options)?)
}

fn answer(service: &Service, request: &Request) -> Response {
    let url = request.url();
    match url.as_str() {
        "/_standin/seen" => return Response::json(&*service.runs.lock()),
        "/_standin/faults" => return service.set_faults(request),
        "/load" => {
            return Response::json(&json!({"at_ms": 0, "age_ms": 0, "running": 0, "waiting": 0, "kv_used": 0.0}));
        }
        _ => {}
    }
    if let Some(key) = url.strip_prefix("/outcomes/") {
        return service.outcome(key);
    }
    let faults = service.next_faults();
    if faults.refuse {
        return Response::json(&json!({"error": "not run"})).with_status_code(503);
    }
    if faults.break_before {
        return http::broken();
    }
    std::thread::sleep(Duration::from_millis(service.options.work_ms + faults.delay_ms));
    let reply = if request.method() == "GET" {
        let (at_us, path) = (now_us(), url.clone());
        service.record.write(&Line::Read { at_us, path });
        Response::json(&json!({"path": url, "free": 7}))
    } else {
        service.run(request)
    };
    if faults.break_after { http::broken() } else { reply }
}

impl Service {
    fn set_faults(&self, request: &Request) -> Response {
        http::body::<ServiceFaults>(request).map_or_else(
            |refusal| refusal,
            |faults| {
                *self.faults.lock() = faults;
                Response::json(&faults)
            },
        )
    }

    /// Gives the faults of the next call.
    fn next_faults(&self) -> ServiceFaults {
        let mut faults = self.faults.lock();
        let now = *faults;
        if faults.calls == 1 {
            *faults = ServiceFaults {
                delay_ms: now.delay_ms,
                ..ServiceFaults::default()
            };
        }
        faults.calls = faults.calls.saturating_sub(1);
        now
    }

    /// Runs a booking every time it comes; that a key runs once only is up to the caller.
    fn run(&self, request: &Request) -> Response {
        let Some(key) = request.header("Idempotency-Key") else {
            return Response::json(&json!({"error": "no idempotency key"})).with_status_code(400);
        };
        let mut runs = self.runs.lock();
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        self.record.write(&Line::Ran {
            at_us: now_us(),
            key: key.to_owned(),
        });
        Response::json(&json!({"booked": key, "times": *count})).with_status_code(201)
    }

    fn outcome(&self, key: &str) -> Response {
        match self.runs.lock().get(key) {
            Some(count) if !self.options.keeps_silent => Response::json(&json!({"booked": key, "times": count})),
            _ => Response::json(&json!({"error": "never ran"})).with_status_code(404),
        }
    }
}
