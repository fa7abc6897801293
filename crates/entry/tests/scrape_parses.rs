//! The metrics of a running entry host can be parsed and are all documented.

mod common;

use std::collections::BTreeSet;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use common::{TIMEOUT, free_address};

const METRICS_PAGE: &str = include_str!("../../../docs/reference/metrics.md");

struct EntryProcess(Child);

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Parses one line of the text format: name, labels in braces, value.
fn sample(line: &str) -> Option<(&str, f64)> {
    let end = line.find(['{', ' '])?;
    let (name, rest) = line.split_at(end);
    let value = match rest.strip_prefix('{') {
        Some(labels) => labels.rsplit_once("} ")?.1,
        None => rest.trim_start(),
    };
    Some((name, value.parse().ok()?))
}

#[test]
fn scrape_parses() {
    let ops = free_address();
    let mut command = Command::new(env!("CARGO_BIN_EXE_gentian-entry"));
    command.args(["--node", "entry-1", "--data-center", "dc-1", "--state", "127.0.0.1:1"]);
    let child = command
        .args(["--ops", &ops.to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let _running = EntryProcess(child);
    let until = Instant::now() + TIMEOUT;
    let text = loop {
        assert!(Instant::now() < until, "no scrape came");
        let answer = ureq::get(format!("http://{ops}/metrics")).call();
        let text = answer
            .ok()
            .and_then(|mut answer| answer.body_mut().read_to_string().ok());
        if let Some(text) = text.filter(|text| text.contains("gentian_config_age_seconds")) {
            break text;
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    };
    let mut names = BTreeSet::new();
    for line in text.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let (name, value) = sample(line).unwrap_or_else(|| panic!("{line}"));
        assert!(!value.is_nan(), "{line}");
        names.insert(name);
    }
    for name in &names {
        assert!(METRICS_PAGE.contains(&format!("`{name}`")), "{name} is not on the page");
    }
    assert!(names.len() > 3, "{names:?}");
}
