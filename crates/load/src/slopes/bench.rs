//! One point: the processes, a pause to settle, and the counts over a while.

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
use crate::trial::process::{Place, Process, free_address};

/// State nodes.
const NODES: usize = 3;
const KEY: &str = "trial-operator-key";
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which connections are made and buffers filled before anything is counted.
const SETTLE: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(2);
/// Longest wait for a change to be in force everywhere.
const PATIENCE: Duration = Duration::from_secs(20);
/// Upstreams that are registered while one change is under way elsewhere.
const MOST_TRIES: usize = 200;

/// Everything that runs for one point; dropped in this order.
struct Bench {
    entries: Vec<Process>,
    nodes: Vec<Process>,
    ops: Vec<SocketAddr>,
    node_links: Vec<Link>,
    engine_link: Link,
    state: StateClient,
    /// What must outlive the trial and is not asked for anything.
    _kept: (Process, RpcRuntime, tempfile::TempDir),
}

/// Measures one point.
pub(super) fn measure(entries: usize, upstreams: usize, changes: f64, seconds: f64) -> anyhow::Result<Point> {
    let bench = Bench::start(entries)?;
    let last = bench.register(upstreams)?;
    bench.wait_in_force(last)?;
    std::thread::sleep(SETTLE);
    let (before, bytes, begun) = (bench.usage()?, bench.bytes(), Instant::now());
    let digests = bench.digests();
    let in_force_ms = bench.change_for(changes, Duration::from_secs_f64(seconds))?;
    let (after, bytes_after, span) = (bench.usage()?, bench.bytes(), begun.elapsed().as_secs_f64());
    let digests_per_s = (bench.digests() - digests) / span / entries as f64;
    let cost = |at: usize, passed: u64, share: usize| Cost {
        millicores: (after[at].seconds - before[at].seconds) / span * 1_000.0,
        memory_mb: after[at].memory_mb,
        bytes_per_s: passed as f64 / span / share as f64,
        digests_per_s: if at < NODES { 0.0 } else { digests_per_s },
    };
    let to_state = bytes_after.0 - bytes.0;
    let to_engine = bytes_after.1 - bytes.1;
    let all_nodes: Vec<Cost> = (0..NODES).map(|at| cost(at, to_state, NODES)).collect();
    let all_entries: Vec<Cost> = (NODES..NODES + entries)
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
        seconds: span,
        entry: mean(&all_entries),
        state: mean(&all_nodes),
        busiest,
        in_force_ms,
    })
}

fn mean(costs: &[Cost]) -> Cost {
    let average = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / costs.len() as f64;
    Cost {
        millicores: average(|cost| cost.millicores),
        memory_mb: average(|cost| cost.memory_mb),
        bytes_per_s: average(|cost| cost.bytes_per_s),
        digests_per_s: average(|cost| cost.digests_per_s),
    }
}

