//! `gentianctl capacity`: shows the hosts and the plan, and sets operators' rules, which take precedence over the plan.

use std::net::SocketAddr;

use argh::FromArgs;
use contract::{HostClass, HostRule, ModelName, Zone};
use serde_json::{Value, json};

use crate::admin::{AdminClient, AdminRequest};
use crate::cli::parse_addresses;
use crate::contracts::new_change_id;

/// Look at capacity, start it and stop it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "capacity",
    example = "gentianctl capacity plan",
    example = "gentianctl capacity start --model iftar-1 --zone zone-b --class on_demand --hosts 2",
    note = "Addresses of gentian-capacity are read from GENTIAN_CAPACITY unless --at gives them."
)]
pub struct CapacityOptions {
    /// addresses for operators of gentian-capacity as IP:PORT,…
    #[argh(option)]
    pub at: Option<String>,
    /// what to do
    #[argh(subcommand)]
    pub command: CapacityCommand,
}

/// Subcommands of `gentianctl capacity`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CapacityCommand {
    /// Shows the hosts and the rules.
    Show(ShowCapacity),
    /// Shows the steps of the plan.
    Plan(ShowPlan),
    /// Sets the least number of hosts.
    Start(StartHosts),
    /// Sets the largest number of hosts.
    Stop(StopHosts),
    /// Drops a rule.
    Release(ReleaseRule),
}

/// Show the hosts that are held and the rules of operators.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct ShowCapacity {}

/// Show the steps that would be taken now, and take none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct ShowPlan {}

/// Hold at least so many hosts, whatever the plan says.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartHosts {
    /// model that the hosts serve
    #[argh(option)]
    pub model: String,
    /// zone
    #[argh(option)]
    pub zone: String,
    /// class: `reclaimable` or `on_demand`
    #[argh(option)]
    pub class: String,
    /// hosts that are held at least
    #[argh(option)]
    pub hosts: u32,
}

/// Hold at most so many hosts, whatever the plan says; the others are drained, then stopped.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct StopHosts {
    /// model that the hosts serve
    #[argh(option)]
    pub model: String,
    /// zone
    #[argh(option)]
    pub zone: String,
    /// class: `reclaimable` or `on_demand`
    #[argh(option)]
    pub class: String,
    /// hosts that are held at most
    #[argh(option, default = "0")]
    pub hosts: u32,
}

/// Leave a zone and class of a model to the plan again.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "release",
    example = "gentianctl capacity release iftar-1/zone-b/on_demand"
)]
pub struct ReleaseRule {
    /// the rule as MODEL/ZONE/CLASS
    #[argh(positional)]
    pub rule: String,
}

/// Largest number of hosts in a rule that only sets the least number.
const MAX_HOSTS: u32 = 10_000;

/// Runs a subcommand and returns the text to print.
///
/// # Errors
/// Fails when an address is missing, no process answers or the API refuses.
pub fn run(
    admin: impl FnOnce() -> anyhow::Result<AdminClient>,
    key: &str,
    options: &CapacityOptions,
    json: bool,
) -> anyhow::Result<String> {
    match &options.command {
        CapacityCommand::Show(_) => show(&admin()?, &fetch_report(options.at.as_deref(), key)?, json),
        CapacityCommand::Plan(_) => show_plan(&fetch_report(options.at.as_deref(), key)?, json),
        CapacityCommand::Start(args) => put_rule(
            &admin()?,
            &parse_rule(&args.model, &args.zone, &args.class, args.hosts, MAX_HOSTS)?,
        ),
        CapacityCommand::Stop(args) => put_rule(
            &admin()?,
            &parse_rule(&args.model, &args.zone, &args.class, 0, args.hosts)?,
        ),
        CapacityCommand::Release(args) => {
            let path = format!("/v1/rules/{}", args.rule);
            send_change(&admin()?, "DELETE", &path, "")?;
            Ok(format!("rule {} is dropped; the plan decides again", args.rule))
        }
    }
}

/// Reads the report of the process that holds the lease; if none does, of the last process that answered.
///
/// # Errors
/// Fails when no process answers.
pub fn fetch_report(at: Option<&str>, key: &str) -> anyhow::Result<Value> {
    let mut fallback = Err(anyhow::anyhow!("no process of capacity was asked"));
    for peer in parse_addresses(at, "--at", "GENTIAN_CAPACITY")? {
        match fetch_from(peer, key) {
            Ok(report) if report["active"] == true => return Ok(report),
            Ok(report) => fallback = Ok(report),
            Err(error) if fallback.is_err() => fallback = Err(error),
            Err(_) => {}
        }
    }
    fallback
}

