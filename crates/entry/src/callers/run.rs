//! One admitted chat completion: sent to engines until one of them ends the answer.
//!
//! An engine that dies or freezes in the middle is left, and the answer goes on at another one from the tokens that
//! were made already, so that the caller gets one whole answer.

mod adopted;
mod search;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use contract::{CustomerId, RequestId, UpstreamId, UpstreamSpec};
use metrics::counter;
use policy::prefix::Prefix;
use policy::rescue::StreamAction;
use policy::route::{RequestNeed, Target};
use slog::warn;
use telemetry::burn::RequestMeter;
use upstream::engine::{ChatRequest, EngineClient, Message, StreamEvent, Usage};
use upstream::{Fate, UpstreamError};

use super::ask::Ask;
use super::problem::Problem;
use super::watch::{Stop, Watch};
use crate::Entry;
use crate::current::View;
use crate::fleet::{self, Visit, prompt};
use crate::journal::Journal;
use crate::rescue::{Boarding, Move};
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
    Moved(Move),
}

/// One attempt: what is sent, and what the fleet is told of it.
struct Trip<'a> {
    visit: Visit<'a>,
    chat: ChatRequest,
    prefix: Prefix,
    believed: u64,
    usage: Option<Usage>,
}

/// One admitted request.
pub(super) struct Run<'a> {
    pub(super) entry: &'a Entry,
    pub(super) id: &'a RequestId,
    pub(super) customer: CustomerId,
    pub(super) ask: &'a Ask,
    pub(super) journal: Arc<Journal>,
    pub(super) watch: Arc<Watch>,
    pub(super) meter: RequestMeter<'a>,
}

