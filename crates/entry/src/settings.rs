//! Settings of `gentian-entry`, their defaults and their validation.

use std::net::SocketAddr;
use std::time::Duration;

use contract::setting;
use contract::settings::{List, Setting, SettingsReader};
use contract::{DataCenter, HostId, NodeId, ValidationErrors};
use policy::route::{Ablation, Routing};
use telemetry::log::Format;

use crate::cli::Options;

setting!(
    NODE,
    "node",
    "GENTIAN_NODE",
    None,
    "a name of letters, digits and -_.:/",
    "Name of this node."
);
setting!(
    DATA_CENTER,
    "data-center",
    "GENTIAN_DATA_CENTER",
    None,
    "a name of letters, digits and -_.:/",
    "Data centre of this host."
);
setting!(
    LISTEN,
    "listen",
    "GENTIAN_LISTEN",
    Some("127.0.0.1:0"),
    "IP:PORT",
    "Address for callers."
);
setting!(
    OPS,
    "ops",
    "GENTIAN_OPS",
    Some("127.0.0.1:0"),
    "IP:PORT",
    "Address for health checks and metrics."
);
setting!(
    INNER,
    "inner",
    "GENTIAN_INNER",
    Some("127.0.0.1:0"),
    "IP:PORT",
    "Address of the inner protocol."
);
setting!(
    STATE,
    "state",
    "GENTIAN_STATE",
    None,
    "IP:PORT,…",
    "Inner addresses of the state group."
);
setting!(
    PEERS,
    "peers",
    "GENTIAN_PEERS",
    Some(""),
    "IP:PORT,…",
    "Inner addresses of the other entry hosts."
);
setting!(
    ROUTING,
    "routing",
    "GENTIAN_ROUTING",
    Some("cost"),
    "cost, least-loaded or round-robin",
    "How an upstream is chosen."
);
setting!(
    WITHOUT,
    "without",
    "GENTIAN_WITHOUT",
    Some("risk,price,cache-events"),
    "affinity, rendezvous, home, risk, price, distance, report-expiry, corrections, cache-events; empty for none",
    "Parts that routing by cost leaves out; by default those that no measurement supports."
);
setting!(
    RUNNING,
    "running",
    "GENTIAN_RUNNING",
    Some("256"),
    "1 to 4096",
    "Requests that run at once."
);
setting!(
    WAITING,
    "waiting",
    "GENTIAN_WAITING",
    Some("256"),
    "1 to 4096",
    "Requests that wait at most."
);
setting!(
    CONNECTIONS,
    "connections",
    "GENTIAN_CONNECTIONS",
    Some("1024"),
    "16 to 16384",
    "Callers' connections at once; each has a thread."
);
setting!(
    INTAKE,
    "intake-mb",
    "GENTIAN_INTAKE_MB",
    Some("64"),
    "16 to 1000000",
    "Megabytes that callers' connections hold at most, half of them for large requests."
);
setting!(
    HOST,
    "host",
    "GENTIAN_HOST",
    Some(""),
    "a name of letters, digits and -_.:/, or empty for the name of the node",
    "Name in the cloud of the host that this process runs on."
);
setting!(
    INCARNATION,
    "incarnation",
    "GENTIAN_INCARNATION",
    Some("0"),
    "a number",
    "Counts the hosts that have had this host's name; signs about earlier ones are ignored."
);
setting!(
    NOTICE,
    "notice-ms",
    "GENTIAN_NOTICE_MS",
    Some("1500"),
    "0 to 2000",
    "Milliseconds that the balancer gets to notice a planned stop before new requests are refused."
);
setting!(
    CLOUD,
    "cloud",
    "GENTIAN_CLOUD",
    Some(""),
    "IP:PORT,… or nothing",
    "Addresses of the cloud API, from which reclaim notices are read besides what capacity tells."
);
setting!(
    KV_EXPORT,
    "kv-export",
    "GENTIAN_KV_EXPORT",
    Some("streams"),
    "off, streams or all",
    "Whose KV cache is moved when a host leaves: nobody's, that of streams, or also that of ended answers."
);
setting!(
    LOG,
    "log",
    "GENTIAN_LOG",
    Some("json"),
    "json or terminal",
    "How log lines are written."
);

/// Every setting, in the order of the reference page.
pub static ALL: [&Setting; 19] = [
    &NODE,
    &DATA_CENTER,
    &LISTEN,
    &OPS,
    &INNER,
    &STATE,
    &PEERS,
    &ROUTING,
    &WITHOUT,
    &RUNNING,
    &WAITING,
    &CONNECTIONS,
    &INTAKE,
    &HOST,
    &INCARNATION,
    &NOTICE,
    &CLOUD,
    &KV_EXPORT,
    &LOG,
];

