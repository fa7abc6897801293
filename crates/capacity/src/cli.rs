//! Command line options of `gentian-capacity`.

use argh::FromArgs;

/// Watch the cloud API and keep capacity.
#[derive(Debug, Default, FromArgs)]
pub struct Options {
    /// name of this node
    #[argh(option)]
    pub node: Option<String>,
    /// IP:PORT of the cloud API
    #[argh(option)]
    pub cloud: Option<String>,
    /// inner addresses of the state group
    #[argh(option)]
    pub state: Option<String>,
    /// inner addresses of the entry hosts
    #[argh(option)]
    pub entries: Option<String>,
    /// IP:PORT for operators and health checks
    #[argh(option)]
    pub ops: Option<String>,
    /// on or off: carry out the plan
    #[argh(option)]
    pub plan: Option<String>,
    /// data centre that started hosts stand in
    #[argh(option)]
    pub data_center: Option<String>,
    /// requests that one host runs at once
    #[argh(option)]
    pub slots: Option<String>,
    /// on or off: whether engines on started hosts check fencing tokens
    #[argh(option)]
    pub checks_fencing: Option<String>,
    /// percent of the contracts' concurrency that on-demand hosts carry
    #[argh(option)]
    pub floor: Option<String>,
    /// loads from the weight store at once
    #[argh(option)]
    pub loads: Option<String>,
    /// versions of models as MODEL=VERSION,…
    #[argh(option)]
    pub versions: Option<String>,
    /// adapters that are kept warm as MODEL=ADAPTER,…
    #[argh(option)]
    pub adapters: Option<String>,
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
