//! `gentian-state`: the replicated state of gentianspring.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::NodeId;
use contract::settings::Sheet;
use crossbeam_channel::{Receiver, Sender};
use jsonrpsee::server::Server;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{Logger, info};
use state::admin::Admin;
use state::cli::Options;
use state::core::{Ask, Core, ring};
use state::learner;
use state::rpc::Rpc;
use state::settings::Settings;
use state::single::Log;
use telemetry::{Clock, log};
use wire::client::{Calls, StateClient};
use wire::state::StateRpcServer;

/// Longest wait for another node.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Threads of the administration API.
const ADMIN_THREADS: usize = 8;

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    let mut sheet = Sheet::default();
    let settings = Settings::read(&options, &mut sheet);
    if options.print_settings {
        print!("{}", sheet.render());
    }
    let settings = settings?;
    if options.check_settings || options.print_settings {
        return Ok(());
    }
    let logger = log::start(settings.log, "gentian-state", settings.node.as_str());
    serve(&settings, &logger)
}

fn serve(settings: &Settings, logger: &Logger) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    let (sender, asks) = ring();
    let calls = Calls::start(2, TIMEOUT)?;
    start_owner(settings, logger, &calls, asks, &stop)?;
    let rpc = Rpc::new(settings.node.clone(), sender.clone());
    let server = calls.wait(Server::builder().build(settings.listen))?;
    let handle = calls.wait(async { server.start(rpc.into_rpc()) });
    let admin = start_admin(settings, sender)?;
    info!(logger, "serving"; "inner" => %settings.listen, "admin" => %admin.server_addr());
    while !stop.load(Ordering::Relaxed) {
        admin.poll_timeout(Duration::from_millis(50));
    }
    info!(logger, "stopping");
    // A second request to stop changes nothing.
    let _ = handle.stop();
    Ok(())
}

fn start_owner(
    settings: &Settings,
    logger: &Logger,
    calls: &Calls,
    asks: Receiver<Ask>,
    stop: &Arc<AtomicBool>,
) -> anyhow::Result<()> {
    let clock = Clock::start();
    let thread = std::thread::Builder::new().name("state".to_owned());
    let voter = settings.peers[0];
    if settings.listen == voter {
        let (log, entries) = Log::open(&settings.data)?;
        let core = Core::new(log, &entries, clock, logger.clone());
        let stop = Arc::clone(stop);
        thread.spawn(move || {
            if core.run(&asks).is_err() {
                stop.store(true, Ordering::Relaxed);
            }
        })?;
    } else {
        let client = StateClient::new(calls, &settings.node, &[voter])?;
        let leader = NodeId::from(voter.to_string());
        thread.spawn(move || learner::run(voter, &leader, &client, &clock, &asks))?;
    }
    Ok(())
}

fn start_admin(
    settings: &Settings,
    ring: Sender<Ask>,
) -> anyhow::Result<rouille::Server<impl Fn(&rouille::Request) -> rouille::Response + Send + Sync + 'static>> {
    let admin = Admin::new(ring, settings.operator.clone());
    let server = rouille::Server::new(settings.admin, move |request| admin.answer(request))
        .map_err(|error| anyhow::anyhow!("listen on {}: {error}", settings.admin))?;
    Ok(server.pool_size(ADMIN_THREADS))
}
