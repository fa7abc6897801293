//! The processes of the comparison: a state node, an entry host, an engine and a service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use contract::{Contract, KeyHash};
use serde::Serialize;
use serde_json::{Value, json};
use tempfile::TempDir;
use ureq::Agent;

use super::Compared;
use super::round::{Counts, Kind, Way};
use crate::cli::OverheadOptions;
use crate::slopes::Usage;
use crate::trial::process::{Place, Process, free_address};

const OPERATOR_KEY: &str = "overhead-operator-key-0001";
const KEY: &str = "overhead-key-0001";
const BEARER: &str = "Bearer overhead-key-0001";
/// Longest wait for a process to become ready.
const PATIENCE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(20);
/// Rounds whose figures don't count: connections, caches and the allocator warm up.
const WARM_CALLS: usize = 2;
/// Calls of each caller in a round at least, so that its start and end don't weigh too much.
const LEAST_LOOKUPS: usize = 16;
const LEAST_STREAMS: usize = 4;

/// Everything that runs.
#[derive(Debug)]
pub(super) struct Bench {
    agent: Agent,
    admin: SocketAddr,
    callers: SocketAddr,
    ops: SocketAddr,
    entry: Process,
    engine: SocketAddr,
    service: SocketAddr,
    _others: Vec<Process>,
    _folder: TempDir,
}

impl Bench {
    /// Starts everything and waits until the entry host has its configuration.
    pub(super) fn start(options: &OverheadOptions) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let place = Place::new(folder.path())?;
        let [inner, admin, callers, ops, own] = std::array::from_fn(|_| free_address());
        let data = place.file("state").display().to_string();
        let state = place.start(
            "state-1",
            "gentian-state",
            &flags(&[
                ("--node", "state-1"),
                ("--peers", &inner.to_string()),
                ("--listen", &inner.to_string()),
                ("--admin", &admin.to_string()),
                ("--data", &data),
                ("--operator-key", OPERATOR_KEY),
            ]),
        )?;
        let (mut engine, mut service) = standins(&place, options)?;
        let entry = place.start(
            "entry-1",
            "gentian-entry",
            &flags(&[
                ("--node", "entry-1"),
                ("--data-center", "dc-1"),
                ("--listen", &callers.to_string()),
                ("--ops", &ops.to_string()),
                ("--inner", &own.to_string()),
                ("--state", &inner.to_string()),
                ("--running", "1024"),
                ("--connections", "2048"),
            ]),
        )?;
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(3)))
            .proxy(None)
            .build();
        let bench = Self {
            agent: config.into(),
            admin,
            callers,
            ops,
            entry,
            engine: engine.address()?,
            service: service.address()?,
            _others: vec![state, engine, service],
            _folder: folder,
        };
        bench.configure()?;
        Ok(bench)
    }

    /// Compares both ways, taking them in turn.
    pub(super) fn compare(&self, kind: Kind, open: usize, options: &OverheadOptions) -> anyhow::Result<Compared> {
        let (direct, through) = self.ways(kind);
        let (all, least) = match kind {
            Kind::Lookup => (options.calls, LEAST_LOOKUPS),
            Kind::Stream => (options.streams, LEAST_STREAMS),
        };
        let calls = all.div_ceil(open.max(1)).max(least);
        let (mut straight, mut entry) = (Counts::new()?, Counts::new()?);
        Counts::new()?.round(kind, &through, open, WARM_CALLS, options.tokens)?;
        let mut spent = 0.0;
        for _ in 0..options.rounds {
            straight.round(kind, &direct, open, calls, options.tokens)?;
            let before = Usage::of(self.entry.pid())?;
            entry.round(kind, &through, open, calls, options.tokens)?;
            spent += Usage::of(self.entry.pid())?.seconds - before.seconds;
        }
        Ok(Compared {
            kind,
            open,
            direct: straight.figures(),
            through: entry.figures(),
            entry_us: spent * 1e6 / entry.count().max(1) as f64,
            entry_mb: Usage::of(self.entry.pid())?.memory_mb,
        })
    }

    fn ways(&self, kind: Kind) -> (Way, Way) {
        let way = |address, path| Way {
            address,
            path,
            key: BEARER,
        };
        match kind {
            Kind::Lookup => (way(self.service, ""), way(self.callers, "/services/seats")),
            Kind::Stream => (
                way(self.engine, "/v1/chat/completions"),
                way(self.callers, "/v1/chat/completions"),
            ),
        }
    }

    fn configure(&self) -> anyhow::Result<()> {
        self.put("contracts/overhead", &contract()?)?;
        let host = |zone: &str| json!({"id": format!("vm-{zone}"), "zone": zone, "data_center": "dc-1", "class": "on_demand", "price": 1});
        let engine = json!({"id": "engine-1", "address": self.engine, "slots": 4_096, "host": host("zone-a"),
            "kind": {"engine": {"model": "counter-1", "checks_fencing": true}}});
        self.put("upstreams/engine-1", &engine)?;
        let service = json!({"id": "seats-1", "address": self.service, "slots": 4_096, "host": host("zone-b"),
            "kind": {"service": {"service": "seats", "tells_outcome": true}}});
        self.put("upstreams/seats-1", &service)?;
        wait(|| self.revision().is_some_and(|revision| revision >= 3.0))?;
        // The first load reports come within this time; they size the queue of each upstream.
        std::thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    fn put(&self, path: &str, item: &impl Serialize) -> anyhow::Result<()> {
        wait(|| {
            let call = self.agent.put(format!("http://{}/v1/{path}", self.admin));
            let call = call
                .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
                .header("Change-Id", path);
            call.send_json(item).is_ok()
        })
        .with_context(|| format!("put {path}"))
    }

    fn revision(&self) -> Option<f64> {
        let answer = self.agent.get(format!("http://{}/metrics", self.ops)).call().ok()?;
        let text = answer.into_body().read_to_string().ok()?;
        let mut lines = text.lines();
        lines.find_map(|line| line.strip_prefix("gentian_config_revision ")?.parse().ok())
    }
}

