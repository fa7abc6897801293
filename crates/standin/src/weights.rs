//! The weight store: loads share one link, and only a limited number may wait for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rouille::{Request, Response};
use serde_json::json;

use crate::cli::WeightsOptions;
use crate::http::{self, Running};

/// Size of the thread pool of the server.
const SERVER_THREADS: usize = 64;

#[derive(Debug)]
struct WeightStore {
    options: WeightsOptions,
    /// Loads that wait or run.
    pending_loads: AtomicU64,
    link: Mutex<()>,
    /// Paths of the finished loads, in that order.
    finished_loads: Mutex<Vec<String>>,
    refused_loads: AtomicU64,
}

/// Starts a weight store on its own threads.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn start(options: &WeightsOptions) -> anyhow::Result<Running> {
    let store = Arc::new(WeightStore {
        options: options.clone(),
        pending_loads: AtomicU64::new(0),
        link: Mutex::new(()),
        finished_loads: Mutex::default(),
        refused_loads: AtomicU64::new(0),
    });
    Running::start(options.listen, SERVER_THREADS, move |request| answer(&store, request))
}

/// Serves until the process gets a stop signal.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn serve(options: &WeightsOptions) -> anyhow::Result<()> {
    http::run_until_stopped(&start(options)?)
}

fn answer(store: &WeightStore, request: &Request) -> Response {
    let url = request.url();
    if url == "/_standin/seen" {
        let refused_loads = store.refused_loads.load(Ordering::Relaxed);
        return Response::json(&json!({"loads": *store.finished_loads.lock(), "refused": refused_loads}));
    }
    let megabytes = match url.strip_prefix("/weights/").and_then(|rest| rest.split('/').next()) {
        Some("models") => store.options.model_mb,
        Some("adapters") => store.options.adapter_mb,
        _ => return Response::empty_404(),
    };
    if store.pending_loads.fetch_add(1, Ordering::Relaxed) >= store.options.most {
        store.pending_loads.fetch_sub(1, Ordering::Relaxed);
        store.refused_loads.fetch_add(1, Ordering::Relaxed);
        return Response::json(&json!({"error": "too many loads"})).with_status_code(429);
    }
    let link = store.link.lock();
    std::thread::sleep(
        Duration::try_from_secs_f64(megabytes as f64 / store.options.mbps.max(1) as f64).unwrap_or(Duration::MAX),
    );
    drop(link);
    store.pending_loads.fetch_sub(1, Ordering::Relaxed);
    store.finished_loads.lock().push(url);
    Response::json(&json!({"megabytes": megabytes}))
}
