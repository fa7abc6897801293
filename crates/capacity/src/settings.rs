//! Settings of the program.

use std::net::SocketAddr;

use contract::settings::{List, Setting, Sheet};
use contract::{NodeId, Problems};
use telemetry::log::Format;

use crate::cli::Options;

const NODE: Setting = Setting {
    flag: "node",
    env: "GENTIAN_NODE",
    default: None,
    allowed: "a name of letters, digits and -_.:/",
    help: "Name of this node.",
    secret: false,
};
const CLOUD: Setting = Setting {
    flag: "cloud",
    env: "GENTIAN_CLOUD",
    default: None,
    allowed: "IP:PORT",
    help: "Address of the cloud API.",
    secret: false,
};
const STATE: Setting = Setting {
    flag: "state",
    env: "GENTIAN_STATE",
    default: None,
    allowed: "IP:PORT,…",
    help: "Inner addresses of the state group.",
    secret: false,
};
const ENTRIES: Setting = Setting {
    flag: "entries",
    env: "GENTIAN_ENTRIES",
    default: None,
    allowed: "IP:PORT,…",
    help: "Inner addresses of the entry hosts.",
    secret: false,
};
const LOG: Setting = Setting {
    flag: "log",
    env: "GENTIAN_LOG",
    default: Some("json"),
    allowed: "json or terminal",
    help: "How log lines are written.",
    secret: false,
};

/// Every setting of the program, in the order of the reference page.
pub static ALL: [&Setting; 5] = [&NODE, &CLOUD, &STATE, &ENTRIES, &LOG];

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeId,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Inner addresses of the state group.
    pub state: Vec<SocketAddr>,
    /// Inner addresses of the entry hosts.
    pub entries: Vec<SocketAddr>,
    /// How log lines are written.
    pub log: Format,
}

impl Settings {
    /// Reads and checks every setting; the sheet also renders them.
    ///
    /// # Errors
    /// Returns every setting that is missing or not allowed.
    pub fn read(options: &Options, sheet: &mut Sheet) -> Result<Self, Problems> {
        let node = sheet.read::<String>(&NODE, options.node.as_deref()).map(NodeId::from);
        let node = sheet.check(&NODE, node, NodeId::is_valid);
        let cloud = sheet.read(&CLOUD, options.cloud.as_deref());
        let state = sheet.read::<List<SocketAddr>>(&STATE, options.state.as_deref());
        let entries = sheet.read::<List<SocketAddr>>(&ENTRIES, options.entries.as_deref());
        let log = sheet.read(&LOG, options.log.as_deref());
        sheet.finish()?;
        let settings = || {
            Some(Self {
                node: node?,
                cloud: cloud?,
                state: state?.0,
                entries: entries?.0,
                log: log?,
            })
        };
        settings().ok_or_else(Problems::default)
    }
}
