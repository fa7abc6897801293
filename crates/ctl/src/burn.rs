//! `gentianctl burn`: merges the error budget counts of all entry hosts into one report.

use serde_json::Value;
use telemetry::burn::{NodeCounts, Report, ReportRow};
use telemetry::clock::wall_ms;
use wire::entry::EntryRpcClient;

use crate::chart::{Bars, Page};
use crate::cli::BurnOptions;
use crate::entries::EntryClients;
use crate::exit::Output;

/// Most causes that a row of the table names.
const MAX_CAUSES: usize = 3;

/// Asks every entry host and returns the report to print; writes it as a page if a file is given.
///
/// # Errors
/// Fails when no entry host answers or the page can't be written.
pub fn run(entries: &EntryClients, options: &BurnOptions, json: bool) -> anyhow::Result<Output> {
    let answers = entries.call_all("burn", &Value::Null, |client, message| async move {
        client.burn(message).await
    });
    anyhow::ensure!(
        !answers.received.is_empty(),
        "no entry host answered: {}",
        answers.notes.join("; ")
    );
    let mut parts = Vec::new();
    for (peer, value) in answers.received {
        let host_parts: Vec<NodeCounts> = serde_json::from_value(value)
            .map_err(|error| anyhow::anyhow!("burn at {peer}: {error}; is it of another version?"))?;
        parts.extend(host_parts);
    }
    let mut report = Report::new(parts, answers.notes.clone(), wall_ms() / 1_000);
    if let Some(customer) = &options.customer {
        report.rows.retain(|row| row.customer.as_str() == customer);
    }
    if let Some(file) = &options.html {
        std::fs::write(file, page(&report)?).map_err(|error| anyhow::anyhow!("write {}: {error}", file.display()))?;
    }
    let text = if json {
        serde_json::to_string_pretty(&report)?
    } else {
        table(&report)
    };
    Ok(Output::partial(text, answers.notes))
}

/// Renders the report as a table.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut lines = vec![format!(
        "{:<16} {:<16} {:<10} {:>8} {:>7} {:>7} {:>7} {:>7} {:>9}  CAUSES OVER 3 D",
        "CUSTOMER", "CLASS", "", "LEFT", "5 MIN", "1 H", "6 H", "3 D", "REQUESTS"
    )];
    for row in &report.rows {
        let burn: Vec<String> = row
            .windows
            .iter()
            .map(|window| format!("{:>7.2}", window.burn))
            .collect();
        lines.push(format!(
            "{:<16} {:<16} {:<10} {:>7.1}% {} {:>9}  {}",
            row.customer.as_str(),
            row.class.as_str(),
            row.alert.to_string(),
            row.budget_left * 100.0,
            burn.join(" "),
            row.windows[3].requests,
            top_causes(row)
        ));
    }
    let share = report.objective * 100.0;
    lines.push(format!(
        "{share:.0} in 100 requests are to meet their targets; a burn of 1 uses up the budget of 3 days in 3 days."
    ));
    for node in report.nodes.iter().filter(|node| node.age_s > 60) {
        lines.push(format!(
            "The counts of {} (started {}) are {} s old; its peer remembered them.",
            node.node, node.started_ms, node.age_s
        ));
    }
    lines.join("\n")
}

/// Renders the most frequent causes over three days.
fn top_causes(row: &ReportRow) -> String {
    let all = &row.windows[3].causes;
    let named = all.iter().take(MAX_CAUSES).map(|cause| {
        let location = cause.host.as_ref().map_or_else(String::new, |host| {
            let zone = cause.zone.as_ref().map_or("?", |zone| zone.as_str());
            format!(" on {host} ({zone})")
        });
        format!("{} {}{location}", cause.count, cause.cause)
    });
    let mut texts: Vec<String> = named.collect();
    if all.len() > MAX_CAUSES {
        texts.push("…".to_owned());
    }
    texts.join(", ")
}

/// Renders the report as an HTML page with charts.
///
/// # Errors
/// Fails when a chart can't be drawn.
pub fn page(report: &Report) -> anyhow::Result<String> {
    let mut page = Page::new("Error budgets");
    page.paragraph(&format!(
        "{:.0} in 100 requests are to meet their targets. A burn of 1 uses up the budget of 3 days in 3 days. Made at \
         {} seconds since 1970 from {} processes.",
        report.objective * 100.0,
        report.at_s,
        report.nodes.len()
    ));
    for note in &report.missing {
        page.paragraph(&format!("Missing: {note}"));
    }
    let rows: Vec<Vec<String>> = report.rows.iter().map(table_cells).collect();
    page.table(
        &[
            "customer / class",
            "",
            "budget left",
            "5 min",
            "1 h",
            "6 h",
            "3 d",
            "requests in 3 d",
        ],
        &rows,
    );
    for row in &report.rows {
        page.heading(&row_title(row));
        page.plot(&burn_chart(row))?;
        if !row.windows[3].causes.is_empty() {
            page.plot(&cause_chart(row))?;
            page.paragraph(&format!("Over 3 d: {}", top_causes(row)));
        }
    }
    Ok(page.finish())
}

/// Returns customer and class, as the title of a row.
fn row_title(row: &ReportRow) -> String {
    format!("{} / {}", row.customer, row.class)
}

/// Renders a row of the report as the cells of the page's table.
fn table_cells(row: &ReportRow) -> Vec<String> {
    let mut cells = vec![
        row_title(row),
        row.alert.to_string(),
        format!("{:.1}%", row.budget_left * 100.0),
    ];
    cells.extend(row.windows.iter().map(|window| format!("{:.2}", window.burn)));
    cells.push(row.windows[3].requests.to_string());
    cells
}

fn burn_chart(row: &ReportRow) -> Bars {
    Bars {
        title: "burn rate by window".to_owned(),
        groups: row.windows.iter().map(|window| window.window.to_string()).collect(),
        series: vec![(
            "burn".to_owned(),
            row.windows.iter().map(|window| window.burn).collect(),
        )],
    }
}

fn cause_chart(row: &ReportRow) -> Bars {
    let mut names: Vec<String> = Vec::new();
    for cause in row.windows.iter().flat_map(|window| &window.causes) {
        let name = cause.cause.to_string();
        if !names.contains(&name) {
            names.push(name);
        }
    }
    let series = names.into_iter().map(|name| {
        let count = |window: &telemetry::burn::WindowBurn| {
            let same = window.causes.iter().filter(|cause| cause.cause.to_string() == name);
            same.map(|cause| cause.count as f64).sum()
        };
        let values = row.windows.iter().map(count).collect();
        (name, values)
    });
    Bars {
        title: "missed requests by cause and window".to_owned(),
        groups: row.windows.iter().map(|window| window.window.to_string()).collect(),
        series: series.collect(),
    }
}
