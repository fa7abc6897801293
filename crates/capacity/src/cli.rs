//! The command line.

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
