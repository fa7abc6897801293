//! Differences of JSON values, one line each.

use std::collections::BTreeSet;

use serde_json::Value;

/// Lists what changes from one value to another, by path.
#[must_use]
pub fn changes(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    walk("", old, new, &mut lines);
    lines
}

fn walk(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            for name in names {
                let below = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                step(&below, a.get(name), b.get(name), lines);
            }
        }
        (Value::Array(a), Value::Array(b)) => {
            for at in 0..a.len().max(b.len()) {
                step(&format!("{path}[{at}]"), a.get(at), b.get(at), lines);
            }
        }
        _ if old != new => lines.push(format!("~ {path}: {old} -> {new}")),
        _ => {}
    }
}

fn step(path: &str, old: Option<&Value>, new: Option<&Value>, lines: &mut Vec<String>) {
    match (old, new) {
        (Some(old), Some(new)) => walk(path, old, new, lines),
        (Some(old), None) if !old.is_null() => lines.push(format!("- {path}: {old}")),
        (None, Some(new)) if !new.is_null() => lines.push(format!("+ {path}: {new}")),
        _ => {}
    }
}
