//! What the stand-ins share of HTTP.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::{Request, Response};
use serde::de::DeserializeOwned;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Pause between two looks at whether to stop.
const STEP: Duration = Duration::from_millis(50);

/// A stand-in that serves on threads of its own; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Serves with rouille on threads of its own.
    pub(crate) fn start<F>(listen: SocketAddr, threads: usize, handler: F) -> anyhow::Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server =
            rouille::Server::new(listen, handler).map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
        let server = server.pool_size(threads);
        let address = server.server_addr();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::Builder::new().name("standin".to_owned()).spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                server.poll_timeout(STEP);
            }
        })?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Gives the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has stopped as well.
            let _ = thread.join();
        }
    }
}

/// Tells whoever started the process where it listens.
pub(crate) fn announce(address: SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening on {address}")?;
    out.flush()
}

/// Gives a flag that turns true when the process is told to stop.
pub(crate) fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    Ok(stop)
}

/// Announces a stand-in and waits until the process is told to stop.
pub(crate) fn until_stopped(running: &Running) -> anyhow::Result<()> {
    let stop = stop_flag()?;
    announce(running.address())?;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(STEP);
    }
    Ok(())
}

/// Reads a JSON body.
pub(crate) fn body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    let data = request
        .data()
        .ok_or_else(|| Response::text("body was read before").with_status_code(400))?;
    serde_json::from_reader(data).map_err(|error| Response::text(error.to_string()).with_status_code(400))
}

/// Gives an answer whose body never comes: the connection ends after the head.
pub(crate) fn broken() -> Response {
    Response {
        status_code: 200,
        headers: Vec::new(),
        data: rouille::ResponseBody::from_reader_and_size(std::io::empty().take(0), 1 << 20),
        upgrade: None,
    }
}
