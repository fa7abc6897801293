//! Where answers in time are lost: the requests of a run's logs, counted by cause.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use argh::FromArgs;
use derive_more::Display;
use serde_json::Value;

use crate::exit::Output;
use crate::logs::{read, text, time};

/// Part of the time to the first event that a prediction may miss and still count as right.
const RIGHT: f64 = 0.5;

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
    /// Its own prompt takes longer to read than the answer may take to begin.
    #[display("own prompt too long")]
    OwnPrompt,
    /// It was sent behind others in the knowledge that it would be late.
    #[display("behind known prompts")]
    Known,
    /// It waited for what its host did not know of.
    #[display("waited longer than predicted")]
    Unknown,
    /// Its answer began in time and paused.
    #[display("paused")]
    Paused,
    /// A plain call took too long.
    #[display("slow plain answer")]
    Slow,
    /// Its time was over.
    #[display("out of time")]
    TimeOver,
    /// Its stream broke off.
    #[display("broken off")]
    Broken,
    /// An upstream answered with a failure, or did not answer.
    #[display("upstream failed")]
    Failed,
    /// Its account had used up its quota.
    #[display("over quota")]
    Quota,
    /// It was refused for another reason.
    #[display("refused")]
    Refused,
}

/// Requests by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Losses {
    /// All that are in the logs.
    pub all: u64,
    /// Those that were answered in time, as far as they were logged.
    pub served: u64,
    /// The others by cause and route.
    pub lost: BTreeMap<(Cause, String), u64>,
    /// The others by cause and the second in which their row of time begins.
    pub by_time: BTreeMap<u64, BTreeMap<Cause, u64>>,
}

/// Reads the files and prints the tables.
///
/// # Errors
/// Fails when a file can't be read.
pub fn run(options: &LossesOptions, json: bool) -> anyhow::Result<Output> {
    let lines = read(&options.files)?;
    let losses = count(&lines, options.every.max(1));
    let shown = if json {
        losses.to_json().to_string()
    } else {
        losses.to_string()
    };
    Ok(Output::from(shown))
}

/// Counts requests by cause, with rows of so many seconds.
#[must_use]
pub fn count(lines: &[Value], every_s: u32) -> Losses {
    let mut losses = Losses::default();
    let begun = lines.iter().map(time).fold(f64::INFINITY, f64::min);
    for line in lines {
        let cause = match text(line, "msg") {
            "request ended" => of_ended(line),
            "request refused" => Some(of_refused(line)),
            _ => continue,
        };
        losses.all += 1;
        let Some(cause) = cause else {
            losses.served += 1;
            continue;
        };
        let route = text(line, "route").to_owned();
        *losses.lost.entry((cause, route)).or_default() += 1;
        let every = u64::from(every_s);
        let row = ((time(line) - begun) as u64) / every * every;
        *losses.by_time.entry(row).or_default().entry(cause).or_default() += 1;
    }
    losses
}

/// Tells why a request that found its route was not answered in time; nothing if it was.
fn of_ended(line: &Value) -> Option<Cause> {
    let why = text(line, "why");
    match text(line, "outcome") {
        "passed" if line["late"] != true => None,
        "passed" => Some(of_late(line)),
        "refused" => Some(of_refused(line)),
        _ if why.contains("time is over") => Some(Cause::TimeOver),
        "broken" => Some(Cause::Broken),
        _ => Some(Cause::Failed),
    }
}

fn of_refused(line: &Value) -> Cause {
    let why = text(line, "why");
    if why.contains("quota") {
        Cause::Quota
    } else if why.contains("may have run") {
        Cause::Failed
    } else {
        Cause::Refused
    }
}

fn of_late(line: &Value) -> Cause {
    let ms = |name: &str| line[name].as_f64().unwrap_or_default();
    if line["prompt"].is_null() {
        return Cause::Slow;
    }
    if ms("first_ms") <= ms("target_ms") {
        return Cause::Paused;
    }
    if ms("reading_ms") > ms("target_ms") {
        return Cause::OwnPrompt;
    }
    let right = ms("predicted_ms") >= ms("first_ms") * RIGHT;
    if right && ms("predicted_ms") > ms("target_ms") {
        Cause::Known
    } else {
        Cause::Unknown
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
            "all": self.all,
            "served": self.served,
            "lost": lost.collect::<Vec<_>>(),
            "by_time": by_time.collect::<Vec<_>>(),
        })
    }
}

impl std::fmt::Display for Losses {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{} requests, {} answered in time", self.all, self.served)?;
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
