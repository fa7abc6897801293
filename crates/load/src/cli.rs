//! The command line.

use std::net::SocketAddr;

use argh::FromArgs;

/// Load gentianspring and measure what comes out.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Demonstration.
    Demo(Demo),
}

/// Send one request of each kind and check the answers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// callers' address of an entry host
    #[argh(option)]
    pub entry: SocketAddr,
    /// callers' address of a second entry host
    #[argh(option)]
    pub second: SocketAddr,
}
