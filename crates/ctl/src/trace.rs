//! What the logs of the entry hosts say of one request, and what befell its host and upstream before.

use std::collections::BTreeSet;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;

use crate::exit::{Absent, Output};
use crate::logs::{read, text, time};

/// Time before a request's end in which news of its host count, in seconds.
const HOST_S: f64 = 10.0;
/// Time before a request's end in which news of its upstream count, in seconds: what drains may take as long.
const UPSTREAM_S: f64 = 30.0;
/// Time after a request's end in which they do, in seconds: hosts learn that an upstream is taken away up to 1.5 s late.
const UPSTREAM_LATE_S: f64 = 2.0;
/// Messages about a host that explain what happens to its requests.
const HOST_NEWS: [&str; 7] = [
    "serving",
    "stopping",
    "readiness changed",
    "state node lost",
    "no parts of limits are told",
    "list of upstreams can't be read",
    "configuration in force",
];

/// Find what the logs say of a request.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "gentianctl trace a77fe7cf4570a9b8 entry-1.log entry-2.log"
)]
pub struct TraceOptions {
    /// id of the request, as its caller sent it
    #[argh(positional)]
    pub id: String,
    /// log files of entry hosts, one JSON object a line
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// What was found of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Lines about the request, its host and its upstream, in order.
    pub lines: Vec<Value>,
    /// The cause in words, as far as the lines tell it.
    pub cause: String,
}

/// Reads the files and prints the trace.
///
/// # Errors
/// Fails when a file can't be read, or none says anything of the request.
pub fn run(options: &TraceOptions, json: bool) -> anyhow::Result<Output> {
    let lines = read(&options.files)?;
    let trace = trace(&options.id, &lines).ok_or_else(|| Absent {
        what: format!("request {}", options.id),
        next: "name the logs of all entry hosts, and of the hour in which it came",
    })?;
    let shown: Vec<String> = trace.lines.iter().map(ToString::to_string).collect();
    let text = if json {
        serde_json::json!({ "cause": trace.cause, "lines": trace.lines }).to_string()
    } else {
        format!("{}\ncause: {}", shown.join("\n"), trace.cause)
    };
    Ok(Output::from(text))
}

/// Finds the lines of a request and what explains them.
#[must_use]
pub fn trace(id: &str, lines: &[Value]) -> Option<Trace> {
    let own: Vec<&Value> = lines.iter().filter(|line| text(line, "request") == id).collect();
    let last = own.iter().max_by(|a, b| time(a).total_cmp(&time(b)))?;
    let (end, host) = (time(last), text(last, "node"));
    let upstreams: BTreeSet<&str> = own
        .iter()
        .map(|line| text(line, "upstream"))
        .filter(|id| !id.is_empty())
        .collect();
    let within = |line: &Value, before: f64, after: f64| (-after..=before).contains(&(end - time(line)));
    let of_host = |line: &&Value| {
        text(line, "node") == host && HOST_NEWS.contains(&text(line, "msg")) && within(line, HOST_S, 0.0)
    };
    let of_upstream = |line: &&Value| {
        let named = text(line, "upstreams")
            .split(',')
            .any(|named| upstreams.contains(named));
        text(line, "node") == host && named && within(line, UPSTREAM_S, UPSTREAM_LATE_S)
    };
    let mut found: Vec<&Value> = own.clone();
    found.extend(lines.iter().filter(|line| of_host(line) || of_upstream(line)));
    found.sort_by(|a, b| time(a).total_cmp(&time(b)));
    Some(Trace {
        cause: cause(last, &found),
        lines: found.into_iter().cloned().collect(),
    })
}

/// Says in words why a request ended as it did.
fn cause(last: &Value, found: &[&Value]) -> String {
    let why = text(last, "why");
    let told = |msg: &str| found.iter().any(|line| text(line, "msg") == msg);
    let leaving = told("upstreams leave");
    if why.contains("quota") {
        return if told("serving") {
            "over the account's quota shortly after the start of the host, which begins with a part of a burst"
                .to_owned()
        } else if told("no parts of limits are told") {
            "over the host's own part of the quota, cut off from the leader that lends more".to_owned()
        } else {
            "the account used up its quota".to_owned()
        };
    }
    if why.contains("host stops") {
        return "the host was stopped as planned".to_owned();
    }
    if why.contains("no configuration") {
        return "the host had just started and no state node told it a configuration".to_owned();
    }
    if leaving && (why.contains("broke off") || why.contains("may have run") || why.contains("not run")) {
        return format!("the upstream left or was taken away: {why}");
    }
    if told("attempt failed") || why.contains("broke off") || why.contains("may have run") {
        return format!("the upstream failed: {why}");
    }
    if text(last, "outcome") == "broken" && why.contains("time is over") {
        let (first, took) = (&last["first_ms"], &last["took_ms"]);
        return format!("the answer began after {first} ms and was not whole in its time, {took} ms");
    }
    if last.get("late") == Some(&Value::Bool(true)) {
        let (load, predicted) = (&last["load"], &last["predicted_ms"]);
        return format!("late at the upstream: {load} requests there, {predicted} ms were predicted");
    }
    if why.is_empty() {
        "the caller left".to_owned()
    } else {
        why.to_owned()
    }
}
