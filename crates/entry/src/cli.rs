//! Command-line options.

use argh::FromArgs;

/// Serve callers on an entry host.
#[derive(Debug, Default, FromArgs)]
pub struct Options {
    /// name of this node
    #[argh(option)]
    pub node: Option<String>,
    /// data centre of this host
    #[argh(option)]
    pub data_center: Option<String>,
    /// IP:PORT for callers
    #[argh(option)]
    pub listen: Option<String>,
    /// IP:PORT for health checks and metrics
    #[argh(option)]
    pub ops: Option<String>,
    /// IP:PORT of the inner protocol
    #[argh(option)]
    pub inner: Option<String>,
    /// inner addresses of the state group
    #[argh(option)]
    pub state: Option<String>,
    /// inner addresses of the other entry hosts
    #[argh(option)]
    pub peers: Option<String>,
    /// cost, least-loaded or round-robin
    #[argh(option)]
    pub routing: Option<String>,
    /// parts that routing leaves out, for comparisons
    #[argh(option)]
    pub without: Option<String>,
    /// requests that may run at once
    #[argh(option)]
    pub running: Option<String>,
    /// requests that may wait
    #[argh(option)]
    pub waiting: Option<String>,
    /// callers' connections at once
    #[argh(option)]
    pub connections: Option<String>,
    /// megabytes that callers' connections hold at most
    #[argh(option)]
    pub intake_mb: Option<String>,
    /// name in the cloud of the host that this process runs on
    #[argh(option)]
    pub host: Option<String>,
    /// counts the hosts that have had this host's name
    #[argh(option)]
    pub incarnation: Option<String>,
    /// milliseconds that the balancer gets to notice a planned stop
    #[argh(option)]
    pub notice_ms: Option<String>,
    /// IP:PORT of the cloud API
    #[argh(option)]
    pub cloud: Option<String>,
    /// off, streams or all: whose KV cache is moved when a host leaves
    #[argh(option)]
    pub kv_export: Option<String>,
    /// json or terminal
    #[argh(option)]
    pub log: Option<String>,
    /// check the settings and end
    #[argh(switch)]
    pub check_settings: bool,
    /// print the settings with their origin and end
    #[argh(switch)]
    pub print_settings: bool,
}
