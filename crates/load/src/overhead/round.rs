//! One round: concurrent callers, each with sequential calls.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use derive_more::Display;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use ureq::Agent;

/// Time between the starts of two callers, so that they don't all connect at once.
const START_INTERVAL: Duration = Duration::from_micros(100);

/// Kind of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
pub enum CallKind {
    /// A lookup at a plain service; the latency is that of the complete answer.
    #[display("lookup")]
    Lookup,
    /// A streamed chat; the latency is that of the first token, and the rate counts tokens.
    #[display("stream")]
    Stream,
}

/// Figures of one route.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Figures {
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the latency in milliseconds.
    pub p95_ms: f64,
    /// Lookups or tokens a second.
    pub per_s: f64,
    /// Total number of lookups or tokens.
    pub count: u64,
}

/// Address, path prefix and authorization of calls.
#[derive(Clone, Debug)]
pub(super) struct Route {
    pub(super) address: SocketAddr,
    pub(super) path: &'static str,
    pub(super) key: &'static str,
}

/// Latencies and counts over several rounds.
#[derive(Debug)]
pub(super) struct Measurement {
    latency: Histogram<u64>,
    count: u64,
    elapsed: Duration,
}

impl Measurement {
    pub(super) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            latency: Histogram::new(3)?,
            count: 0,
            elapsed: Duration::ZERO,
        })
    }

    pub(super) fn figures(&self) -> Figures {
        let ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Figures {
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            per_s: self.count as f64 / self.elapsed.as_secs_f64().max(1e-9),
            count: self.count,
        }
    }

    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// Runs a round and adds its calls.
    pub(super) fn round(
        &mut self,
        kind: CallKind,
        route: &Route,
        concurrency: usize,
        calls: usize,
        tokens: u64,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        let results: Vec<anyhow::Result<Vec<(Duration, u64)>>> = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..concurrency)
                .map(|caller| scope.spawn(move || run_caller(kind, route, caller, calls, tokens)))
                .collect();
            let joined = callers.into_iter().map(std::thread::ScopedJoinHandle::join);
            joined
                .map(|result| result.unwrap_or_else(|_panic| Err(anyhow::anyhow!("a caller panicked"))))
                .collect()
        });
        self.elapsed += started.elapsed();
        for result in results {
            for (latency, count) in result? {
                self.latency.record(latency.as_micros() as u64)?;
                self.count += count;
            }
        }
        Ok(())
    }
}

fn run_caller(
    kind: CallKind,
    route: &Route,
    caller: usize,
    calls: usize,
    tokens: u64,
) -> anyhow::Result<Vec<(Duration, u64)>> {
    let config = Agent::config_builder()
        .timeout_global(Some(Duration::from_mins(1)))
        .max_idle_connections(0)
        .proxy(None)
        .build();
    let agent = Agent::from(config);
    // The listen backlog of the stand-ins is 128; of more connections at once, some would be retried after a second.
    std::thread::sleep(START_INTERVAL * caller as u32);
    let call = |at: usize| match kind {
        CallKind::Lookup => lookup(&agent, route, caller * calls + at),
        CallKind::Stream => stream(&agent, route, caller * calls + at, tokens),
    };
    (0..calls).map(call).collect()
}

fn lookup(agent: &Agent, route: &Route, number: usize) -> anyhow::Result<(Duration, u64)> {
    let started = Instant::now();
    let url = format!("http://{}{}/seats/{number}", route.address, route.path);
    let mut answer = agent
        .get(url)
        .header("Authorization", route.key)
        .call()
        .context("lookup")?;
    let text = answer.body_mut().read_to_string()?;
    let elapsed = started.elapsed();
    ensure!(
        text.contains(&format!("/seats/{number}\"")),
        "unexpected answer to the lookup: {text}"
    );
    Ok((elapsed, 1))
}

fn stream(agent: &Agent, route: &Route, number: usize, tokens: u64) -> anyhow::Result<(Duration, u64)> {
    let messages = [json!({"role": "user", "content": format!("question {number}")})];
    let body = json!({"model": "counter-1", "stream": true, "max_tokens": tokens, "messages": messages});
    let started = Instant::now();
    let url = format!("http://{}{}", route.address, route.path);
    let answer = agent
        .post(url)
        .header("Authorization", route.key)
        .send_json(body)
        .context("stream")?;
    let (mut first, mut count) = (None, 0);
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let line = line.context("stream")?;
        if line == "data: [DONE]" {
            ensure!(count == tokens, "received {count} tokens instead of {tokens}");
            return Ok((first.unwrap_or_default(), count));
        }
        // Parsing the JSON would load the machine as much as the measured work.
        if line.contains("\"content\":") {
            first.get_or_insert_with(|| started.elapsed());
            count += 1;
        }
    }
    anyhow::bail!("the stream ended after {count} tokens")
}
