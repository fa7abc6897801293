//! A model engine: prompts are read in chunks between the tokens of the requests that run.

use std::collections::VecDeque;

use policy::place::PromptPart;

/// Milliseconds of a step without a prompt; the users' sheets give 3.8 and 4.2.
const STEP_MS: f64 = 4.2;
/// Prompt tokens that one step reads at most.
const CHUNK: u64 = 4_096;
/// Prompt tokens that are read in a millisecond.
const READ_PER_MS: f64 = 64.0;
/// Milliseconds for a million pairs of tokens, since each token looks at all before it.
const PAIRS_MS: f64 = 0.65;
/// Tokens of prompts that are kept.
const KEPT: u64 = 300_000;
/// Tokens in one event.
const EVENT: u64 = 8;
/// Requests that run at once.
pub const SLOTS: usize = 12;
/// Longest pause between two events for an answer in time.
const GAP_MS: f64 = 600.0;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the request.
    pub number: usize,
    /// Its prompt.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens that are to be read.
    pub unread: u64,
    /// Prompt tokens that were read or found.
    pub read: u64,
    /// Tokens of the answer still to come.
    pub left: u64,
    /// When the last event was made.
    last_ms: Option<f64>,
    /// Whether a pause was too long.
    paused: bool,
}

/// What a step brought.
#[derive(Debug)]
pub enum Made {
    /// A first event.
    First(usize),
    /// The end, and whether a pause was too long.
    End(usize, bool),
}

/// An engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Requests without a slot.
    pub waiting: VecDeque<Job>,
    /// Requests that run.
    pub running: Vec<Job>,
    kept: VecDeque<(u64, u64)>,
    /// Shared tokens that were read and those that were found.
    pub shared: (u64, u64),
}

impl Engine {
    /// Takes a request.
    pub fn take(&mut self, number: usize, parts: Vec<PromptPart>, left: u64) {
        self.waiting.push_back(Job {
            number,
            parts,
            unread: 0,
            read: 0,
            left,
            last_ms: None,
            paused: false,
        });
    }

    /// Tells whether there is something to do.
    pub fn busy(&self) -> bool {
        !self.waiting.is_empty() || !self.running.is_empty()
    }

    /// Makes one step that begins at a time; gives its length and what it brought.
    pub fn step(&mut self, now_ms: f64) -> (f64, Vec<Made>) {
        while self.running.len() < SLOTS {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            self.look_up(&mut job);
            self.running.push(job);
        }
        let mut took = STEP_MS;
        let mut room = CHUNK;
        let mut read_now = Vec::new();
        for job in self.running.iter_mut().filter(|job| job.unread > 0) {
            let chunk = job.unread.min(room);
            room -= chunk;
            let pairs = chunk as f64 * (job.read as f64 + chunk as f64 / 2.0) / 1e6;
            took += chunk as f64 / READ_PER_MS + pairs * PAIRS_MS;
            job.unread -= chunk;
            job.read += chunk;
            if chunk > 0 {
                read_now.push(job.number);
            }
        }
        let at = now_ms + took;
        let mut made = Vec::new();
        for job in &mut self.running {
            if job.unread > 0 || (read_now.contains(&job.number) && job.last_ms.is_some()) {
                continue;
            }
            job.left -= 1;
            let first = job.last_ms.is_none();
            if first {
                made.push(Made::First(job.number));
            }
            if first || job.left.is_multiple_of(EVENT) {
                job.paused |= job.last_ms.is_some_and(|last| at - last > GAP_MS);
                job.last_ms = Some(at);
            }
            if job.left == 0 {
                made.push(Made::End(job.number, job.paused));
            }
        }
        for done in self.running.extract_if(.., |job| job.left == 0) {
            for part in &done.parts {
                keep(&mut self.kept, *part);
            }
        }
        (took, made)
    }

    /// Finds what is kept of a prompt.
    fn look_up(&mut self, job: &mut Job) {
        let held = |part: &&PromptPart| self.kept.iter().any(|(key, _)| *key == part.key);
        let found: u64 = job.parts.iter().take_while(held).map(|part| part.tokens).sum();
        let all: u64 = job.parts.iter().map(|part| part.tokens).sum();
        let shared: u64 = job.parts.iter().rev().skip(1).map(|part| part.tokens).sum();
        self.shared.0 += shared.saturating_sub(found);
        self.shared.1 += found.min(shared);
        job.read = found.min(all - 1);
        job.unread = all - job.read;
        for part in &job.parts {
            keep(&mut self.kept, *part);
        }
    }
}

/// Notes a part as used last; the others make room.
fn keep(kept: &mut VecDeque<(u64, u64)>, part: PromptPart) {
    kept.retain(|(key, _)| *key != part.key);
    kept.push_back((part.key, part.tokens));
    let mut sum: u64 = kept.iter().map(|(_, tokens)| tokens).sum();
    while sum > KEPT {
        sum -= kept.pop_front().map_or(sum, |(_, tokens)| tokens);
    }
}
