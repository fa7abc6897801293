//! `gentian-state`: a node of gentianspring's replicated state.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::settings::{self, SettingsReader};
use inbound::api::{self, ApiSettings, RunningApi};
use inbound::intake::SharedIntake;
use policy::intake::IntakeBounds;
use policy::parts::Slack;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{Logger, info};
use state::admin::{Admin, MAX_BODY_BYTES};
use state::cli::Options;
use state::core::{MembershipMode, NodeConfig};
use state::program::StateNode;
use state::settings::Settings;
use telemetry::panics;
use telemetry::scrape::MetricsExporter;
use telemetry::{ended, log};

/// Longest time that a stop waits for the responses to operators.
const LAST_CALLS_TIME: Duration = Duration::from_secs(3);
/// Threads of the administration API, each for one request at a time.
const ADMIN_THREADS: usize = 8;

fn main() -> ExitCode {
    ended("gentian-state", run(&argh::from_env()))
}

fn run(options: &Options) -> anyhow::Result<()> {
    let read = |sheet: &mut SettingsReader| Settings::read(options, sheet);
    let Some(settings) = settings::load(options.print_settings, options.check_settings, read)? else {
        return Ok(());
    };
    let logger = log::start(settings.log, "gentian-state", settings.node.as_str());
    serve(&settings, &logger)
}

fn serve(settings: &Settings, logger: &Logger) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    panics::report(logger);
    let scrape = MetricsExporter::install()?;
    let me = NodeConfig {
        node: settings.node.clone(),
        address: settings.listen,
        peers: settings.peers.clone(),
        membership: MembershipMode::Manual,
    };
    let node = StateNode::start(me, &settings.data, Slack::default(), logger, &stop)?;
    let admin = start_admin(settings, &node, scrape, logger)?;
    info!(logger, "serving"; "inner" => %settings.listen, "admin" => %admin.address);
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    info!(logger, "stopping");
    let unanswered = admin.finish(LAST_CALLS_TIME);
    info!(logger, "stopped"; "active" => unanswered);
    let stopped = node.stop(&settings.data);
    log::finish();
    stopped
}

fn start_admin(
    settings: &Settings,
    node: &StateNode,
    scrape: MetricsExporter,
    logger: &Logger,
) -> anyhow::Result<RunningApi> {
    let admin = Admin::new(node.requests.clone(), settings.operator.clone(), scrape);
    let api_settings = ApiSettings {
        address: settings.admin,
        threads: ADMIN_THREADS,
        max_body: MAX_BODY_BYTES,
    };
    let bounds = IntakeBounds::of_bytes(settings.intake, settings.connections);
    let intake = SharedIntake::new("operators", bounds, node.clock.clone(), logger.clone());
    let handler = Arc::new(move |request: &rouille::Request| admin.answer(request));
    api::start(api_settings, intake, handler, logger.clone())
        .map_err(|error| anyhow::anyhow!("listen on {}: {error}", settings.admin))
}
