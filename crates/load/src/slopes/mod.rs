//! Growth of control-plane cost with each further entry host and upstream, idle and under configuration changes.
//!
//! Real processes run on loopback; the links between them count bytes, and the kernel counts CPU time and memory.

mod bench;
mod fit;
mod usage;

use serde::Serialize;

pub use fit::{Line, fit};
pub use usage::Usage;

use crate::cli::SlopesOptions;

/// Measurement with one number of entry hosts, upstreams and changes.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Number of entry hosts.
    pub entries: usize,
    /// Number of registered upstreams.
    pub upstreams: usize,
    /// Configuration changes a second.
    pub changes: f64,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Mean over the entry hosts.
    pub entry: Cost,
    /// Mean over the state nodes.
    pub state: Cost,
    /// State node with the most CPU time.
    pub busiest: Cost,
    /// Milliseconds until a change is in force on every entry host, as median and maximum; absent without changes.
    pub in_force_ms: Option<(f64, f64)>,
}

/// Cost of the control plane in one process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// CPU time in thousandths of a core.
    pub millicores: f64,
    /// Resident memory in MB.
    pub memory_mb: f64,
    /// Bytes a second over its links, in both directions.
    pub bytes_per_s: f64,
    /// Bytes a second of digests to and from other entry hosts, as the process counts them with their headers.
    pub digests_per_s: f64,
}

/// Fitted line of one quantity.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of what was varied and what was measured.
    pub quantity: String,
    /// Line fitted to the points.
    pub line: Line,
}

/// Measures all points, fits the lines and prints both.
///
/// # Errors
/// Fails when a process can't be started or doesn't answer.
pub fn run(options: &SlopesOptions) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for entries in &options.entries.0 {
        points.push(bench::measure(*entries, options.base_upstreams, 0.0, options.seconds)?);
        points.push(bench::measure(
            *entries,
            options.base_upstreams,
            options.changes,
            options.seconds,
        )?);
    }
    for upstreams in &options.upstreams.0 {
        points.push(bench::measure(options.base_entries, *upstreams, 0.0, options.seconds)?);
    }
    let slopes = slopes(&points, options);
    if options.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&serde_json::json!({"points": points, "slopes": slopes}))?
        );
        return Ok(());
    }
    points.iter().for_each(print_point);
    for slope in &slopes {
        let line = slope.line;
        println!(
            "{:<58} {:>10.3} + {:>9.4} x   r2 {:.3}",
            slope.quantity, line.start, line.slope, line.fit
        );
    }
    Ok(())
}

fn print_point(point: &Point) {
    println!(
        "entries {:>3} upstreams {:>4} changes/s {:>4.1}: entry {:>6.2} mcore {:>6.1} MB {:>8.0} B/s and {:>6.0} of digests, \
         state {:>6.2} mcore {:>6.1} MB {:>8.0} B/s, busiest {:>6.2} mcore, in force {:?} ms",
        point.entries,
        point.upstreams,
        point.changes,
        point.entry.millicores,
        point.entry.memory_mb,
        point.entry.bytes_per_s,
        point.entry.digests_per_s,
        point.state.millicores,
        point.state.memory_mb,
        point.state.bytes_per_s,
        point.busiest.millicores,
        point.in_force_ms,
    );
}

fn slopes(points: &[Point], options: &SlopesOptions) -> Vec<Slope> {
    let by_entries = |changing: bool| {
        move |point: &&Point| point.upstreams == options.base_upstreams && (point.changes > 0.0) == changing
    };
    let idle: Vec<&Point> = points.iter().filter(by_entries(false)).collect();
    let changing: Vec<&Point> = points.iter().filter(by_entries(true)).collect();
    let by_upstreams = |point: &&Point| point.entries == options.base_entries && point.changes == 0.0;
    let by_upstream: Vec<&Point> = points.iter().filter(by_upstreams).collect();
    let entries = |point: &Point| point.entries as f64;
    let upstreams = |point: &Point| point.upstreams as f64;
    let mut slopes = Vec::new();
    for (name, selected, x) in [
        ("idle, a further entry host", &idle, entries as fn(&Point) -> f64),
        ("changing, a further entry host", &changing, entries),
        ("idle, a further upstream", &by_upstream, upstreams),
    ] {
        for (quantity, y) in QUANTITIES {
            let pairs: Vec<(f64, f64)> = selected.iter().map(|point| (x(point), y(point))).collect();
            if let Some(line) = fit(&pairs) {
                slopes.push(Slope {
                    quantity: format!("{name}: {quantity}"),
                    line,
                });
            }
        }
    }
    slopes
}

type Quantity = (&'static str, fn(&Point) -> f64);

const QUANTITIES: [Quantity; 8] = [
    ("entry millicores", |point| point.entry.millicores),
    ("entry MB", |point| point.entry.memory_mb),
    ("entry B/s", |point| point.entry.bytes_per_s),
    ("entry B/s of digests", |point| point.entry.digests_per_s),
    ("state node millicores", |point| point.state.millicores),
    ("busiest state node millicores", |point| point.busiest.millicores),
    ("state node MB", |point| point.state.memory_mb),
    ("state node B/s", |point| point.state.bytes_per_s),
];
