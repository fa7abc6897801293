//! Callers' HTTP: one thread accepts, a bounded ring passes requests to the workers.

mod chat;
mod problem;
mod requests;
mod service;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use metrics::counter;
use tiny_http::{Method, Server};

use crate::Entry;
use problem::Problem;

/// Largest body of a caller, in bytes.
pub const MAX_BODY: u64 = 4 * 1024 * 1024;
/// Stack of a worker, in bytes.
const STACK: usize = 512 * 1024;

/// Starts the workers and gives their ring.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn start_workers(entry: &Arc<Entry>) -> std::io::Result<Sender<tiny_http::Request>> {
    let count = entry.settings.running + entry.settings.waiting;
    let (sender, receiver) = bounded(count);
    for _ in 0..count {
        let entry = Arc::clone(entry);
        let receiver: Receiver<tiny_http::Request> = receiver.clone();
        let thread = std::thread::Builder::new().name("caller".to_owned()).stack_size(STACK);
        thread.spawn(move || receiver.iter().for_each(|request| answer(&entry, request)))?;
    }
    Ok(sender)
}

/// Accepts requests until told to stop.
///
/// # Errors
/// Fails when the listener breaks.
pub fn accept(entry: &Entry, server: &Server, ring: &Sender<tiny_http::Request>) -> std::io::Result<()> {
    while !entry.stop.load(Ordering::Relaxed) {
        let Some(request) = server.recv_timeout(Duration::from_millis(50))? else {
            continue;
        };
        match ring.try_send(request) {
            Ok(()) => {}
            Err(TrySendError::Full(request) | TrySendError::Disconnected(request)) => {
                counter!("gentian_refused_total", "cause" => "ring").increment(1);
                problem::respond(request, &Problem::overloaded(Duration::from_secs(1)));
            }
        }
    }
    Ok(())
}

fn answer(entry: &Entry, request: tiny_http::Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    if entry.leaving.load(Ordering::Relaxed) {
        return problem::respond(request, &Problem::overloaded(Duration::from_secs(1)));
    }
    match (request.method(), path) {
        (Method::Post, "/v1/chat/completions") => chat::answer(entry, request),
        (Method::Get, path) if path.starts_with("/v1/requests/") => requests::answer(entry, request, &url),
        (_, path) if path.starts_with("/services/") => service::answer(entry, request, &url),
        _ => problem::respond(request, &Problem::not_found("there is no such path")),
    }
}

/// Finds a header of a request.
fn header<'a>(request: &'a tiny_http::Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str())
}

/// Gives the bearer key of a request.
fn bearer(request: &tiny_http::Request) -> Option<&str> {
    header(request, "Authorization")?.strip_prefix("Bearer ")
}
