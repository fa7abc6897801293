//! The options and subcommands of `gentianctl`.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::capacity::CapacityOptions;
use crate::host::HostOptions;
use crate::losses::LossesOptions;
use crate::state::StateOptions;
use crate::trace::TraceOptions;

/// Operate gentianspring.
#[derive(Debug, FromArgs)]
#[argh(
    example = "gentianctl contract apply tan-seng-huat.json",
    error_code(
        1,
        "The command failed; the message says at which step and peer, and what to do next."
    ),
    error_code(2, "Another change came first; read the item again and repeat."),
    error_code(3, "What was asked for is not there."),
    error_code(4, "Some processes did not answer; what is printed is incomplete."),
    error_code(5, "The contracts differ (contract diff)."),
    note = "The key is read from GENTIAN_OPERATOR_KEY. Addresses are read from GENTIAN_ADMIN and GENTIAN_ENTRIES unless --admin and --entries give them."
)]
pub struct Options {
    /// administration API of the state group as IP:PORT,…
    #[argh(option)]
    pub admin: Option<String>,
    /// inner addresses of the entry hosts as IP:PORT,…
    #[argh(option)]
    pub entries: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands of `gentianctl`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Reads and changes contracts.
    Contract(ContractOptions),
    /// Registers and lists upstreams.
    Upstream(UpstreamOptions),
    /// Maintains the state group and its disks.
    State(StateOptions),
    /// Shows state nodes and entry hosts.
    Status(StatusOptions),
    /// Shows how fast error budgets are used up.
    Burn(BurnOptions),
    /// Shows and explains single requests.
    Request(RequestOptions),
    /// Hashes account keys.
    Key(KeyOptions),
    /// Shows capacity and sets rules for it.
    Capacity(CapacityOptions),
    /// Lists and drains hosts.
    Host(HostOptions),
    /// Finds what logs say about one request.
    Trace(TraceOptions),
    /// Counts the requests in logs by cause of loss.
    Losses(LossesOptions),
}

/// Show state nodes and entry hosts with the revision that each has in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "gentianctl status --json")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct StatusOptions {}

/// Show how fast each customer's classes use up their error budgets.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "burn",
    example = "gentianctl burn --customer mwangaza --html burn.html"
)]
pub struct BurnOptions {
    /// only this customer
    #[argh(option)]
    pub customer: Option<String>,
    /// write a page with plots into this file
    #[argh(option)]
    pub html: Option<std::path::PathBuf>,
}

/// Look into single requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request", example = "gentianctl request explain entry-1-19a3-7")]
pub struct RequestOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: RequestCommand,
}

/// Subcommands of `gentianctl request`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RequestCommand {
    /// Shows the owner of a request and the progress of its answer.
    Show(ShowRequest),
    /// Shows the choice of upstream for each attempt.
    Explain(ExplainRequest),
}

/// Show who made a request and how far its answer is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show", example = "gentianctl request show entry-1-19a3-7")]
pub struct ShowRequest {
    /// request id, as in the X-Request-Id header of the answer
    #[argh(positional)]
    pub id: String,
}

/// Tell for each attempt which upstream was chosen and why the others were not.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain", example = "gentianctl request explain entry-1-19a3-7")]
pub struct ExplainRequest {
    /// request id, as in the X-Request-Id header of the answer
    #[argh(positional)]
    pub id: String,
}

/// Prepare keys of accounts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key", example = "gentianctl key hash < key.txt")]
pub struct KeyOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// Subcommands of `gentianctl key`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Hashes a key from standard input.
    Hash(HashKey),
}

/// Read a bearer key from standard input and print the `key_hash` for its account.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash", example = "gentianctl key hash < key.txt")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct HashKey {}

/// Read and change contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract", example = "gentianctl contract list")]
pub struct ContractOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: ContractCommand,
}

/// Subcommands of `gentianctl contract`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ContractCommand {
    /// Applies a contract from a JSON file.
    Apply(Apply),
    /// Shows one contract.
    Get(GetContract),
    /// Lists the contracts.
    List(List),
    /// Shows what applying a file would change.
    Diff(DiffContract),
    /// Lists recorded changes of contracts.
    History(ContractHistory),
}

/// Show what applying a JSON file would change; standard input for -.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff", example = "gentianctl contract diff mwangaza.json")]
pub struct DiffContract {
    /// the file
    #[argh(positional)]
    pub file: String,
}

/// List the changes of contracts that the state group still keeps, the newest last.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history", example = "gentianctl contract history mwangaza")]
pub struct ContractHistory {
    /// only this customer
    #[argh(positional)]
    pub name: Option<String>,
}

/// Register and read upstreams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream", example = "gentianctl upstream apply upstreams.json")]
pub struct UpstreamOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: UpstreamCommand,
}

/// Subcommands of `gentianctl upstream`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum UpstreamCommand {
    /// Registers the upstreams of a JSON file.
    Apply(Apply),
    /// Lists the upstreams.
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
pub struct GetContract {
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
    /// Returns the addresses of the administration API.
    ///
    /// # Errors
    /// Fails when no address is given, or one is malformed.
    pub fn admin_addresses(&self) -> anyhow::Result<Vec<SocketAddr>> {
        parse_addresses(self.admin.as_deref(), "--admin", "GENTIAN_ADMIN")
    }

    /// Returns the inner addresses of the entry hosts.
    ///
    /// # Errors
    /// Fails when no address is given, or one is malformed.
    pub fn entry_addresses(&self) -> anyhow::Result<Vec<SocketAddr>> {
        parse_addresses(self.entries.as_deref(), "--entries", "GENTIAN_ENTRIES")
    }
}

/// Parses a list of addresses from a flag, or from an environment variable without the flag.
pub(crate) fn parse_addresses(flag: Option<&str>, name: &str, variable: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let text = flag.map(str::to_owned).or_else(|| std::env::var(variable).ok());
    let text = text.unwrap_or_default();
    let list: contract::settings::List<SocketAddr> = text
        .parse()
        .map_err(|error| anyhow::anyhow!("{name} ({variable}): {text} is not allowed ({error}), expected IP:PORT,…"))?;
    anyhow::ensure!(
        !list.0.is_empty(),
        "{name} ({variable}) is not given, expected IP:PORT,…"
    );
    Ok(list.0)
}
