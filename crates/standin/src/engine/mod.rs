//! A model engine: continuous batching, a prefix cache and streams in the `OpenAI` convention.

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
use crate::http::{announce, stop_flag};
use crate::record::Record;

/// Pause between two looks at whether to stop.
const STEP: Duration = Duration::from_millis(20);
/// How long an engine past its deadline still refuses new work before it dies.
const REFUSALS: Duration = Duration::from_millis(100);

/// An engine that serves on threads of its own; it dies when dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    engine: Arc<batch::Engine>,
    thread: Option<JoinHandle<()>>,
}

/// Starts an engine.
///
/// # Errors
/// Fails when the address can't be listened on or a thread can't be started.
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

/// Serves until the process is told to stop or the host is taken away.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &EngineOptions) -> anyhow::Result<()> {
    let stop = stop_flag()?;
    let running = start(options)?;
    announce(running.address())?;
    while !stop.load(Ordering::Relaxed) && !running.engine.is_dead() {
        std::thread::sleep(STEP);
    }
    Ok(())
}

fn accept(server: &Server, engine: &Arc<batch::Engine>) {
    while !engine.is_dead() {
        if engine.is_past() {
            let engine = Arc::clone(engine);
            std::thread::spawn(move || {
                std::thread::sleep(REFUSALS);
                engine.die();
            });
        }
        let Ok(Some(request)) = server.recv_timeout(STEP) else {
            continue;
        };
        let engine = Arc::clone(engine);
        std::thread::spawn(move || routes::answer(&engine, request));
    }
}

impl Running {
    /// Gives the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives what ran.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.engine.seen()
    }

    /// Sets what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        *self.engine.faults.lock() = faults;
    }

    /// Takes the host away after some time.
    pub fn leave(&self, left: Duration) {
        self.engine.leave(left);
    }

    /// Takes the host away at once.
    pub fn die(&self) {
        self.engine.die();
    }

    /// Tells whether the host is gone.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        self.engine.is_dead()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.die();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has stopped as well.
            let _ = thread.join();
        }
    }
}
