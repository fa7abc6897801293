//! `gentian-load report`: a page with plots from the JSON output of comparisons.

use anyhow::Context;
use ctl::chart::{Bars, Page};

use crate::cli::Report;
use crate::compare::Comparison;
use crate::trial::figures::Run;

/// A plotted figure: its title and its value for a run.
type PlottedFigure = (&'static str, fn(&Run) -> f64);

const PLOTTED_FIGURES: [PlottedFigure; 8] = [
    ("answers on time (requests)", |run| run.on_time as f64),
    ("cost for 1,000 answers on time (dollars)", |run| {
        run.cost_per_1k_on_time.unwrap_or_default()
    }),
    ("recomputed tokens", |run| run.recomputed_tokens as f64),
    ("first token, p50 (ms)", |run| run.first_token_ms.p50),
    ("first token, p95 (ms)", |run| run.first_token_ms.p95),
    ("between tokens, p95 (ms)", |run| run.between_tokens_ms.p95),
    ("refused, not run (requests)", |run| run.refused_not_run as f64),
    ("lost + doubled + run after refusal (requests)", |run| {
        (run.lost + run.doubled + run.run_after_refusal) as f64
    }),
];

/// Reads comparisons and writes the page.
///
/// # Errors
/// Fails when a file can't be read as a comparison or the page can't be written.
pub fn write(options: &Report) -> anyhow::Result<()> {
    let mut comparisons = Vec::new();
    for file in &options.files {
        let text = std::fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?;
        let comparison: Comparison =
            serde_json::from_str(&text).with_context(|| format!("read {} as a comparison", file.display()))?;
        comparisons.push(comparison);
    }
    let page = render(&comparisons)?;
    std::fs::write(&options.out, page).with_context(|| format!("write {}", options.out.display()))?;
    println!("{}", options.out.display());
    Ok(())
}

/// Renders comparisons as a self-contained page.
///
/// # Errors
/// Fails when a plot can't be drawn.
pub fn render(comparisons: &[Comparison]) -> anyhow::Result<String> {
    let mut page = Page::new("Comparison of policies");
    page.paragraph("Each seed gives every policy the same arrivals and faults. Made by gentian-load report.");
    for comparison in comparisons {
        page.heading(&title_of(comparison));
        let mut head = vec!["figure"];
        head.extend(comparison.runs.iter().map(|run| run.policy.as_str()));
        let rows: Vec<Vec<String>> = PLOTTED_FIGURES
            .iter()
            .map(|(title, value_of)| row(title, *value_of, comparison))
            .collect();
        page.table(&head, &rows);
    }
    for (title, value_of) in PLOTTED_FIGURES {
        page.plot(&bars(title, value_of, comparisons))?;
    }
    Ok(page.finish())
}

fn title_of(comparison: &Comparison) -> String {
    format!("{} seed {}", comparison.workload, comparison.seed)
}

fn row(title: &str, value_of: fn(&Run) -> f64, comparison: &Comparison) -> Vec<String> {
    let values = comparison.runs.iter().map(|run| {
        let value = value_of(run);
        if value.fract() == 0.0 {
            format!("{value:.0}")
        } else {
            format!("{value:.4}")
        }
    });
    std::iter::once(title.to_owned()).chain(values).collect()
}

/// Returns a bar chart with a group for each comparison and a bar for each policy.
fn bars(title: &str, value_of: fn(&Run) -> f64, comparisons: &[Comparison]) -> Bars {
    let mut policies: Vec<&str> = Vec::new();
    for run in comparisons.iter().flat_map(|comparison| &comparison.runs) {
        if !policies.contains(&run.policy.as_str()) {
            policies.push(&run.policy);
        }
    }
    let value = |comparison: &Comparison, policy: &str| {
        let run = comparison.runs.iter().find(|run| run.policy == policy);
        run.map_or(0.0, value_of)
    };
    let series = policies.into_iter().map(|policy| {
        let values = comparisons.iter().map(|comparison| value(comparison, policy));
        (policy.to_owned(), values.collect())
    });
    Bars {
        title: title.to_owned(),
        groups: comparisons.iter().map(title_of).collect(),
        series: series.collect(),
    }
}