/// Reads the report of one process.
fn fetch_from(peer: SocketAddr, key: &str) -> anyhow::Result<Value> {
    let admin = AdminClient::new(vec![peer], key.to_owned());
    let request = AdminRequest {
        method: "GET",
        path: "/v1/capacity",
        change_id: None,
        body: "",
    };
    Ok(admin.call(&request)?)
}

/// Builds a rule from the options and validates it.
fn parse_rule(model: &str, zone: &str, class: &str, least: u32, most: u32) -> anyhow::Result<HostRule> {
    let class = match class {
        "reclaimable" => HostClass::Reclaimable,
        "on_demand" => HostClass::OnDemand,
        _ => anyhow::bail!("--class: {class} is not allowed, expected reclaimable or on_demand"),
    };
    let rule = HostRule {
        model: ModelName::from(model),
        zone: Zone::from(zone),
        class,
        least,
        most,
    };
    rule.validate()?;
    Ok(rule)
}

fn put_rule(admin: &AdminClient, rule: &HostRule) -> anyhow::Result<String> {
    let revision = send_change(admin, "PUT", "/v1/rules", &serde_json::to_string(rule)?)?;
    Ok(format!("rule {rule} is accepted at revision {revision}"))
}

/// Sends a change with a new id, so that trying one node after the other applies it only once, and returns its
/// revision.
pub(crate) fn send_change(admin: &AdminClient, method: &str, path: &str, body: &str) -> anyhow::Result<Value> {
    let id = new_change_id();
    let value = admin.call(&AdminRequest {
        method,
        path,
        change_id: Some(&id),
        body,
    })?;
    Ok(value["revision"].clone())
}

fn show(admin: &AdminClient, report: &Value, json: bool) -> anyhow::Result<String> {
    let rules = admin.call(&AdminRequest {
        method: "GET",
        path: "/v1/rules",
        change_id: None,
        body: "",
    })?;
    if json {
        let value = json!({"capacity": report, "rules": rules["item"]});
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let mut lines = vec![summary(report), host_table(report)];
    let rules = rules["item"].as_object().into_iter().flatten();
    lines.extend(rules.map(|(key, rule)| format!("rule {key}: {} to {} hosts", rule["least"], rule["most"])));
    Ok(lines.join("\n"))
}

fn show_plan(report: &Value, json: bool) -> anyhow::Result<String> {
    if json {
        return Ok(serde_json::to_string_pretty(&report["plan"])?);
    }
    let steps: Vec<&str> = report["plan"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let steps = if steps.is_empty() {
        "nothing to do".to_owned()
    } else {
        steps.join("\n")
    };
    Ok(format!("{}\n{steps}", summary(report)))
}

/// Renders whether the process holds the lease and reaches the cloud API.
fn summary(report: &Value) -> String {
    let lease = if report["active"] == true {
        format!("acts under lease {}", report["token"])
    } else {
        "does not hold the lease".to_owned()
    };
    let cloud = if report["cloud"] == true {
        "the cloud API answers"
    } else {
        "the cloud API does not answer; the hosts are those last seen"
    };
    format!("capacity {lease}; {cloud}")
}

/// Renders the hosts of a report as a table.
#[must_use]
pub fn host_table(report: &Value) -> String {
    let mut lines = vec![format!(
        "{:<14} {:>4} {:<16} {:<12} {:<12} {:>8} {:>6}  STAGE",
        "HOST", "INC", "MODEL", "ZONE", "CLASS", "PRICE", "BUSY"
    )];
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    for host in report["hosts"].as_array().into_iter().flatten() {
        lines.push(format!(
            "{:<14} {:>4} {:<16} {:<12} {:<12} {:>8} {:>6}  {}",
            text(&host["host"]),
            text(&host["incarnation"]),
            text(&host["model"]),
            text(&host["zone"]),
            text(&host["class"]),
            text(&host["price"]),
            text(&host["busy"]),
            text(&host["stage"]),
        ));
    }
    lines.join("\n")
}
