//! One run: a policy, a plan, a schedule of faults.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use derive_more::{Display, FromStr};

use super::balancer::Balancer;
use super::caller::{Caller, End, Told};
use super::check::{Seen, Verdict};
use super::faults::Schedule;
use super::figures::Run;
use super::process::Place;
use super::system::{Choice, System};
use crate::workload::{Arrival, Plan};

/// Stack of a caller's thread, in bytes.
const STACK: usize = 512 * 1024;
const STEP: Duration = Duration::from_millis(50);

/// How upstreams are chosen in a run.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[from_str(rename_all = "kebab-case")]
pub enum Policy {
    /// The system's own.
    #[display("gentianspring")]
    Gentianspring,
    /// Fewest requests under way.
    #[display("least-loaded")]
    LeastLoaded,
    /// One after the other.
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

/// What a run gave, with what people want to know beside the figures.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The figures.
    pub run: Run,
    /// What the comparison with the stand-ins found.
    pub found: Verdict,
    /// What callers were told, in the order of the arrivals.
    pub told: Vec<Told>,
}

/// Runs a plan under a policy.
///
/// # Errors
/// Fails when the system doesn't start, a fault can't be brought about, or the run is interrupted.
pub fn run(
    plan: &Plan,
    faults: &Schedule,
    policy: Policy,
    without: &[String],
    folder: &Path,
    interrupted: &AtomicBool,
) -> anyhow::Result<Outcome> {
    let place = Place::new(folder)?;
    let choice = Choice {
        routing: policy.routing(),
        without: without.to_vec(),
    };
    let system = System::start(&place, plan, &choice).with_context(|| format!("start for {policy}"))?;
    let balancer = Balancer::new(system.doors());
    let (told, system) = play(plan, faults, system, &balancer, interrupted)?;
    let dollars = system.fleet.cost();
    drop(system);
    ensure!(!interrupted.load(Ordering::Relaxed), "interrupted");
    let seen = Seen::read(folder)?;
    let found = seen.compare(&plan.arrivals, &told);
    let run = Run::new(
        &policy.to_string(),
        &plan.arrivals,
        &told,
        dollars,
        seen.recomputed(),
        &found,
    );
    Ok(Outcome { run, found, told })
}

fn play(
    plan: &Plan,
    faults: &Schedule,
    system: System,
    balancer: &Balancer,
    interrupted: &AtomicBool,
) -> anyhow::Result<(Vec<Told>, System)> {
    let done = AtomicBool::new(false);
    let caller = Caller::new(balancer, plan.model);
    let start = Instant::now();
    thread::scope(|scope| {
        let done = &done;
        let faults = scope.spawn(move || faults.run(system, start, done));
        let watch = scope.spawn(|| balancer.watch(done));
        let told = callers(scope, plan, &caller, start, interrupted);
        done.store(true, Ordering::Relaxed);
        let system = faults.join().expect("the thread of the faults does not panic")?;
        watch.join().expect("the thread of the balancer does not panic");
        Ok((told?, system))
    })
}

/// Starts a thread for each arrival when it is due, however long earlier ones wait.
fn callers<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    plan: &'scope Plan,
    caller: &'scope Caller<'_>,
    start: Instant,
    interrupted: &AtomicBool,
) -> anyhow::Result<Vec<Told>> {
    let mut threads = Vec::with_capacity(plan.arrivals.len());
    for arrival in &plan.arrivals {
        let due = start + arrival.at;
        while Instant::now() < due && !interrupted.load(Ordering::Relaxed) {
            thread::sleep(due.saturating_duration_since(Instant::now()).min(STEP));
        }
        if interrupted.load(Ordering::Relaxed) {
            break;
        }
        let builder = thread::Builder::new().name("caller".to_owned()).stack_size(STACK);
        let call = move || caller.call(arrival, due);
        threads.push(builder.spawn_scoped(scope, call).context("start a caller")?);
    }
    let told = threads
        .into_iter()
        .map(|thread| thread.join().expect("a caller does not panic"));
    Ok(told.collect())
}

/// Counts requests by what their callers were told, for people.
#[must_use]
pub fn summary(arrivals: &[Arrival], outcome: &Outcome) -> String {
    let count = |kind: fn(&End) -> bool| outcome.told.iter().filter(|told| kind(&told.end)).count();
    format!(
        "{}: {} requests, {} whole, {} not run, {} unknown, {} wrong, {} cut, {} unreached",
        outcome.run.policy,
        arrivals.len(),
        count(|end| *end == End::Whole),
        count(|end| *end == End::NotRun),
        count(|end| *end == End::Unknown),
        count(|end| matches!(end, End::Wrong(_))),
        count(|end| matches!(end, End::Cut(_))),
        count(|end| *end == End::Unreached),
    )
}
