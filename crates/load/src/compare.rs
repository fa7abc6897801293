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
use crate::trial::run::{Policy, RunOutput, run, summary};
use crate::workload::{Plan, PlanOptions, Workload};

/// Result of a comparison; field names are those of the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Workload of all runs.
    pub workload: Workload,
    /// Seed of arrivals and faults.
    pub seed: u64,
    /// Figures of each policy.
    pub runs: Vec<Run>,
}

/// Runs every policy and prints the comparison.
///
/// # Errors
/// Fails when a run does.
pub fn compare(options: &Compare) -> anyhow::Result<()> {
    let plan_options = PlanOptions {
        seed: options.seed,
        duration: Duration::try_from_secs_f64(options.duration).unwrap_or(Duration::MAX),
        rate: options.rate.unwrap_or_else(|| options.workload.usual_rate()),
    };
    let comparer = Comparer::new(options.workload, &plan_options, options.quiet)?;
    let mut runs = Vec::new();
    for policy in Policy::ALL {
        let without: &[String] = if policy == Policy::Gentianspring {
            &options.without
        } else {
            &[]
        };
        runs.push(comparer.run(policy, without, options.keep.as_deref())?.run);
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
pub fn run_single(options: &RunOptions) -> anyhow::Result<()> {
    let plan_options = PlanOptions {
        seed: options.seed,
        duration: Duration::try_from_secs_f64(options.duration).unwrap_or(Duration::MAX),
        rate: options.rate.unwrap_or_else(|| options.workload.usual_rate()),
    };
    let comparer = Comparer::new(options.workload, &plan_options, options.quiet)?;
    let output = comparer.run(options.policy, &options.without, options.keep.as_deref())?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&output.run)?);
    } else {
        println!("{}", table::render(&[output.run]));
    }
    Ok(())
}

/// Runs policies on the same arrivals and faults.
struct Comparer {
    plan: Plan,
    faults: Schedule,
    interrupted: Arc<AtomicBool>,
}

impl Comparer {
    fn new(workload: Workload, plan_options: &PlanOptions, quiet: bool) -> anyhow::Result<Self> {
        let interrupted = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGINT, Arc::clone(&interrupted))?;
        signal_hook::flag::register(SIGTERM, Arc::clone(&interrupted))?;
        let faults = if quiet {
            Schedule::without_faults(plan_options)
        } else {
            Schedule::new(plan_options)
        };
        Ok(Self {
            plan: Plan::new(workload, plan_options),
            faults,
            interrupted,
        })
    }

    fn run(&self, policy: Policy, without: &[String], keep: Option<&Path>) -> anyhow::Result<RunOutput> {
        let folder = tempfile::tempdir().context("create a temporary folder for the trial")?;
        let keep_path: Option<PathBuf> = keep.map(|keep| keep.join(policy.to_string()));
        let path = keep_path.as_deref().unwrap_or(folder.path());
        // Event logs of an earlier trial in the same folder would be counted as this one's.
        let is_empty = std::fs::read_dir(path).map_or(true, |mut files| files.next().is_none());
        ensure!(is_empty, "{} is not empty; name another folder to keep", path.display());
        std::fs::create_dir_all(path).with_context(|| format!("create {}", path.display()))?;
        let output = run(&self.plan, &self.faults, policy, without, path, &self.interrupted)?;
        eprintln!("{}", summary(&self.plan.arrivals, &output));
        let verdict = &output.verdict;
        for (kind, list) in [
            ("lost", &verdict.lost),
            ("doubled", &verdict.doubled),
            ("run after refusal", &verdict.after_refusal),
        ] {
            for line in list {
                eprintln!("  {kind}: {line}");
            }
        }
        Ok(output)
    }
}
