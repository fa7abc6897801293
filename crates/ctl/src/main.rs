//! `gentianctl`: operates gentianspring.

use std::process::ExitCode;

use ctl::admin::Admin;
use ctl::cli::{Command, KeyCommand, Options};
use ctl::entries::Entries;
use ctl::exit::{Output, code};
use ctl::{burn, capacity, contracts, host, keys, losses, requests, state, status, trace, upstreams};

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run(&options) {
        Ok(output) => {
            println!("{}", output.text);
            for note in &output.notes {
                eprintln!("gentianctl: {note}");
            }
            output.ending.into()
        }
        Err(error) => {
            eprintln!("gentianctl: {error:#}");
            code(&error)
        }
    }
}

fn run(options: &Options) -> anyhow::Result<Output> {
    let json = options.json;
    match &options.command {
        Command::Contract(of) => contracts::run(&admin(options)?, &of.command, json),
        Command::Upstream(of) => upstreams::run(&admin(options)?, &of.command, json).map(Output::from),
        Command::State(of) => state::run(|| admin(options), &of.command, json).map(Output::from),
        Command::Status(_) => status::run(&options.addresses()?, &operator_key()?, &entries(options)?, json),
        Command::Burn(of) => burn::run(&entries(options)?, of, json),
        Command::Request(of) => requests::run(&entries(options)?, &of.command, json),
        Command::Capacity(of) => capacity::run(|| admin(options), &operator_key()?, of, json).map(Output::from),
        Command::Host(of) => host::run(|| admin(options), &operator_key()?, of, json).map(Output::from),
        Command::Trace(of) => trace::run(of, json),
        Command::Losses(of) => losses::run(of, json),
        Command::Key(of) => match &of.command {
            KeyCommand::Hash(_) => keys::hash(std::io::stdin()).map(Output::from),
        },
    }
}

fn admin(options: &Options) -> anyhow::Result<Admin> {
    Ok(Admin::new(options.addresses()?, operator_key()?))
}

fn entries(options: &Options) -> anyhow::Result<Entries> {
    Entries::new(options.entry_hosts()?)
}

fn operator_key() -> anyhow::Result<String> {
    std::env::var("GENTIAN_OPERATOR_KEY")
        .map_err(|_absent| anyhow::anyhow!("GENTIAN_OPERATOR_KEY is not set, expected the operator's bearer key"))
}
