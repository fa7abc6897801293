//! `gentianctl capacity`: what is held, what the plan would do, and rules that go before the plan.

use std::net::SocketAddr;

use argh::FromArgs;
use contract::{HostClass, HostRule, ModelName, Zone};
use serde_json::{Value, json};

use crate::admin::{Admin, Ask};
use crate::cli::listed;
use crate::contracts::fresh_id;

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

/// What to do with capacity.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CapacityCommand {
    /// Show.
    Show(Held),
    /// Plan.
    Plan(Plan),
    /// Start.
    Start(Start),
    /// Stop.
    Stop(Stop),
    /// Release.
    Release(Release),
}

/// Show the hosts that are held and the rules of operators.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct Held {}

/// Show the steps that would be taken now, and take none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the derive of argh asks for named fields"
)]
pub struct Plan {}

/// Hold at least so many hosts, whatever the plan says.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct Start {
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
pub struct Stop {
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
pub struct Release {
    /// the rule as MODEL/ZONE/CLASS
    #[argh(positional)]
    pub rule: String,
}

/// Most hosts of a rule that only says how many are held at least.
const MANY: u32 = 10_000;

/// Carries out a command and gives what is to be printed.
///
/// # Errors
/// Fails when an address is missing, nobody answers or the API refuses.
pub fn run(
    admin: impl FnOnce() -> anyhow::Result<Admin>,
    key: &str,
    options: &CapacityOptions,
    json: bool,
) -> anyhow::Result<String> {
    match &options.command {
        CapacityCommand::Show(_) => show(&admin()?, &report(options.at.as_deref(), key)?, json),
        CapacityCommand::Plan(_) => plan(&report(options.at.as_deref(), key)?, json),
        CapacityCommand::Start(ask) => put(&admin()?, &rule(&ask.model, &ask.zone, &ask.class, ask.hosts, MANY)?),
        CapacityCommand::Stop(ask) => put(&admin()?, &rule(&ask.model, &ask.zone, &ask.class, 0, ask.hosts)?),
        CapacityCommand::Release(ask) => {
            let path = format!("/v1/rules/{}", ask.rule);
            change(&admin()?, "DELETE", &path, "")?;
            Ok(format!("rule {} is dropped; the plan decides again", ask.rule))
        }
    }
}

/// Reads the report of the process that holds the lease, or of any other when none says so.
///
/// # Errors
/// Fails when no process answers.
pub fn report(at: Option<&str>, key: &str) -> anyhow::Result<Value> {
    let mut last = Err(anyhow::anyhow!("no process of capacity was asked"));
    for peer in listed(at, "--at", "GENTIAN_CAPACITY")? {
        match read(peer, key) {
            Ok(report) if report["active"] == true => return Ok(report),
            Ok(report) => last = Ok(report),
            Err(error) if last.is_err() => last = Err(error),
            Err(_) => {}
        }
    }
    last
}

fn read(peer: SocketAddr, key: &str) -> anyhow::Result<Value> {
    let admin = Admin::new(vec![peer], key.to_owned());
    let ask = Ask {
        method: "GET",
        path: "/v1/capacity",
        change: None,
        body: "",
    };
    Ok(admin.call(&ask)?)
}

fn rule(model: &str, zone: &str, class: &str, least: u32, most: u32) -> anyhow::Result<HostRule> {
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

fn put(admin: &Admin, rule: &HostRule) -> anyhow::Result<String> {
    let revision = change(admin, "PUT", "/v1/rules", &serde_json::to_string(rule)?)?;
    Ok(format!("rule {rule} is accepted at revision {revision}"))
}

/// Makes a change; its id is fresh, so that trying one node after the other applies it once.
pub(crate) fn change(admin: &Admin, method: &str, path: &str, body: &str) -> anyhow::Result<Value> {
    let id = fresh_id();
    let value = admin.call(&Ask {
        method,
        path,
        change: Some(&id),
        body,
    })?;
    Ok(value["revision"].clone())
}

fn show(admin: &Admin, report: &Value, json: bool) -> anyhow::Result<String> {
    let rules = admin.call(&Ask {
        method: "GET",
        path: "/v1/rules",
        change: None,
        body: "",
    })?;
    if json {
        let value = json!({"capacity": report, "rules": rules["item"]});
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let mut lines = vec![state(report), table(report)];
    let rules = rules["item"].as_object().into_iter().flatten();
    lines.extend(rules.map(|(key, rule)| format!("rule {key}: {} to {} hosts", rule["least"], rule["most"])));
    Ok(lines.join("\n"))
}

fn plan(report: &Value, json: bool) -> anyhow::Result<String> {
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
    Ok(format!("{}\n{steps}", state(report)))
}

fn state(report: &Value) -> String {
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

/// Renders the hosts of a report.
#[must_use]
pub fn table(report: &Value) -> String {
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
