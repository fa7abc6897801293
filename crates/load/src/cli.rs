//! The command line.

use std::net::SocketAddr;

use argh::FromArgs;
use contract::settings::List;

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
    /// Slopes of control cost.
    Slopes(SlopesOptions),
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

/// Measure what each further entry host and upstream costs for control.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesOptions {
    /// numbers of entry hosts, as N,N,…
    #[argh(option, default = "List(vec![2, 4, 8, 16, 32])")]
    pub entries: List<usize>,
    /// numbers of upstreams, as N,N,…
    #[argh(option, default = "List(vec![10, 50, 100, 200])")]
    pub upstreams: List<usize>,
    /// entry hosts while upstreams vary
    #[argh(option, default = "4")]
    pub base_entries: usize,
    /// upstreams while entry hosts vary
    #[argh(option, default = "10")]
    pub base_upstreams: usize,
    /// configuration changes a second in the points with changes
    #[argh(option, default = "1.0")]
    pub changes: f64,
    /// seconds a point
    #[argh(option, default = "8.0")]
    pub seconds: f64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
