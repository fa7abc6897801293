//! Differences between two JSON values, one line each.

use std::collections::BTreeSet;

use serde_json::Value;

/// Lists the differences between two values: `+` for added, `-` for removed and `~` for changed paths.
#[must_use]
pub fn list_changes(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", old, new, &mut lines);
    lines
}

/// Compares two values that both exist, and goes down into objects and arrays.
fn compare(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            for name in names {
                let child_path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                compare_optional(&child_path, a.get(name), b.get(name), lines);
            }
        }
        (Value::Array(a), Value::Array(b)) => {
            for index in 0..a.len().max(b.len()) {
                compare_optional(&format!("{path}[{index}]"), a.get(index), b.get(index), lines);
            }
        }
        _ if old != new => lines.push(format!("~ {path}: {old} -> {new}")),
        _ => {}
    }
}

/// Compares two members or elements, either of which may be absent; null counts as absent.
fn compare_optional(path: &str, old: Option<&Value>, new: Option<&Value>, lines: &mut Vec<String>) {
    match (old, new) {
        (Some(old), Some(new)) => compare(path, old, new, lines),
        (Some(old), None) if !old.is_null() => lines.push(format!("- {path}: {old}")),
        (None, Some(new)) if !new.is_null() => lines.push(format!("+ {path}: {new}")),
        _ => {}
    }
}
