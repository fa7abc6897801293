//! Settings of `gentian-capacity`.

use std::net::SocketAddr;
use std::str::FromStr;

use contract::setting;
use contract::settings::{List, Setting, SettingsReader};
use contract::{DataCenter, KeyHash, ModelName, NodeId, ValidationErrors};
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
    CLOUD,
    "cloud",
    "GENTIAN_CLOUD",
    None,
    "IP:PORT",
    "Address of the cloud API."
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
    ENTRIES,
    "entries",
    "GENTIAN_ENTRIES",
    None,
    "IP:PORT,…",
    "Inner addresses of the entry hosts."
);
setting!(
    OPS,
    "ops",
    "GENTIAN_OPS",
    Some("127.0.0.1:0"),
    "IP:PORT",
    "Address for operators and health checks."
);
setting!(
    PLAN,
    "plan",
    "GENTIAN_PLAN",
    Some("on"),
    "on or off",
    "Whether the plan is carried out or only shown."
);
setting!(
    DATA_CENTER,
    "data-center",
    "GENTIAN_DATA_CENTER",
    Some("dc-1"),
    "a name of letters, digits and -_.:/",
    "Data centre that started hosts stand in."
);
setting!(
    SLOTS,
    "slots",
    "GENTIAN_SLOTS",
    Some("16"),
    "1 to 100000",
    "Requests that one host runs at once within its targets."
);
setting!(
    CHECKS_FENCING,
    "checks-fencing",
    "GENTIAN_CHECKS_FENCING",
    Some("off"),
    "on or off",
    "Whether engines on started hosts refuse orders with an old fencing token."
);
setting!(
    FLOOR,
    "floor",
    "GENTIAN_FLOOR",
    Some("25"),
    "0 to 100",
    "Percent of the contracts' concurrency that on-demand hosts carry at any time."
);
setting!(
    LOADS,
    "loads",
    "GENTIAN_LOADS",
    Some("2"),
    "1 to 1000",
    "Loads from the weight store at once."
);
setting!(
    VERSIONS,
    "versions",
    "GENTIAN_VERSIONS",
    Some(""),
    "MODEL=VERSION,…",
    "Versions of models; a model that isn't named is loaded in version 1."
);
setting!(
    ADAPTERS,
    "adapters",
    "GENTIAN_ADAPTERS",
    Some(""),
    "MODEL=ADAPTER,…",
    "Adapters that every host of a model loads before it serves."
);
setting!(
    LOG,
    "log",
    "GENTIAN_LOG",
    Some("json"),
    "json or terminal",
    "How log lines are written."
);
const OPERATOR_KEY: Setting = Setting {
    flag: "operator-key",
    env: "GENTIAN_OPERATOR_KEY",
    default: Some(""),
    allowed: "any text",
    help: "Key that operators show to look at capacity; without one nobody may. Only read from the environment.",
    secret: true,
};

/// Every setting of `gentian-capacity`, in the order of the reference page.
pub static ALL: [&Setting; 15] = [
    &NODE,
    &CLOUD,
    &STATE,
    &ENTRIES,
    &OPS,
    &PLAN,
    &DATA_CENTER,
    &SLOTS,
    &CHECKS_FENCING,
    &FLOOR,
    &LOADS,
    &VERSIONS,
    &ADAPTERS,
    &LOG,
    &OPERATOR_KEY,
];

/// A version or an adapter of a model, written as `MODEL=NAME`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPair {
    /// Name of the model; valid.
    pub model: ModelName,
    /// Name of the version or of the adapter; not empty.
    pub value: String,
}

