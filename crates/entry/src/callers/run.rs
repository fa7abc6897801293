//! One admitted chat completion: sent to engines until one of them ends the answer.
//!
//! An engine that dies or freezes in the middle is left, and the answer goes on at another one from the tokens that
//! were made already, so that the caller gets one whole answer.

mod adopted;
mod search;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use contract::{CustomerId, RequestId, UpstreamSpec};
use metrics::counter;
use policy::route::Need;
use slog::warn;
use upstream::engine::{Chat, EngineClient, Event, Message, Usage};
use upstream::{Fate, UpstreamError};

use super::ask::Ask;
use super::problem::Problem;
use super::watch::{Stop, Watch};
use crate::Entry;
use crate::journal::Journal;
use search::Cause;

pub use adopted::adopt;
pub(super) use search::Search;

/// Longest wait for a connection to an engine.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest time that the library may spend on one answer; the watch ends it long before.
const FOREVER: Duration = Duration::from_hours(72);
/// Statuses by which an engine says that the request itself is wrong, so that no other engine would take it either.
const REFUSALS: [u16; 3] = [400, 413, 422];

/// Where tokens go as they come.
pub(super) trait Sink {
    fn token(&mut self, token: &str) -> io::Result<()>;
}

/// Tokens only go into the journal.
pub(super) struct Nowhere;

impl Sink for Nowhere {
    fn token(&mut self, _token: &str) -> io::Result<()> {
        Ok(())
    }
}

/// How an answer ended.
pub(super) enum Ended {
    Whole(Usage),
    CallerGone,
    Moved,
    Failed(Problem),
}

/// How an attempt ended.
enum Tried {
    Ended(Ended),
    NotRun,
    Failed(Cause),
}

/// One admitted request.
pub(super) struct Run<'a> {
    pub(super) entry: &'a Entry,
    pub(super) id: &'a RequestId,
    pub(super) customer: CustomerId,
    pub(super) ask: &'a Ask,
    pub(super) journal: Arc<Journal>,
    pub(super) watch: Arc<Watch>,
}

