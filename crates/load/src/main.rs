//! `gentian-load`: loads gentianspring and measures what comes out.

use load::cli::{Command, Options};
use load::{compare, demo, overhead, slopes};

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    match options.command {
        Command::Demo(options) => demo::run(&options),
        Command::Overhead(options) => overhead::run(&options),
        Command::Slopes(options) => slopes::run(&options),
        Command::Compare(options) => compare::compare(&options),
        Command::Run(options) => compare::single(&options),
    }
}
