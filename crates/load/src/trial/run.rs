//! Runs one plan under one policy with a schedule of faults.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use derive_more::{Display, FromStr};

use super::balancer::Balancer;
use super::caller::{CallResult, Caller, Outcome};
use super::check::{ExecutionLog, Verdict};
use super::faults::Schedule;
use super::figures::Run;
use super::process::Launcher;
use super::system::{RoutingOptions, System};
use crate::workload::{Arrival, Plan};

/// Stack size of a caller thread; every request has a thread.
const CALLER_STACK_BYTES: usize = 512 * 1024;
/// Longest time between two checks for an interrupt.
const INTERRUPT_POLL: Duration = Duration::from_millis(50);

/// Policy by which entry hosts choose an upstream.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[from_str(rename_all = "kebab-case")]
pub enum Policy {
    /// The system's own cost-based routing.
    #[display("gentianspring")]
    Gentianspring,
    /// The upstream with the fewest requests in flight.
    #[display("least-loaded")]
    LeastLoaded,
    /// All upstreams in turn.
    #[display("round-robin")]
    RoundRobin,
}

impl Policy {
    /// Every policy, in the order of the output.
    pub const ALL: [Self; 3] = [Self::Gentianspring, Self::LeastLoaded, Self::RoundRobin];

    const fn routing(self) -> &'static str {
        match self {
            Self::Gentianspring => "cost",
            Self::LeastLoaded => "least-loaded",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunOutput {
    /// Figures of the run.
    pub run: Run,
    /// Violations found by comparing callers with stand-ins.
    pub verdict: Verdict,
    /// Result of each request, in the order of the arrivals.
    pub results: Vec<CallResult>,
}

/// Runs a plan under a policy.
///
/// # Errors
/// Fails when the system doesn't start, a fault can't be injected, or the run is interrupted.
pub fn run(
    plan: &Plan,
    faults: &Schedule,
    policy: Policy,
    without: &[String],
    folder: &Path,
    interrupted: &AtomicBool,
) -> anyhow::Result<RunOutput> {
    let launcher = Launcher::new(folder)?;
    let routing_options = RoutingOptions {
        routing: policy.routing(),
        without: without.to_vec(),
    };
    let system = System::start(&launcher, plan, &routing_options).with_context(|| format!("start for {policy}"))?;
    let balancer = Balancer::new(system.entry_addresses());
    let (results, system) = drive(plan, faults, system, &balancer, interrupted)?;
    let cost_dollars = system.fleet.cost();
    drop(system);
    ensure!(!interrupted.load(Ordering::Relaxed), "interrupted");
    let log = ExecutionLog::read(folder)?;
    let verdict = log.compare(&plan.arrivals, &results);
    let run = Run::new(
        &policy.to_string(),
        &plan.arrivals,
        &results,
        cost_dollars,
        log.recomputed(),
        &verdict,
    );
    Ok(RunOutput { run, verdict, results })
}

fn drive(
    plan: &Plan,
    faults: &Schedule,
    system: System,
    balancer: &Balancer,
    interrupted: &AtomicBool,
) -> anyhow::Result<(Vec<CallResult>, System)> {
    let stop = AtomicBool::new(false);
    let caller = Caller::new(balancer, plan.model);
    let start = Instant::now();
    thread::scope(|scope| {
        let stop = &stop;
        let fault_thread = scope.spawn(move || faults.run(system, start, stop));
        let health_checks = scope.spawn(|| balancer.run_checks(stop));
        let results = run_callers(scope, plan, &caller, start, interrupted);
        stop.store(true, Ordering::Relaxed);
        let system = fault_thread.join().expect("the thread of the faults does not panic")?;
        health_checks.join().expect("the thread of the balancer does not panic");
        Ok((results?, system))
    })
}

/// Starts a thread for each arrival when it is due, regardless of earlier requests that still wait (open loop).
fn run_callers<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    plan: &'scope Plan,
    caller: &'scope Caller<'_>,
    start: Instant,
    interrupted: &AtomicBool,
) -> anyhow::Result<Vec<CallResult>> {
    let mut threads = Vec::with_capacity(plan.arrivals.len());
    for arrival in &plan.arrivals {
        let due = start + arrival.at;
        while Instant::now() < due && !interrupted.load(Ordering::Relaxed) {
            thread::sleep(due.saturating_duration_since(Instant::now()).min(INTERRUPT_POLL));
        }
        if interrupted.load(Ordering::Relaxed) {
            break;
        }
        let builder = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(CALLER_STACK_BYTES);
        let call = move || caller.call(arrival, due);
        threads.push(builder.spawn_scoped(scope, call).context("start a caller")?);
    }
    let results = threads
        .into_iter()
        .map(|thread| thread.join().expect("a caller does not panic"));
    Ok(results.collect())
}

/// Returns a line with the number of requests by outcome.
#[must_use]
pub fn summary(arrivals: &[Arrival], output: &RunOutput) -> String {
    let count = |kind: fn(&Outcome) -> bool| output.results.iter().filter(|result| kind(&result.outcome)).count();
    format!(
        "{}: {} requests, {} whole, {} not run, {} unknown, {} wrong, {} cut, {} unreached",
        output.run.policy,
        arrivals.len(),
        count(|outcome| *outcome == Outcome::Complete),
        count(|outcome| *outcome == Outcome::NotRun),
        count(|outcome| *outcome == Outcome::Unknown),
        count(|outcome| matches!(outcome, Outcome::Wrong(_))),
        count(|outcome| matches!(outcome, Outcome::Broken(_))),
        count(|outcome| *outcome == Outcome::Unreachable),
    )
}
