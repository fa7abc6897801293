//! Settings of `gentian-state`.

use std::net::SocketAddr;
use std::path::PathBuf;

use contract::settings::{List, Setting, SettingsReader};
use contract::{KeyHash, NodeId, ValidationErrors};
use telemetry::log::Format;

use crate::cli::Options;

const NODE: Setting = Setting {
    flag: "node",
    env: "GENTIAN_NODE",
    default: None,
    allowed: "a name of letters, digits and -_.:/",
    help: "Name of this node, unique in the group.",
    secret: false,
};
const PEERS: Setting = Setting {
    flag: "peers",
    env: "GENTIAN_PEERS",
    default: None,
    allowed: "IP:PORT,… with this node's own address among them",
    help: "Inner addresses of the group.",
    secret: false,
};
const LISTEN: Setting = Setting {
    flag: "listen",
    env: "GENTIAN_LISTEN",
    default: None,
    allowed: "IP:PORT",
    help: "Address of the inner protocol.",
    secret: false,
};
const ADMIN: Setting = Setting {
    flag: "admin",
    env: "GENTIAN_ADMIN",
    default: Some("127.0.0.1:0"),
    allowed: "IP:PORT",
    help: "Address of the administration API.",
    secret: false,
};
const DATA: Setting = Setting {
    flag: "data",
    env: "GENTIAN_DATA",
    default: None,
    allowed: "a folder that can be written",
    help: "Folder of log and snapshots.",
    secret: false,
};
const OPERATOR_KEY: Setting = Setting {
    flag: "operator-key",
    env: "GENTIAN_OPERATOR_KEY",
    default: None,
    allowed: "16 characters or more",
    help: "Bearer key that operators show.",
    secret: true,
};
const LOG: Setting = Setting {
    flag: "log",
    env: "GENTIAN_LOG",
    default: Some("json"),
    allowed: "json or terminal",
    help: "How log lines are written.",
    secret: false,
};
const CONNECTIONS: Setting = Setting {
    flag: "connections",
    env: "GENTIAN_CONNECTIONS",
    default: Some("256"),
    allowed: "16 to 16384",
    help: "Operators' connections at once.",
    secret: false,
};
const INTAKE: Setting = Setting {
    flag: "intake-mb",
    env: "GENTIAN_INTAKE_MB",
    default: Some("32"),
    allowed: "8 to 1000000",
    help: "Megabytes that these connections hold at most, half of them for large requests.",
    secret: false,
};

/// Every setting of the program, in the order of the reference page.
pub static ALL: [&Setting; 9] = [
    &NODE,
    &PEERS,
    &LISTEN,
    &ADMIN,
    &DATA,
    &OPERATOR_KEY,
    &LOG,
    &CONNECTIONS,
    &INTAKE,
];

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node, unique in the group.
    pub node: NodeId,
    /// Inner addresses of all voters, this node's own included.
    pub peers: Vec<SocketAddr>,
    /// Address on which the inner protocol is served.
    pub listen: SocketAddr,
    /// Address on which the administration API is served.
    pub admin: SocketAddr,
    /// Folder of the log and snapshots.
    pub data: PathBuf,
    /// Hash of the bearer key that may do everything.
    pub operator: KeyHash,
    /// Format of log lines.
    pub log: Format,
    /// Most connections of operators.
    pub connections: usize,
    /// Bytes that these connections hold at most.
    pub intake: usize,
}

impl Settings {
    /// Reads and validates every setting; the sheet records their values and origins for printing.
    ///
    /// # Errors
    /// Returns every setting that is missing or invalid.
    pub fn read(options: &Options, sheet: &mut SettingsReader) -> Result<Self, ValidationErrors> {
        let node = sheet.read::<String>(&NODE, options.node.as_deref()).map(NodeId::from);
        let node = sheet.check(&NODE, node, NodeId::is_valid);
        let peers = sheet.read::<List<SocketAddr>>(&PEERS, options.peers.as_deref());
        let listen = sheet.read::<SocketAddr>(&LISTEN, options.listen.as_deref());
        if let (Some(peers), Some(listen)) = (&peers, &listen)
            && !peers.0.contains(listen)
        {
            sheet.reject(&PEERS, &format!("no {listen}"));
        }
        let admin = sheet.read(&ADMIN, options.admin.as_deref());
        let data = sheet.read(&DATA, options.data.as_deref());
        let key = sheet.read::<String>(&OPERATOR_KEY, options.operator_key.as_deref());
        let key = sheet.check(&OPERATOR_KEY, key, |key| key.len() >= 16);
        let log = sheet.read(&LOG, options.log.as_deref());
        let connections = sheet.read(&CONNECTIONS, options.connections.as_deref());
        let connections = sheet.check(&CONNECTIONS, connections, |count| (16..=16_384).contains(count));
        let intake = sheet.read::<usize>(&INTAKE, options.intake_mb.as_deref());
        let intake = sheet.check(&INTAKE, intake, |megabytes| (8..=1_000_000).contains(megabytes));
        sheet.finish()?;
        let settings = || {
            Some(Self {
                node: node?,
                peers: peers?.0,
                listen: listen?,
                admin: admin?,
                data: data?,
                operator: KeyHash::of(&key?),
                log: log?,
                connections: connections?,
                intake: intake? * 1_000_000,
            })
        };
        settings().ok_or_else(ValidationErrors::default)
    }
}
