//! Compares what callers were told with what the stand-ins did.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::Path;

use anyhow::Context;
use standin::record::Line;

use super::caller::{End, Told};
use crate::workload::{Arrival, Call};

/// What the stand-ins did, over all their processes and incarnations.
#[derive(Debug, Default)]
pub struct Seen {
    prompts: HashSet<u64>,
    paths: HashSet<String>,
    runs: HashMap<String, u64>,
    lines: Vec<Line>,
}

/// What the comparison found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Accepted, and neither answered whole nor told that the outcome is unknown.
    pub lost: Vec<String>,
    /// Keys that ran more than once.
    pub doubled: Vec<String>,
    /// Requests that ran though their callers were told that they did not.
    pub after_refusal: Vec<String>,
}

impl Seen {
    /// Reads every record of a folder.
    ///
    /// # Errors
    /// Fails when a record can't be read; only a last line that a kill cut off is left out.
    pub fn read(folder: &Path) -> anyhow::Result<Self> {
        let mut lines = Vec::new();
        for file in std::fs::read_dir(folder)? {
            let path = file?.path();
            if path.extension().is_some_and(|kind| kind == "record") {
                let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
                let whole = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
                for line in whole {
                    lines.push(serde_json::from_str(line).with_context(|| path.display().to_string())?);
                }
            }
        }
        Ok(Self::new(lines))
    }

    /// Takes over lines of records.
    #[must_use]
    pub fn new(lines: Vec<Line>) -> Self {
        let mut seen = Self::default();
        for line in &lines {
            match line {
                Line::Begun { prompt, .. } => {
                    seen.prompts.insert(*prompt);
                }
                Line::Ran { key, .. } => *seen.runs.entry(key.clone()).or_default() += 1,
                Line::Read { path, .. } => {
                    seen.paths.insert(path.clone());
                }
                Line::Ended { .. } => {}
            }
        }
        seen.lines = lines;
        seen
    }

    /// Tells whether a stand-in did anything for a request.
    #[must_use]
    pub fn ran(&self, call: &Call) -> bool {
        match call {
            Call::Chat { messages, .. } => self.prompts.contains(&standin::engine::continuation(messages, false).0),
            Call::Lookup { path, .. } => self.paths.contains(path),
            Call::Once { key, .. } => self.runs.contains_key(key),
        }
    }

    /// Gives the tokens that engines prefilled although an earlier run of the same conversation had computed or made
    /// them somewhere.
    #[must_use]
    pub fn recomputed(&self) -> u64 {
        let mut steps: Vec<Step> = self.lines.iter().flat_map(Step::of).collect();
        steps.sort_by_key(|step| step.at);
        let mut reached: HashMap<u64, u64> = HashMap::new();
        let mut total = 0;
        for step in steps {
            let known = reached.entry(step.conversation).or_default();
            match step.kind {
                Kind::Reach(tokens) => *known = (*known).max(tokens),
                Kind::Prefill { prompt, cached, begun } => {
                    // A begun answer was made by an earlier run, together with everything before it.
                    let known = if begun { prompt } else { (*known).min(prompt) };
                    total += known.saturating_sub(cached);
                }
            }
        }
        total
    }

    /// Compares with what callers were told.
    #[must_use]
    pub fn compare(&self, arrivals: &[Arrival], told: &[Told]) -> Verdict {
        let mut verdict = Verdict::default();
        let mut refused: BTreeMap<&str, bool> = BTreeMap::new();
        for (arrival, told) in arrivals.iter().zip(told) {
            let not_run = told.end == End::NotRun;
            match (&arrival.call, &told.end) {
                (call, End::Cut(why)) if self.ran(call) || why.starts_with("stream") || why.starts_with("status") => {
                    verdict.lost.push(format!("{}: {why}", call.label()));
                }
                (call, End::Wrong(why)) => verdict.lost.push(format!("{}: wrong answer: {why}", call.label())),
                _ => {}
            }
            match &arrival.call {
                Call::Once { key, .. } => {
                    refused.entry(key).and_modify(|all| *all &= not_run).or_insert(not_run);
                }
                call if not_run && self.ran(call) => verdict.after_refusal.push(call.label()),
                _ => {}
            }
        }
        let keys = refused
            .iter()
            .filter(|(key, all)| **all && self.runs.contains_key(**key));
        verdict.after_refusal.extend(keys.map(|(key, _)| (*key).to_owned()));
        let doubled = self.runs.iter().filter(|(_, count)| **count > 1);
        verdict
            .doubled
            .extend(doubled.map(|(key, count)| format!("{key} ran {count} times")));
        verdict.doubled.sort();
        verdict
    }
}

/// One step of a conversation at some engine.
struct Step {
    at: u64,
    conversation: u64,
    kind: Kind,
}

enum Kind {
    /// Everything up to a position is now computed or made.
    Reach(u64),
    /// A prefill begins.
    Prefill { prompt: u64, cached: u64, begun: bool },
}

impl Step {
    fn of(line: &Line) -> Vec<Self> {
        match line {
            Line::Begun {
                from_us,
                at_us,
                conversation,
                prompt_tokens,
                cached_tokens,
                begun_tokens,
                ..
            } => {
                let kind = Kind::Prefill {
                    prompt: *prompt_tokens,
                    cached: *cached_tokens,
                    begun: *begun_tokens > 0,
                };
                let begin = Self {
                    at: *from_us,
                    conversation: *conversation,
                    kind,
                };
                let reach = Self {
                    at: *at_us,
                    conversation: *conversation,
                    kind: Kind::Reach(*prompt_tokens),
                };
                vec![begin, reach]
            }
            Line::Ended {
                at_us,
                conversation,
                prompt_tokens,
                made_tokens,
                ..
            } => vec![Self {
                at: *at_us,
                conversation: *conversation,
                kind: Kind::Reach(prompt_tokens + made_tokens),
            }],
            Line::Ran { .. } | Line::Read { .. } => Vec::new(),
        }
    }
}
