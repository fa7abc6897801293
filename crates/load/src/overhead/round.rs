//! One round: so many callers at the same time, each with one call after the other.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use derive_more::Display;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use ureq::Agent;

/// Time between the starts of two callers.
const RAMP: Duration = Duration::from_micros(100);

/// What is called.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// A look-up at a plain service; the latency is that of the whole answer.
    #[display("lookup")]
    Lookup,
    /// A streamed chat; the latency is that of the first token, the rate is of tokens.
    #[display("stream")]
    Stream,
}

/// What came out of a way.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Figures {
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// Latency in milliseconds that 95 in 100 keep.
    pub p95_ms: f64,
    /// Calls or tokens a second.
    pub per_s: f64,
    /// Calls or tokens in all.
    pub count: u64,
}

/// Where calls go and what they carry.
#[derive(Clone, Debug)]
pub(super) struct Way {
    pub(super) address: SocketAddr,
    pub(super) path: &'static str,
    pub(super) key: &'static str,
}

/// Counts over several rounds.
#[derive(Debug)]
pub(super) struct Counts {
    latency: Histogram<u64>,
    count: u64,
    took: Duration,
}

impl Counts {
    pub(super) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            latency: Histogram::new(3)?,
            count: 0,
            took: Duration::ZERO,
        })
    }

    pub(super) fn figures(&self) -> Figures {
        let ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Figures {
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            per_s: self.count as f64 / self.took.as_secs_f64().max(1e-9),
            count: self.count,
        }
    }

    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// Runs a round of calls.
    pub(super) fn round(
        &mut self,
        kind: Kind,
        way: &Way,
        open: usize,
        calls: usize,
        tokens: u64,
    ) -> anyhow::Result<()> {
        let begun = Instant::now();
        let results: Vec<anyhow::Result<Vec<(Duration, u64)>>> = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..open)
                .map(|caller| scope.spawn(move || one_caller(kind, way, caller, calls, tokens)))
                .collect();
            let joined = callers.into_iter().map(std::thread::ScopedJoinHandle::join);
            joined
                .map(|result| result.unwrap_or_else(|_panic| Err(anyhow::anyhow!("a caller panicked"))))
                .collect()
        });
        self.took += begun.elapsed();
        for result in results {
            for (latency, count) in result? {
                self.latency.record(latency.as_micros() as u64)?;
                self.count += count;
            }
        }
        Ok(())
    }
}

fn one_caller(kind: Kind, way: &Way, caller: usize, calls: usize, tokens: u64) -> anyhow::Result<Vec<(Duration, u64)>> {
    let config = Agent::config_builder()
        .timeout_global(Some(Duration::from_mins(1)))
        .max_idle_connections(0)
        .proxy(None)
        .build();
    let agent = Agent::from(config);
    // The stand-ins keep 128 connections waiting; of more at the same moment some would try again after a second.
    std::thread::sleep(RAMP * caller as u32);
    let call = |at: usize| match kind {
        Kind::Lookup => lookup(&agent, way, caller * calls + at),
        Kind::Stream => stream(&agent, way, caller * calls + at, tokens),
    };
    (0..calls).map(call).collect()
}

fn lookup(agent: &Agent, way: &Way, number: usize) -> anyhow::Result<(Duration, u64)> {
    let begun = Instant::now();
    let url = format!("http://{}{}/seats/{number}", way.address, way.path);
    let mut answer = agent
        .get(url)
        .header("Authorization", way.key)
        .call()
        .context("lookup")?;
    let text = answer.body_mut().read_to_string()?;
    let took = begun.elapsed();
    ensure!(
        text.contains(&format!("/seats/{number}\"")),
        "another answer came: {text}"
    );
    Ok((took, 1))
}

fn stream(agent: &Agent, way: &Way, number: usize, tokens: u64) -> anyhow::Result<(Duration, u64)> {
    let messages = [json!({"role": "user", "content": format!("question {number}")})];
    let body = json!({"model": "counter-1", "stream": true, "max_tokens": tokens, "messages": messages});
    let begun = Instant::now();
    let url = format!("http://{}{}", way.address, way.path);
    let answer = agent
        .post(url)
        .header("Authorization", way.key)
        .send_json(body)
        .context("stream")?;
    let (mut first, mut count) = (None, 0);
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let line = line.context("stream")?;
        if line == "data: [DONE]" {
            ensure!(count == tokens, "{count} tokens came instead of {tokens}");
            return Ok((first.unwrap_or_default(), count));
        }
        // Parsing here would cost the machine as much as what is measured.
        if line.contains("\"content\":") {
            first.get_or_insert_with(|| begun.elapsed());
            count += 1;
        }
    }
    anyhow::bail!("the stream ended after {count} tokens")
}
