//! A model engine: continuous batching, a prefix cache and answers in the format of the `OpenAI` API.

mod answer;
mod batch;
mod cache;
mod faults;
mod kv;
mod orders;
mod routes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use tiny_http::Server;

pub use answer::{continuation, conversation, token};
pub use batch::Seen;
pub use faults::Faults;

use crate::cli::EngineOptions;
use crate::http::{print_address, stop_flag};
use crate::record::Record;

/// Interval between two checks whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which an engine past its shutdown deadline still refuses new work before it is killed.
const REFUSAL_PERIOD: Duration = Duration::from_millis(100);

/// An engine that serves on its own threads; dropping it kills it.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    engine: Arc<batch::Engine>,
    thread: Option<JoinHandle<()>>,
}

/// Starts an engine.
///
/// # Errors
/// Fails when the server can't listen on the address or a thread can't be started.
pub fn start(options: &EngineOptions) -> anyhow::Result<Running> {
    let listen = options.listen;
    let record = Record::open(options.record.as_deref())?;
    let server = Server::http(listen).map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
    let address = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| anyhow::anyhow!("not an IP address"))?;
    let engine = Arc::new(batch::Engine::new(options.clone(), record));
    let shared = Arc::clone(&engine);
    let thread = std::thread::Builder::new()
        .name("engine".to_owned())
        .spawn(move || accept(&server, &shared))?;
    Ok(Running {
        address,
        engine,
        thread: Some(thread),
    })
}

/// Serves until the process gets a stop signal or the shutdown deadline of the engine has passed.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn serve(options: &EngineOptions) -> anyhow::Result<()> {
    let stop = stop_flag()?;
    let running = start(options)?;
    print_address(running.address())?;
    while !stop.load(Ordering::Relaxed) && !running.engine.is_dead() {
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn accept(server: &Server, engine: &Arc<batch::Engine>) {
    while !engine.is_dead() {
        if engine.is_past_deadline() {
            let engine = Arc::clone(engine);
            std::thread::spawn(move || {
                std::thread::sleep(REFUSAL_PERIOD);
                engine.kill();
            });
        }
        let Ok(Some(request)) = server.recv_timeout(POLL_INTERVAL) else {
            continue;
        };
        let engine = Arc::clone(engine);
        std::thread::spawn(move || routes::answer(&engine, request));
    }
}

impl Running {
    /// Returns the address that the engine listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that have left the batch, in that order.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.engine.seen()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.engine.faults.lock() = faults;
    }

    /// Sets a shutdown deadline, as the reclaim of its host with notice does; past it the engine refuses new work and
    /// is killed.
    pub fn leave(&self, remaining: Duration) {
        self.engine.shut_down_after(remaining);
    }

    /// Kills the engine at once, as the loss of its host does.
    pub fn die(&self) {
        self.engine.kill();
    }

    /// Returns whether the engine was killed.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        self.engine.is_dead()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.kill();
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked, and so has stopped too.
            let _ = thread.join();
        }
    }
}
