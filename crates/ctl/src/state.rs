//! `gentianctl state`: lists the members of the state group, replaces lost disks, and checks a data folder offline.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Deserialize;
use serde_json::{Value, json};
use state::disk;

use crate::admin::{AdminClient, AdminRequest};

/// Look after the state group and its disks.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "state")]
pub struct StateOptions {
    /// what to do
    #[argh(subcommand)]
    pub command: StateCommand,
}

/// Subcommands of `gentianctl state`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StateCommand {
    /// Lists members and blank disks.
    Members(Members),
    /// Replaces a member whose disk is lost.
    Replace(Replace),
    /// Verifies a data folder.
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

/// A member of the state group, or a blank disk that has announced itself.
#[derive(Debug, Deserialize)]
struct MemberRow {
    id: String,
    node: String,
    address: String,
    #[serde(default)]
    votes: bool,
    #[serde(default)]
    leads: bool,
    replaces: Option<String>,
}

/// Runs a subcommand and returns the text to print.
///
/// # Errors
/// Fails when the API refuses or the folder is damaged.
pub fn run(
    admin: impl FnOnce() -> anyhow::Result<AdminClient>,
    command: &StateCommand,
    json: bool,
) -> anyhow::Result<String> {
    match command {
        StateCommand::Members(_) => members(&admin()?, json),
        StateCommand::Replace(replace) => replace_disk(&admin()?, replace),
        StateCommand::Check(check) => check_folder(check, json),
    }
}

fn members(admin: &AdminClient, json: bool) -> anyhow::Result<String> {
    let value = admin.call(&AdminRequest {
        method: "GET",
        path: "/v1/members",
        change_id: None,
        body: "",
    })?;
    if json {
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let rows = |kind: &str| serde_json::from_value::<Vec<MemberRow>>(value["item"][kind].clone());
    let mut lines = vec![format!("{:<20} {:<22} {:<16} ROLE", "NODE", "ADDRESS", "DISK")];
    lines.extend(rows("members")?.iter().map(|row| table_row(row, role(row))));
    let blank = "blank, see gentianctl state replace".to_owned();
    lines.extend(rows("blank")?.iter().map(|row| table_row(row, blank.clone())));
    Ok(lines.join("\n"))
}

fn role(row: &MemberRow) -> String {
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

fn table_row(row: &MemberRow, role: String) -> String {
    format!("{:<20} {:<22} {:<16} {role}", row.node, row.address, row.id)
}

/// Asks the state group to replace a member's disk by a blank one.
fn replace_disk(admin: &AdminClient, replace: &Replace) -> anyhow::Result<String> {
    let body = json!({"old": replace.node, "new": replace.by}).to_string();
    let value: Value = admin.call(&AdminRequest {
        method: "POST",
        path: "/v1/members/replace",
        change_id: None,
        body: &body,
    })?;
    let (old, new) = (&value["replacing"]["old"], &value["replacing"]["new"]);
    Ok(format!(
        "disk {} takes the place of {}; gentianctl state members shows when it votes",
        new.as_str().unwrap_or_default(),
        old.as_str().unwrap_or_default()
    ))
}

/// Verifies a data folder on this machine.
fn check_folder(check: &Check, json: bool) -> anyhow::Result<String> {
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
