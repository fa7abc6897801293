//! The system of a trial: state nodes, entry hosts, capacity controller and cloud stand-in, as processes on loopback.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use contract::{Contract, UpstreamSpec};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{Value, json};
use ureq::Agent;

use super::fleet::{Fleet, ZONES};
use super::process::{Launcher, Process, free_address};
use crate::workload::Plan;

const OPERATOR_KEY: &str = "trial-operator-key-0001";
/// Number of state nodes.
const STATE_NODES: usize = 3;
/// Longest wait for a process to become ready or to stop.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two attempts or checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings by which policies differ.
#[derive(Clone, Debug)]
pub struct RoutingOptions {
    /// Value of `--routing` of the entry hosts.
    pub routing: &'static str,
    /// Mechanisms to switch off, for `--without`.
    pub without: Vec<String>,
}

/// An entry host and its process.
#[derive(Debug)]
struct Entry {
    args: Vec<String>,
    callers: SocketAddr,
    ops: SocketAddr,
    process: Option<Process>,
    stopping: bool,
}

/// All processes of a trial.
#[derive(Debug)]
pub struct System {
    launcher: Launcher,
    agent: Agent,
    admins: Vec<SocketAddr>,
    cloud: SocketAddr,
    entries: Vec<Entry>,
    change_count: u64,
    /// Engines and services.
    pub fleet: Fleet,
    /// Processes that are only kept so that dropping the system stops them.
    kept_processes: Vec<Process>,
}

impl System {
    /// Starts all processes and waits until each entry host has the complete configuration.
    ///
    /// # Errors
    /// Fails when a process doesn't start or become ready.
    pub fn start(launcher: &Launcher, plan: &Plan, routing_options: &RoutingOptions) -> anyhow::Result<Self> {
        let mut kept_processes = Vec::new();
        let internal: Vec<SocketAddr> = (0..STATE_NODES).map(|_| free_address()).collect();
        let admins: Vec<SocketAddr> = (0..STATE_NODES).map(|_| free_address()).collect();
        let state_peers = comma_separated(&internal);
        for index in 0..STATE_NODES {
            kept_processes.push(start_state(
                launcher,
                index,
                &state_peers,
                internal[index],
                admins[index],
            )?);
        }
        let mut cloud = launcher.start("cloud", "gentian-standin", &args(&["cloud"]))?;
        let fleet = Fleet::start(launcher, plan)?;
        let cloud_address = cloud.address()?;
        kept_processes.push(cloud);
        let peers: Vec<SocketAddr> = (0..ZONES).map(|_| free_address()).collect();
        let mut system = Self {
            launcher: launcher.clone(),
            agent: agent(),
            admins,
            cloud: cloud_address,
            entries: entries(&peers, &state_peers, routing_options),
            change_count: 0,
            fleet,
            kept_processes: Vec::new(),
        };
        system.register_all(&plan.contract)?;
        for index in 0..system.entries.len() {
            system.start_entry(index)?;
        }
        let capacity = [
            "--node",
            "capacity-1",
            "--cloud",
            &cloud_address.to_string(),
            "--state",
            &state_peers,
            "--entries",
            &comma_separated(&peers),
        ];
        kept_processes.push(launcher.start("capacity", "gentian-capacity", &args(&capacity))?);
        system.kept_processes = kept_processes;
        system.wait_ready()?;
        Ok(system)
    }

