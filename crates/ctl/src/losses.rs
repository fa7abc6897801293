//! `gentianctl losses`: counts the requests in logs that were not answered in time, by cause.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use argh::FromArgs;
use derive_more::Display;
use serde_json::Value;

use crate::exit::Output;
use crate::logs::{is_late_by_wait, read_lines, text_field, time_s};

/// Smallest part of the time to the first event that a prediction has to reach to count as right.
const MIN_PREDICTED_PART: f64 = 0.5;

/// What entry hosts say of requests that they refuse since these would not be in time.
const TOO_LATE_REASONS: [&str; 3] = [
    "it would start too late",
    "no upstream had room in time",
    "its first event would come too late",
];

/// Count the requests of logs by what became of them, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses", example = "gentianctl losses entry-1.log entry-2.log")]
pub struct LossesOptions {
    /// log files of entry hosts, one JSON object a line
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// seconds of one row of the table by time, 5 by default
    #[argh(option, default = "5")]
    pub every: u32,
}

/// Why a request was not answered in time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The prefill of its own prompt took longer than the target for the first event.
    #[display("own prompt too long")]
    LongPrompt,
    /// It was queued behind other prompts although it was already predicted to be late.
    #[display("behind known prompts")]
    PredictedLate,
    /// It waited for work that its entry host's prediction didn't include.
    #[display("waited longer than predicted")]
    Unpredicted,
    /// Its answer began in time, but paused for too long.
    #[display("paused")]
    Paused,
    /// A call to a plain service took too long.
    #[display("slow plain answer")]
    SlowCall,
    /// Its deadline passed.
    #[display("out of time")]
    DeadlinePassed,
    /// Its stream was interrupted.
    #[display("broken off")]
    StreamBroken,
    /// An upstream answered with a failure, or didn't answer.
    #[display("upstream failed")]
    UpstreamFailed,
    /// Its account had used up its quota.
    #[display("over quota")]
    QuotaExceeded,
    /// Its answer would have been in time without its wait at the entry host.
    #[display("waited at the entry host")]
    Waited,
    /// The queue of its entry host was full.
    #[display("queue full")]
    QueueFull,
    /// It would have started, or had its first event, when its caller had left.
    #[display("too late to start")]
    TooLate,
    /// It was refused for another reason.
    #[display("refused")]
    Refused,
}

/// Requests counted by cause of loss.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Losses {
    /// All requests in the logs.
    pub total: u64,
    /// Requests that were answered in time, as far as they were logged.
    pub in_time: u64,
    /// The other requests, by cause and route.
    pub lost: BTreeMap<(Cause, String), u64>,
    /// The other requests, by the start of their row in seconds since the first log line, and by cause.
    pub by_time: BTreeMap<u64, BTreeMap<Cause, u64>>,
}

/// Reads the files and returns the tables to print.
///
/// # Errors
/// Fails when a file can't be read.
pub fn run(options: &LossesOptions, json: bool) -> anyhow::Result<Output> {
    let lines = read_lines(&options.files)?;
    let losses = count_losses(&lines, options.every.max(1));
    let shown = if json {
        losses.to_json().to_string()
    } else {
        losses.to_string()
    };
    Ok(Output::from(shown))
}

/// Counts requests by cause, with a row of time for every `every_s` seconds.
#[must_use]
pub fn count_losses(lines: &[Value], every_s: u32) -> Losses {
    let mut losses = Losses::default();
    let start_s = lines.iter().map(time_s).fold(f64::INFINITY, f64::min);
    for line in lines {
        let cause = match text_field(line, "msg") {
            "request ended" => ended_cause(line),
            "request refused" => Some(refused_cause(line)),
            _ => continue,
        };
        losses.total += 1;
        let Some(cause) = cause else {
            losses.in_time += 1;
            continue;
        };
        let route = text_field(line, "route").to_owned();
        *losses.lost.entry((cause, route)).or_default() += 1;
        let interval_s = u64::from(every_s);
        let row = ((time_s(line) - start_s) as u64) / interval_s * interval_s;
        *losses.by_time.entry(row).or_default().entry(cause).or_default() += 1;
    }
    losses
}

/// Returns why a request that had a route was not answered in time; `None` if it was.
fn ended_cause(line: &Value) -> Option<Cause> {
    let reason = text_field(line, "why");
    match text_field(line, "outcome") {
        "passed" if line["late"] != true => None,
        "passed" => Some(late_cause(line)),
        "refused" => Some(refused_cause(line)),
        _ if reason.contains("time is over") => Some(Cause::DeadlinePassed),
        "broken" => Some(Cause::StreamBroken),
        _ => Some(Cause::UpstreamFailed),
    }
}

/// Returns why a request was refused.
fn refused_cause(line: &Value) -> Cause {
    let reason = text_field(line, "why");
    if reason.contains("quota") {
        Cause::QuotaExceeded
    } else if reason.contains("may have run") {
        Cause::UpstreamFailed
    } else if reason.contains("queue for upstreams") {
        Cause::QueueFull
    } else if TOO_LATE_REASONS.iter().any(|text| reason.contains(text)) {
        Cause::TooLate
    } else {
        Cause::Refused
    }
}

/// Returns why an answer was late.
fn late_cause(line: &Value) -> Cause {
    let ms = |name: &str| line[name].as_f64().unwrap_or_default();
    if is_late_by_wait(line) {
        return Cause::Waited;
    }
    if line["prompt"].is_null() {
        return Cause::SlowCall;
    }
    if ms("first_ms") <= ms("target_ms") {
        return Cause::Paused;
    }
    if ms("reading_ms") > ms("target_ms") {
        return Cause::LongPrompt;
    }
    let prediction_right = ms("predicted_ms") >= ms("first_ms") * MIN_PREDICTED_PART;
    if prediction_right && ms("predicted_ms") > ms("target_ms") {
        Cause::PredictedLate
    } else {
        Cause::Unpredicted
    }
}

impl Losses {
    fn to_json(&self) -> Value {
        let lost = self.lost.iter().map(
            |((cause, route), count)| serde_json::json!({ "cause": cause.to_string(), "route": route, "count": count }),
        );
        let by_time = self.by_time.iter().map(|(second, causes)| {
            let causes: BTreeMap<String, u64> = causes
                .iter()
                .map(|(cause, count)| (cause.to_string(), *count))
                .collect();
            serde_json::json!({ "second": second, "causes": causes })
        });
        serde_json::json!({
            "all": self.total,
            "served": self.in_time,
            "lost": lost.collect::<Vec<_>>(),
            "by_time": by_time.collect::<Vec<_>>(),
        })
    }
}

impl std::fmt::Display for Losses {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{} requests, {} answered in time", self.total, self.in_time)?;
        writeln!(f, "{:<30} {:<16} {:>7}", "CAUSE", "ROUTE", "COUNT")?;
        for ((cause, route), count) in &self.lost {
            writeln!(f, "{:<30} {route:<16} {count:>7}", cause.to_string())?;
        }
        write!(f, "\nSECOND")?;
        for (second, causes) in &self.by_time {
            let mut row = String::new();
            for (cause, count) in causes {
                write!(row, "  {cause} {count}")?;
            }
            write!(f, "\n{second:>6}{row}")?;
        }
        Ok(())
    }
}