fn wait(done: impl Fn() -> bool) -> anyhow::Result<()> {
    let until = Instant::now() + PATIENCE;
    while !done() {
        ensure!(Instant::now() < until, "it took longer than {} s", PATIENCE.as_secs());
        std::thread::sleep(STEP);
    }
    Ok(())
}

fn standins(place: &Place, options: &OverheadOptions) -> anyhow::Result<(Process, Process)> {
    let engine = flags(&[
        ("--slots", "4096"),
        ("--prefill-us", "0"),
        ("--decode-us", &options.decode_us.to_string()),
        ("--batch-us", "0"),
    ]);
    let service = flags(&[("--work-ms", &options.work_ms.to_string()), ("--slots", "512")]);
    Ok((
        place.start(
            "engine",
            "gentian-standin",
            &[vec!["engine".to_owned()], engine].concat(),
        )?,
        place.start(
            "service",
            "gentian-standin",
            &[vec!["service".to_owned()], service].concat(),
        )?,
    ))
}

/// Makes a contract that bounds nothing, so that only the way itself is measured.
fn contract() -> anyhow::Result<Contract> {
    let text: Value = json!({
        "customer": "overhead",
        "accounts": [{"name": "load", "key_hash": KeyHash::of(KEY)}],
        "limits": {"requests_per_s": 1e7, "tokens_per_s": 1e9, "concurrency": 100_000},
        "share": 1,
        "classes": [{"name": "all", "repeat": "idempotent",
            "targets": {"first_token_ms": 30_000, "between_tokens_ms": 1_000, "whole_answer_ms": 60_000}}],
    });
    serde_json::from_value(text).context("the contract of the comparison")
}

fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    let each = pairs
        .iter()
        .flat_map(|(name, value)| [(*name).to_owned(), (*value).to_owned()]);
    each.collect()
}
