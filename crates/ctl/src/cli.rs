//! The command line.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::state::StateOptions;

/// Operate gentianspring.
#[derive(Debug, FromArgs)]
#[argh(
    example = "gentianctl contract apply tan-seng-huat.json",
    error_code(1, "The command failed; the message says at which step and peer."),
    error_code(2, "Another change came first; read the item again and repeat."),
    note = "The key is read from GENTIAN_OPERATOR_KEY, the addresses from GENTIAN_ADMIN unless --admin gives them."
)]
pub struct Options {
    /// administration API of the state group as IP:PORT,…
    #[argh(option)]
    pub admin: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Contracts.
    Contract(ContractOptions),
    /// Upstreams.
    Upstream(UpstreamOptions),
    /// The state group.
    State(StateOptions),
}

/// Read and change contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct ContractOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: ContractCommand,
}

/// What to do with contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ContractCommand {
    /// Apply.
    Apply(Apply),
    /// Get.
    Get(Get),
    /// List.
    List(List),
}

/// Register and read upstreams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct UpstreamOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: UpstreamCommand,
}

/// What to do with upstreams.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum UpstreamCommand {
    /// Apply.
    Apply(Apply),
    /// List.
    List(List),
}

/// Apply a JSON file, or standard input for -.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "gentianctl contract apply mwangaza.json --base 12"
)]
pub struct Apply {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// revision that the change is made against
    #[argh(option)]
    pub base: Option<u64>,
    /// id of the change; give the same one when resending
    #[argh(option)]
    pub change_id: Option<String>,
}

/// Show one item.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get", example = "gentianctl contract get mwangaza")]
pub struct Get {
    /// name of the customer
    #[argh(positional)]
    pub name: String,
}

/// List every item.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "gentianctl contract list")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct List {}

impl Options {
    /// Gives the addresses of the administration API.
    ///
    /// # Errors
    /// Fails when none is given or one is not an address.
    pub fn addresses(&self) -> anyhow::Result<Vec<SocketAddr>> {
        let text = self
            .admin
            .clone()
            .or_else(|| std::env::var("GENTIAN_ADMIN").ok())
            .unwrap_or_default();
        let list: contract::settings::List<SocketAddr> = text.parse().map_err(|error| {
            anyhow::anyhow!("--admin (GENTIAN_ADMIN): {text} is not allowed ({error}), expected IP:PORT,…")
        })?;
        anyhow::ensure!(
            !list.0.is_empty(),
            "--admin (GENTIAN_ADMIN) is not given, expected IP:PORT,…"
        );
        Ok(list.0)
    }
}
