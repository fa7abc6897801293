//! `gentian-capacity`: watches the cloud API and keeps capacity.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use capacity::cli::Options;
use capacity::settings::Settings;
use capacity::watch;
use contract::settings::Sheet;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::info;
use telemetry::log;
use wire::client::Calls;

/// Longest wait for an inner call.
const TIMEOUT: Duration = Duration::from_secs(1);

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
    let logger = log::start(settings.log, "gentian-capacity", settings.node.as_str());
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    let calls = Calls::start(1, TIMEOUT)?;
    info!(logger, "watching"; "cloud" => %settings.cloud);
    watch::run(
        &settings.node,
        settings.cloud,
        &settings.entries,
        &calls,
        &logger,
        &stop,
    );
    info!(logger, "stopped");
    log::finish();
    Ok(())
}
