//! The batch: who runs, who waits and how long each step takes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::{Condvar, Mutex};
use serde::Serialize;

use super::answer::{Chat, token};
use super::cache::{CacheEvent, PrefixCache};
use super::faults::Faults;
use super::orders::Orders;
use crate::cli::EngineOptions;
use crate::record::{Line, Record, now_us};

/// Longest time without a look at whether the caller is still there.
const BEAT: Duration = Duration::from_millis(20);
/// Tokens of a prompt that are prefilled between two decoding steps of the batch.
const CHUNK: u64 = 32;
/// Requests whose KV cache can be named by request id.
const KEPT: usize = 1_024;

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) record: Record,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) orders: Mutex<Orders>,
    /// The link over which KV cache comes and goes; one transfer at a time has it.
    pub(crate) link: Mutex<()>,
    inner: Mutex<Inner>,
    changed: Condvar,
    dead: AtomicBool,
}

#[derive(Debug)]
struct Inner {
    running: u32,
    arrivals: u64,
    waiting: BTreeSet<Place>,
    prefills: BTreeSet<Place>,
    cache: PrefixCache,
    known: HashMap<String, Known>,
    order: VecDeque<String>,
    seen: Vec<Seen>,
    report: Report,
    reported: Instant,
    gone_at: Option<Instant>,
}

/// A place in a queue: priority, then order of arrival.
type Place = (i32, u64);

/// What the engine knows of a request's tokens.
#[derive(Clone, Debug)]
struct Known {
    words: Arc<[String]>,
    prompt: u64,
    begun: u64,
    made: u64,
}

/// A request that ran, as the engine saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// The request id that it came with.
    pub request: String,
    /// Tokens that were prefilled or found in the cache.
    pub prompt_tokens: u64,
    /// Tokens of these that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens of a begun answer among them.
    pub begun_tokens: u64,
    /// Tokens that were made.
    pub made_tokens: u64,
    /// Whether the caller got the answer to its end.
    pub whole: bool,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Report {
    at_ms: u64,
    age_ms: u64,
    running: u32,
    waiting: u32,
    kv_used: f32,
}

/// A place in the batch; it is given up when dropped, whatever ended the request.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    engine: &'a Engine,
    place: Place,
    pinned: Vec<u64>,
    conversation: u64,
    /// What the engine notes of the request.
    pub(crate) seen: Seen,
}

impl Engine {
    pub(crate) fn new(options: EngineOptions, record: Record) -> Self {
        let inner = Inner {
            running: 0,
            arrivals: 0,
            waiting: BTreeSet::new(),
            prefills: BTreeSet::new(),
            cache: PrefixCache::new(options.cache_tokens),
            known: HashMap::new(),
            order: VecDeque::new(),
            seen: Vec::new(),
            report: Report {
                at_ms: wall_ms(),
                ..Report::default()
            },
            reported: Instant::now(),
            gone_at: None,
        };
        Self {
            faults: Mutex::new(options.faults),
            orders: Mutex::new(Orders::new(&options.model)),
            link: Mutex::new(()),
            options,
            record,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            dead: AtomicBool::new(false),
        }
    }

    /// Waits for a place in the batch; lower priorities go first.
    ///
    /// Returns `None` when the caller has gone away or the engine died.
    pub(crate) fn enter(&self, priority: i32, seen: Seen, alive: &mut dyn FnMut() -> bool) -> Option<Slot<'_>> {
        let place = self.arrive(priority);
        loop {
            let mut inner = self.inner.lock();
            if inner.running < self.options.slots && inner.waiting.first() == Some(&place) {
                inner.waiting.remove(&place);
                inner.running += 1;
                self.changed.notify_all();
                return Some(Slot {
                    engine: self,
                    place,
                    pinned: Vec::new(),
                    conversation: 0,
                    seen,
                });
            }
            self.changed.wait_for(&mut inner, BEAT);
            drop(inner);
            if !alive() || self.is_dead() {
                self.inner.lock().waiting.remove(&place);
                self.changed.notify_all();
                return None;
            }
        }
    }

    fn arrive(&self, priority: i32) -> Place {
        let mut inner = self.inner.lock();
        inner.arrivals += 1;
        let place = (priority, inner.arrivals);
        inner.waiting.insert(place);
        place
    }

    /// Lets time pass at the engine's speed, as long as the caller is there.
    fn work(&self, time: Duration, alive: &mut dyn FnMut() -> bool) -> bool {
        let mut left = time.mul_f64(self.faults.lock().factor());
        loop {
            let part = left.min(BEAT);
            std::thread::sleep(part);
            left -= part;
            if self.is_dead() || (part == BEAT && !alive()) {
                return false;
            }
            if self.faults.lock().frozen {
                left = left.max(BEAT);
            } else if left.is_zero() {
                return true;
            }
        }
    }

    /// Takes the time of one decoding step; a prefill in the batch makes it longer.
    pub(crate) fn decode(&self, alive: &mut dyn FnMut() -> bool) -> bool {
        let inner = self.inner.lock();
        let others = u64::from(inner.running.saturating_sub(1));
        let chunk = if inner.prefills.is_empty() { 0 } else { CHUNK };
        drop(inner);
        let step = self.options.decode_us + others * self.options.batch_us + chunk * self.options.prefill_us;
        self.work(Duration::from_micros(step), alive)
    }

    /// Gives the load report, which lags.
    pub(crate) fn report(&self) -> Report {
        let mut inner = self.inner.lock();
        let age = inner.reported.elapsed();
        if age >= Duration::from_millis(self.options.lag_ms) {
            inner.report = Report {
                at_ms: wall_ms(),
                age_ms: 0,
                running: inner.running,
                waiting: inner.waiting.len() as u32,
                kv_used: inner.cache.fill(),
            };
            inner.reported = Instant::now();
        }
        Report {
            age_ms: inner.reported.elapsed().as_millis() as u64,
            ..inner.report
        }
    }

    /// Gives the cache events after a position.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.inner.lock().cache.events(after)
    }

    /// Gives what ran.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.inner.lock().seen.clone()
    }

    /// Gives the whole blocks of a request's tokens so far, as far as they are in the cache.
    pub(crate) fn blocks_of(&self, request: &str) -> Option<Vec<u64>> {
        let mut inner = self.inner.lock();
        let known = inner.known.get(request)?.clone();
        let made: Vec<String> = known.made().collect();
        let words = known.words.iter().chain(&made).map(|word| word.trim());
        let prefixes = PrefixCache::prefixes(&words.collect::<Vec<_>>());
        // Tokens that are being made are in the cache as well; their blocks are noted only now.
        inner.cache.store(&prefixes);
        Some(inner.cache.held(&prefixes))
    }

    /// Gives the blocks of a prefix that are in the cache.
    pub(crate) fn blocks_in(&self, words: &[&str]) -> Vec<u64> {
        self.inner.lock().cache.held(&PrefixCache::prefixes(words))
    }

    /// Keeps blocks that were imported.
    pub(crate) fn store(&self, blocks: &[u64]) {
        self.inner.lock().cache.store(blocks);
    }

    /// Begins to leave: after the time that is left the engine refuses new work and dies.
    pub(crate) fn leave(&self, left: Duration) {
        let at = Instant::now() + left;
        let mut inner = self.inner.lock();
        inner.gone_at = Some(inner.gone_at.map_or(at, |known| known.min(at)));
    }

    /// Tells whether the deadline has passed; an engine past it dies a moment later.
    pub(crate) fn is_past(&self) -> bool {
        self.inner.lock().gone_at.is_some_and(|at| at <= Instant::now())
    }

    /// Ends everything at once, as when the power goes.
    pub(crate) fn die(&self) {
        self.dead.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// Waits while the engine is frozen.
    pub(crate) fn thaw(&self) {
        while self.faults.lock().frozen && !self.is_dead() {
            std::thread::sleep(BEAT);
        }
    }
}

