//! The system under trial: state group, entry hosts, capacity and the cloud stand-in, all as processes on loopback.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use contract::{Contract, UpstreamSpec};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{Value, json};
use ureq::Agent;

use super::fleet::{Fleet, ZONES};
use super::process::{Place, Process, free_address};
use crate::workload::Plan;

const OPERATOR_KEY: &str = "trial-operator-key-0001";
const STATES: usize = 3;
/// Longest wait for a process to become ready or to stop.
const PATIENCE: Duration = Duration::from_secs(15);
const STEP: Duration = Duration::from_millis(20);

/// How the system is set.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Value of `--routing`.
    pub routing: &'static str,
    /// Mechanisms that are switched off.
    pub without: Vec<String>,
}

/// An entry host.
#[derive(Debug)]
struct Entry {
    args: Vec<String>,
    callers: SocketAddr,
    ops: SocketAddr,
    process: Option<Process>,
    stopping: bool,
}

/// Everything that runs.
#[derive(Debug)]
pub struct System {
    place: Place,
    agent: Agent,
    admins: Vec<SocketAddr>,
    cloud: SocketAddr,
    entries: Vec<Entry>,
    changes: u64,
    /// Hosts with engines and services.
    pub fleet: Fleet,
    /// Kept only so that they are stopped when the system is dropped.
    others: Vec<Process>,
}

impl System {
    /// Starts everything and waits until each entry host has the whole configuration.
    ///
    /// # Errors
    /// Fails when a process doesn't start or become ready.
    pub fn start(place: &Place, plan: &Plan, choice: &Choice) -> anyhow::Result<Self> {
        let mut others = Vec::new();
        let inner: Vec<SocketAddr> = (0..STATES).map(|_| free_address()).collect();
        let admins: Vec<SocketAddr> = (0..STATES).map(|_| free_address()).collect();
        let group = listed(&inner);
        for at in 0..STATES {
            others.push(start_state(place, at, &group, inner[at], admins[at])?);
        }
        let mut cloud = place.start("cloud", "gentian-standin", &args(&["cloud"]))?;
        let fleet = Fleet::start(place, plan)?;
        let cloud_address = cloud.address()?;
        others.push(cloud);
        let peers: Vec<SocketAddr> = (0..ZONES).map(|_| free_address()).collect();
        let mut system = Self {
            place: place.clone(),
            agent: agent(),
            admins,
            cloud: cloud_address,
            entries: entries(&peers, &group, choice),
            changes: 0,
            fleet,
            others: Vec::new(),
        };
        system.register_all(&plan.contract)?;
        for at in 0..system.entries.len() {
            system.start_entry(at)?;
        }
        let capacity = [
            "--node",
            "capacity-1",
            "--cloud",
            &cloud_address.to_string(),
            "--state",
            &group,
            "--entries",
            &listed(&peers),
        ];
        others.push(place.start("capacity", "gentian-capacity", &args(&capacity))?);
        system.others = others;
        system.wait_ready()?;
        Ok(system)
    }

    /// Gives the addresses for callers and for health checks of each entry host.
    #[must_use]
    pub fn doors(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.entries.iter().map(|entry| (entry.callers, entry.ops)).collect()
    }

    /// Announces that a zone's hosts will be taken away.
    ///
    /// # Errors
    /// Fails when the cloud stand-in doesn't answer.
    pub fn announce(&self, zone: &str, notice: Duration) -> anyhow::Result<()> {
        let body = json!({"zone": zone, "notice_ms": notice.as_millis() as u64});
        let url = format!("http://{}/_standin/reclaim", self.cloud);
        self.agent.post(url).send_json(body).context("announce a reclaim")?;
        Ok(())
    }

    /// Brings a member back on a new host and registers it.
    ///
    /// # Errors
    /// Fails when the cloud or the state group refuses.
    pub fn bring_back(&mut self, at: usize) -> anyhow::Result<()> {
        let incarnation = self.start_host(at)?;
        self.fleet.restart(at, incarnation)?;
        self.register(at)
    }

    /// Tells an entry host to stop; [`System::tend`] starts it again as soon as it has.
    ///
    /// # Errors
    /// Fails when it doesn't run.
    pub fn stop_entry(&mut self, at: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[at];
        let process = entry.process.as_ref().context("an entry host that runs")?;
        process.signal(Signal::TERM)?;
        entry.stopping = true;
        Ok(())
    }

    /// Starts entry hosts again that have stopped as they were told.
    ///
    /// # Errors
    /// Fails when one has not stopped cleanly.
    pub fn tend(&mut self) -> anyhow::Result<()> {
        for at in 0..self.entries.len() {
            let entry = &mut self.entries[at];
            let stopping = entry.process.as_mut().filter(|_| entry.stopping);
            let Some(status) = stopping.map_or(Ok(None), Process::ended)? else {
                continue;
            };
            ensure!(status.success(), "entry host {} stopped with {status}", at + 1);
            entry.stopping = false;
            self.start_entry(at)?;
        }
        Ok(())
    }

