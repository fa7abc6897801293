//! A simulated LLM engine with chunked prefill: prompts are prefilled in chunks within the decode steps of running
//! requests.

use std::collections::VecDeque;

use policy::place::PromptPart;

/// Milliseconds of a step without prefill; the users' data sheets give 3.8 and 4.2.
const BASE_STEP_MS: f64 = 4.2;
/// Most prompt tokens that one step prefills.
const MAX_STEP_TOKENS: u64 = 4_096;
/// Prompt tokens prefilled per millisecond, without attention.
const PREFILL_TOKENS_PER_MS: f64 = 64.0;
/// Attention time in milliseconds per million token pairs: each token attends to all before it.
const ATTENTION_MS: f64 = 0.65;
/// Tokens that the prefix cache holds.
const CACHE_TOKENS: u64 = 300_000;
/// Output tokens per event.
const TOKENS_PER_EVENT: u64 = 8;
/// Requests that run at once.
pub const SLOTS: usize = 12;
/// Longest pause between two events, in milliseconds, of an output that counts as in time.
const MAX_PAUSE_MS: f64 = 600.0;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request in the replay.
    pub id: usize,
    /// Parts of the prompt in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Prompt tokens still to prefill.
    pub pending: u64,
    /// Prompt tokens that were prefilled or cached.
    pub processed: u64,
    /// Output tokens still to generate.
    pub output_left: u64,
    /// When the last event was sent.
    last_event_ms: Option<f64>,
    /// Whether a pause between events was too long.
    paused: bool,
}

/// Something that a step brings about.
#[derive(Debug)]
pub enum StepEvent {
    /// The first event of a request.
    FirstEvent(usize),
    /// The end of a request, and whether a pause was too long.
    End(usize, bool),
}

/// A simulated engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Requests that wait for a slot.
    pub waiting: VecDeque<Job>,
    /// Requests that occupy a slot.
    pub running: Vec<Job>,
    cache: VecDeque<(u64, u64)>,
    /// Shared prompt tokens that were prefilled, and those that were cached.
    pub shared_tokens: (u64, u64),
    /// Factor on the time of each step.
    time_factor: f64,
}

impl Engine {
    /// Creates an engine whose steps take `time_factor` times as long as usual.
    pub fn new(time_factor: f64) -> Self {
        Self {
            time_factor,
            ..Self::default()
        }
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, id: usize, prompt_parts: Vec<PromptPart>, output_left: u64) {
        self.waiting.push_back(Job {
            id,
            prompt_parts,
            pending: 0,
            processed: 0,
            output_left,
            last_event_ms: None,
            paused: false,
        });
    }

    /// Returns whether there are any requests.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.running.is_empty()
    }

    /// Runs one step that begins at `now_ms` and takes `factor` times as long as usual; returns its length in
    /// milliseconds and what it brings about.
    pub fn step(&mut self, now_ms: f64, factor: f64) -> (f64, Vec<StepEvent>) {
        while self.running.len() < SLOTS {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            self.look_up_cache(&mut job);
            self.running.push(job);
        }
        let mut step_ms = BASE_STEP_MS;
        let mut token_budget = MAX_STEP_TOKENS;
        let mut prefilling = Vec::new();
        for job in self.running.iter_mut().filter(|job| job.pending > 0) {
            let chunk = job.pending.min(token_budget);
            token_budget -= chunk;
            let pairs = chunk as f64 * (job.processed as f64 + chunk as f64 / 2.0) / 1e6;
            step_ms += chunk as f64 / PREFILL_TOKENS_PER_MS + pairs * ATTENTION_MS;
            job.pending -= chunk;
            job.processed += chunk;
            if chunk > 0 {
                prefilling.push(job.id);
            }
        }
        step_ms *= factor * self.time_factor;
        let end_ms = now_ms + step_ms;
        let mut events = Vec::new();
        for job in &mut self.running {
            if job.pending > 0 || (prefilling.contains(&job.id) && job.last_event_ms.is_some()) {
                continue;
            }
            job.output_left -= 1;
            let first = job.last_event_ms.is_none();
            if first {
                events.push(StepEvent::FirstEvent(job.id));
            }
            if first || job.output_left.is_multiple_of(TOKENS_PER_EVENT) {
                job.paused |= job.last_event_ms.is_some_and(|last| end_ms - last > MAX_PAUSE_MS);
                job.last_event_ms = Some(end_ms);
            }
            if job.output_left == 0 {
                events.push(StepEvent::End(job.id, job.paused));
            }
        }
        for done in self.running.extract_if(.., |job| job.output_left == 0) {
            for part in &done.prompt_parts {
                touch(&mut self.cache, *part);
            }
        }
        (step_ms, events)
    }

    /// Looks up which parts of a prompt are cached.
    fn look_up_cache(&mut self, job: &mut Job) {
        let is_cached = |part: &&PromptPart| self.cache.iter().any(|(key, _)| *key == part.key);
        let found: u64 = job
            .prompt_parts
            .iter()
            .take_while(is_cached)
            .map(|part| part.tokens)
            .sum();
        let all: u64 = job.prompt_parts.iter().map(|part| part.tokens).sum();
        let shared: u64 = job.prompt_parts.iter().rev().skip(1).map(|part| part.tokens).sum();
        self.shared_tokens.0 += shared.saturating_sub(found);
        self.shared_tokens.1 += found.min(shared);
        job.processed = found.min(all - 1);
        job.pending = all - job.processed;
        for part in &job.prompt_parts {
            touch(&mut self.cache, *part);
        }
    }
}

/// Marks a part as most recently used, and evicts others to make room.
fn touch(cache: &mut VecDeque<(u64, u64)>, part: PromptPart) {
    cache.retain(|(key, _)| *key != part.key);
    cache.push_back((part.key, part.tokens));
    let mut total: u64 = cache.iter().map(|(_, tokens)| tokens).sum();
    while total > CACHE_TOKENS {
        total -= cache.pop_front().map_or(total, |(_, tokens)| tokens);
    }
}