impl Run<'_> {
    /// Sends the request to engines until one of them ends the answer.
    pub(super) fn drive(&self, search: &mut Search, sink: &mut dyn Sink) -> Ended {
        loop {
            if self.journal.len() as u64 >= self.ask.chat.max_tokens {
                return Ended::Whole(self.counted(None));
            }
            if let Some(stop) = self.watch.look() {
                return self.stopped(stop);
            }
            let chat = self.continued();
            let prefix = prompt::prefix(&chat.messages);
            let Some((spec, believed)) = self.choose(&prefix, search) else {
                if search.may_refuse() {
                    return Ended::Failed(Problem::overloaded(Duration::from_secs(1)));
                }
                // Every engine was tried or is barred for now; the answer goes on with the first that comes back.
                search.pause();
                continue;
            };
            let mut trip = Trip {
                visit: self.entry.fleet.visit(&spec.id, self.entry.clock.now()),
                chat,
                prefix,
                believed,
                usage: None,
            };
            self.meter.record_attempt(&spec.host);
            let tried = self.attempt(&spec, &mut trip, search, sink);
            drop(trip);
            match tried {
                Tried::Ended(ended) => return ended,
                Tried::NotRun => search.note(spec.id),
                Tried::Moved(Move {
                    to,
                    how: StreamAction::Export,
                }) => search.moved(spec.id, to, Cause::ExportedCache),
                Tried::Moved(_) => search.moved(spec.id, None, Cause::Reclaimed),
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

    fn choose(&self, prefix: &Prefix, search: &mut Search) -> Option<(UpstreamSpec, u64)> {
        let entry = self.entry;
        let view = entry.current.view();
        let target = search.take_target();
        let need = RequestNeed {
            prompt_tokens: self.ask.prompt_tokens,
            answer_tokens: self.ask.chat.max_tokens,
            turn: 0,
        };
        let ask = fleet::Ask {
            target: &Target::Model(self.ask.chat.model.clone()),
            prefix,
            need,
            tried: search.tried(),
        };
        let now = entry.clock.now();
        // An engine that holds the moved cache comes before all others, as long as it takes work.
        let only = target.map(|target| others(&view, &self.ask.chat.model, &target));
        let there = only.and_then(|others| {
            let tried = &others;
            entry.fleet.choose(&view, &fleet::Ask { tried, ..ask }, now)
        });
        let choice = there.or_else(|| entry.fleet.choose(&view, &ask, now))?;
        let spec = view.config.upstreams.get(&choice.chosen).cloned()?;
        let believed = choice.cached;
        self.journal.chose(choice);
        Some((spec, believed))
    }

    fn attempt(&self, spec: &UpstreamSpec, trip: &mut Trip<'_>, search: &mut Search, sink: &mut dyn Sink) -> Tried {
        let entry = self.entry;
        let begun = self.journal.len();
        let ride = entry.rescue.board(self.id, self.boarding(spec));
        let result = self.read(spec, trip, sink);
        self.count_recomputed(search, begun, trip.usage);
        let error = match result {
            Ok(ended) => {
                entry.fleet.ended(&spec.id, true, entry.clock.now());
                if search.is_first() {
                    entry.retries.lock().succeeded();
                }
                return Tried::Ended(ended);
            }
            // The counts come last, so a connection that breaks after them has brought everything.
            Err(_) if trip.usage.is_some() => return Tried::Ended(Ended::Whole(self.counted(trip.usage))),
            Err(error) => error,
        };
        match self.watch.stop() {
            Some(stop @ (Stop::CallerGone | Stop::Moved | Stop::Late)) => return Tried::Ended(self.stopped(stop)),
            Some(Stop::Stalled | Stop::Rescued) | None => {}
        }
        if let Some(to) = ride.destination() {
            counter!("gentian_rescued_total", "how" => to.how.to_string()).increment(1);
            // A late answer that was moved off a leaving host is put down to the reclaim.
            self.meter.record_failure(true);
            return Tried::Moved(to);
        }
        drop(ride);
        if error.status.is_some_and(|status| REFUSALS.contains(&status)) {
            entry.fleet.ended(&spec.id, true, entry.clock.now());
            return Tried::Ended(Ended::Failed(Problem::bad_request(format!(
                "the engine refused the request: {}",
                error.reason
            ))));
        }
        let now = entry.clock.now();
        self.meter.record_failure(!entry.fleet.hosts.takes_work(&spec.host));
        entry.fleet.hosts.failed(&spec.host, &error, now);
        entry.fleet.ended(&spec.id, false, now);
        match self.failed(&error) {
            Tried::Failed(_) if !entry.fleet.hosts.takes_work(&spec.host) => Tried::Failed(Cause::Reclaimed),
            tried => tried,
        }
    }

    fn boarding(&self, spec: &UpstreamSpec) -> Boarding {
        Boarding {
            spec: spec.clone(),
            journal: Arc::clone(&self.journal),
            prompt: self.ask.prompt_tokens,
            most: self.ask.chat.max_tokens,
            due: self.watch.due(),
            now: self.entry.clock.now(),
            asked: self.watch.asked(),
        }
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

    fn read(&self, spec: &UpstreamSpec, trip: &mut Trip<'_>, sink: &mut dyn Sink) -> Result<Ended, UpstreamError> {
        let clock = &self.entry.clock;
        self.watch.begin();
        let pulse: Arc<Watch> = Arc::clone(&self.watch);
        let client = EngineClient::with_monitor(CONNECT, pulse);
        let mut stream = client.stream(spec.address, self.id, &trip.chat, FOREVER)?;
        let mut first = true;
        loop {
            match stream.next_event()? {
                StreamEvent::Token(token) => {
                    self.watch.progress();
                    self.meter.record_token(clock.now());
                    if std::mem::take(&mut first) {
                        trip.visit.first_token(&trip.prefix, trip.believed, clock.now());
                    }
                    trip.visit.token(self.watch.between(), clock.now());
                    if self.journal.push(&token).is_err() {
                        return Ok(Ended::Moved);
                    }
                    // Dropping the stream closes its connection, by which the engine stops making tokens for nobody.
                    if sink.token(&token).is_err() {
                        return Ok(Ended::CallerGone);
                    }
                }
                StreamEvent::Usage(counts) => {
                    trip.visit.counted(&trip.prefix, trip.believed, counts.cached_tokens);
                    trip.usage = Some(counts);
                }
                StreamEvent::Done => {
                    let prefix = prompt::prefix(&self.continued().messages);
                    trip.visit.whole(&prefix, clock.now());
                    self.entry.rescue.keep(self.id, spec, prefix);
                    return Ok(Ended::Whole(self.counted(trip.usage)));
                }
            }
        }
    }

    /// Gives the request with the tokens that were made already as the beginning of the answer.
    fn continued(&self) -> ChatRequest {
        let mut chat = ChatRequest {
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

    fn counted(&self, usage: Option<Usage>) -> Usage {
        Usage {
            prompt_tokens: self.ask.prompt_tokens,
            completion_tokens: self.journal.len() as u64,
            ..usage.unwrap_or_default()
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
            Stop::Stalled | Stop::Late | Stop::Rescued => {
                warn!(self.entry.logger, "answer given up"; "request" => %self.id);
                Ended::Failed(Problem::broken("the answer took too long"))
            }
        }
    }
}

/// Gives every engine of a model but one.
fn others(view: &View, model: &str, target: &UpstreamId) -> Vec<UpstreamId> {
    let specs = view.config.upstreams.values();
    let others = specs.filter(|spec| spec.serves_model(model) && spec.id != *target);
    others.map(|spec| spec.id.clone()).collect()
}