impl Slot<'_> {
    /// Prefills the prompt; prefills queue for the engine's one prefill resource.
    ///
    /// Returns whether the caller is still there.
    pub(crate) fn prefill(&mut self, chat: &Chat, alive: &mut dyn FnMut() -> bool) -> bool {
        let engine = self.engine;
        let words = chat.words();
        let prompt = chat.continuation().0;
        let from_us = now_us();
        self.conversation = chat.conversation();
        let prefixes = PrefixCache::prefixes(&words);
        engine.inner.lock().prefills.insert(self.place);
        loop {
            let mut inner = engine.inner.lock();
            if inner.prefills.first() == Some(&self.place) {
                self.seen.cached_tokens = inner.cache.cached(&prefixes) as u64;
                break;
            }
            engine.changed.wait_for(&mut inner, BEAT);
            drop(inner);
            if !alive() || engine.is_dead() {
                return false;
            }
        }
        let fresh = (words.len() as u64).saturating_sub(self.seen.cached_tokens);
        let done = engine.work(Duration::from_micros(fresh * engine.options.prefill_us), alive);
        let mut inner = engine.inner.lock();
        inner.prefills.remove(&self.place);
        engine.changed.notify_all();
        if done {
            inner.cache.pin(&prefixes);
            self.pinned = prefixes;
            inner.learn(&self.seen, &words, prompt);
            drop(inner);
            engine.record.write(&Line::Begun {
                from_us,
                at_us: now_us(),
                request: self.seen.request.clone(),
                conversation: self.conversation,
                prompt,
                prompt_tokens: self.seen.prompt_tokens,
                cached_tokens: self.seen.cached_tokens,
                begun_tokens: self.seen.begun_tokens,
            });
        }
        done
    }

    /// Notes a token that was made.
    pub(crate) fn made(&mut self) {
        self.seen.made_tokens += 1;
        if let Some(known) = self.engine.inner.lock().known.get_mut(&self.seen.request) {
            known.made += 1;
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.engine.record.write(&Line::Ended {
            at_us: now_us(),
            request: self.seen.request.clone(),
            conversation: self.conversation,
            prompt_tokens: self.seen.prompt_tokens,
            made_tokens: self.seen.made_tokens,
        });
        let mut inner = self.engine.inner.lock();
        inner.running -= 1;
        inner.prefills.remove(&self.place);
        inner.cache.unpin(&self.pinned);
        inner.seen.push(self.seen.clone());
        if let Some(known) = inner.known.get(&self.seen.request).cloned() {
            let made: Vec<String> = known.made().collect();
            let words: Vec<&str> = known.words.iter().chain(&made).map(|word| word.trim()).collect();
            inner.cache.store(&PrefixCache::prefixes(&words));
        }
        self.engine.changed.notify_all();
    }
}

impl Inner {
    fn learn(&mut self, seen: &Seen, words: &[&str], prompt: u64) {
        let known = Known {
            words: words.iter().map(|word| (*word).to_owned()).collect(),
            prompt,
            begun: seen.begun_tokens,
            made: 0,
        };
        if self.known.insert(seen.request.clone(), known).is_none() {
            self.order.push_back(seen.request.clone());
        }
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

impl Known {
    fn made(&self) -> impl Iterator<Item = String> + use<> {
        let prompt = self.prompt;
        (self.begun..self.begun + self.made).map(move |position| token(prompt, position))
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
