//! Table of figures for the terminal.

use std::fmt::Write as _;

use crate::trial::figures::Run;

/// Renders the figures of runs as columns.
#[must_use]
pub fn render(runs: &[Run]) -> String {
    let mut text = String::new();
    let mut row = |name: &str, value: &dyn Fn(&Run) -> String| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{name:<28}");
        for run in runs {
            let _ = write!(text, " {:>16}", value(run));
        }
        text.push('\n');
    };
    row("policy", &|run| run.policy.clone());
    row("answers", &|run| run.answers.to_string());
    row("on time", &|run| run.on_time.to_string());
    row("dollars per 1,000 on time", &|run| {
        run.cost_per_1k_on_time
            .map_or_else(|| "-".to_owned(), |cost| format!("{cost:.4}"))
    });
    row("recomputed tokens", &|run| run.recomputed_tokens.to_string());
    row("first token p50 (ms)", &|run| format!("{:.1}", run.first_token_ms.p50));
    row("first token p95 (ms)", &|run| format!("{:.1}", run.first_token_ms.p95));
    row("between tokens p95 (ms)", &|run| {
        format!("{:.1}", run.between_tokens_ms.p95)
    });
    row("refused, not run", &|run| run.refused_not_run.to_string());
    row("lost", &|run| run.lost.to_string());
    row("doubled", &|run| run.doubled.to_string());
    row("run after refusal", &|run| run.run_after_refusal.to_string());
    text
}
