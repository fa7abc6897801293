//! Measures one point: starts the processes, waits for them to settle, and reads counters over a period.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::Context;
use contract::{Change, HostClass, HostSpec, Revision, UpstreamKind, UpstreamSpec};
use hdrhistogram::Histogram;
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Propose, Proposed};

use super::usage::Usage;
use super::{Cost, Point};
use crate::link::Link;
use crate::trial::process::{Launcher, Process, free_address};

/// Number of state nodes.
const STATE_NODES: usize = 3;
const OPERATOR_KEY: &str = "trial-operator-key";
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before counting, in which connections are made and buffers filled.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait for a change to be in force everywhere.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Most attempts to propose a change, at intervals, while the state group has no leader.
const MAX_PROPOSALS: usize = 200;

/// All processes of one point; the fields are dropped in this order.
struct TestSystem {
    entries: Vec<Process>,
    nodes: Vec<Process>,
    ops: Vec<SocketAddr>,
    node_links: Vec<Link>,
    engine_link: Link,
    state: StateClient,
    /// Values that are only kept alive: the engine, the RPC runtime and the folder.
    _kept: (Process, RpcRuntime, tempfile::TempDir),
}

/// Measures one point.
pub(super) fn measure(entries: usize, upstreams: usize, changes: f64, seconds: f64) -> anyhow::Result<Point> {
    let system = TestSystem::start(entries)?;
    let last = system.register(upstreams)?;
    system.wait_in_force(last)?;
    std::thread::sleep(SETTLE_TIME);
    let (before, bytes, started) = (system.usage()?, system.bytes(), Instant::now());
    let digests = system.digests();
    let in_force_ms = system.change_for(changes, Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))?;
    let (after, bytes_after, elapsed_s) = (system.usage()?, system.bytes(), started.elapsed().as_secs_f64());
    let digests_per_s = (system.digests() - digests) / elapsed_s / entries as f64;
    let cost = |at: usize, link_bytes: u64, processes: usize| Cost {
        millicores: (after[at].seconds - before[at].seconds) / elapsed_s * 1_000.0,
        memory_mb: after[at].memory_mb,
        bytes_per_s: link_bytes as f64 / elapsed_s / processes as f64,
        digests_per_s: if at < STATE_NODES { 0.0 } else { digests_per_s },
    };
    let to_state = bytes_after.0 - bytes.0;
    let to_engine = bytes_after.1 - bytes.1;
    let all_nodes: Vec<Cost> = (0..STATE_NODES).map(|at| cost(at, to_state, STATE_NODES)).collect();
    let all_entries: Vec<Cost> = (STATE_NODES..STATE_NODES + entries)
        .map(|at| cost(at, to_state + to_engine, entries))
        .collect();
    let busiest = all_nodes
        .iter()
        .copied()
        .max_by(|a, b| a.millicores.total_cmp(&b.millicores))
        .unwrap_or_default();
    Ok(Point {
        entries,
        upstreams,
        changes,
        seconds: elapsed_s,
        entry: mean(&all_entries),
        state: mean(&all_nodes),
        busiest,
        in_force_ms,
    })
}

fn mean(costs: &[Cost]) -> Cost {
    let average = |field: fn(&Cost) -> f64| costs.iter().map(field).sum::<f64>() / costs.len() as f64;
    Cost {
        millicores: average(|cost| cost.millicores),
        memory_mb: average(|cost| cost.memory_mb),
        bytes_per_s: average(|cost| cost.bytes_per_s),
        digests_per_s: average(|cost| cost.digests_per_s),
    }
}

