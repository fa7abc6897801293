//! Settings of the program.

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
    CHECKS,
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
const KEY: Setting = Setting {
    flag: "operator-key",
    env: "GENTIAN_OPERATOR_KEY",
    default: Some(""),
    allowed: "any text",
    help: "Key that operators show to look at capacity; without one nobody may. Only read from the environment.",
    secret: true,
};

/// Every setting of the program, in the order of the reference page.
pub static ALL: [&Setting; 15] = [
    &NODE,
    &CLOUD,
    &STATE,
    &ENTRIES,
    &OPS,
    &PLAN,
    &DATA_CENTER,
    &SLOTS,
    &CHECKS,
    &FLOOR,
    &LOADS,
    &VERSIONS,
    &ADAPTERS,
    &LOG,
    &KEY,
];

/// Two names that belong together, written as `MODEL=NAME`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The model.
    pub model: ModelName,
    /// A version or an adapter.
    pub name: String,
}

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
    /// Address for operators and health checks.
    pub ops: SocketAddr,
    /// Whether the plan is carried out.
    pub plan: bool,
    /// Data centre that started hosts stand in.
    pub place: DataCenter,
    /// Requests that one host runs at once.
    pub slots: u32,
    /// Whether engines on started hosts check fencing tokens.
    pub checks: bool,
    /// Percent of the contracts' concurrency that on-demand hosts carry.
    pub floor: u32,
    /// Loads from the weight store at once.
    pub loads: usize,
    /// Versions of models.
    pub versions: Vec<Pair>,
    /// Adapters that are kept warm.
    pub adapters: Vec<Pair>,
    /// Hash of the key that operators show; `None` lets nobody look.
    pub key: Option<KeyHash>,
    /// How log lines are written.
    pub log: Format,
}

impl FromStr for Pair {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (model, name) = text.split_once('=').ok_or("expected MODEL=NAME")?;
        let model = ModelName::from(model);
        if !model.is_valid() || name.is_empty() {
            return Err("expected MODEL=NAME");
        }
        Ok(Self {
            model,
            name: name.to_owned(),
        })
    }
}

impl Settings {
    /// Reads and checks every setting; the sheet also renders them.
    ///
    /// # Errors
    /// Returns every setting that is missing or not allowed.
    pub fn read(options: &Options, sheet: &mut SettingsReader) -> Result<Self, ValidationErrors> {
        let node = sheet.read::<String>(&NODE, options.node.as_deref()).map(NodeId::from);
        let node = sheet.check(&NODE, node, NodeId::is_valid);
        let cloud = sheet.read(&CLOUD, options.cloud.as_deref());
        let state = sheet.read::<List<SocketAddr>>(&STATE, options.state.as_deref());
        let entries = sheet.read::<List<SocketAddr>>(&ENTRIES, options.entries.as_deref());
        let ops = sheet.read(&OPS, options.ops.as_deref());
        let plan = switch(sheet, &PLAN, options.plan.as_deref());
        let place = sheet.read::<String>(&DATA_CENTER, options.data_center.as_deref());
        let place = sheet.check(&DATA_CENTER, place.map(DataCenter::from), DataCenter::is_valid);
        let slots = sheet.read(&SLOTS, options.slots.as_deref());
        let slots = sheet.check(&SLOTS, slots, |slots| (1..=100_000).contains(slots));
        let checks = switch(sheet, &CHECKS, options.checks_fencing.as_deref());
        let floor = sheet.read(&FLOOR, options.floor.as_deref());
        let floor = sheet.check(&FLOOR, floor, |floor| *floor <= 100);
        let loads = sheet.read(&LOADS, options.loads.as_deref());
        let loads = sheet.check(&LOADS, loads, |loads| (1..=1_000).contains(loads));
        let versions = sheet.read::<List<Pair>>(&VERSIONS, options.versions.as_deref());
        let adapters = sheet.read::<List<Pair>>(&ADAPTERS, options.adapters.as_deref());
        let log = sheet.read(&LOG, options.log.as_deref());
        let key = sheet.read::<String>(&KEY, None);
        sheet.finish()?;
        let settings = || {
            Some(Self {
                node: node?,
                cloud: cloud?,
                state: state?.0,
                entries: entries?.0,
                ops: ops?,
                plan: plan?,
                place: place?,
                slots: slots?,
                checks: checks?,
                floor: floor?,
                loads: loads?,
                versions: versions?.0,
                adapters: adapters?.0,
                key: key.filter(|key| !key.is_empty()).map(|key| KeyHash::of(&key)),
                log: log?,
            })
        };
        settings().ok_or_else(ValidationErrors::default)
    }
}

/// Reads a setting that is on or off.
fn switch(sheet: &mut SettingsReader, setting: &'static Setting, flag: Option<&str>) -> Option<bool> {
    let text = sheet.read::<String>(setting, flag);
    let text = sheet.check(setting, text, |text| text == "on" || text == "off");
    text.map(|text| text == "on")
}
