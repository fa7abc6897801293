//! `gentianctl state`: members of the state group, replacement of lost disks, and the offline check of a data folder.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Deserialize;
use serde_json::{Value, json};
use state::disk;

use crate::admin::{Admin, Ask};

/// Look after the state group and its disks.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "state")]
pub struct StateOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: StateCommand,
}

/// What to do with the state group.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StateCommand {
    /// Members.
    Members(Members),
    /// Replace.
    Replace(Replace),
    /// Check.
    Check(Check),
}

/// List the members and the blank disks that have announced themselves.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members", example = "gentianctl state members")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct Members {}

/// Put a blank disk in the place of a member whose disk is lost.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "replace",
    example = "gentianctl state replace state-2",
    example = "gentianctl state replace state-2 --by state-4"
)]
pub struct Replace {
    /// name of the member
    #[argh(positional)]
    pub node: String,
    /// name of the node that takes its place; the same name when left out
    #[argh(option)]
    pub by: Option<String>,
}

/// Verify a data folder without changing it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "gentianctl state check /var/lib/gentian",
    note = "Stop the node first: a write under way looks like a torn end."
)]
pub struct Check {
    /// the folder
    #[argh(positional)]
    pub folder: PathBuf,
}

#[derive(Debug, Deserialize)]
struct Row {
    id: String,
    node: String,
    address: String,
    #[serde(default)]
    votes: bool,
    #[serde(default)]
    leads: bool,
    replaces: Option<String>,
}

/// Carries out a command and gives what is to be printed.
///
/// # Errors
/// Fails when the API refuses or the folder is damaged.
pub fn run(
    admin: impl FnOnce() -> anyhow::Result<Admin>,
    command: &StateCommand,
    json: bool,
) -> anyhow::Result<String> {
    match command {
        StateCommand::Members(_) => members(&admin()?, json),
        StateCommand::Replace(replace) => begin(&admin()?, replace),
        StateCommand::Check(check) => verify(check, json),
    }
}

fn members(admin: &Admin, json: bool) -> anyhow::Result<String> {
    let value = admin.call(&Ask {
        method: "GET",
        path: "/v1/members",
        change: None,
        body: "",
    })?;
    if json {
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let rows = |kind: &str| serde_json::from_value::<Vec<Row>>(value["item"][kind].clone());
    let mut lines = vec![format!("{:<20} {:<22} {:<16} ROLE", "NODE", "ADDRESS", "DISK")];
    lines.extend(rows("members")?.iter().map(|row| line(row, role(row))));
    let blank = "blank, see gentianctl state replace".to_owned();
    lines.extend(rows("blank")?.iter().map(|row| line(row, blank.clone())));
    Ok(lines.join("\n"))
}

fn role(row: &Row) -> String {
    let role = match (row.leads, row.votes) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "learner",
    };
    match &row.replaces {
        Some(old) => format!("{role}, replaces {old}"),
        None => role.to_owned(),
    }
}

fn line(row: &Row, role: String) -> String {
    format!("{:<20} {:<22} {:<16} {role}", row.node, row.address, row.id)
}

fn begin(admin: &Admin, replace: &Replace) -> anyhow::Result<String> {
    let body = json!({"old": replace.node, "new": replace.by}).to_string();
    let value: Value = admin.call(&Ask {
        method: "POST",
        path: "/v1/members/replace",
        change: None,
        body: &body,
    })?;
    let (old, new) = (&value["replacing"]["old"], &value["replacing"]["new"]);
    Ok(format!(
        "disk {} takes the place of {}; gentianctl state members shows when it votes",
        new.as_str().unwrap_or_default(),
        old.as_str().unwrap_or_default()
    ))
}

fn verify(check: &Check, json: bool) -> anyhow::Result<String> {
    let report = disk::check_folder(&check.folder)?;
    let id = report.id.map_or_else(|| "blank".to_owned(), |id| id.to_string());
    if json {
        let value = json!({
            "disk": id,
            "term": report.hard_state.term.0,
            "snapshot": report.snapshot.index.0,
            "snapshot_bytes": report.snapshot_bytes,
            "segments": report.segments,
            "records": report.records,
            "last": report.log_end.index.0,
            "torn_bytes": report.torn_bytes,
        });
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    Ok(format!(
        "sound: disk {id}, term {}, snapshot at {} ({} bytes), {} records in {} segments, last {}, {} torn bytes at the end",
        report.hard_state.term,
        report.snapshot,
        report.snapshot_bytes,
        report.records,
        report.segments,
        report.log_end,
        report.torn_bytes
    ))
}
