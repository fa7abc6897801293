//! `gentianctl burn`.

use serde_json::Value;
use telemetry::burn::{NodeCounts, Report, ReportRow};
use telemetry::clock::wall_ms;
use wire::entry::EntryRpcClient;

use crate::chart::{Bars, Page};
use crate::cli::Burn;
use crate::entries::Entries;
use crate::exit::Output;

/// Causes that a table line names.
const NAMED: usize = 3;

/// Asks every entry host and prints the report.
///
/// # Errors
/// Fails when no entry host answers or the page can't be written.
pub fn run(entries: &Entries, options: &Burn, json: bool) -> anyhow::Result<Output> {
    let answers = entries.ask(
        "burn",
        &Value::Null,
        |client, ask| async move { client.burn(ask).await },
    );
    anyhow::ensure!(
        !answers.good.is_empty(),
        "no entry host answered: {}",
        answers.notes.join("; ")
    );
    let mut parts = Vec::new();
    for (peer, value) in answers.good {
        let own: Vec<NodeCounts> = serde_json::from_value(value)
            .map_err(|error| anyhow::anyhow!("burn at {peer}: {error}; is it of another version?"))?;
        parts.extend(own);
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
            causes(row)
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

fn causes(row: &ReportRow) -> String {
    let all = &row.windows[3].causes;
    let named = all.iter().take(NAMED).map(|cause| {
        let place = cause.host.as_ref().map_or_else(String::new, |host| {
            let zone = cause.zone.as_ref().map_or("?", |zone| zone.as_str());
            format!(" on {host} ({zone})")
        });
        format!("{} {}{place}", cause.count, cause.cause)
    });
    let mut texts: Vec<String> = named.collect();
    if all.len() > NAMED {
        texts.push("…".to_owned());
    }
    texts.join(", ")
}

/// Renders the report as one page with plots.
///
/// # Errors
/// Fails when a plot can't be drawn.
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
    let rows: Vec<Vec<String>> = report.rows.iter().map(cells).collect();
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
        page.heading(&name(row));
        page.plot(&burn_plot(row))?;
        if !row.windows[3].causes.is_empty() {
            page.plot(&cause_plot(row))?;
            page.paragraph(&format!("Over 3 d: {}", causes(row)));
        }
    }
    Ok(page.finish())
}

fn name(row: &ReportRow) -> String {
    format!("{} / {}", row.customer, row.class)
}

fn cells(row: &ReportRow) -> Vec<String> {
    let mut cells = vec![
        name(row),
        row.alert.to_string(),
        format!("{:.1}%", row.budget_left * 100.0),
    ];
    cells.extend(row.windows.iter().map(|window| format!("{:.2}", window.burn)));
    cells.push(row.windows[3].requests.to_string());
    cells
}

fn burn_plot(row: &ReportRow) -> Bars {
    Bars {
        title: "burn rate by window".to_owned(),
        groups: row.windows.iter().map(|window| window.window.to_string()).collect(),
        series: vec![(
            "burn".to_owned(),
            row.windows.iter().map(|window| window.burn).collect(),
        )],
    }
}

fn cause_plot(row: &ReportRow) -> Bars {
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
