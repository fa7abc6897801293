//! Processes of the comparison: a state node, an entry host, an engine and a service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use contract::{Contract, KeyHash};
use serde::Serialize;
use serde_json::{Value, json};
use tempfile::TempDir;
use ureq::Agent;

use super::OverheadRow;
use super::round::{CallKind, Measurement, Route};
use crate::cli::OverheadOptions;
use crate::slopes::Usage;
use crate::trial::process::{Launcher, Process, free_address};

const OPERATOR_KEY: &str = "overhead-operator-key-0001";
const ACCOUNT_KEY: &str = "overhead-key-0001";
const BEARER: &str = "Bearer overhead-key-0001";
/// Longest wait for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Calls of each caller in a warm-up round, which is not counted, so that connections, caches and the allocator are
/// warm.
const WARMUP_CALLS: usize = 2;
/// Fewest lookups of each caller in a round; with fewer, its start and end would distort the figures.
const MIN_LOOKUPS: usize = 16;
/// Fewest streams of each caller in a round, for the same reason.
const MIN_STREAMS: usize = 4;

/// All processes of the comparison.
#[derive(Debug)]
pub(super) struct TestSystem {
    agent: Agent,
    admin: SocketAddr,
    callers: SocketAddr,
    ops: SocketAddr,
    entry: Process,
    engine: SocketAddr,
    service: SocketAddr,
    _processes: Vec<Process>,
    _folder: TempDir,
}

impl TestSystem {
    /// Starts all processes and waits until the entry host has its configuration.
    pub(super) fn start(options: &OverheadOptions) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let launcher = Launcher::new(folder.path())?;
        let [state_internal, admin, callers, ops, entry_internal] = std::array::from_fn(|_| free_address());
        let data = launcher.file("state").display().to_string();
        let state = launcher.start(
            "state-1",
            "gentian-state",
            &flags(&[
                ("--node", "state-1"),
                ("--peers", &state_internal.to_string()),
                ("--listen", &state_internal.to_string()),
                ("--admin", &admin.to_string()),
                ("--data", &data),
                ("--operator-key", OPERATOR_KEY),
            ]),
        )?;
        let (mut engine, mut service) = standins(&launcher, options)?;
        let entry = launcher.start(
            "entry-1",
            "gentian-entry",
            &flags(&[
                ("--node", "entry-1"),
                ("--data-center", "dc-1"),
                ("--listen", &callers.to_string()),
                ("--ops", &ops.to_string()),
                ("--inner", &entry_internal.to_string()),
                ("--state", &state_internal.to_string()),
                ("--running", "1024"),
                ("--connections", "2048"),
            ]),
        )?;
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(3)))
            .proxy(None)
            .build();
        let system = Self {
            agent: config.into(),
            admin,
            callers,
            ops,
            entry,
            engine: engine.address()?,
            service: service.address()?,
            _processes: vec![state, engine, service],
            _folder: folder,
        };
        system.configure()?;
        Ok(system)
    }

    /// Measures both routes in turn and compares them.
    pub(super) fn compare(
        &self,
        kind: CallKind,
        open: usize,
        options: &OverheadOptions,
    ) -> anyhow::Result<OverheadRow> {
        let (direct, through) = self.routes(kind);
        let (total, minimum) = match kind {
            CallKind::Lookup => (options.calls, MIN_LOOKUPS),
            CallKind::Stream => (options.streams, MIN_STREAMS),
        };
        let calls = total.div_ceil(open.max(1)).max(minimum);
        let (mut direct_calls, mut through_calls) = (Measurement::new()?, Measurement::new()?);
        Measurement::new()?.round(kind, &through, open, WARMUP_CALLS, options.tokens)?;
        let mut cpu_seconds = 0.0;
        for _ in 0..options.rounds {
            direct_calls.round(kind, &direct, open, calls, options.tokens)?;
            let before = Usage::of(self.entry.pid())?;
            through_calls.round(kind, &through, open, calls, options.tokens)?;
            cpu_seconds += Usage::of(self.entry.pid())?.seconds - before.seconds;
        }
        Ok(OverheadRow {
            kind,
            open,
            direct: direct_calls.figures(),
            through: through_calls.figures(),
            entry_us: cpu_seconds * 1e6 / through_calls.count().max(1) as f64,
            entry_mb: Usage::of(self.entry.pid())?.memory_mb,
        })
    }

    fn routes(&self, kind: CallKind) -> (Route, Route) {
        let route = |address, path| Route {
            address,
            path,
            key: BEARER,
        };
        match kind {
            CallKind::Lookup => (route(self.service, ""), route(self.callers, "/services/seats")),
            CallKind::Stream => (
                route(self.engine, "/v1/chat/completions"),
                route(self.callers, "/v1/chat/completions"),
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
        wait_until(|| self.revision().is_some_and(|revision| revision >= 3.0))?;
        // Waits for the first load reports, from which the queue of each upstream is sized.
        std::thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    fn put(&self, path: &str, item: &impl Serialize) -> anyhow::Result<()> {
        wait_until(|| {
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
        let metrics = answer.into_body().read_to_string().ok()?;
        let mut lines = metrics.lines();
        lines.find_map(|line| line.strip_prefix("gentian_config_revision ")?.parse().ok())
    }
}

fn wait_until(is_ready: impl Fn() -> bool) -> anyhow::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !is_ready() {
        ensure!(
            Instant::now() < deadline,
            "timed out after {} s",
            READY_TIMEOUT.as_secs()
        );
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn standins(launcher: &Launcher, options: &OverheadOptions) -> anyhow::Result<(Process, Process)> {
    let engine = flags(&[
        ("--slots", "4096"),
        ("--prefill-us", "0"),
        ("--decode-us", &options.decode_us.to_string()),
        ("--batch-us", "0"),
    ]);
    let service = flags(&[("--work-ms", &options.work_ms.to_string()), ("--slots", "512")]);
    Ok((
        launcher.start(
            "engine",
            "gentian-standin",
            &[vec!["engine".to_owned()], engine].concat(),
        )?,
        launcher.start(
            "service",
            "gentian-standin",
            &[vec!["service".to_owned()], service].concat(),
        )?,
    ))
}

/// Returns a contract with limits that are never reached, so that only the route itself is measured.
fn contract() -> anyhow::Result<Contract> {
    let contract: Value = json!({
        "customer": "overhead",
        "accounts": [{"name": "load", "key_hash": KeyHash::of(ACCOUNT_KEY)}],
        "limits": {"requests_per_s": 1e7, "tokens_per_s": 1e9, "concurrency": 100_000},
        "share": 1,
        "classes": [{"name": "all", "repeat": "idempotent",
            "targets": {"first_token_ms": 30_000, "between_tokens_ms": 1_000, "whole_answer_ms": 60_000}}],
    });
    serde_json::from_value(contract).context("parse the contract of the comparison")
}

fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    let each = pairs
        .iter()
        .flat_map(|(name, value)| [(*name).to_owned(), (*value).to_owned()]);
    each.collect()
}
