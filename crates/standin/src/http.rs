//! HTTP server and process helpers shared by the stand-ins.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::{Request, Response};
use serde::de::DeserializeOwned;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Longest time between two checks whether to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// A stand-in that serves on its own threads; dropping it stops it.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Starts a server with its own thread pool.
    pub(crate) fn start<F>(listen: SocketAddr, threads: usize, handler: F) -> anyhow::Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server =
            rouille::Server::new(listen, handler).map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
        let server = server.pool_size(threads);
        let address = server.server_addr();
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = Arc::clone(&stop);
        let thread = std::thread::Builder::new().name("standin".to_owned()).spawn(move || {
            while !thread_stop.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL);
            }
        })?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the stand-in listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked, and so has stopped too.
            let _ = thread.join();
        }
    }
}

/// Prints the listen address, which the parent process reads from standard output.
pub(crate) fn print_address(address: SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening on {address}")?;
    out.flush()
}

/// Returns a flag that SIGTERM and SIGINT set.
pub(crate) fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    Ok(stop)
}

/// Prints the listen address and waits for a stop signal.
pub(crate) fn run_until_stopped(running: &Running) -> anyhow::Result<()> {
    let stop = stop_flag()?;
    print_address(running.address())?;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(STOP_POLL);
    }
    Ok(())
}

/// Parses the JSON body of a request; the error is a response with status 400.
pub(crate) fn json_body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    let data = request
        .data()
        .ok_or_else(|| Response::text("body was read before").with_status_code(400))?;
    serde_json::from_reader(data).map_err(|error| Response::text(error.to_string()).with_status_code(400))
}

/// Returns a response that announces a body and ends after the headers.
pub(crate) fn truncated_response() -> Response {
    Response {
        status_code: 200,
        headers: Vec::new(),
        data: rouille::ResponseBody::from_reader_and_size(std::io::empty().take(0), 1 << 20),
        upgrade: None,
    }
}
