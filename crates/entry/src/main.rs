//! `gentian-entry`: the gateway process that serves callers.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::Context;
use contract::settings::{self, SettingsReader};
use entry::cli::Options;
use entry::rpc::EntryRpcHandler;
use entry::settings::Settings;
use entry::{EntryHost, active_config, burn, callers, drain, exchange, hosts, ops, rescue, upstreams};
use inbound::api::{self, ApiSettings};
use inbound::intake::SharedIntake;
use policy::intake::IntakeBounds;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{info, warn};
use telemetry::panics;
use telemetry::scrape::MetricsExporter;
use telemetry::{ended, log};
use wire::client::RpcRuntime;
use wire::entry::EntryRpcServer;

/// Timeout of an internal RPC.
const RPC_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time between two checks of the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Threads that serve health checks and metrics.
const OPS_THREADS: usize = 4;
/// Connections of the balancer and of scrapers, and bytes that they hold at most.
const OPS_CONNECTIONS: usize = 64;
const OPS_INTAKE_BYTES: usize = 8 * 1024 * 1024;
/// Longest wait at shutdown for outcomes that are still to be recorded in the state group.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    ended("gentian-entry", run(&argh::from_env()))
}

fn run(options: &Options) -> anyhow::Result<()> {
    let read = |sheet: &mut SettingsReader| Settings::read(options, sheet);
    let Some(settings) = settings::load(options.print_settings, options.check_settings, read)? else {
        return Ok(());
    };
    let logger = log::start(settings.log, "gentian-entry", settings.node.as_str());
    let calls = RpcRuntime::start(2, RPC_TIMEOUT)?;
    let entry = Arc::new(EntryHost::new(settings, logger, &calls)?);
    serve(&entry, &calls)
}

fn serve(entry: &Arc<EntryHost>, calls: &RpcRuntime) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    panics::report(&entry.logger);
    let scrape = MetricsExporter::install()?;
    let listen = entry.settings.listen;
    let listener = callers::listen(listen).with_context(|| format!("listen on {listen}"))?;
    let ops = start_ops(entry, scrape)?;
    let inner = calls.wait(jsonrpsee::server::Server::builder().build(entry.settings.inner))?;
    let inner_address = inner.local_addr()?;
    let rpc = EntryRpcHandler::new(Arc::clone(entry));
    let handle = calls.wait(async { inner.start(rpc.into_rpc()) });
    start_threads(entry)?;
    let (shared, runtime) = (Arc::clone(entry), calls.clone());
    let back_up = move || burn::back_up_peer(&shared, &runtime, inner_address);
    panics::spawn_restarting("burn", &entry.logger, back_up)?;
    start_exchange(entry, inner_address)?;
    info!(entry.logger, "serving"; "callers" => %listener.local_addr()?, "ops" => %ops,
        "inner" => %inner_address);
    thread::scope(|scope| {
        let acceptor = scope.spawn(|| callers::accept(entry, &listener));
        let must_stop = || stop.load(Ordering::Relaxed) || entry.leave_requested.load(Ordering::Relaxed);
        while !must_stop() && !acceptor.is_finished() {
            entry.intake.report();
            thread::sleep(STOP_CHECK_INTERVAL);
        }
        drain::drain(entry);
        burn::send_counts(entry, calls, inner_address);
        entry.stop.store(true, Ordering::Relaxed);
    });
    // Stopping fails only if the server has stopped already.
    let _ = handle.stop();
    if !entry.state_client.flush(FLUSH_TIMEOUT) {
        warn!(entry.logger, "outcomes left unrecorded: the state group has no leader");
    }
    info!(entry.logger, "stopped");
    log::finish();
    Ok(())
}

fn start_ops(entry: &Arc<EntryHost>, scrape: MetricsExporter) -> anyhow::Result<std::net::SocketAddr> {
    let shared = Arc::clone(entry);
    let listen = entry.settings.ops;
    let api_settings = ApiSettings {
        address: listen,
        threads: OPS_THREADS,
        max_body: 0,
    };
    let bounds = IntakeBounds::of_bytes(OPS_INTAKE_BYTES, OPS_CONNECTIONS);
    let intake = SharedIntake::new("scrapers", bounds, entry.clock.clone(), entry.logger.clone());
    let handler = Arc::new(move |request: &rouille::Request| ops::respond(&shared, &scrape, request));
    let api = api::start(api_settings, intake, handler, entry.logger.clone())
        .map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
    Ok(api.address)
}

fn start_threads(entry: &Arc<EntryHost>) -> std::io::Result<()> {
    let learner = Arc::clone(entry);
    panics::spawn_restarting("learner", &entry.logger, move || active_config::watch_state(&learner))?;
    rescue::start(entry)?;
    let watcher = Arc::clone(entry);
    panics::spawn_restarting("hosts", &entry.logger, move || hosts::watch_hosts(&watcher))?;
    let poller = Arc::clone(entry);
    panics::spawn_restarting("loads", &entry.logger, move || {
        // Starting the poller threads fails only if the system has no threads left.
        let _ = upstreams::poll::run(&poller);
    })?;
    let reader = Arc::clone(entry);
    panics::spawn_restarting("events", &entry.logger, move || upstreams::events::run(&reader))?;
    Ok(())
}

/// Starts the digest exchange with the other entry hosts.
fn start_exchange(entry: &Arc<EntryHost>, own_address: std::net::SocketAddr) -> anyhow::Result<()> {
    let socket =
        exchange::open(own_address).map_err(|error| anyhow::anyhow!("bind UDP socket at {own_address}: {error}"))?;
    let entry = Arc::clone(entry);
    let logger = entry.logger.clone();
    panics::spawn_restarting("exchange", &logger, move || exchange::run(&entry, &socket, own_address))?;
    Ok(())
}