    fn start_entry(&mut self, at: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[at];
        entry.process = Some(
            self.place
                .start(&format!("entry-{}", at + 1), "gentian-entry", &entry.args)?,
        );
        Ok(())
    }

    fn register_all(&mut self, contract: &Contract) -> anyhow::Result<()> {
        let name = contract.customer.to_string();
        self.put(&format!("contracts/{name}"), contract)?;
        for at in 0..self.fleet.members.len() {
            self.start_host(at)?;
            self.register(at)?;
        }
        Ok(())
    }

    fn start_host(&self, at: usize) -> anyhow::Result<u64> {
        let host = &self.fleet.members[at].spec.host;
        let body = json!({"id": host.id, "zone": host.zone, "class": host.class, "price": host.price});
        let url = format!("http://{}/v1/hosts", self.cloud);
        let mut answer = self.agent.post(url).send_json(body).context("start a host")?;
        let host: Value = answer.body_mut().read_json().context("start a host")?;
        host["incarnation"].as_u64().context("the incarnation of a host")
    }

    fn register(&mut self, at: usize) -> anyhow::Result<()> {
        let spec: UpstreamSpec = self.fleet.members[at].spec.clone();
        self.put(&format!("upstreams/{}", spec.id), &spec)
    }

    /// Puts an item, asking one node after the other until one decides.
    fn put(&mut self, path: &str, item: &impl Serialize) -> anyhow::Result<()> {
        self.changes += 1;
        let id = format!("trial-{}", self.changes);
        let until = Instant::now() + PATIENCE;
        let mut last = String::new();
        while Instant::now() < until {
            for admin in &self.admins {
                let answer = self
                    .agent
                    .put(format!("http://{admin}/v1/{path}"))
                    .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
                    .header("Change-Id", &id)
                    .send_json(item);
                match answer {
                    Ok(_) => return Ok(()),
                    Err(ureq::Error::StatusCode(status)) if status != 503 => {
                        bail!("put {path} at {admin}: status {status}")
                    }
                    Err(error) => last = error.to_string(),
                }
            }
            std::thread::sleep(STEP);
        }
        bail!("put {path}: no node decided it: {last}")
    }

    fn wait_ready(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + PATIENCE;
        for at in 0..self.entries.len() {
            let ops = self.entries[at].ops;
            while self.revision(ops).is_none_or(|revision| revision < self.changes) {
                let ended = self.entries[at].process.as_mut().map_or(Ok(None), Process::ended)?;
                if let Some(status) = ended {
                    bail!("entry host {} ended with {status}; its log says why", at + 1);
                }
                ensure!(
                    Instant::now() < until,
                    "entry host {} has no whole configuration",
                    at + 1
                );
                std::thread::sleep(STEP);
            }
        }
        // Load reports come a few times a second; the first ones are part of the start.
        std::thread::sleep(Duration::from_millis(500));
        Ok(())
    }

    fn revision(&self, ops: SocketAddr) -> Option<u64> {
        let text = self.agent.get(format!("http://{ops}/metrics")).call().ok()?;
        let text = text.into_body().read_to_string().ok()?;
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix("gentian_config_revision "))?;
        value.parse::<f64>().ok().map(|revision| revision as u64)
    }
}

fn start_state(place: &Place, at: usize, group: &str, inner: SocketAddr, admin: SocketAddr) -> anyhow::Result<Process> {
    let name = format!("state-{}", at + 1);
    let data = place.file(&name).display().to_string();
    let (inner, admin) = (inner.to_string(), admin.to_string());
    let flags = [
        "--node",
        &name,
        "--peers",
        group,
        "--listen",
        &inner,
        "--admin",
        &admin,
        "--data",
        &data,
        "--operator-key",
        OPERATOR_KEY,
    ];
    place.start(&name, "gentian-state", &args(&flags))
}

fn entries(peers: &[SocketAddr], group: &str, choice: &Choice) -> Vec<Entry> {
    let all = listed(peers);
    let rows = peers.iter().enumerate().map(|(at, inner)| {
        let (callers, ops) = (free_address(), free_address());
        let mut flags = args(&[
            "--node",
            &format!("entry-{}", at + 1),
            "--data-center",
            &format!("dc-{}", at + 1),
            "--listen",
            &callers.to_string(),
            "--ops",
            &ops.to_string(),
            "--inner",
            &inner.to_string(),
            "--state",
            group,
            "--peers",
            &all,
            "--routing",
            choice.routing,
        ]);
        if !choice.without.is_empty() {
            flags.extend(args(&["--without", &choice.without.join(",")]));
        }
        Entry {
            args: flags,
            callers,
            ops,
            process: None,
            stopping: false,
        }
    });
    rows.collect()
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(3)))
        .max_idle_connections(0)
        .proxy(None)
        .build();
    config.into()
}

fn args(flags: &[&str]) -> Vec<String> {
    flags.iter().map(|flag| (*flag).to_owned()).collect()
}

fn listed(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}
