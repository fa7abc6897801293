//! Overhead of an entry host: the same calls directly to a stand-in and through an entry host, in one run.
//!
//! Each round measures both routes in turn, so that other load on the machine affects both. The meaningful figure is
//! the ratio.

mod bench;
mod round;

use std::fmt::Write as _;

use serde::Serialize;

use crate::cli::OverheadOptions;
use bench::TestSystem;
pub use round::{CallKind, Figures};

/// Comparison for one kind of call and one number of callers.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadRow {
    /// Kind of the calls.
    pub kind: CallKind,
    /// Number of concurrent callers.
    pub open: usize,
    /// Calls directly to the stand-in.
    pub direct: Figures,
    /// Calls through the entry host.
    pub through: Figures,
    /// CPU time of the entry host for a call, or for a token of a stream, in microseconds.
    pub entry_us: f64,
    /// Resident memory of the entry host at the end of the last round, in MB.
    pub entry_mb: f64,
}

/// Runs all comparisons and prints them.
///
/// # Errors
/// Fails when a process can't be started or an answer is wrong.
pub fn run(options: &OverheadOptions) -> anyhow::Result<()> {
    let system = TestSystem::start(options)?;
    let mut rows = Vec::new();
    for kind in [CallKind::Lookup, CallKind::Stream] {
        for open in &options.open.0 {
            rows.push(system.compare(kind, *open, options)?);
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", render_table(&rows));
    }
    Ok(())
}

/// Renders the comparisons as a table in Markdown.
#[must_use]
pub fn render_table(rows: &[OverheadRow]) -> String {
    let mut text = String::from(
        "| what | open | direct p50 / p95 ms | through p50 / p95 ms | added p50 ms | direct per s | through per s \
         | ratio per s | entry µs each | entry MB |\n|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let (direct, through) = (&row.direct, &row.through);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {:.2} / {:.2} | {:.2} / {:.2} | {:.2} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} |",
            row.kind,
            row.open,
            direct.p50_ms,
            direct.p95_ms,
            through.p50_ms,
            through.p95_ms,
            through.p50_ms - direct.p50_ms,
            direct.per_s,
            through.per_s,
            through.per_s / direct.per_s.max(f64::EPSILON),
            row.entry_us,
            row.entry_mb,
        );
    }
    text
}
