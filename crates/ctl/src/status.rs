//! `gentianctl status`: shows state nodes and entry hosts with the revision that each has in force.

use std::net::SocketAddr;

use serde_json::{Value, json};
use wire::entry::EntryRpcClient;

use crate::admin::{AdminClient, AdminRequest};
use crate::entries::EntryClients;
use crate::exit::Output;

/// Shows the revision and state of every state node and entry host that answers.
///
/// # Errors
/// Fails when the answers can't be written as JSON.
pub fn run(admins: &[SocketAddr], key: &str, entries: &EntryClients, json: bool) -> anyhow::Result<Output> {
    let mut notes = Vec::new();
    let mut states = Vec::new();
    for peer in admins {
        match revision(*peer, key) {
            Ok(revision) => states.push(json!({"admin": peer, "revision": revision})),
            Err(error) => notes.push(error.to_string()),
        }
    }
    let answers = entries.call_all(
        "status",
        &(),
        |client, message| async move { client.status(message).await },
    );
    notes.extend(answers.notes);
    let hosts: Vec<Value> = answers
        .received
        .into_iter()
        .map(|(peer, mut status)| {
            status["inner"] = json!(peer);
            status
        })
        .collect();
    let text = if json {
        serde_json::to_string_pretty(&json!({"state": states, "entries": hosts}))?
    } else {
        table(&states, &hosts)
    };
    Ok(Output::partial(text, notes))
}

/// Reads the revision of the configuration that a state node has in force.
fn revision(peer: SocketAddr, key: &str) -> anyhow::Result<Value> {
    let admin = AdminClient::new(vec![peer], key.to_owned());
    let value = admin.call(&AdminRequest {
        method: "GET",
        path: "/v1/config",
        change_id: None,
        body: "",
    })?;
    Ok(value["revision"].clone())
}

fn table(states: &[Value], hosts: &[Value]) -> String {
    let mut lines = vec![format!("{:<24} {:>9}", "STATE NODE", "REVISION")];
    for state in states {
        lines.push(format!("{:<24} {:>9}", cell(&state["admin"]), cell(&state["revision"])));
    }
    lines.push(String::new());
    lines.push(format!(
        "{:<24} {:<16} {:<12} {:>9} {:>12}  STAGE",
        "ENTRY HOST", "INNER", "DATA CENTRE", "REVISION", "HEARD (ms)"
    ));
    for host in hosts {
        let stage = if host["leaving"] == true { "leaving" } else { "serving" };
        lines.push(format!(
            "{:<24} {:<16} {:<12} {:>9} {:>12}  {stage}",
            cell(&host["node"]),
            cell(&host["inner"]),
            cell(&host["data_center"]),
            cell(&host["revision"]),
            cell(&host["config_age_ms"]),
        ));
    }
    lines.join("\n")
}

/// Renders a value as the text of a table cell.
fn cell(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
