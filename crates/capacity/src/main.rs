//! `gentian-capacity`: watches the cloud API and keeps capacity.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use capacity::api::{self, Shown};
use capacity::cli::Options;
use capacity::control::{self, Control};
use capacity::follow::{self, Followed};
use capacity::lease::{Keeper, RENEW};
use capacity::settings::Settings;
use capacity::watch;
use contract::NodeId;
use contract::settings::{self, Sheet};
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{Logger, info};
use telemetry::clock::wall_ms;
use telemetry::scrape::MetricsExporter;
use telemetry::{Clock, ended, log};
use wire::client::{RpcRuntime, StateClient};

/// Longest wait for an inner call.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Threads that answer operators.
const THREADS: usize = 2;
const STEP: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    ended("gentian-capacity", run(&argh::from_env()))
}

fn run(options: &Options) -> anyhow::Result<()> {
    let read = |sheet: &mut Sheet| Settings::read(options, sheet);
    let Some(settings) = settings::begin(options.print_settings, options.check_settings, read)? else {
        return Ok(());
    };
    let logger = log::start(settings.log, "gentian-capacity", settings.node.as_str());
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    serve(&settings, &logger, &stop)?;
    info!(logger, "stopped");
    log::finish();
    Ok(())
}

fn serve(settings: &Settings, logger: &Logger, stop: &AtomicBool) -> anyhow::Result<()> {
    let calls = RpcRuntime::start(2, TIMEOUT)?;
    let state = StateClient::new(&calls, &settings.node, &settings.state)?;
    let clock = Clock::start();
    let holder = NodeId::from(format!("{}/{}", settings.node, wall_ms()));
    let keeper = Keeper::new(clock.clone(), holder);
    let shown = Arc::new(Shown::default());
    let followed = Followed::default();
    let server = operators(settings, &shown)?;
    info!(logger, "watching"; "cloud" => %settings.cloud, "ops" => %server.server_addr());
    let control = Control::new(settings.clone(), clock, logger.clone());
    thread::scope(|scope| {
        scope.spawn(|| follow::run(&followed, &state, stop));
        scope.spawn(|| keep(&keeper, &state, stop));
        scope.spawn(|| steer(control, &keeper, &state, &followed, &shown, stop));
        scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                server.poll_timeout(STEP);
            }
        });
        watch::run(&settings.node, settings.cloud, &settings.entries, &calls, logger, stop)
    })?;
    keeper.release(&state);
    Ok(())
}

type Answer = Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync>;

fn operators(settings: &Settings, shown: &Arc<Shown>) -> anyhow::Result<rouille::Server<Answer>> {
    let scrape = MetricsExporter::install()?;
    let (shown, key, listen) = (Arc::clone(shown), settings.key.clone(), settings.ops);
    let answer: Answer = Box::new(move |request| api::answer(&shown, &scrape, key.as_ref(), request));
    let server =
        rouille::Server::new(listen, answer).map_err(|error| anyhow::anyhow!("listen on {listen}: {error}"))?;
    Ok(server.pool_size(THREADS))
}

/// Renews the lease; a thread of its own, so that no slow cloud or engine lets it lapse.
fn keep(keeper: &Keeper, state: &StateClient, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        keeper.renew(state);
        pause(RENEW, stop);
    }
}

fn steer(
    mut control: Control,
    keeper: &Keeper,
    state: &StateClient,
    followed: &Followed,
    shown: &Shown,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        control.round(&followed.config(), keeper, state);
        shown.set(control.report());
        pause(control::STEP, stop);
    }
}

fn pause(time: Duration, stop: &AtomicBool) {
    let mut left = time;
    while !left.is_zero() && !stop.load(Ordering::Relaxed) {
        let part = left.min(STEP);
        thread::sleep(part);
        left -= part;
    }
}