impl Bench {
    fn start(count: usize) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let place = Place::new(folder.path())?;
        let inner = addresses(NODES);
        let nodes = start_nodes(&inner, &place)?;
        let node_links = inner
            .iter()
            .map(|address| Link::open(*address))
            .collect::<Result<Vec<_>, _>>()?;
        let mut engine = place.start("engine", "gentian-standin", &strings(&["engine"]))?;
        let engine_link = Link::open(engine.address()?)?;
        let linked: Vec<SocketAddr> = node_links.iter().map(Link::address).collect();
        let ops = addresses(count);
        let entries = start_entries(&ops, &linked, &place)?;
        let calls = RpcRuntime::start(2, TIMEOUT)?;
        let state = StateClient::new(&calls, &"trial".into(), &inner)?;
        Ok(Self {
            entries,
            nodes,
            ops,
            node_links,
            engine_link,
            state,
            _kept: (engine, calls, folder),
        })
    }

    /// Registers upstreams that all lead to the one stand-in; gives the revision of the last.
    fn register(&self, count: usize) -> anyhow::Result<Revision> {
        let mut last = Revision::default();
        for number in 0..count.max(1) {
            last = self.put(&spec(number, self.engine_link.address()), &format!("register-{number}"))?;
        }
        Ok(last)
    }

    fn put(&self, spec: &UpstreamSpec, id: &str) -> anyhow::Result<Revision> {
        let ask = Propose {
            id: id.into(),
            base: None,
            operator: "trial".to_owned(),
            change: Change::PutUpstream(spec.clone()),
        };
        for _ in 0..MOST_TRIES {
            match self.state.propose(Revision::default(), &ask) {
                Ok(Proposed::Accepted(revision)) => return Ok(revision),
                Ok(Proposed::Unavailable(_)) | Err(_) => std::thread::sleep(STEP * 25),
                Ok(other) => anyhow::bail!("register {id}: {other:?}"),
            }
        }
        anyhow::bail!("register {id}: the state group has no leader")
    }

    /// Makes changes at a rate for a while; gives the median and longest time until one is in force everywhere.
    fn change_for(&self, rate: f64, span: Duration) -> anyhow::Result<Option<(f64, f64)>> {
        let begun = Instant::now();
        let mut times = Histogram::<u64>::new(3)?;
        let mut number = 0_usize;
        while rate > 0.0 && begun.elapsed() < span {
            let changed = Instant::now();
            let revision = self.put(&spec(0, self.engine_link.address()), &format!("change-{number}"))?;
            self.wait_in_force(revision)?;
            times.record(u64::try_from(changed.elapsed().as_micros())?.max(1))?;
            number += 1;
            let due = Duration::from_secs_f64(number as f64 / rate);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        std::thread::sleep(span.saturating_sub(begun.elapsed()));
        let ms = |micros: u64| micros as f64 / 1_000.0;
        Ok((!times.is_empty()).then(|| (ms(times.value_at_quantile(0.5)), ms(times.max()))))
    }

    fn wait_in_force(&self, revision: Revision) -> anyhow::Result<()> {
        let begun = Instant::now();
        for ops in &self.ops {
            while revision_of(*ops).unwrap_or_default() < revision.0 {
                anyhow::ensure!(
                    begun.elapsed() < PATIENCE,
                    "revision {revision} is not in force at {ops}"
                );
                std::thread::sleep(STEP);
            }
        }
        Ok(())
    }

    /// Counts of the state nodes, then of the entry hosts.
    fn usage(&self) -> anyhow::Result<Vec<Usage>> {
        let all = self.nodes.iter().chain(&self.entries);
        all.map(|process| Usage::of(process.pid()).context("read counts"))
            .collect()
    }

    /// Bytes of digests that all entry hosts have sent and received.
    fn digests(&self) -> f64 {
        self.ops.iter().filter_map(|ops| digests_of(*ops)).sum()
    }

    /// Bytes to the state nodes and to the engine.
    fn bytes(&self) -> (u64, u64) {
        (self.node_links.iter().map(Link::bytes).sum(), self.engine_link.bytes())
    }
}

fn start_nodes(inner: &[SocketAddr], place: &Place) -> anyhow::Result<Vec<Process>> {
    let peers = list(inner);
    let mut nodes = Vec::new();
    for (number, listen) in inner.iter().enumerate() {
        let name = format!("state-{number}");
        let data = place.file(&name).display().to_string();
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
            KEY,
        ];
        nodes.push(place.start(&name, "gentian-state", &strings(&args))?);
    }
    for listen in inner {
        wait_listening(*listen)?;
    }
    Ok(nodes)
}

fn start_entries(ops: &[SocketAddr], state: &[SocketAddr], place: &Place) -> anyhow::Result<Vec<Process>> {
    let inner = addresses(ops.len());
    let (peers, state) = (list(&inner), list(state));
    let mut entries = Vec::new();
    for (number, (ops, inner)) in ops.iter().zip(&inner).enumerate() {
        let name = format!("entry-{number}");
        let (ops, inner) = (ops.to_string(), inner.to_string());
        let site = [
            "--node",
            &name,
            "--data-center",
            "dc-1",
            "--ops",
            &ops,
            "--inner",
            &inner,
        ];
        let args = [&site[..], &["--state", &state, "--peers", &peers]].concat();
        entries.push(place.start(&name, "gentian-entry", &strings(&args))?);
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

fn addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_address()).collect()
}

fn wait_listening(address: SocketAddr) -> anyhow::Result<()> {
    let begun = Instant::now();
    while TcpStream::connect_timeout(&address, TIMEOUT).is_err() {
        anyhow::ensure!(begun.elapsed() < PATIENCE, "nobody listens at {address}");
        std::thread::sleep(STEP);
    }
    Ok(())
}

fn list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}
