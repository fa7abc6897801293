//! A plain service: lookups that may be repeated and bookings that may not.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rouille::{Request, Response};
use serde_json::json;

use crate::cli::ServiceOptions;
use crate::http;
use crate::record::{Line, Record, now_us};

/// Runs by idempotency key, and how often each ran.
type Runs = Mutex<BTreeMap<String, u64>>;

/// Serves until the process is told to stop.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &ServiceOptions) -> anyhow::Result<()> {
    let runs = Arc::new(Runs::default());
    let record = Record::open(options.record.as_deref())?;
    let work = Duration::from_millis(options.work_ms);
    http::serve(options.listen, options.slots, move |request| {
        answer(&runs, &record, work, request)
    })
}

fn answer(runs: &Runs, record: &Record, work: Duration, request: &Request) -> Response {
    let url = request.url();
    if url == "/_standin/seen" {
        return Response::json(&*runs.lock());
    }
    if url == "/load" {
        return Response::json(&json!({"at_ms": 0, "age_ms": 0, "running": 0, "waiting": 0, "kv_used": 0.0}));
    }
    if let Some(key) = url.strip_prefix("/outcomes/") {
        return outcome(runs, key);
    }
    std::thread::sleep(work);
    if request.method() == "GET" {
        let (at_us, path) = (now_us(), url.clone());
        record.write(&Line::Read { at_us, path });
        return Response::json(&json!({"path": url, "free": 7}));
    }
    run(runs, record, request)
}

/// Runs a booking every time it comes; that a key runs once only is up to the caller.
fn run(runs: &Runs, record: &Record, request: &Request) -> Response {
    let Some(key) = request.header("Idempotency-Key") else {
        return Response::json(&json!({"error": "no idempotency key"})).with_status_code(400);
    };
    let mut runs = runs.lock();
    let count = runs.entry(key.to_owned()).or_default();
    *count += 1;
    record.write(&Line::Ran {
        at_us: now_us(),
        key: key.to_owned(),
    });
    Response::json(&json!({"booked": key, "times": *count})).with_status_code(201)
}

fn outcome(runs: &Runs, key: &str) -> Response {
    match runs.lock().get(key) {
        Some(count) => Response::json(&json!({"booked": key, "times": count})),
        None => Response::json(&json!({"error": "never ran"})).with_status_code(404),
    }
}
