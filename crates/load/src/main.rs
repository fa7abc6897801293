//! `gentian-load`: puts load on gentianspring and measures latency, cost and correctness.

use std::process::ExitCode;

use load::cli::{Command, Options};
use load::{compare, demo, overhead, report, slopes};

fn main() -> ExitCode {
    match run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gentian-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: Options) -> anyhow::Result<()> {
    match options.command {
        Command::Demo(options) => demo::run(&options),
        Command::Overhead(options) => overhead::run(&options),
        Command::Slopes(options) => slopes::run(&options),
        Command::Compare(options) => compare::compare(&options),
        Command::Run(options) => compare::run_single(&options),
        Command::Report(options) => report::write(&options),
    }
}
