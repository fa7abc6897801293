//! `gentianctl host`: lists and drains hosts.

use std::collections::BTreeMap;

use anyhow::Context;
use argh::FromArgs;
use contract::UpstreamSpec;

use crate::admin::{AdminClient, AdminRequest};
use crate::capacity::{fetch_report, host_table, send_change};

/// Look at hosts and drain them.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "host",
    example = "gentianctl host drain host-7",
    note = "Addresses of gentian-capacity are read from GENTIAN_CAPACITY unless --at gives them."
)]
pub struct HostOptions {
    /// addresses for operators of gentian-capacity as IP:PORT,…
    #[argh(option)]
    pub at: Option<String>,
    /// what to do
    #[argh(subcommand)]
    pub command: HostCommand,
}

/// Subcommands of `gentianctl host`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum HostCommand {
    /// Lists hosts.
    List(ListHosts),
    /// Drains a host.
    Drain(DrainHost),
}

/// List the hosts that capacity has started.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct ListHosts {}

/// Send a host nothing new; it finishes what it has. A drain can't be taken back, a host that comes back is a new one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainHost {
    /// the host
    #[argh(positional)]
    pub host: String,
    /// which host of that name, if it has no upstream
    #[argh(option)]
    pub incarnation: Option<u64>,
}

/// Runs a subcommand and returns the text to print.
///
/// # Errors
/// Fails when no process answers, the host is unknown or the API refuses.
pub fn run(
    admin: impl FnOnce() -> anyhow::Result<AdminClient>,
    key: &str,
    options: &HostOptions,
    json: bool,
) -> anyhow::Result<String> {
    match &options.command {
        HostCommand::List(_) => {
            let report = fetch_report(options.at.as_deref(), key)?;
            if json {
                return Ok(serde_json::to_string_pretty(&report["hosts"])?);
            }
            Ok(host_table(&report))
        }
        HostCommand::Drain(drain) => {
            let admin = admin()?;
            let incarnation = match drain.incarnation {
                Some(incarnation) => incarnation,
                None => find_incarnation(&admin, &drain.host)?,
            };
            let path = format!("/v1/drains/{}/{incarnation}", drain.host);
            let revision = send_change(&admin, "PUT", &path, "")?;
            Ok(format!(
                "drain of host {} is accepted at revision {revision}",
                drain.host
            ))
        }
    }
}

/// Finds the latest incarnation of a host that has upstreams.
fn find_incarnation(admin: &AdminClient, host: &str) -> anyhow::Result<u64> {
    let value = admin.call(&AdminRequest {
        method: "GET",
        path: "/v1/upstreams",
        change_id: None,
        body: "",
    })?;
    let specs: BTreeMap<String, UpstreamSpec> = serde_json::from_value(value["item"].clone())?;
    let on_host = specs.values().filter(|spec| spec.host.id.as_str() == host);
    on_host
        .map(|spec| spec.host.incarnation)
        .max()
        .with_context(|| format!("no upstream runs on host {host}; give --incarnation if it is meant all the same"))
}
