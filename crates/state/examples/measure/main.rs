//! Measures the replicated state with real processes on one host: `measure claims|outage|restart|learners|force|size`.

#[path = "../../tests/nodes/mod.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod nodes;

mod claims;
mod force;
mod learners;
mod outage;
mod process;
mod relay;
mod restart;
mod size;

use std::path::PathBuf;

use argh::FromArgs;

/// Measure the replicated state.
#[derive(Debug, FromArgs)]
struct Options {
    /// the state program
    #[argh(option, default = "PathBuf::from(\"target/release/gentian-state\")")]
    state: PathBuf,
    /// the entry program, for learners
    #[argh(option, default = "PathBuf::from(\"target/release/gentian-entry\")")]
    entry: PathBuf,
    /// claims, outage, restart, learners, force or size
    #[argh(positional)]
    what: String,
}

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    match options.what.as_str() {
        "claims" => claims::run(&options.state),
        "outage" => outage::run(&options.state),
        "restart" => restart::run(&options.state),
        "learners" => learners::run(&options.state, &options.entry),
        "force" => force::run(&options.state, &options.entry),
        "size" => size::run(),
        other => anyhow::bail!("{other}: expected claims, outage, restart, learners, force or size"),
    }
    Ok(())
}
