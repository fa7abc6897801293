//! `gentianctl`: operates gentianspring.

use std::process::ExitCode;

use ctl::admin::{Admin, AdminError};
use ctl::cli::{Command, Options};
use ctl::{contracts, state, upstreams};

const FAILED: u8 = 1;
const CONFLICT: u8 = 2;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run(&options) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("gentianctl: {error}");
            let conflict = matches!(error.downcast_ref(), Some(AdminError::Conflict { .. }));
            ExitCode::from(if conflict { CONFLICT } else { FAILED })
        }
    }
}

fn run(options: &Options) -> anyhow::Result<String> {
    match &options.command {
        Command::Contract(options_of) => contracts::run(&admin(options)?, &options_of.command, options.json),
        Command::Upstream(options_of) => upstreams::run(&admin(options)?, &options_of.command, options.json),
        Command::State(options_of) => state::run(|| admin(options), &options_of.command, options.json),
    }
}

fn admin(options: &Options) -> anyhow::Result<Admin> {
    let key = std::env::var("GENTIAN_OPERATOR_KEY")
        .map_err(|_absent| anyhow::anyhow!("GENTIAN_OPERATOR_KEY is not set, expected the operator's bearer key"))?;
    Ok(Admin::new(options.addresses()?, key))
}
