//! `gentianctl contract`: applies, shows, lists and compares contracts, and lists their recorded changes.

use contract::{ChangeId, Contract, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::admin::{AdminClient, AdminError, AdminRequest};
use crate::cli::{Apply, ContractCommand};
use crate::diff::list_changes;
use crate::exit::{ExitStatus, Output};

/// An accepted change, as the state group keeps it in its history.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedChange {
    revision: Revision,
    id: ChangeId,
    operator: String,
    /// Description of the change; for contracts, it ends in ` contract ` and the customer.
    change: String,
    wall_ms: u64,
}

/// Runs a subcommand and returns the text to print.
///
/// # Errors
/// Fails when the file is not a contract or the API refuses.
pub fn run(admin: &AdminClient, command: &ContractCommand, json: bool) -> anyhow::Result<Output> {
    match command {
        ContractCommand::Apply(apply) => self::apply(admin, apply, json).map(Output::from),
        ContractCommand::Get(get) => {
            let value = read(admin, &format!("/v1/contracts/{}", get.name))?;
            Ok(serde_json::to_string_pretty(&value)?.into())
        }
        ContractCommand::List(_) => {
            let value = read(admin, "/v1/contracts")?;
            let text = if json {
                serde_json::to_string_pretty(&value)?
            } else {
                table(&value)?
            };
            Ok(text.into())
        }
        ContractCommand::Diff(diff) => self::diff(admin, &diff.file, json),
        ContractCommand::History(history) => self::history(admin, history.name.as_deref(), json).map(Output::from),
    }
}

fn apply(admin: &AdminClient, apply: &Apply, json: bool) -> anyhow::Result<String> {
    let contract: Contract = read_json(&apply.file)?;
    contract
        .validate()
        .map_err(|problems| anyhow::anyhow!("{}: {problems}", apply.file))?;
    let revision = put_item(admin, "contracts", contract.customer.as_str(), &contract, apply)?;
    if json {
        return Ok(json!({"contract": contract.customer, "revision": revision}).to_string());
    }
    Ok(format!(
        "contract {} is accepted at revision {revision}",
        contract.customer
    ))
}

/// Compares a file with the contract in force; a contract that doesn't exist yet is compared with an empty one.
fn diff(admin: &AdminClient, file: &str, json: bool) -> anyhow::Result<Output> {
    let contract: Contract = read_json(file)?;
    contract
        .validate()
        .map_err(|problems| anyhow::anyhow!("{file}: {problems}"))?;
    let answer = match read(admin, &format!("/v1/contracts/{}", contract.customer)) {
        Ok(answer) => answer,
        Err(AdminError::Refused { status: 404, .. }) => json!({"revision": null, "item": {}}),
        Err(error) => return Err(error.into()),
    };
    let lines = list_changes(&answer["item"], &serde_json::to_value(&contract)?);
    let status = if lines.is_empty() {
        ExitStatus::Complete
    } else {
        ExitStatus::Different
    };
    let text = if json {
        serde_json::to_string_pretty(&json!({"revision": answer["revision"], "changes": lines}))?
    } else if lines.is_empty() {
        format!("contract {} is the same as in the file", contract.customer)
    } else {
        lines.join("\n")
    };
    Ok(Output {
        status,
        ..Output::from(text)
    })
}

/// Lists the recorded changes of contracts, or of one customer's contract.
fn history(admin: &AdminClient, name: Option<&str>, json: bool) -> anyhow::Result<String> {
    let value = read(admin, "/v1/history")?;
    let mut records: Vec<RecordedChange> = serde_json::from_value(value["item"].clone())?;
    records.retain(|record| {
        let changed = record.change.split_once(" contract ").map(|(_, customer)| customer);
        changed.is_some_and(|customer| name.is_none_or(|name| customer == name))
    });
    if json {
        return Ok(serde_json::to_string_pretty(&records)?);
    }
    let mut lines = vec![format!(
        "{:>8} {:<20} {:<16} {:<32} CHANGE ID",
        "REVISION", "AT (UTC)", "OPERATOR", "CHANGE"
    )];
    lines.extend(records.iter().map(|record| {
        let (operator, change) = (&record.operator, &record.change);
        let at = format_utc(record.wall_ms / 1_000);
        format!(
            "{:>8} {at:<20} {operator:<16} {change:<32} {}",
            record.revision.0, record.id
        )
    }));
    Ok(lines.join("\n"))
}

/// Sends a GET request.
fn read(admin: &AdminClient, path: &str) -> Result<Value, AdminError> {
    admin.call(&AdminRequest {
        method: "GET",
        path,
        change_id: None,
        body: "",
    })
}

/// Reads an item from a file, or from standard input for `-`.
pub(crate) fn read_json<T: DeserializeOwned>(file: &str) -> anyhow::Result<T> {
    let text = if file == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| anyhow::anyhow!("read {file}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| anyhow::anyhow!("read {file}: {error}"))
}

/// Puts an item and returns the revision at which it is accepted.
pub(crate) fn put_item<T: serde::Serialize>(
    admin: &AdminClient,
    kind: &str,
    name: &str,
    item: &T,
    apply: &Apply,
) -> anyhow::Result<Revision> {
    let base = apply.base.map(|base| format!("?base={base}")).unwrap_or_default();
    let path = format!("/v1/{kind}/{name}{base}");
    let id = apply.change_id.clone().unwrap_or_else(new_change_id);
    let body = serde_json::to_string(item)?;
    let answer = admin.call(&AdminRequest {
        method: "PUT",
        path: &path,
        change_id: Some(&id),
        body: &body,
    })?;
    Ok(serde_json::from_value(answer["revision"].clone())?)
}

/// Creates the id of a change; no other run of the program creates the same.
pub(crate) fn new_change_id() -> String {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("ctl-{}-{}", std::process::id(), since_epoch.as_nanos())
}

fn table(value: &Value) -> anyhow::Result<String> {
    let contracts: std::collections::BTreeMap<String, Contract> = serde_json::from_value(value["item"].clone())?;
    let mut lines = vec![format!(
        "{:<24} {:>6} {:>9} {:>8}",
        "CUSTOMER", "SHARE", "ACCOUNTS", "CLASSES"
    )];
    lines.extend(contracts.values().map(|contract| {
        let (accounts, classes) = (contract.accounts.len(), contract.classes.len());
        format!(
            "{:<24} {:>6} {accounts:>9} {classes:>8}",
            contract.customer.as_str(),
            contract.share
        )
    }));
    Ok(lines.join("\n"))
}

/// Renders seconds since 1970 as date and time in UTC.
#[must_use]
pub fn format_utc(seconds: u64) -> String {
    let (days, second_of_day) = (seconds / 86_400, seconds % 86_400);
    // Days are counted from 1 March of the year 0, so that the leap day is the last day of a year. An era is 400 years,
    // after which the calendar repeats.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let (month, next_year) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    let year = era * 400 + year + next_year;
    let (hour, minute, second) = (second_of_day / 3_600, second_of_day / 60 % 60, second_of_day % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}
