//! `gentian-state`: a node of gentianspring's replicated state.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::settings::{self, SettingsReader};
use crossbeam_channel::Sender;
use policy::parts::Slack;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{Logger, info};
use state::admin::Admin;
use state::cli::Options;
use state::core::{MembershipMode, NodeConfig, StateRequest};
use state::program::StateNode;
use state::settings::Settings;
use telemetry::scrape::MetricsExporter;
use telemetry::{ended, log};

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
    let scrape = MetricsExporter::install()?;
    let me = NodeConfig {
        node: settings.node.clone(),
        address: settings.listen,
        peers: settings.peers.clone(),
        membership: MembershipMode::Manual,
    };
    let node = StateNode::start(me, &settings.data, Slack::default(), logger, &stop)?;
    let admin = start_admin(settings, node.requests.clone(), scrape)?;
    info!(logger, "serving"; "inner" => %settings.listen, "admin" => %admin.server_addr());
    while !stop.load(Ordering::Relaxed) {
        admin.poll_timeout(Duration::from_millis(50));
    }
    info!(logger, "stopping");
    let stopped = node.stop(&settings.data);
    log::finish();
    stopped
}

fn start_admin(
    settings: &Settings,
    requests: Sender<StateRequest>,
    scrape: MetricsExporter,
) -> anyhow::Result<rouille::Server<impl Fn(&rouille::Request) -> rouille::Response + Send + Sync + 'static>> {
    let admin = Admin::new(requests, settings.operator.clone(), scrape);
    let server = rouille::Server::new(settings.admin, move |request| admin.answer(request))
        .map_err(|error| anyhow::anyhow!("listen on {}: {error}", settings.admin))?;
    Ok(server.pool_size(ADMIN_THREADS))
}