/// The settings after validation.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeId,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Addresses of the RPC servers of the state nodes.
    pub state: Vec<SocketAddr>,
    /// Addresses of the RPC servers of the entry hosts.
    pub entries: Vec<SocketAddr>,
    /// Address of the HTTP server for operators and health checks.
    pub ops: SocketAddr,
    /// Whether the plan is executed; otherwise it is only in the report.
    pub plan_enabled: bool,
    /// Data centre that started hosts are registered in.
    pub data_center: DataCenter,
    /// Requests that one host runs at once within its targets, 1 to 100,000.
    pub slots: u32,
    /// Whether engines on started hosts refuse orders with an old fencing token.
    pub checks_fencing: bool,
    /// Percent of the contracts' concurrency that on-demand hosts carry at any time, 0 to 100.
    pub floor_percent: u32,
    /// Loads from the weight store that run at once, 1 to 1,000.
    pub parallel_loads: usize,
    /// Versions of models; a model that isn't listed is loaded in version 1.
    pub versions: Vec<ModelPair>,
    /// Adapters that every host of a model loads before it serves.
    pub adapters: Vec<ModelPair>,
    /// Hash of the key that operators authenticate with; without one, the report is refused to everybody.
    pub operator_key: Option<KeyHash>,
    /// How log lines are written.
    pub log: Format,
}

impl FromStr for ModelPair {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (model, value) = text.split_once('=').ok_or("expected MODEL=NAME")?;
        let model = ModelName::from(model);
        if !model.is_valid() || value.is_empty() {
            return Err("expected MODEL=NAME");
        }
        Ok(Self {
            model,
            value: value.to_owned(),
        })
    }
}

impl Settings {
    /// Reads and validates every setting, and records each in the sheet, which renders them.
    ///
    /// # Errors
    /// Fails with all settings that are missing or not allowed.
    pub fn read(options: &Options, sheet: &mut SettingsReader) -> Result<Self, ValidationErrors> {
        let node = sheet.read::<String>(&NODE, options.node.as_deref()).map(NodeId::from);
        let node = sheet.check(&NODE, node, NodeId::is_valid);
        let cloud = sheet.read(&CLOUD, options.cloud.as_deref());
        let state = sheet.read::<List<SocketAddr>>(&STATE, options.state.as_deref());
        let entries = sheet.read::<List<SocketAddr>>(&ENTRIES, options.entries.as_deref());
        let ops = sheet.read(&OPS, options.ops.as_deref());
        let plan_enabled = read_switch(sheet, &PLAN, options.plan.as_deref());
        let data_center = sheet.read::<String>(&DATA_CENTER, options.data_center.as_deref());
        let data_center = sheet.check(&DATA_CENTER, data_center.map(DataCenter::from), DataCenter::is_valid);
        let slots = sheet.read(&SLOTS, options.slots.as_deref());
        let slots = sheet.check(&SLOTS, slots, |slots| (1..=100_000).contains(slots));
        let checks_fencing = read_switch(sheet, &CHECKS_FENCING, options.checks_fencing.as_deref());
        let floor_percent = sheet.read(&FLOOR, options.floor.as_deref());
        let floor_percent = sheet.check(&FLOOR, floor_percent, |percent| *percent <= 100);
        let parallel_loads = sheet.read(&LOADS, options.loads.as_deref());
        let parallel_loads = sheet.check(&LOADS, parallel_loads, |loads| (1..=1_000).contains(loads));
        let versions = sheet.read::<List<ModelPair>>(&VERSIONS, options.versions.as_deref());
        let adapters = sheet.read::<List<ModelPair>>(&ADAPTERS, options.adapters.as_deref());
        let log = sheet.read(&LOG, options.log.as_deref());
        let key = sheet.read::<String>(&OPERATOR_KEY, None);
        sheet.finish()?;
        let settings = || {
            Some(Self {
                node: node?,
                cloud: cloud?,
                state: state?.0,
                entries: entries?.0,
                ops: ops?,
                plan_enabled: plan_enabled?,
                data_center: data_center?,
                slots: slots?,
                checks_fencing: checks_fencing?,
                floor_percent: floor_percent?,
                parallel_loads: parallel_loads?,
                versions: versions?.0,
                adapters: adapters?.0,
                operator_key: key.filter(|key| !key.is_empty()).map(|key| KeyHash::of(&key)),
                log: log?,
            })
        };
        settings().ok_or_else(ValidationErrors::default)
    }
}

/// Reads a setting that is `on` or `off`.
fn read_switch(sheet: &mut SettingsReader, setting: &'static Setting, flag: Option<&str>) -> Option<bool> {
    let text = sheet.read::<String>(setting, flag);
    let text = sheet.check(setting, text, |text| text == "on" || text == "off");
    text.map(|text| text == "on")
}