/// Whose KV cache is moved when a host leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
pub enum KvExport {
    /// Nobody's; streams are replayed.
    #[display("off")]
    Off,
    /// That of running streams.
    #[default]
    #[display("streams")]
    Streams,
    /// Also that of ended answers, for the next turn of their conversations.
    #[display("all")]
    All,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeId,
    /// Data centre of this host.
    pub data_center: DataCenter,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for health checks and metrics.
    pub ops: SocketAddr,
    /// Address of the internal RPC server and, for UDP, of the digest exchange.
    pub inner: SocketAddr,
    /// RPC addresses of the state nodes; never empty.
    pub state: Vec<SocketAddr>,
    /// RPC addresses of the other entry hosts; this host's own may be among them.
    pub peers: Vec<SocketAddr>,
    /// Routing policy.
    pub routing: Routing,
    /// Parts of cost-based routing that are switched off.
    pub without: Vec<Ablation>,
    /// Most concurrent requests.
    pub running: usize,
    /// Most queued requests.
    pub waiting: usize,
    /// Most concurrent connections of callers.
    pub connections: usize,
    /// Bytes that these connections hold at most.
    pub intake: usize,
    /// Cloud name of the host that this process runs on; by default the name of the node.
    pub host: HostId,
    /// Counts the hosts that have had this host's name.
    pub incarnation: u64,
    /// Time for the load balancer to notice a planned stop before new requests are refused.
    pub notice: Duration,
    /// Addresses of the cloud API; empty if notices are not read from it.
    pub cloud: Vec<SocketAddr>,
    /// Whose KV cache is moved when a host leaves.
    pub kv_export: KvExport,
    /// Format of log lines.
    pub log: Format,
}

impl Settings {
    /// Reads and validates every setting; the sheet also collects their rendered values.
    ///
    /// # Errors
    /// Returns all settings that are missing or invalid.
    pub fn read(options: &Options, sheet: &mut SettingsReader) -> Result<Self, ValidationErrors> {
        let allowed = 1..=4_096;
        let node = sheet.read::<String>(&NODE, options.node.as_deref()).map(NodeId::from);
        let node = sheet.check(&NODE, node, NodeId::is_valid);
        let data_center = sheet
            .read::<String>(&DATA_CENTER, options.data_center.as_deref())
            .map(DataCenter::from);
        let data_center = sheet.check(&DATA_CENTER, data_center, DataCenter::is_valid);
        let listen = sheet.read(&LISTEN, options.listen.as_deref());
        let ops = sheet.read(&OPS, options.ops.as_deref());
        let inner = sheet.read(&INNER, options.inner.as_deref());
        let state = sheet.read::<List<SocketAddr>>(&STATE, options.state.as_deref());
        if state.as_ref().is_some_and(|list| list.0.is_empty()) {
            sheet.reject(&STATE, &"an empty list");
        }
        let peers = sheet.read::<List<SocketAddr>>(&PEERS, options.peers.as_deref());
        let routing = sheet.read(&ROUTING, options.routing.as_deref());
        let without = sheet.read::<List<Ablation>>(&WITHOUT, options.without.as_deref());
        let running = sheet.read(&RUNNING, options.running.as_deref());
        let running = sheet.check(&RUNNING, running, |count| allowed.contains(count));
        let waiting = sheet.read(&WAITING, options.waiting.as_deref());
        let waiting = sheet.check(&WAITING, waiting, |count| allowed.contains(count));
        let connections = sheet.read(&CONNECTIONS, options.connections.as_deref());
        let connections = sheet.check(&CONNECTIONS, connections, |count| (16..=16_384).contains(count));
        let intake = sheet.read::<usize>(&INTAKE, options.intake_mb.as_deref());
        let intake = sheet.check(&INTAKE, intake, |megabytes| (16..=1_000_000).contains(megabytes));
        let host = sheet.read::<String>(&HOST, options.host.as_deref()).map(HostId::from);
        let host = sheet.check(&HOST, host, |name| name.as_str().is_empty() || name.is_valid());
        let incarnation = sheet.read(&INCARNATION, options.incarnation.as_deref());
        let notice = sheet.read(&NOTICE, options.notice_ms.as_deref());
        let notice = sheet.check(&NOTICE, notice, |ms| *ms <= 2_000);
        let cloud = sheet.read::<List<SocketAddr>>(&CLOUD, options.cloud.as_deref());
        let export = sheet.read(&KV_EXPORT, options.kv_export.as_deref());
        let log = sheet.read(&LOG, options.log.as_deref());
        sheet.finish()?;
        let settings = || {
            let node = node?;
            let host = host.filter(|name| !name.as_str().is_empty());
            Some(Self {
                host: host.unwrap_or_else(|| node.as_str().into()),
                node,
                data_center: data_center?,
                listen: listen?,
                ops: ops?,
                inner: inner?,
                state: state?.0,
                peers: peers?.0,
                routing: routing?,
                without: without?.0,
                running: running?,
                waiting: waiting?,
                connections: connections?,
                intake: intake? * 1_000_000,
                incarnation: incarnation?,
                notice: Duration::from_millis(notice?),
                cloud: cloud?.0,
                kv_export: export?,
                log: log?,
            })
        };
        settings().ok_or_else(ValidationErrors::default)
    }
}
