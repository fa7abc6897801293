//! `gentian-capacity`: the process of the capacity controller.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use capacity::api::{self, LatestReport};
use capacity::cli::Options;
use capacity::config_watch::{self, LatestConfig};
use capacity::control::{self, Controller};
use capacity::lease::{LeaseKeeper, RENEW_INTERVAL};
use capacity::reclaim_watch;
use capacity::settings::Settings;
use contract::NodeId;
use contract::settings::{self, SettingsReader};
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{Logger, info};
use telemetry::clock::wall_ms;
use telemetry::panics;
use telemetry::scrape::MetricsExporter;
use telemetry::{Clock, ended, log};
use wire::client::{RpcRuntime, StateClient};

/// Longest wait for an RPC to a state node or an entry host.
const RPC_TIMEOUT: Duration = Duration::from_secs(1);
/// Worker threads of the HTTP server for operators and health checks.
const HTTP_THREADS: usize = 2;
/// Longest time until a waiting thread notices that the process stops.
const STOP_POLL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    ended("gentian-capacity", run(&argh::from_env()))
}

/// Reads the settings and serves until SIGTERM or SIGINT; ends earlier if the settings are only to be checked or
/// printed.
fn run(options: &Options) -> anyhow::Result<()> {
    let read_settings = |sheet: &mut SettingsReader| Settings::read(options, sheet);
    let Some(settings) = settings::load(options.print_settings, options.check_settings, read_settings)? else {
        return Ok(());
    };
    let logger = log::start(settings.log, "gentian-capacity", settings.node.as_str());
    panics::report(&logger);
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    serve(&settings, &logger, &stop)?;
    info!(logger, "stopped");
    log::finish();
    Ok(())
}

/// Runs all threads of the process until it is told to stop, then releases the lease.
fn serve(settings: &Settings, logger: &Logger, stop: &AtomicBool) -> anyhow::Result<()> {
    let rpc = RpcRuntime::start(2, RPC_TIMEOUT)?;
    let state = StateClient::new(&rpc, &settings.node, &settings.state)?;
    let clock = Clock::start();
    let holder = NodeId::from(format!("{}/{}", settings.node, wall_ms()));
    let keeper = LeaseKeeper::new(clock.clone(), holder);
    let report = Arc::new(LatestReport::default());
    let latest_config = LatestConfig::default();
    let server = start_http(settings, &report)?;
    info!(logger, "watching"; "cloud" => %settings.cloud, "ops" => %server.server_addr());
    let controller = Controller::new(settings.clone(), clock, logger.clone());
    thread::scope(|scope| {
        scope.spawn(|| config_watch::run(&latest_config, &state, stop));
        scope.spawn(|| renew_lease(&keeper, &state, stop));
        scope.spawn(|| run_controller(controller, &keeper, &state, &latest_config, &report, stop));
        scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL);
            }
        });
        reclaim_watch::run(&settings.node, settings.cloud, &settings.entries, &rpc, logger, stop)
    })?;
    keeper.release(&state);
    Ok(())
}

/// Handler of HTTP requests.
type Handler = Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync>;

/// Starts the HTTP server for operators and health checks.
fn start_http(settings: &Settings, report: &Arc<LatestReport>) -> anyhow::Result<rouille::Server<Handler>> {
    let scrape = MetricsExporter::install()?;
    let (report, operator_key, listen) = (Arc::clone(report), settings.operator_key.clone(), settings.ops);
    let handler: Handler = Box::new(move |request| api::respond(&report, &scrape, operator_key.as_ref(), request));
    let server =
        rouille::Server::new(listen, handler).map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
    Ok(server.pool_size(HTTP_THREADS))
}

/// Renews the lease until the process stops.
///
/// Runs on its own thread, so that a slow cloud API or engine can't make the lease expire.
fn renew_lease(keeper: &LeaseKeeper, state: &StateClient, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        keeper.renew(state);
        pause(RENEW_INTERVAL, stop);
    }
}

/// Runs rounds of the controller until the process stops.
fn run_controller(
    mut controller: Controller,
    keeper: &LeaseKeeper,
    state: &StateClient,
    latest_config: &LatestConfig,
    report: &LatestReport,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        controller.round(&latest_config.config(), keeper, state);
        report.set(controller.report());
        pause(control::ROUND_INTERVAL, stop);
    }
}

/// Sleeps, but returns early when the process stops.
fn pause(duration: Duration, stop: &AtomicBool) {
    let mut left = duration;
    while !left.is_zero() && !stop.load(Ordering::Relaxed) {
        let chunk = left.min(STOP_POLL);
        thread::sleep(chunk);
        left -= chunk;
    }
}
