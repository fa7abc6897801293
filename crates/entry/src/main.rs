//! `gentian-entry`: serves callers on an entry host.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::Context;
use contract::settings::{self, Sheet};
use entry::cli::Options;
use entry::rpc::Rpc;
use entry::settings::Settings;
use entry::{Entry, burn, callers, current, drain, exchange, fleet, hosts, ops, rescue};
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{info, warn};
use telemetry::scrape::MetricsExporter;
use telemetry::{ended, log};
use wire::client::RpcRuntime;
use wire::entry::EntryRpcServer;

/// Longest wait for an inner call.
const TIMEOUT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);
const OPS_THREADS: usize = 4;
/// Longest wait for outcomes that the state group could not record at once.
const FLUSH: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    ended("gentian-entry", run(&argh::from_env()))
}

fn run(options: &Options) -> anyhow::Result<()> {
    let read = |sheet: &mut Sheet| Settings::read(options, sheet);
    let Some(settings) = settings::begin(options.print_settings, options.check_settings, read)? else {
        return Ok(());
    };
    let logger = log::start(settings.log, "gentian-entry", settings.node.as_str());
    let calls = RpcRuntime::start(2, TIMEOUT)?;
    let entry = Arc::new(Entry::new(settings, logger, &calls)?);
    serve(&entry, &calls)
}

fn serve(entry: &Arc<Entry>, calls: &RpcRuntime) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    let scrape = MetricsExporter::install()?;
    let listen = entry.settings.listen;
    let listener = callers::listen(listen).with_context(|| format!("listen on {listen}"))?;
    let ops = start_ops(entry, scrape)?;
    let inner = calls.wait(jsonrpsee::server::Server::builder().build(entry.settings.inner))?;
    let inner_address = inner.local_addr()?;
    let rpc = Rpc::new(Arc::clone(entry));
    let handle = calls.wait(async { inner.start(rpc.into_rpc()) });
    start_duties(entry)?;
    let (rememberer, remembering) = (Arc::clone(entry), calls.clone());
    let remember = move || burn::remember(&rememberer, &remembering, inner_address);
    thread::Builder::new().name("burn".to_owned()).spawn(remember)?;
    start_exchange(entry, inner_address)?;
    info!(entry.logger, "serving"; "callers" => %listener.local_addr()?, "ops" => %ops,
        "inner" => %inner_address);
    thread::scope(|scope| {
        let acceptor = scope.spawn(|| callers::accept(entry, &listener));
        let told = || stop.load(Ordering::Relaxed) || entry.told.load(Ordering::Relaxed);
        while !told() && !acceptor.is_finished() {
            thread::sleep(STEP);
        }
        drain::leave(entry);
        burn::hand_over(entry, calls, inner_address);
        entry.stop.store(true, Ordering::Relaxed);
    });
    // A second request to stop changes nothing.
    let _ = handle.stop();
    if !entry.state.flush(FLUSH) {
        warn!(
            entry.logger,
            "outcomes are left unrecorded, as the state group has no leader"
        );
    }
    info!(entry.logger, "stopped");
    log::finish();
    Ok(())
}

fn start_ops(entry: &Arc<Entry>, scrape: MetricsExporter) -> anyhow::Result<std::net::SocketAddr> {
    let shared = Arc::clone(entry);
    let listen = entry.settings.ops;
    let server = rouille::Server::new(listen, move |request| ops::answer(&shared, &scrape, request))
        .map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?
        .pool_size(OPS_THREADS);
    let address = server.server_addr();
    let entry = Arc::clone(entry);
    thread::Builder::new().name("ops".to_owned()).spawn(move || {
        while !entry.stop.load(Ordering::Relaxed) {
            server.poll_timeout(STEP);
        }
    })?;
    Ok(address)
}

fn start_duties(entry: &Arc<Entry>) -> std::io::Result<()> {
    let learner = Arc::clone(entry);
    thread::Builder::new()
        .name("learner".to_owned())
        .spawn(move || current::follow(&learner))?;
    rescue::start(entry)?;
    let watcher = Arc::clone(entry);
    thread::Builder::new()
        .name("hosts".to_owned())
        .spawn(move || hosts::watch(&watcher))?;
    let poller = Arc::clone(entry);
    // The thread only fails to start its readers when the system has no threads left.
    thread::Builder::new()
        .name("loads".to_owned())
        .spawn(move || fleet::poll::run(&poller))?;
    let reader = Arc::clone(entry);
    thread::Builder::new()
        .name("events".to_owned())
        .spawn(move || fleet::events::run(&reader))?;
    Ok(())
}

/// Starts the exchange of digests with the other entry hosts.
fn start_exchange(entry: &Arc<Entry>, own: std::net::SocketAddr) -> anyhow::Result<()> {
    let socket = exchange::open(own).map_err(|error| anyhow::anyhow!("open UDP {own}: {error}"))?;
    let entry = Arc::clone(entry);
    thread::Builder::new()
        .name("exchange".to_owned())
        .spawn(move || exchange::run(&entry, &socket, own))?;
    Ok(())
}
