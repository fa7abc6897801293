//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cloud::Pool;
use crate::engine::Faults;
use crate::service::ServiceFaults;

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
    /// The weight store.
    Weights(WeightsOptions),
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
    /// bytes of KV cache for one token
    #[argh(option, default = "131_072")]
    pub kv_bytes: u64,
    /// megabytes a second at which KV cache is exported or imported
    #[argh(option, default = "1_000")]
    pub kv_mbps: u64,
    /// weight store that models and adapters are loaded from
    #[argh(option)]
    pub weights: Option<SocketAddr>,
    /// faults from the start on, as JSON
    #[argh(option, default = "Faults::default()")]
    pub faults: Faults,
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
    /// answer 404 to every question for an outcome
    #[argh(switch)]
    pub keeps_silent: bool,
    /// faults from the start on, as JSON
    #[argh(option, default = "ServiceFaults::default()")]
    pub faults: ServiceFaults,
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
    /// milliseconds that a host takes to start
    #[argh(option, default = "500")]
    pub start_ms: u64,
    /// what can be started, as ZONE:CLASS:PRICE:MOST; may be given several times
    #[argh(option)]
    pub pool: Vec<Pool>,
    /// flags of an engine that each started host runs; without this, hosts run nothing
    #[argh(option)]
    pub engine: Option<String>,
}

/// Stand in for the weight store.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "weights")]
pub struct WeightsOptions {
    /// address to listen on; the address is printed once it listens
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
    /// megabytes a second over all loads together
    #[argh(option, default = "1_000")]
    pub mbps: u64,
    /// megabytes of a model
    #[argh(option, default = "200")]
    pub model_mb: u64,
    /// megabytes of an adapter
    #[argh(option, default = "10")]
    pub adapter_mb: u64,
    /// loads that may wait or run at once; more are refused
    #[argh(option, default = "4")]
    pub most: u64,
}
