//! Reads log files, which hold one JSON object a line.

use std::io::BufRead;
use std::path::PathBuf;

use anyhow::Context;
use serde_json::Value;

/// Reads the lines of log files that are JSON.
///
/// # Errors
/// Fails when a file can't be read.
pub fn read_lines(files: &[PathBuf]) -> anyhow::Result<Vec<Value>> {
    let mut lines = Vec::new();
    for path in files {
        let file = std::fs::File::open(path).with_context(|| format!("open {}", path.display()))?;
        for line in std::io::BufReader::new(file).lines() {
            let line = line.with_context(|| format!("read {}", path.display()))?;
            // A line that was cut off when its process stopped, or isn't JSON, says nothing about a request.
            lines.extend(serde_json::from_str::<Value>(&line).ok());
        }
    }
    Ok(lines)
}

/// Returns a field of a line that is text; empty if there is none.
pub(crate) fn text_field<'a>(line: &'a Value, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Returns whether a late answer would have begun in time without the request's wait at its entry host.
pub(crate) fn is_late_by_wait(line: &Value) -> bool {
    let ms = |name: &str| line.get(name).and_then(Value::as_f64).unwrap_or_default();
    ms("first_ms") > ms("target_ms") && ms("first_ms") - ms("waited_ms") <= ms("target_ms")
}

/// Returns the time of a line in seconds since midnight; logs of one incident span hours, so the date is left out.
pub(crate) fn time_s(line: &Value) -> f64 {
    let timestamp = text_field(line, "ts");
    let clock = timestamp.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    clock
        .split(':')
        .fold(0.0, |sum, part| sum * 60.0 + part.parse::<f64>().unwrap_or(0.0))
}
