//! Command line of `gentian-state`.

use argh::FromArgs;

/// Keep gentianspring's replicated state on a host with a disk.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// name of this node
    #[argh(option)]
    pub node: Option<String>,
    /// voters of the group as IP:PORT of the inner protocol, this node included
    #[argh(option)]
    pub peers: Option<String>,
    /// IP:PORT of the inner protocol
    #[argh(option)]
    pub listen: Option<String>,
    /// IP:PORT of the administration API
    #[argh(option)]
    pub admin: Option<String>,
    /// data folder
    #[argh(option)]
    pub data: Option<String>,
    /// bearer key of the operator
    #[argh(option)]
    pub operator_key: Option<String>,
    /// json or terminal
    #[argh(option)]
    pub log: Option<String>,
    /// operators' connections at once
    #[argh(option)]
    pub connections: Option<String>,
    /// megabytes that these connections hold at most
    #[argh(option)]
    pub intake_mb: Option<String>,
    /// check the settings and end
    #[argh(switch)]
    pub check_settings: bool,
    /// print the settings with their origin and end
    #[argh(switch)]
    pub print_settings: bool,
}
