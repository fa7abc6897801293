//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use contract::settings::List;

use crate::trial::run::Policy;
use crate::workload::Workload;

/// Default time in which requests arrive, in seconds; a comparison of all three policies stays under a minute.
const DURATION: f64 = 13.0;

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
    /// What the entry adds.
    Overhead(OverheadOptions),
    /// Every policy.
    Compare(Compare),
    /// One policy.
    Run(RunOptions),
    /// A page with plots.
    Report(Report),
}

/// Compare policies on the same seeded arrivals and faults.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "compare",
    example = "gentian-load compare --workload tan-seng-huat --seed 1 --json"
)]
pub struct Compare {
    /// tan-seng-huat or mwangaza
    #[argh(option)]
    pub workload: Workload,
    /// seed of arrivals and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds in which requests arrive, for each policy
    #[argh(option, default = "DURATION")]
    pub duration: f64,
    /// requests a second; by default what loads the fleet of the workload
    #[argh(option)]
    pub rate: Option<f64>,
    /// bring about no faults
    #[argh(switch)]
    pub quiet: bool,
    /// mechanism of gentianspring to switch off; may be repeated
    #[argh(option)]
    pub without: Vec<String>,
    /// folder in which logs and records are kept
    #[argh(option)]
    pub keep: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Run one policy on seeded arrivals and faults.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "gentian-load run --workload mwangaza --policy least-loaded --seed 1"
)]
pub struct RunOptions {
    /// tan-seng-huat or mwangaza
    #[argh(option)]
    pub workload: Workload,
    /// gentianspring, least-loaded or round-robin
    #[argh(option, default = "Policy::Gentianspring")]
    pub policy: Policy,
    /// seed of arrivals and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds in which requests arrive
    #[argh(option, default = "DURATION")]
    pub duration: f64,
    /// requests a second; by default what loads the fleet of the workload
    #[argh(option)]
    pub rate: Option<f64>,
    /// bring about no faults
    #[argh(switch)]
    pub quiet: bool,
    /// mechanism to switch off; may be repeated
    #[argh(option)]
    pub without: Vec<String>,
    /// folder in which logs and records are kept
    #[argh(option)]
    pub keep: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
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

/// Make one self-contained page with plots from the JSON output of comparisons.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "gentian-load report tan-1.json tan-2.json --out report.html"
)]
pub struct Report {
    /// files that hold the output of compare --json
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// file that the page is written into
    #[argh(option, default = "PathBuf::from(\"report.html\")")]
    pub out: PathBuf,
}

/// Compare calls straight to a stand-in with calls through an entry host, in one run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead", example = "gentian-load overhead")]
pub struct OverheadOptions {
    /// numbers of callers at the same time, as N,N,…
    #[argh(option, default = "List(vec![1, 64, 256])")]
    pub open: List<usize>,
    /// streams of all callers together in each round; each caller has four at least
    #[argh(option, default = "48")]
    pub streams: usize,
    /// lookups of all callers together in each round; each caller has 16 at least
    #[argh(option, default = "512")]
    pub calls: usize,
    /// rounds of both ways
    #[argh(option, default = "3")]
    pub rounds: usize,
    /// tokens of a stream
    #[argh(option, default = "32")]
    pub tokens: u64,
    /// microseconds between two tokens of the engine
    #[argh(option, default = "10_000")]
    pub decode_us: u64,
    /// milliseconds that the service takes for a call
    #[argh(option, default = "1")]
    pub work_ms: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
