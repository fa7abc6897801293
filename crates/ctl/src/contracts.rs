//! `gentianctl contract`.

use contract::{Contract, Revision};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::admin::{Admin, Ask};
use crate::cli::{Apply, ContractCommand};

/// Carries out a command and gives what is to be printed.
///
/// # Errors
/// Fails when the file is not a contract or the API refuses.
pub fn run(admin: &Admin, command: &ContractCommand, json: bool) -> anyhow::Result<String> {
    match command {
        ContractCommand::Apply(apply) => {
            let contract: Contract = read_file(&apply.file)?;
            contract.validate()?;
            let revision = put(admin, "contracts", contract.customer.as_str(), &contract, apply)?;
            Ok(format!(
                "contract {} is accepted at revision {revision}",
                contract.customer
            ))
        }
        ContractCommand::Get(get) => {
            let path = format!("/v1/contracts/{}", get.name);
            let value = admin.call(&Ask {
                method: "GET",
                path: &path,
                change: None,
                body: "",
            })?;
            Ok(serde_json::to_string_pretty(&value)?)
        }
        ContractCommand::List(_) => {
            let value = admin.call(&Ask {
                method: "GET",
                path: "/v1/contracts",
                change: None,
                body: "",
            })?;
            if json {
                Ok(serde_json::to_string_pretty(&value)?)
            } else {
                table(&value)
            }
        }
    }
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
fn fresh_id() -> String {
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
