//! What the stand-ins share of HTTP.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rouille::{Request, Response};
use serde::de::DeserializeOwned;
use signal_hook::consts::{SIGINT, SIGTERM};

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

/// Serves with rouille until the process is told to stop.
pub(crate) fn serve<F>(listen: SocketAddr, threads: usize, handler: F) -> anyhow::Result<()>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let stop = stop_flag()?;
    let server =
        rouille::Server::new(listen, handler).map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
    let server = server.pool_size(threads);
    announce(server.server_addr())?;
    while !stop.load(Ordering::Relaxed) {
        server.poll_timeout(std::time::Duration::from_millis(50));
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