impl TestSystem {
    fn start(count: usize) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let launcher = Launcher::new(folder.path())?;
        let internal = free_addresses(STATE_NODES);
        let nodes = start_nodes(&internal, &launcher)?;
        let node_links = internal
            .iter()
            .map(|address| Link::open(*address))
            .collect::<Result<Vec<_>, _>>()?;
        let mut engine = launcher.start("engine", "gentian-standin", &strings(&["engine"]))?;
        let engine_link = Link::open(engine.address()?)?;
        let link_addresses: Vec<SocketAddr> = node_links.iter().map(Link::address).collect();
        let ops = free_addresses(count);
        let entries = start_entries(&ops, &link_addresses, &launcher)?;
        let runtime = RpcRuntime::start(2, CALL_TIMEOUT)?;
        let state = StateClient::new(&runtime, &"trial".into(), &internal)?;
        Ok(Self {
            entries,
            nodes,
            ops,
            node_links,
            engine_link,
            state,
            _kept: (engine, runtime, folder),
        })
    }

    /// Registers upstreams that all have the address of the one stand-in; returns the last revision.
    fn register(&self, count: usize) -> anyhow::Result<Revision> {
        let mut last = Revision::default();
        for number in 0..count.max(1) {
            last = self.put(&spec(number, self.engine_link.address()), &format!("register-{number}"))?;
        }
        Ok(last)
    }

    fn put(&self, spec: &UpstreamSpec, id: &str) -> anyhow::Result<Revision> {
        let proposal = Propose {
            id: id.into(),
            base: None,
            operator: "trial".to_owned(),
            change: Change::PutUpstream(spec.clone()),
        };
        for _ in 0..MAX_PROPOSALS {
            match self.state.propose(Revision::default(), &proposal) {
                Ok(Proposed::Accepted(revision)) => return Ok(revision),
                Ok(Proposed::Unavailable(_)) | Err(_) => std::thread::sleep(POLL_INTERVAL * 25),
                Ok(other) => anyhow::bail!("register {id}: {other:?}"),
            }
        }
        anyhow::bail!("register {id}: the state group has no leader")
    }

    /// Makes changes at a rate for a period; returns the median and the longest time until a change is in force on all
    /// entry hosts, in milliseconds.
    fn change_for(&self, rate: f64, period: Duration) -> anyhow::Result<Option<(f64, f64)>> {
        let started = Instant::now();
        let mut latencies = Histogram::<u64>::new(3)?;
        let mut number = 0_usize;
        while rate > 0.0 && started.elapsed() < period {
            let changed = Instant::now();
            let revision = self.put(&spec(0, self.engine_link.address()), &format!("change-{number}"))?;
            self.wait_in_force(revision)?;
            latencies.record(u64::try_from(changed.elapsed().as_micros())?.max(1))?;
            number += 1;
            let due = Duration::try_from_secs_f64(number as f64 / rate).unwrap_or(Duration::MAX);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
        }
        std::thread::sleep(period.saturating_sub(started.elapsed()));
        let ms = |micros: u64| micros as f64 / 1_000.0;
        Ok((!latencies.is_empty()).then(|| (ms(latencies.value_at_quantile(0.5)), ms(latencies.max()))))
    }

    fn wait_in_force(&self, revision: Revision) -> anyhow::Result<()> {
        let started = Instant::now();
        for ops in &self.ops {
            while revision_of(*ops).unwrap_or_default() < revision.0 {
                anyhow::ensure!(
                    started.elapsed() < READY_TIMEOUT,
                    "revision {revision} is not in force at {ops}"
                );
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Returns the usage of the state nodes, then of the entry hosts.
    fn usage(&self) -> anyhow::Result<Vec<Usage>> {
        let all = self.nodes.iter().chain(&self.entries);
        all.map(|process| Usage::of(process.pid()).context("read usage"))
            .collect()
    }

    /// Returns the bytes of digests that all entry hosts have sent and received.
    fn digests(&self) -> f64 {
        self.ops.iter().filter_map(|ops| digests_of(*ops)).sum()
    }

    /// Returns the bytes over the links to the state nodes and to the engine.
    fn bytes(&self) -> (u64, u64) {
        (self.node_links.iter().map(Link::bytes).sum(), self.engine_link.bytes())
    }
}

fn start_nodes(internal: &[SocketAddr], launcher: &Launcher) -> anyhow::Result<Vec<Process>> {
    let peers = comma_separated(internal);
    let mut nodes = Vec::new();
    for (number, listen) in internal.iter().enumerate() {
        let name = format!("state-{number}");
        let data = launcher.file(&name).display().to_string();
        let listen = listen.to_string();
        let args = [
            "--node",
            &name,
            "--peers",
            &peers,
            "--listen",
            &listen,
            "--data",
            &data,
            "--operator-key",
            OPERATOR_KEY,
        ];
        nodes.push(launcher.start(&name, "gentian-state", &strings(&args))?);
    }
    for listen in internal {
        wait_listening(*listen)?;
    }
    Ok(nodes)
}

fn start_entries(ops: &[SocketAddr], state: &[SocketAddr], launcher: &Launcher) -> anyhow::Result<Vec<Process>> {
    let internal = free_addresses(ops.len());
    let (peers, state) = (comma_separated(&internal), comma_separated(state));
    let mut entries = Vec::new();
    for (number, (ops, internal)) in ops.iter().zip(&internal).enumerate() {
        let name = format!("entry-{number}");
        let (ops, internal) = (ops.to_string(), internal.to_string());
        let own_flags = [
            "--node",
            &name,
            "--data-center",
            "dc-1",
            "--ops",
            &ops,
            "--inner",
            &internal,
        ];
        let args = [&own_flags[..], &["--state", &state, "--peers", &peers]].concat();
        entries.push(launcher.start(&name, "gentian-entry", &strings(&args))?);
    }
    for ops in ops {
        wait_listening(*ops)?;
    }
    Ok(entries)
}

fn metrics_of(ops: SocketAddr) -> Option<String> {
    let mut answer = ureq::get(format!("http://{ops}/metrics")).call().ok()?;
    answer.body_mut().read_to_string().ok()
}

fn digests_of(ops: SocketAddr) -> Option<f64> {
    let text = metrics_of(ops)?;
    let rows = text
        .lines()
        .filter(|line| line.starts_with("gentian_digest_bytes_total{"));
    Some(
        rows.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum(),
    )
}

fn revision_of(ops: SocketAddr) -> Option<u64> {
    let text = metrics_of(ops)?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("gentian_config_revision "))?;
    line.trim().parse::<f64>().ok().map(|value| value as u64)
}

fn spec(number: usize, address: SocketAddr) -> UpstreamSpec {
    let host = HostSpec {
        id: format!("host-{number}").into(),
        incarnation: 0,
        zone: format!("zone-{}", number % 4).into(),
        data_center: "dc-1".into(),
        class: HostClass::Reclaimable,
        price: 90_000,
    };
    let kind = UpstreamKind::Engine {
        model: "counter-1".into(),
        checks_fencing: true,
    };
    UpstreamSpec {
        id: format!("engine-{number}").into(),
        kind,
        address,
        host,
        slots: 16,
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_address()).collect()
}

fn wait_listening(address: SocketAddr) -> anyhow::Result<()> {
    let started = Instant::now();
    while TcpStream::connect_timeout(&address, CALL_TIMEOUT).is_err() {
        anyhow::ensure!(started.elapsed() < READY_TIMEOUT, "no process listens at {address}");
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn comma_separated(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}
