//! A plain service: lookups, which are safe to repeat, and bookings, which are not.

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

/// Faults injected into a service until others are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Added duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// Calls are refused with status 503 and do not run.
    pub refuse: bool,
    /// Responses are cut after the headers, and the call does not run.
    pub break_before: bool,
    /// Responses are cut after the headers, after the call has run.
    pub break_after: bool,
    /// Number of next calls for which the faults, except the delay, apply; 0 is no limit.
    pub calls: u64,
}

#[derive(Debug)]
struct Service {
    options: ServiceOptions,
    record: Record,
    faults: Mutex<ServiceFaults>,
    /// Number of runs of each booking, by idempotency key.
    runs: Mutex<BTreeMap<String, u64>>,
}

impl FromStr for ServiceFaults {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}

/// Starts a service on its own threads.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn start(options: &ServiceOptions) -> anyhow::Result<Running> {
    let service = Arc::new(Service {
        options: options.clone(),
        record: Record::open(options.record.as_deref())?,
        faults: Mutex::new(options.faults),
        runs: Mutex::default(),
    });
    Running::start(options.listen, options.slots, move |request| answer(&service, request))
}

/// Serves until the process gets a stop signal.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn serve(options: &ServiceOptions) -> anyhow::Result<()> {
    http::run_until_stopped(&start(options)?)
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
        return service.booking_outcome(key);
    }
    let faults = service.take_faults();
    if faults.refuse {
        return Response::json(&json!({"error": "not run"})).with_status_code(503);
    }
    if faults.break_before {
        return http::truncated_response();
    }
    std::thread::sleep(Duration::from_millis(service.options.work_ms + faults.delay_ms));
    let reply = if request.method() == "GET" {
        let (at_us, path) = (now_us(), url.clone());
        service.record.write(&Line::Read { at_us, path });
        Response::json(&json!({"path": url, "free": 7}))
    } else {
        service.run_booking(request)
    };
    if faults.break_after {
        http::truncated_response()
    } else {
        reply
    }
}

impl Service {
    fn set_faults(&self, request: &Request) -> Response {
        http::json_body::<ServiceFaults>(request).map_or_else(
            |refusal| refusal,
            |faults| {
                *self.faults.lock() = faults;
                Response::json(&faults)
            },
        )
    }

    /// Returns the faults that apply to a call, and counts it.
    fn take_faults(&self) -> ServiceFaults {
        let mut faults = self.faults.lock();
        let current = *faults;
        if faults.calls == 1 {
            *faults = ServiceFaults {
                delay_ms: current.delay_ms,
                ..ServiceFaults::default()
            };
        }
        faults.calls = faults.calls.saturating_sub(1);
        current
    }

    /// Runs a booking each time it is requested. It does not deduplicate by idempotency key, so that a test sees when a
    /// caller repeats one.
    fn run_booking(&self, request: &Request) -> Response {
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

    fn booking_outcome(&self, key: &str) -> Response {
        match self.runs.lock().get(key) {
            Some(count) if !self.options.keeps_silent => Response::json(&json!({"booked": key, "times": count})),
            _ => Response::json(&json!({"error": "never ran"})).with_status_code(404),
        }
    }
}
