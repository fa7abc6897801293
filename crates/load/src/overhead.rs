//! What the entry adds: the same calls straight to a stand-in and through an entry host, in one run.
//!
//! Both ways are taken in turn in each round, so that whatever else the machine does hits both. The figure to look at is
//! the ratio.

mod bench;
mod round;

use std::fmt::Write as _;

use serde::Serialize;

use crate::cli::OverheadOptions;
use bench::Bench;
pub use round::{Figures, Kind};

/// One comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    /// What was called.
    pub kind: Kind,
    /// Callers at the same time.
    pub open: usize,
    /// Straight to the stand-in.
    pub direct: Figures,
    /// Through the entry host.
    pub through: Figures,
    /// Processor time of the entry host for one call, or for one token of a stream, in microseconds.
    pub entry_us: f64,
    /// Resident memory of the entry host at the end of the last round, in MB.
    pub entry_mb: f64,
}

/// Measures every comparison and prints it.
///
/// # Errors
/// Fails when a process can't be started or an answer is wrong.
pub fn run(options: &OverheadOptions) -> anyhow::Result<()> {
    let bench = Bench::start(options)?;
    let mut rows = Vec::new();
    for kind in [Kind::Lookup, Kind::Stream] {
        for open in &options.open.0 {
            rows.push(bench.compare(kind, *open, options)?);
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", table(&rows));
    }
    Ok(())
}

/// Renders the comparisons as a table in Markdown.
#[must_use]
pub fn table(rows: &[Compared]) -> String {
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
