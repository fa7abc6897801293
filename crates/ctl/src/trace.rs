//! `gentianctl trace`: finds the log lines of one request, and the events at its entry host that explain them.

use std::collections::BTreeSet;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;

use crate::exit::{NotFound, Output};
use crate::logs::{is_late_by_wait, read_lines, text_field, time_s};

/// Time before a request's end in which events of its entry host may explain it.
const HOST_WINDOW_S: f64 = 10.0;
/// Time before a request's end in which events of its upstream may explain it; a drain may take that long.
const UPSTREAM_WINDOW_S: f64 = 30.0;
/// Time after a request's end in which events of its upstream may explain it; entry hosts learn up to 1.5 s late that
/// an upstream was reclaimed.
const UPSTREAM_DELAY_S: f64 = 2.0;
/// Log messages about an entry host that explain what happens to its requests.
const HOST_EVENTS: [&str; 7] = [
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

/// What the logs say about a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Lines about the request, its entry host and its upstream, in order of time.
    pub lines: Vec<Value>,
    /// Why the request ended as it did, as far as the lines tell it.
    pub cause: String,
}

/// Reads the files and returns the trace to print.
///
/// # Errors
/// Fails when a file can't be read, or none mentions the request.
pub fn run(options: &TraceOptions, json: bool) -> anyhow::Result<Output> {
    let lines = read_lines(&options.files)?;
    let trace = trace(&options.id, &lines).ok_or_else(|| NotFound {
        item: format!("request {}", options.id),
        hint: "name the logs of all entry hosts, and of the hour in which it came",
    })?;
    let rendered: Vec<String> = trace.lines.iter().map(ToString::to_string).collect();
    let output = if json {
        serde_json::json!({ "cause": trace.cause, "lines": trace.lines }).to_string()
    } else {
        format!("{}\ncause: {}", rendered.join("\n"), trace.cause)
    };
    Ok(Output::from(output))
}

/// Finds the lines of a request and the events that explain them; `None` if no line mentions it.
#[must_use]
pub fn trace(id: &str, lines: &[Value]) -> Option<Trace> {
    let request_lines: Vec<&Value> = lines.iter().filter(|line| text_field(line, "request") == id).collect();
    let last = request_lines.iter().max_by(|a, b| time_s(a).total_cmp(&time_s(b)))?;
    let (end, host) = (time_s(last), text_field(last, "node"));
    let upstreams: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| text_field(line, "upstream"))
        .filter(|id| !id.is_empty())
        .collect();
    let within = |line: &Value, before: f64, after: f64| (-after..=before).contains(&(end - time_s(line)));
    let of_host = |line: &&Value| {
        text_field(line, "node") == host
            && HOST_EVENTS.contains(&text_field(line, "msg"))
            && within(line, HOST_WINDOW_S, 0.0)
    };
    let of_upstream = |line: &&Value| {
        let named = text_field(line, "upstreams")
            .split(',')
            .any(|upstream| upstreams.contains(upstream));
        text_field(line, "node") == host && named && within(line, UPSTREAM_WINDOW_S, UPSTREAM_DELAY_S)
    };
    let mut found: Vec<&Value> = request_lines.clone();
    found.extend(lines.iter().filter(|line| of_host(line) || of_upstream(line)));
    found.sort_by(|a, b| time_s(a).total_cmp(&time_s(b)));
    Some(Trace {
        cause: cause(last, &found),
        lines: found.into_iter().cloned().collect(),
    })
}

/// Returns why a request ended as it did, for operators.
fn cause(last: &Value, found: &[&Value]) -> String {
    let reason = text_field(last, "why");
    let has_message = |msg: &str| found.iter().any(|line| text_field(line, "msg") == msg);
    let leaving = has_message("upstreams leave");
    if reason.contains("quota") {
        return if has_message("serving") {
            "over the account's quota shortly after the start of the host, which begins with a part of a burst"
                .to_owned()
        } else if has_message("no parts of limits are told") {
            "over the host's own part of the quota, cut off from the leader that lends more".to_owned()
        } else {
            "the account used up its quota".to_owned()
        };
    }
    if reason.contains("host stops") {
        return "the host was stopped as planned".to_owned();
    }
    if reason.contains("no configuration") {
        return "the host had just started and no state node told it a configuration".to_owned();
    }
    if leaving && (reason.contains("broke off") || reason.contains("may have run") || reason.contains("not run")) {
        return format!("the upstream left or was taken away: {reason}");
    }
    if has_message("attempt failed") || reason.contains("broke off") || reason.contains("may have run") {
        return format!("the upstream failed: {reason}");
    }
    if text_field(last, "outcome") == "broken" && reason.contains("time is over") {
        let (first, took) = (&last["first_ms"], &last["took_ms"]);
        return format!("the answer began after {first} ms and was not whole in its time, {took} ms");
    }
    if last.get("late") == Some(&Value::Bool(true)) {
        if is_late_by_wait(last) {
            let (waited, predicted) = (&last["waited_ms"], &last["wait_predicted_ms"]);
            return format!("waited {waited} ms at the entry host for an upstream, {predicted} ms were predicted");
        }
        let (load, predicted) = (&last["load"], &last["predicted_ms"]);
        return format!("late at the upstream: {load} requests there, {predicted} ms were predicted");
    }
    if reason.is_empty() {
        "the caller left".to_owned()
    } else {
        reason.to_owned()
    }
}
