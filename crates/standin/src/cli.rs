//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Stand-ins for tests and trials.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// what to stand in for
    #[argh(subcommand)]
    pub role: Role,
}

/// What to stand in for.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Role {
    /// A model engine.
    Engine(EngineOptions),
    /// A plain service.
    Service(ServiceOptions),
    /// The cloud API.
    Cloud(CloudOptions),
}

/// Stand in for a model engine with continuous batching and a prefix cache.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineOptions {
    /// address to listen on; the address is printed once it listens
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
    /// model that is loaded
    #[argh(option, default = "String::from(\"counter-1\")")]
    pub model: String,
    /// requests that run at once; more wait
    #[argh(option, default = "16")]
    pub slots: u32,
    /// microseconds to prefill one token that is not cached
    #[argh(option, default = "250")]
    pub prefill_us: u64,
    /// microseconds between two tokens of one request running alone
    #[argh(option, default = "10000")]
    pub decode_us: u64,
    /// microseconds that each further running request adds between two tokens
    #[argh(option, default = "200")]
    pub batch_us: u64,
    /// tokens that the prefix cache holds
    #[argh(option, default = "65536")]
    pub cache_tokens: usize,
    /// milliseconds by which load reports lag
    #[argh(option, default = "200")]
    pub lag_ms: u64,
    /// refuse orders with an old fencing token
    #[argh(switch)]
    pub checks_fencing: bool,
    /// file that everything done is appended to
    #[argh(option)]
    pub record: Option<PathBuf>,
}

/// Stand in for a plain service that books and looks up.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceOptions {
    /// address to listen on; the address is printed once it listens
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
    /// milliseconds that a call takes
    #[argh(option, default = "5")]
    pub work_ms: u64,
    /// calls that run at once; more wait
    #[argh(option, default = "64")]
    pub slots: usize,
    /// file that everything done is appended to
    #[argh(option)]
    pub record: Option<PathBuf>,
}

/// Stand in for the cloud API.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "cloud")]
pub struct CloudOptions {
    /// address to listen on; the address is printed once it listens
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
    /// milliseconds by which the list of hosts lags
    #[argh(option, default = "1000")]
    pub lag_ms: u64,
}
