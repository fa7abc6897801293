//! The weight store: every load shares one rate, and only some may wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rouille::{Request, Response};
use serde_json::json;

use crate::cli::WeightsOptions;
use crate::http::{self, Running};

/// Threads that answer.
const THREADS: usize = 64;

#[derive(Debug)]
struct Store {
    options: WeightsOptions,
    open: AtomicU64,
    link: Mutex<()>,
    loads: Mutex<Vec<String>>,
    refused: AtomicU64,
}

/// Starts a weight store.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn start(options: &WeightsOptions) -> anyhow::Result<Running> {
    let store = Arc::new(Store {
        options: options.clone(),
        open: AtomicU64::new(0),
        link: Mutex::new(()),
        loads: Mutex::default(),
        refused: AtomicU64::new(0),
    });
    Running::start(options.listen, THREADS, move |request| answer(&store, request))
}

/// Serves until the process is told to stop.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &WeightsOptions) -> anyhow::Result<()> {
    http::until_stopped(&start(options)?)
}

fn answer(store: &Store, request: &Request) -> Response {
    let url = request.url();
    if url == "/_standin/seen" {
        let refused = store.refused.load(Ordering::Relaxed);
        return Response::json(&json!({"loads": *store.loads.lock(), "refused": refused}));
    }
    let megabytes = match url.strip_prefix("/weights/").and_then(|rest| rest.split('/').next()) {
        Some("models") => store.options.model_mb,
        Some("adapters") => store.options.adapter_mb,
        _ => return Response::empty_404(),
    };
    if store.open.fetch_add(1, Ordering::Relaxed) >= store.options.most {
        store.open.fetch_sub(1, Ordering::Relaxed);
        store.refused.fetch_add(1, Ordering::Relaxed);
        return Response::json(&json!({"error": "too many loads"})).with_status_code(429);
    }
    let link = store.link.lock();
    std::thread::sleep(Duration::from_secs_f64(
        megabytes as f64 / store.options.mbps.max(1) as f64,
    ));
    drop(link);
    store.open.fetch_sub(1, Ordering::Relaxed);
    store.loads.lock().push(url);
    Response::json(&json!({"megabytes": megabytes}))
}