    /// Returns the addresses for callers and for health checks of each entry host.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.entries.iter().map(|entry| (entry.callers, entry.ops)).collect()
    }

    /// Announces the reclaim of all hosts in a zone.
    ///
    /// # Errors
    /// Fails when the cloud stand-in doesn't answer.
    pub fn announce_reclaim(&self, zone: &str, notice: Duration) -> anyhow::Result<()> {
        let body = json!({"zone": zone, "notice_ms": notice.as_millis() as u64});
        let url = format!("http://{}/_standin/reclaim", self.cloud);
        self.agent.post(url).send_json(body).context("announce a reclaim")?;
        Ok(())
    }

    /// Restarts a member on a new host and registers it.
    ///
    /// # Errors
    /// Fails when the cloud or the state group refuses.
    pub fn replace_member(&mut self, index: usize) -> anyhow::Result<()> {
        let incarnation = self.start_host(index)?;
        self.fleet.restart(index, incarnation)?;
        self.register(index)
    }

    /// Sends SIGTERM to an entry host; [`System::restart_entries`] restarts it once it has exited.
    ///
    /// # Errors
    /// Fails when the entry host is not running.
    pub fn stop_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[index];
        let process = entry.process.as_ref().context("the entry host is not running")?;
        process.signal(Signal::TERM)?;
        entry.stopping = true;
        Ok(())
    }

    /// Restarts the entry hosts that have exited after [`System::stop_entry`].
    ///
    /// # Errors
    /// Fails when one has exited with an error.
    pub fn restart_entries(&mut self) -> anyhow::Result<()> {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            let stopping = entry.process.as_mut().filter(|_| entry.stopping);
            let Some(status) = stopping.map_or(Ok(None), Process::exit_status)? else {
                continue;
            };
            ensure!(status.success(), "entry host {} stopped with {status}", index + 1);
            entry.stopping = false;
            self.start_entry(index)?;
        }
        Ok(())
    }

    fn start_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[index];
        entry.process = Some(
            self.launcher
                .start(&format!("entry-{}", index + 1), "gentian-entry", &entry.args)?,
        );
        Ok(())
    }

    fn register_all(&mut self, contract: &Contract) -> anyhow::Result<()> {
        let name = contract.customer.to_string();
        self.put(&format!("contracts/{name}"), contract)?;
        for index in 0..self.fleet.members.len() {
            self.start_host(index)?;
            self.register(index)?;
        }
        Ok(())
    }

    fn start_host(&self, index: usize) -> anyhow::Result<u64> {
        let host = &self.fleet.members[index].spec.host;
        let body = json!({"id": host.id, "zone": host.zone, "class": host.class, "price": host.price});
        let url = format!("http://{}/v1/hosts", self.cloud);
        let mut response = self.agent.post(url).send_json(body).context("start a host")?;
        let host: Value = response.body_mut().read_json().context("start a host")?;
        host["incarnation"]
            .as_u64()
            .context("the cloud returned no incarnation")
    }

    fn register(&mut self, index: usize) -> anyhow::Result<()> {
        let spec: UpstreamSpec = self.fleet.members[index].spec.clone();
        self.put(&format!("upstreams/{}", spec.id), &spec)
    }

    /// Writes an item through the administration API, trying the state nodes in turn until one commits it.
    fn put(&mut self, path: &str, item: &impl Serialize) -> anyhow::Result<()> {
        self.change_count += 1;
        let id = format!("trial-{}", self.change_count);
        let deadline = Instant::now() + READY_TIMEOUT;
        let mut last_error = String::new();
        while Instant::now() < deadline {
            for admin in &self.admins {
                let response = self
                    .agent
                    .put(format!("http://{admin}/v1/{path}"))
                    .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
                    .header("Change-Id", &id)
                    .send_json(item);
                match response {
                    Ok(_) => return Ok(()),
                    Err(ureq::Error::StatusCode(status)) if status != 503 => {
                        bail!("put {path} at {admin}: status {status}")
                    }
                    Err(error) => last_error = error.to_string(),
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        bail!("put {path}: no state node committed it: {last_error}")
    }

    fn wait_ready(&mut self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.entries.len() {
            let ops = self.entries[index].ops;
            while self.revision(ops).is_none_or(|revision| revision < self.change_count) {
                let exit_status = self.entries[index]
                    .process
                    .as_mut()
                    .map_or(Ok(None), Process::exit_status)?;
                if let Some(status) = exit_status {
                    bail!("entry host {} ended with {status}; its log says why", index + 1);
                }
                ensure!(
                    Instant::now() < deadline,
                    "entry host {} has no complete configuration",
                    index + 1
                );
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        // Load reports arrive a few times a second; waits for the first ones.
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

fn start_state(
    launcher: &Launcher,
    index: usize,
    state_peers: &str,
    internal: SocketAddr,
    admin: SocketAddr,
) -> anyhow::Result<Process> {
    let name = format!("state-{}", index + 1);
    let data = launcher.file(&name).display().to_string();
    let (internal, admin) = (internal.to_string(), admin.to_string());
    let flags = [
        "--node",
        &name,
        "--peers",
        state_peers,
        "--listen",
        &internal,
        "--admin",
        &admin,
        "--data",
        &data,
        "--operator-key",
        OPERATOR_KEY,
    ];
    launcher.start(&name, "gentian-state", &args(&flags))
}

fn entries(peers: &[SocketAddr], state_peers: &str, routing_options: &RoutingOptions) -> Vec<Entry> {
    let all_peers = comma_separated(peers);
    let entries = peers.iter().enumerate().map(|(index, internal)| {
        let (callers, ops) = (free_address(), free_address());
        let mut flags = args(&[
            "--node",
            &format!("entry-{}", index + 1),
            "--data-center",
            &format!("dc-{}", index + 1),
            "--listen",
            &callers.to_string(),
            "--ops",
            &ops.to_string(),
            "--inner",
            &internal.to_string(),
            "--state",
            state_peers,
            "--peers",
            &all_peers,
            "--routing",
            routing_options.routing,
        ]);
        if !routing_options.without.is_empty() {
            flags.extend(args(&["--without", &routing_options.without.join(",")]));
        }
        Entry {
            args: flags,
            callers,
            ops,
            process: None,
            stopping: false,
        }
    });
    entries.collect()
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

fn comma_separated(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}
