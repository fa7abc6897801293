//! `gentian-state`: the replicated state of gentianspring.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use contract::settings::{self, Sheet};
use crossbeam_channel::{Receiver, Sender};
use jsonrpsee::server::{Server, ServerConfig};
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{Logger, info};
use state::admin::Admin;
use state::cli::Options;
use state::core::{Ask, Core, Me, ring};
use state::disk::{Folder, Limits};
use state::peers::Peers;
use state::rpc::Rpc;
use state::settings::Settings;
use telemetry::scrape::Scrape;
use telemetry::{Clock, ended, log};
use wire::client::{Calls, MAX_MESSAGE};
use wire::raft::RaftRpcServer;
use wire::state::StateRpcServer;

/// Longest wait for another node.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for another node of the group; a frozen one must not keep newer messages waiting.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most connections of the inner protocol: some hundred learners and callers, each with one or two.
const MAX_CONNECTIONS: u32 = 2_048;
/// Threads of the administration API.
const ADMIN_THREADS: usize = 8;

fn main() -> ExitCode {
    ended("gentian-state", run(&argh::from_env()))
}

fn run(options: &Options) -> anyhow::Result<()> {
    let read = |sheet: &mut Sheet| Settings::read(options, sheet);
    let Some(settings) = settings::begin(options.print_settings, options.check_settings, read)? else {
        return Ok(());
    };
    let logger = log::start(settings.log, "gentian-state", settings.node.as_str());
    serve(&settings, &logger)
}

fn serve(settings: &Settings, logger: &Logger) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    let scrape = Scrape::install()?;
    let (sender, asks) = ring();
    let calls = Calls::start(2, TIMEOUT)?;
    let owner = start_owner(settings, logger, &calls, asks, &stop)?;
    let rpc = Rpc::new(settings.node.clone(), sender.clone());
    let mut methods = StateRpcServer::into_rpc(rpc.clone());
    methods.merge(RaftRpcServer::into_rpc(rpc))?;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = calls.wait(Server::builder().set_config(config).build(settings.listen))?;
    let handle = calls.wait(async { server.start(methods) });
    let admin = start_admin(settings, sender, scrape)?;
    info!(logger, "serving"; "inner" => %settings.listen, "admin" => %admin.server_addr());
    while !stop.load(Ordering::Relaxed) {
        admin.poll_timeout(Duration::from_millis(50));
    }
    info!(logger, "stopping");
    // A second request to stop changes nothing.
    let _ = handle.stop();
    log::finish();
    if owner.is_finished() {
        anyhow::bail!(
            "the data folder {} cannot be written; the log names the file",
            settings.data.display()
        );
    }
    Ok(())
}

fn start_owner(
    settings: &Settings,
    logger: &Logger,
    calls: &Calls,
    asks: Receiver<Ask>,
    stop: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (folder, restored) = Folder::open(&settings.data, Limits::default())?;
    let me = Me {
        node: settings.node.clone(),
        address: settings.listen,
        peers: settings.peers.clone(),
    };
    let peers = Peers::new(
        calls.with_timeout(PEER_TIMEOUT),
        me.node.clone(),
        restored.id,
        me.address,
    );
    let core = Core::new(me, folder, restored, peers, Clock::start(), logger.clone())?;
    let stop = Arc::clone(stop);
    let work = move || {
        if core.run(&asks).is_err() {
            stop.store(true, Ordering::Relaxed);
        }
    };
    Ok(std::thread::Builder::new().name("state".to_owned()).spawn(work)?)
}

fn start_admin(
    settings: &Settings,
    ring: Sender<Ask>,
    scrape: Scrape,
) -> anyhow::Result<rouille::Server<impl Fn(&rouille::Request) -> rouille::Response + Send + Sync + 'static>> {
    let admin = Admin::new(ring, settings.operator.clone(), scrape);
    let server = rouille::Server::new(settings.admin, move |request| admin.answer(request))
        .map_err(|error| anyhow::anyhow!("listen on {}: {error}", settings.admin))?;
    Ok(server.pool_size(ADMIN_THREADS))
}
