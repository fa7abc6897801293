//! `gentianctl contract`.

use contract::{ChangeId, Contract, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::admin::{Admin, AdminError, Ask};
use crate::cli::{Apply, ContractCommand};
use crate::diff::changes;
use crate::exit::{Ending, Output};

/// A change as the state group records it for operators.
#[derive(Debug, Serialize, Deserialize)]
struct Recorded {
    revision: Revision,
    id: ChangeId,
    operator: String,
    change: String,
    wall_ms: u64,
}

/// Carries out a command and gives what is to be printed.
///
/// # Errors
/// Fails when the file is not a contract or the API refuses.
pub fn run(admin: &Admin, command: &ContractCommand, json: bool) -> anyhow::Result<Output> {
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

fn apply(admin: &Admin, apply: &Apply, json: bool) -> anyhow::Result<String> {
    let contract: Contract = read_file(&apply.file)?;
    contract
        .validate()
        .map_err(|problems| anyhow::anyhow!("{}: {problems}", apply.file))?;
    let revision = put(admin, "contracts", contract.customer.as_str(), &contract, apply)?;
    if json {
        return Ok(json!({"contract": contract.customer, "revision": revision}).to_string());
    }
    Ok(format!(
        "contract {} is accepted at revision {revision}",
        contract.customer
    ))
}

/// Compares a file with the contract in force; a contract that is not there yet is compared with nothing.
fn diff(admin: &Admin, file: &str, json: bool) -> anyhow::Result<Output> {
    let contract: Contract = read_file(file)?;
    contract
        .validate()
        .map_err(|problems| anyhow::anyhow!("{file}: {problems}"))?;
    let answer = match read(admin, &format!("/v1/contracts/{}", contract.customer)) {
        Ok(answer) => answer,
        Err(AdminError::Refused { status: 404, .. }) => json!({"revision": null, "item": {}}),
        Err(error) => return Err(error.into()),
    };
    let lines = changes(&answer["item"], &serde_json::to_value(&contract)?);
    let ending = if lines.is_empty() {
        Ending::Done
    } else {
        Ending::Different
    };
    let text = if json {
        serde_json::to_string_pretty(&json!({"revision": answer["revision"], "changes": lines}))?
    } else if lines.is_empty() {
        format!("contract {} is the same as in the file", contract.customer)
    } else {
        lines.join("\n")
    };
    Ok(Output {
        ending,
        ..Output::from(text)
    })
}

fn history(admin: &Admin, name: Option<&str>, json: bool) -> anyhow::Result<String> {
    let value = read(admin, "/v1/history")?;
    let mut records: Vec<Recorded> = serde_json::from_value(value["item"].clone())?;
    records.retain(|record| {
        let of = record.change.split_once(" contract ").map(|(_, customer)| customer);
        of.is_some_and(|customer| name.is_none_or(|name| customer == name))
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
        let at = utc(record.wall_ms / 1_000);
        format!(
            "{:>8} {at:<20} {operator:<16} {change:<32} {}",
            record.revision.0, record.id
        )
    }));
    Ok(lines.join("\n"))
}

fn read(admin: &Admin, path: &str) -> Result<Value, AdminError> {
    admin.call(&Ask {
        method: "GET",
        path,
        change: None,
        body: "",
    })
}

/// Reads an item from a file, or from standard input for `-`.
pub(crate) fn read_file<T: DeserializeOwned>(file: &str) -> anyhow::Result<T> {
    let text = if file == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| anyhow::anyhow!("read {file}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| anyhow::anyhow!("read {file}: {error}"))
}

/// Puts an item and gives the revision under which it is accepted.
pub(crate) fn put<T: serde::Serialize>(
    admin: &Admin,
    kind: &str,
    name: &str,
    item: &T,
    apply: &Apply,
) -> anyhow::Result<Revision> {
    let base = apply.base.map(|base| format!("?base={base}")).unwrap_or_default();
    let path = format!("/v1/{kind}/{name}{base}");
    let id = apply.change_id.clone().unwrap_or_else(fresh_id);
    let body = serde_json::to_string(item)?;
    let answer = admin.call(&Ask {
        method: "PUT",
        path: &path,
        change: Some(&id),
        body: &body,
    })?;
    Ok(serde_json::from_value(answer["revision"].clone())?)
}

/// Makes an id that no other run of the program makes.
pub(crate) fn fresh_id() -> String {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("ctl-{}-{}", std::process::id(), since.as_nanos())
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

/// Renders seconds since 1970 as a date and time of day.
#[must_use]
pub fn utc(seconds: u64) -> String {
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    // Days are counted from 1 March of the year 0, so that the leap day comes last in a year.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let left = day - (365 * year + year / 4 - year / 100);
    let month = (5 * left + 2) / 153;
    let day = left - (153 * month + 2) / 5 + 1;
    let (month, late) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    let year = era * 400 + year + late;
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}
