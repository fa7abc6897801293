//! `gentian-load compare` and `run`: policies on the same arrivals and faults.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::cli::{Compare, RunOptions};
use crate::table;
use crate::trial::faults::Schedule;
use crate::trial::figures::Run;
use crate::trial::run::{Outcome, Policy, run, summary};
use crate::workload::{Extent, Plan, Workload};

/// What a comparison found; the names are those of the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Whose workload.
    pub workload: Workload,
    /// Seed of everything random.
    pub seed: u64,
    /// One entry for each policy.
    pub runs: Vec<Run>,
}

/// Runs every policy and prints the comparison.
///
/// # Errors
/// Fails when a run does.
pub fn compare(options: &Compare) -> anyhow::Result<()> {
    let extent = Extent {
        seed: options.seed,
        duration: Duration::from_secs_f64(options.duration),
        rate: options.rate.unwrap_or_else(|| options.workload.usual_rate()),
    };
    let bench = Bench::new(options.workload, &extent, options.quiet)?;
    let mut runs = Vec::new();
    for policy in Policy::ALL {
        let without: &[String] = if policy == Policy::Gentianspring {
            &options.without
        } else {
            &[]
        };
        runs.push(bench.run(policy, without, options.keep.as_deref())?.run);
    }
    let comparison = Comparison {
        workload: options.workload,
        seed: options.seed,
        runs,
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&comparison)?);
    } else {
        println!("{}", table::render(&comparison.runs));
    }
    Ok(())
}

/// Runs one policy and prints its figures.
///
/// # Errors
/// Fails when the run does.
pub fn single(options: &RunOptions) -> anyhow::Result<()> {
    let extent = Extent {
        seed: options.seed,
        duration: Duration::from_secs_f64(options.duration),
        rate: options.rate.unwrap_or_else(|| options.workload.usual_rate()),
    };
    let bench = Bench::new(options.workload, &extent, options.quiet)?;
    let outcome = bench.run(options.policy, &options.without, options.keep.as_deref())?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&outcome.run)?);
    } else {
        println!("{}", table::render(&[outcome.run]));
    }
    Ok(())
}

/// Arrivals and faults that every policy gets.
struct Bench {
    plan: Plan,
    faults: Schedule,
    interrupted: Arc<AtomicBool>,
}

impl Bench {
    fn new(workload: Workload, extent: &Extent, quiet: bool) -> anyhow::Result<Self> {
        let interrupted = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGINT, Arc::clone(&interrupted))?;
        signal_hook::flag::register(SIGTERM, Arc::clone(&interrupted))?;
        let faults = if quiet {
            Schedule::quiet(extent)
        } else {
            Schedule::new(extent)
        };
        Ok(Self {
            plan: Plan::new(workload, extent),
            faults,
            interrupted,
        })
    }

    fn run(&self, policy: Policy, without: &[String], keep: Option<&Path>) -> anyhow::Result<Outcome> {
        let folder = tempfile::tempdir().context("make a folder for the trial")?;
        let kept: Option<PathBuf> = keep.map(|keep| keep.join(policy.to_string()));
        let path = kept.as_deref().unwrap_or(folder.path());
        // Records of an earlier trial in the same folder would be taken for this one's.
        let empty = std::fs::read_dir(path).map_or(true, |mut files| files.next().is_none());
        ensure!(empty, "{} is not empty; name another folder to keep", path.display());
        std::fs::create_dir_all(path).with_context(|| format!("make {}", path.display()))?;
        let outcome = run(&self.plan, &self.faults, policy, without, path, &self.interrupted)?;
        eprintln!("{}", summary(&self.plan.arrivals, &outcome));
        let found = &outcome.found;
        for (kind, list) in [
            ("lost", &found.lost),
            ("doubled", &found.doubled),
            ("run after refusal", &found.after_refusal),
        ] {
            for line in list {
                eprintln!("  {kind}: {line}");
            }
        }
        Ok(outcome)
    }
}
