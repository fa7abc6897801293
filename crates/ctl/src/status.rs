//! `gentianctl status`.

use std::net::SocketAddr;

use serde_json::{Value, json};
use wire::entry::EntryRpcClient;

use crate::admin::{Admin, Ask};
use crate::entries::Entries;
use crate::exit::Output;

/// Shows every state node and entry host.
///
/// # Errors
/// Fails when the answer can't be written as JSON.
pub fn run(admins: &[SocketAddr], key: &str, entries: &Entries, json: bool) -> anyhow::Result<Output> {
    let mut notes = Vec::new();
    let mut states = Vec::new();
    for peer in admins {
        match revision(*peer, key) {
            Ok(revision) => states.push(json!({"admin": peer, "revision": revision})),
            Err(error) => notes.push(error.to_string()),
        }
    }
    let answers = entries.ask("status", &(), |client, ask| async move { client.status(ask).await });
    notes.extend(answers.notes);
    let hosts: Vec<Value> = answers
        .good
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

fn revision(peer: SocketAddr, key: &str) -> anyhow::Result<Value> {
    let admin = Admin::new(vec![peer], key.to_owned());
    let value = admin.call(&Ask {
        method: "GET",
        path: "/v1/config",
        change: None,
        body: "",
    })?;
    Ok(value["revision"].clone())
}

fn table(states: &[Value], hosts: &[Value]) -> String {
    let mut lines = vec![format!("{:<24} {:>9}", "STATE NODE", "REVISION")];
    for state in states {
        lines.push(format!("{:<24} {:>9}", text(&state["admin"]), text(&state["revision"])));
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
            text(&host["node"]),
            text(&host["inner"]),
            text(&host["data_center"]),
            text(&host["revision"]),
            text(&host["config_age_ms"]),
        ));
    }
    lines.join("\n")
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
