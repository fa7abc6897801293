//! Continuous batching: which requests run, which wait, and how long each step takes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::{Condvar, Mutex};
use serde::Serialize;

use super::answer::{Chat, token};
use super::cache::{CacheEvent, PrefixCache};
use super::faults::Faults;
use super::orders::OrderState;
use crate::cli::EngineOptions;
use crate::record::{Line, Record, now_us};

/// Longest time between two checks whether the caller is still connected.
const LIVENESS_POLL: Duration = Duration::from_millis(20);
/// Tokens of a prompt that are prefilled between two decoding steps of the batch.
const PREFILL_CHUNK_TOKENS: u64 = 32;
/// Requests whose KV cache can be exported by request id; the oldest is forgotten first.
const MAX_EXPORTABLE_REQUESTS: usize = 1_024;

/// State of one stand-in engine, shared by its connection threads.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) record: Record,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) orders: Mutex<OrderState>,
    /// Network link for KV cache transfers; held during one, so that transfers run one at a time.
    pub(crate) link: Mutex<()>,
    state: Mutex<BatchState>,
    state_changed: Condvar,
    dead: AtomicBool,
}

#[derive(Debug)]
struct BatchState {
    running: u32,
    arrival_count: u64,
    waiting: BTreeSet<QueuePosition>,
    prefills: BTreeSet<QueuePosition>,
    cache: PrefixCache,
    requests: HashMap<String, RequestTokens>,
    request_order: VecDeque<String>,
    finished: Vec<Seen>,
    report: LoadReport,
    reported_at: Instant,
    shutdown_at: Option<Instant>,
}

/// Sort key of a waiting request: priority, then order of arrival.
type QueuePosition = (i32, u64);

/// Tokens of a request, from which the blocks that it has in the cache are computed.
#[derive(Clone, Debug)]
struct RequestTokens {
    words: Arc<[String]>,
    /// Hash of the prompt, which determines the text of the answer.
    prompt: u64,
    /// Position of the first generated token: the number of tokens in the partial answer to continue.
    start: u64,
    generated: u64,
}

/// Token counts of a request that held a batch slot.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// The `X-Request-Id` header of the request; empty without one.
    pub request: String,
    /// Tokens of the prompt, prefilled or found in the cache.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens that belong to a partial answer, which the request continues.
    pub begun_tokens: u64,
    /// Tokens that were generated.
    pub made_tokens: u64,
    /// Whether the answer was generated to its end and, when streamed, the caller was still connected.
    pub whole: bool,
}

/// Load report of the engine, answered at `/load`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct LoadReport {
    at_ms: u64,
    age_ms: u64,
    running: u32,
    waiting: u32,
    kv_used: f32,
}

/// A slot of the batch; dropping it frees the slot, however the request ended.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    engine: &'a Engine,
    position: QueuePosition,
    pinned: Vec<u64>,
    conversation: u64,
    /// Token counts of the request so far.
    pub(crate) counts: Seen,
}

impl Engine {
    pub(crate) fn new(options: EngineOptions, record: Record) -> Self {
        let state = BatchState {
            running: 0,
            arrival_count: 0,
            waiting: BTreeSet::new(),
            prefills: BTreeSet::new(),
            cache: PrefixCache::new(options.cache_tokens),
            requests: HashMap::new(),
            request_order: VecDeque::new(),
            finished: Vec::new(),
            report: LoadReport {
                at_ms: unix_ms(),
                ..LoadReport::default()
            },
            reported_at: Instant::now(),
            shutdown_at: None,
        };
        Self {
            faults: Mutex::new(options.faults),
            orders: Mutex::new(OrderState::new(&options.model)),
            link: Mutex::new(()),
            options,
            record,
            state: Mutex::new(state),
            state_changed: Condvar::new(),
            dead: AtomicBool::new(false),
        }
    }

