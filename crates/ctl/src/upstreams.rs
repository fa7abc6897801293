//! `gentianctl upstream`: registers and lists upstreams.

use std::collections::BTreeMap;

use contract::{UpstreamKind, UpstreamSpec};

use crate::admin::{AdminClient, AdminRequest};
use crate::cli::UpstreamCommand;
use crate::contracts::{put_item, read_json};

/// Runs a subcommand and returns the text to print.
///
/// # Errors
/// Fails when the file is not a list of upstreams or the API refuses.
pub fn run(admin: &AdminClient, command: &UpstreamCommand, json: bool) -> anyhow::Result<String> {
    match command {
        UpstreamCommand::Apply(apply) => {
            let specs: Vec<UpstreamSpec> = read_json(&apply.file)?;
            let mut lines = Vec::new();
            for spec in &specs {
                spec.validate()?;
                let revision = put_item(admin, "upstreams", spec.id.as_str(), spec, apply)?;
                lines.push(format!("upstream {} is accepted at revision {revision}", spec.id));
            }
            Ok(lines.join("\n"))
        }
        UpstreamCommand::List(_) => {
            let value = admin.call(&AdminRequest {
                method: "GET",
                path: "/v1/upstreams",
                change_id: None,
                body: "",
            })?;
            if json {
                return Ok(serde_json::to_string_pretty(&value)?);
            }
            let specs: BTreeMap<String, UpstreamSpec> = serde_json::from_value(value["item"].clone())?;
            let mut lines = vec![format!(
                "{:<20} {:<24} {:<22} {:<12} ZONE",
                "UPSTREAM", "SERVES", "ADDRESS", "HOST"
            )];
            lines.extend(specs.values().map(table_row));
            Ok(lines.join("\n"))
        }
    }
}

/// Renders one upstream as a row of the table.
fn table_row(spec: &UpstreamSpec) -> String {
    let serves = match &spec.kind {
        UpstreamKind::Engine { model, .. } => format!("model {model}"),
        UpstreamKind::Service { service, .. } => format!("service {service}"),
    };
    let address = spec.address.to_string();
    let (id, host, zone) = (spec.id.as_str(), spec.host.id.as_str(), spec.host.zone.as_str());
    format!("{id:<20} {serves:<24} {address:<22} {host:<12} {zone}")
}