impl Run<'_> {
    /// Sends the request to engines until one of them ends the answer.
    pub(super) fn drive(&self, search: &mut Search, sink: &mut dyn Sink) -> Ended {
        loop {
            if self.journal.len() as u64 >= self.ask.chat.max_tokens {
                return Ended::Whole(self.counted(Usage::default()));
            }
            if let Some(stop) = self.watch.look() {
                return self.stopped(stop);
            }
            let Some(spec) = self.choose(search) else {
                if search.is_first() && self.journal.is_empty() {
                    return Ended::Failed(Problem::overloaded(Duration::from_secs(1)));
                }
                // Every engine was tried or is barred for now; the answer goes on with the first that comes back.
                search.pause();
                continue;
            };
            match self.attempt(&spec, search, sink) {
                Tried::Ended(ended) => return ended,
                Tried::NotRun => search.note(spec.id),
                Tried::Failed(cause) => {
                    search.broke(spec.id, cause);
                    if !self.may_retry(search) {
                        return Ended::Failed(Problem::broken("no engine could begin the answer"));
                    }
                }
            }
        }
    }

    /// Tells whether another attempt may be made.
    ///
    /// A customer whose engine died must not be cut off because many others were on it too, so the first attempts to
    /// resume an answer are not paid from the budget. Everything else is, or retries would double the load just when
    /// engines fail for being overloaded.
    fn may_retry(&self, search: &mut Search) -> bool {
        if self.journal.is_empty() {
            return self.entry.retries.lock().take();
        }
        if !search.takes_free_resume() && !self.entry.retries.lock().take() {
            search.pause();
        }
        true
    }

    fn choose(&self, search: &Search) -> Option<UpstreamSpec> {
        let entry = self.entry;
        let view = entry.current.view();
        let specs = view.config.upstreams.values();
        let specs = specs.filter(|spec| spec.serves_model(&self.ask.chat.model));
        let need = Need {
            prompt_tokens: self.ask.prompt_tokens,
            answer_tokens: self.ask.chat.max_tokens,
            turn: 0,
        };
        let now = entry.clock.now();
        let choice = entry
            .fleet
            .choose(entry.settings.routing, specs, need, search.tried(), now)?;
        let spec = view.config.upstreams.get(&choice.chosen).cloned();
        self.journal.chose(choice);
        spec
    }

    fn attempt(&self, spec: &UpstreamSpec, search: &mut Search, sink: &mut dyn Sink) -> Tried {
        let entry = self.entry;
        let begun = self.journal.len();
        let visit = entry.fleet.visit(&spec.id, entry.clock.now());
        let mut usage = None;
        let result = self.read(spec, &mut usage, sink);
        drop(visit);
        self.count_recomputed(search, begun, usage);
        let error = match result {
            Ok(ended) => {
                entry.fleet.ended(&spec.id, true, entry.clock.now());
                if search.is_first() {
                    entry.retries.lock().succeeded();
                }
                return Tried::Ended(ended);
            }
            // The counts come last, so a connection that breaks after them has brought everything.
            Err(_) if usage.is_some() => return Tried::Ended(Ended::Whole(self.counted(usage.unwrap_or_default()))),
            Err(error) => error,
        };
        match self.watch.stop() {
            Some(stop @ (Stop::CallerGone | Stop::Moved | Stop::Late)) => return Tried::Ended(self.stopped(stop)),
            Some(Stop::Stalled) | None => {}
        }
        if error.status.is_some_and(|status| REFUSALS.contains(&status)) {
            entry.fleet.ended(&spec.id, true, entry.clock.now());
            return Tried::Ended(Ended::Failed(Problem::bad_request(format!(
                "the engine refused the request: {}",
                error.reason
            ))));
        }
        let now = entry.clock.now();
        entry.fleet.hosts.failed(&spec.host, &error, now);
        entry.fleet.ended(&spec.id, false, now);
        self.failed(&error)
    }

    fn failed(&self, error: &UpstreamError) -> Tried {
        let cause = if self.watch.stop() == Some(Stop::Stalled) {
            Cause::Stalled
        } else {
            Cause::Died
        };
        counter!("gentian_attempts_failed_total", "cause" => cause.name()).increment(1);
        warn!(self.entry.logger, "attempt failed"; "request" => %self.id, "error" => %error);
        match error.fate {
            Fate::NotRun => Tried::NotRun,
            Fate::Unknown => Tried::Failed(cause),
        }
    }

    fn read(
        &self,
        spec: &UpstreamSpec,
        usage: &mut Option<Usage>,
        sink: &mut dyn Sink,
    ) -> Result<Ended, UpstreamError> {
        self.watch.begin();
        let pulse: Arc<Watch> = Arc::clone(&self.watch);
        let client = EngineClient::watched(CONNECT, pulse);
        let mut stream = client.stream(spec.address, self.id, &self.continued(), FOREVER)?;
        loop {
            match stream.next_event()? {
                Event::Token(token) => {
                    self.watch.progress();
                    if self.journal.push(&token).is_err() {
                        return Ok(Ended::Moved);
                    }
                    // Dropping the stream closes its connection, by which the engine stops making tokens for nobody.
                    if sink.token(&token).is_err() {
                        return Ok(Ended::CallerGone);
                    }
                }
                Event::Usage(counts) => *usage = Some(counts),
                Event::Done => return Ok(Ended::Whole(self.counted(usage.unwrap_or_default()))),
            }
        }
    }

    /// Gives the request with the tokens that were made already as the beginning of the answer.
    fn continued(&self) -> Chat {
        let mut chat = Chat {
            stream: true,
            ..self.ask.chat.clone()
        };
        let begun = self.journal.len() as u64;
        if begun > 0 {
            chat.messages.push(Message {
                role: "assistant".to_owned(),
                content: self.journal.text(),
            });
            chat.max_tokens -= begun;
            chat.continue_final_message = true;
            chat.add_generation_prompt = false;
        }
        chat
    }

    fn counted(&self, usage: Usage) -> Usage {
        Usage {
            prompt_tokens: self.ask.prompt_tokens,
            completion_tokens: self.journal.len() as u64,
            ..usage
        }
    }

    /// Counts what an engine computed that another one had computed before.
    fn count_recomputed(&self, search: &mut Search, begun: usize, usage: Option<Usage>) {
        if self.journal.len() == begun && usage.is_none() {
            return;
        }
        if let Some(cause) = search.take_cause() {
            let cached = usage.unwrap_or_default().cached_tokens;
            let again = (self.ask.prompt_tokens + begun as u64).saturating_sub(cached);
            let customer = self.customer.to_string();
            counter!("gentian_recomputed_tokens_total", "customer" => customer, "cause" => cause.name())
                .increment(again);
        }
    }

    fn stopped(&self, stop: Stop) -> Ended {
        match stop {
            Stop::CallerGone => Ended::CallerGone,
            Stop::Moved => Ended::Moved,
            Stop::Stalled | Stop::Late => {
                warn!(self.entry.logger, "answer given up"; "request" => %self.id);
                Ended::Failed(Problem::broken("the answer took too long"))
            }
        }
    }
}