    /// Waits for a slot of the batch; lower priority numbers go first.
    ///
    /// Returns `None` when the caller has disconnected or the engine was killed.
    pub(crate) fn acquire_slot(
        &self,
        priority: i32,
        counts: Seen,
        is_connected: &mut dyn FnMut() -> bool,
    ) -> Option<Slot<'_>> {
        let position = self.enqueue(priority);
        loop {
            let mut state = self.state.lock();
            if state.running < self.options.slots && state.waiting.first() == Some(&position) {
                state.waiting.remove(&position);
                state.running += 1;
                self.state_changed.notify_all();
                return Some(Slot {
                    engine: self,
                    position,
                    pinned: Vec::new(),
                    conversation: 0,
                    counts,
                });
            }
            self.state_changed.wait_for(&mut state, LIVENESS_POLL);
            drop(state);
            if !is_connected() || self.is_dead() {
                self.state.lock().waiting.remove(&position);
                self.state_changed.notify_all();
                return None;
            }
        }
    }

    fn enqueue(&self, priority: i32) -> QueuePosition {
        let mut state = self.state.lock();
        state.arrival_count += 1;
        let position = (priority, state.arrival_count);
        state.waiting.insert(position);
        position
    }

    /// Sleeps for the duration of a step, scaled by the slowdown fault and extended while the engine is frozen.
    ///
    /// Returns false when the caller disconnected or the engine was killed meanwhile.
    fn sleep_scaled(&self, time: Duration, is_connected: &mut dyn FnMut() -> bool) -> bool {
        let mut remaining = time.mul_f64(self.faults.lock().slowdown());
        loop {
            let slice = remaining.min(LIVENESS_POLL);
            std::thread::sleep(slice);
            remaining -= slice;
            if self.is_dead() || (slice == LIVENESS_POLL && !is_connected()) {
                return false;
            }
            if self.faults.lock().frozen {
                remaining = remaining.max(LIVENESS_POLL);
            } else if remaining.is_zero() {
                return true;
            }
        }
    }

    /// Sleeps for one decoding step, which a prefill in the batch makes longer.
    ///
    /// Returns false when the caller disconnected or the engine was killed meanwhile.
    pub(crate) fn decode(&self, is_connected: &mut dyn FnMut() -> bool) -> bool {
        let state = self.state.lock();
        let others = u64::from(state.running.saturating_sub(1));
        let prefill_chunk = if state.prefills.is_empty() {
            0
        } else {
            PREFILL_CHUNK_TOKENS
        };
        drop(state);
        let step = self.options.decode_us + others * self.options.batch_us + prefill_chunk * self.options.prefill_us;
        self.sleep_scaled(Duration::from_micros(step), is_connected)
    }

    /// Returns the load report, which is up to `lag_ms` old.
    pub(crate) fn report(&self) -> LoadReport {
        let mut state = self.state.lock();
        let age = state.reported_at.elapsed();
        if age >= Duration::from_millis(self.options.lag_ms) {
            state.report = LoadReport {
                at_ms: unix_ms(),
                age_ms: 0,
                running: state.running,
                waiting: state.waiting.len() as u32,
                kv_used: state.cache.used_share(),
            };
            state.reported_at = Instant::now();
        }
        LoadReport {
            age_ms: state.reported_at.elapsed().as_millis() as u64,
            ..state.report
        }
    }

    /// Returns the cache events with a sequence number above `after`.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.state.lock().cache.events(after)
    }

    /// Returns the requests that have left the batch, in that order.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.state.lock().finished.clone()
    }

    /// Returns the cached blocks of a request's tokens so far, full blocks only; `None` for an unknown request.
    pub(crate) fn request_blocks(&self, request: &str) -> Option<Vec<u64>> {
        let mut state = self.state.lock();
        let tokens = state.requests.get(request)?.clone();
        let generated: Vec<String> = tokens.generated_words().collect();
        let words = tokens.words.iter().chain(&generated).map(|word| word.trim());
        let prefixes = PrefixCache::prefixes(&words.collect::<Vec<_>>());
        // Blocks of tokens generated by a running request are otherwise stored only when it ends.
        state.cache.store(&prefixes);
        Some(state.cache.cached_prefixes(&prefixes))
    }

    /// Returns the cached blocks of a prompt prefix.
    pub(crate) fn prefix_blocks(&self, words: &[&str]) -> Vec<u64> {
        self.state.lock().cache.cached_prefixes(&PrefixCache::prefixes(words))
    }

    /// Stores imported blocks in the cache.
    pub(crate) fn store(&self, blocks: &[u64]) {
        self.state.lock().cache.store(blocks);
    }

    /// Sets the shutdown deadline, unless an earlier one is set; past it the engine refuses new work and is killed.
    pub(crate) fn shut_down_after(&self, remaining: Duration) {
        let at = Instant::now() + remaining;
        let mut state = self.state.lock();
        state.shutdown_at = Some(state.shutdown_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Returns whether the shutdown deadline has passed; the engine is killed shortly after it.
    pub(crate) fn is_past_deadline(&self) -> bool {
        self.state.lock().shutdown_at.is_some_and(|at| at <= Instant::now())
    }

    /// Ends all work at once, like a power loss.
    pub(crate) fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
        self.state_changed.notify_all();
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// Waits while the engine is frozen.
    pub(crate) fn wait_while_frozen(&self) {
        while self.faults.lock().frozen && !self.is_dead() {
            std::thread::sleep(LIVENESS_POLL);
        }
    }
}

impl Slot<'_> {
    /// Prefills the prompt; the prefills of an engine run one at a time.
    ///
    /// Returns false when the caller disconnected or the engine was killed meanwhile.
    pub(crate) fn prefill(&mut self, chat: &Chat, is_connected: &mut dyn FnMut() -> bool) -> bool {
        let engine = self.engine;
        let words = chat.words();
        let prompt = chat.continuation().0;
        let from_us = now_us();
        self.conversation = chat.conversation();
        let prefixes = PrefixCache::prefixes(&words);
        engine.state.lock().prefills.insert(self.position);
        loop {
            let mut state = engine.state.lock();
            if state.prefills.first() == Some(&self.position) {
                self.counts.cached_tokens = state.cache.cached_tokens(&prefixes) as u64;
                break;
            }
            engine.state_changed.wait_for(&mut state, LIVENESS_POLL);
            drop(state);
            if !is_connected() || engine.is_dead() {
                return false;
            }
        }
        let uncached = (words.len() as u64).saturating_sub(self.counts.cached_tokens);
        let done = engine.sleep_scaled(
            Duration::from_micros(uncached * engine.options.prefill_us),
            is_connected,
        );
        let mut state = engine.state.lock();
        state.prefills.remove(&self.position);
        engine.state_changed.notify_all();
        if done {
            state.cache.pin(&prefixes);
            self.pinned = prefixes;
            state.remember_request(&self.counts, &words, prompt);
            drop(state);
            engine.record.write(&Line::Begun {
                from_us,
                at_us: now_us(),
                request: self.counts.request.clone(),
                conversation: self.conversation,
                prompt,
                prompt_tokens: self.counts.prompt_tokens,
                cached_tokens: self.counts.cached_tokens,
                begun_tokens: self.counts.begun_tokens,
            });
        }
        done
    }

    /// Counts a generated token.
    pub(crate) fn count_token(&mut self) {
        self.counts.made_tokens += 1;
        if let Some(tokens) = self.engine.state.lock().requests.get_mut(&self.counts.request) {
            tokens.generated += 1;
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.engine.record.write(&Line::Ended {
            at_us: now_us(),
            request: self.counts.request.clone(),
            conversation: self.conversation,
            prompt_tokens: self.counts.prompt_tokens,
            made_tokens: self.counts.made_tokens,
        });
        let mut state = self.engine.state.lock();
        state.running -= 1;
        state.prefills.remove(&self.position);
        state.cache.unpin(&self.pinned);
        state.finished.push(self.counts.clone());
        if let Some(tokens) = state.requests.get(&self.counts.request).cloned() {
            let generated: Vec<String> = tokens.generated_words().collect();
            let words: Vec<&str> = tokens.words.iter().chain(&generated).map(|word| word.trim()).collect();
            state.cache.store(&PrefixCache::prefixes(&words));
        }
        self.engine.state_changed.notify_all();
    }
}

impl BatchState {
    fn remember_request(&mut self, counts: &Seen, words: &[&str], prompt: u64) {
        let tokens = RequestTokens {
            words: words.iter().map(|word| (*word).to_owned()).collect(),
            prompt,
            start: counts.begun_tokens,
            generated: 0,
        };
        if self.requests.insert(counts.request.clone(), tokens).is_none() {
            self.request_order.push_back(counts.request.clone());
        }
        if self.request_order.len() > MAX_EXPORTABLE_REQUESTS
            && let Some(oldest) = self.request_order.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }
}

impl RequestTokens {
    fn generated_words(&self) -> impl Iterator<Item = String> + use<> {
        let prompt = self.prompt;
        (self.start..self.start + self.generated).map(move |position| token(prompt, position))
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
