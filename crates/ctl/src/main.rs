//! `gentianctl`: parses the command line, runs the subcommand and sets the exit code.

use std::process::ExitCode;

use ctl::admin::AdminClient;
use ctl::cli::{Command, KeyCommand, Options};
use ctl::entries::EntryClients;
use ctl::exit::{Output, exit_code};
use ctl::{burn, capacity, contracts, host, keys, losses, requests, state, status, trace, upstreams};

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run(&options) {
        Ok(output) => {
            println!("{}", output.text);
            for note in &output.notes {
                eprintln!("gentianctl: {note}");
            }
            output.status.into()
        }
        Err(error) => {
            eprintln!("gentianctl: {error:#}");
            exit_code(&error)
        }
    }
}

fn run(options: &Options) -> anyhow::Result<Output> {
    let json = options.json;
    match &options.command {
        Command::Contract(args) => contracts::run(&admin(options)?, &args.command, json),
        Command::Upstream(args) => upstreams::run(&admin(options)?, &args.command, json).map(Output::from),
        Command::State(args) => state::run(|| admin(options), &args.command, json).map(Output::from),
        Command::Status(_) => status::run(&options.admin_addresses()?, &operator_key()?, &entries(options)?, json),
        Command::Burn(args) => burn::run(&entries(options)?, args, json),
        Command::Request(args) => requests::run(&entries(options)?, &args.command, json),
        Command::Capacity(args) => capacity::run(|| admin(options), &operator_key()?, args, json).map(Output::from),
        Command::Host(args) => host::run(|| admin(options), &operator_key()?, args, json).map(Output::from),
        Command::Trace(args) => trace::run(args, json),
        Command::Losses(args) => losses::run(args, json),
        Command::Key(args) => match &args.command {
            KeyCommand::Hash(_) => keys::hash_key(std::io::stdin()).map(Output::from),
        },
    }
}

/// Creates a client of the administration API.
fn admin(options: &Options) -> anyhow::Result<AdminClient> {
    Ok(AdminClient::new(options.admin_addresses()?, operator_key()?))
}

/// Creates clients of the entry hosts.
fn entries(options: &Options) -> anyhow::Result<EntryClients> {
    EntryClients::new(options.entry_addresses()?)
}

/// Reads the operator's key from the environment.
fn operator_key() -> anyhow::Result<String> {
    std::env::var("GENTIAN_OPERATOR_KEY")
        .map_err(|_absent| anyhow::anyhow!("GENTIAN_OPERATOR_KEY is not set, expected the operator's bearer key"))
}
