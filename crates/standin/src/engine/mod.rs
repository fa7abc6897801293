//! A model engine: continuous batching, a prefix cache and streams in the `OpenAI` convention.

mod answer;
mod batch;
mod cache;
mod routes;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tiny_http::Server;

pub use answer::{continuation, conversation, token};
pub use batch::Seen;

use crate::cli::EngineOptions;
use crate::http::{announce, stop_flag};
use crate::record::Record;

/// Serves until the process is told to stop.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &EngineOptions) -> anyhow::Result<()> {
    let stop = stop_flag()?;
    let record = Record::open(options.record.as_deref())?;
    let server =
        Server::http(options.listen).map_err(|error| anyhow::anyhow!("listen on {}: {error}", options.listen))?;
    let address = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| anyhow::anyhow!("not an IP address"))?;
    announce(address)?;
    let engine = Arc::new(batch::Engine::new(options.clone(), record));
    while !stop.load(Ordering::Relaxed) {
        let Some(request) = server.recv_timeout(Duration::from_millis(50))? else {
            continue;
        };
        let engine = Arc::clone(&engine);
        std::thread::Builder::new()
            .name("request".to_owned())
            .spawn(move || routes::answer(&engine, request))?;
    }
    Ok(())
}
