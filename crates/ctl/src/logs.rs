//! Lines that processes have logged, one JSON object each.

use std::io::BufRead;
use std::path::PathBuf;

use anyhow::Context;
use serde_json::Value;

/// Reads the lines of files.
///
/// # Errors
/// Fails when a file can't be read.
pub fn read(files: &[PathBuf]) -> anyhow::Result<Vec<Value>> {
    let mut lines = Vec::new();
    for path in files {
        let file = std::fs::File::open(path).with_context(|| format!("open {}", path.display()))?;
        for line in std::io::BufReader::new(file).lines() {
            let line = line.with_context(|| format!("read {}", path.display()))?;
            // A line that a process could not finish, or one that is no JSON, says nothing of a request.
            lines.extend(serde_json::from_str::<Value>(&line).ok());
        }
    }
    Ok(lines)
}

/// Gives a field that is text, or nothing.
pub(crate) fn text<'a>(line: &'a Value, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Gives the time of a line in seconds of its day; logs of one incident lie within hours.
pub(crate) fn time(line: &Value) -> f64 {
    let stamp = text(line, "ts");
    let clock = stamp.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    clock
        .split(':')
        .fold(0.0, |sum, part| sum * 60.0 + part.parse::<f64>().unwrap_or(0.0))
}
