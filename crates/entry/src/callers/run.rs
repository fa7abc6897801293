//! Runs one admitted chat completion: sends it to engines until one of them completes the answer.
//!
//! If an engine fails or stalls in the middle, the answer continues at another engine from the tokens generated so far,
//! so that the caller gets one complete answer.

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

use super::checked_chat::CheckedChat;
use super::monitor::{RequestMonitor, StopReason};
use super::problem::Problem;
use crate::EntryHost;
use crate::active_config::ConfigView;
use crate::journal::Journal;
use crate::rescue::{AttemptInfo, StreamMove};
use crate::upstreams::{self, InFlight, prompt};
use search::RecomputeCause;

pub use adopted::adopt;
pub(super) use search::EngineSearch;

/// Timeout of connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the HTTP client for one answer; the monitor always ends it earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_hours(72);
/// Statuses with which an engine rejects the request itself; every other engine would reject it too.
const REJECTION_STATUSES: [u16; 3] = [400, 413, 422];

/// Receives the tokens of an answer as they arrive.
pub(super) trait TokenSink {
    fn token(&mut self, token: &str) -> io::Result<()>;
}

/// Discards tokens; the answer is only journaled.
pub(super) struct DiscardTokens;

impl TokenSink for DiscardTokens {
    fn token(&mut self, _token: &str) -> io::Result<()> {
        Ok(())
    }
}

/// How the answer to a request ended.
pub(super) enum RunEnd {
    Completed(Usage),
    CallerGone,
    TakenOver,
    Failed(Problem),
}

/// How one attempt at an engine ended.
enum AttemptEnd {
    Ended(RunEnd),
    NotRun,
    Failed(RecomputeCause),
    Moved(StreamMove),
}

/// One attempt: the request sent, and what is measured of it.
struct AttemptState<'a> {
    in_flight: InFlight<'a>,
    chat: ChatRequest,
    prefix: Prefix,
    expected_cached: u64,
    usage: Option<Usage>,
}

/// An admitted request and the state that its attempts share.
pub(super) struct ChatRun<'a> {
    pub(super) entry: &'a EntryHost,
    pub(super) id: &'a RequestId,
    pub(super) customer: CustomerId,
    pub(super) chat: &'a CheckedChat,
    pub(super) journal: Arc<Journal>,
    pub(super) monitor: Arc<RequestMonitor>,
    pub(super) meter: RequestMeter<'a>,
}

impl ChatRun<'_> {
    /// Runs attempts until the answer is complete or given up.
    pub(super) fn run_attempts(&self, search: &mut EngineSearch, sink: &mut dyn TokenSink) -> RunEnd {
        loop {
            if self.journal.len() as u64 >= self.chat.request.max_tokens {
                return RunEnd::Completed(self.total_usage(None));
            }
            if let Some(stop) = self.monitor.check_request() {
                return self.stopped_end(stop);
            }
            let chat = self.resumed_chat();
            let prefix = prompt::routing_prefix(&chat.messages);
            let Some((spec, expected_cached)) = self.choose_engine(&prefix, search) else {
                if search.can_refuse() {
                    return RunEnd::Failed(Problem::overloaded(Duration::from_secs(1)));
                }
                // Every engine was tried or is barred now; the answer continues at the first that becomes available.
                search.pause();
                continue;
            };
            let mut attempt = AttemptState {
                in_flight: self.entry.upstreams.start_request(&spec.id, self.entry.clock.now()),
                chat,
                prefix,
                expected_cached,
                usage: None,
            };
            self.meter.record_attempt(&spec.host);
            let end = self.run_attempt(&spec, &mut attempt, search, sink);
            drop(attempt);
            match end {
                AttemptEnd::Ended(ended) => return ended,
                AttemptEnd::NotRun => search.record_not_run(spec.id),
                AttemptEnd::Moved(StreamMove {
                    target,
                    action: StreamAction::Export,
                }) => search.record_moved(spec.id, target, RecomputeCause::CacheMoved),
                AttemptEnd::Moved(_) => search.record_moved(spec.id, None, RecomputeCause::Reclaimed),
                AttemptEnd::Failed(cause) => {
                    search.record_broken(spec.id, cause);
                    if !self.may_retry(search) {
                        return RunEnd::Failed(Problem::upstream_failed("no engine could begin the answer"));
                    }
                }
            }
        }
    }

    /// Returns whether another attempt may be made; may pause before it.
    ///
    /// The first attempts to resume an answer do not count against the retry budget, because many answers may have been
    /// on the engine that died and none of them should be cut off. All other retries do; otherwise they would double
    /// the load just when engines fail because they are overloaded.
    fn may_retry(&self, search: &mut EngineSearch) -> bool {
        if self.journal.is_empty() {
            return self.entry.retry_budget.lock().take();
        }
        if !search.use_free_resume() && !self.entry.retry_budget.lock().take() {
            search.pause();
        }
        true
    }

    fn choose_engine(&self, prefix: &Prefix, search: &mut EngineSearch) -> Option<(UpstreamSpec, u64)> {
        let entry = self.entry;
        let view = entry.config.view();
        let target = search.take_cache_holder();
        let need = RequestNeed {
            prompt_tokens: self.chat.prompt_tokens,
            answer_tokens: self.chat.request.max_tokens,
            turn: 0,
        };
        let request = upstreams::RouteRequest {
            target: &Target::Model(self.chat.request.model.clone()),
            prefix,
            need,
            tried: search.tried(),
        };
        let now = entry.clock.now();
        // An engine that got the stream's KV cache is preferred as long as it takes work.
        let others = target.map(|target| other_engines(&view, &self.chat.request.model, &target));
        let preferred = others.and_then(|other_engines| {
            let tried = &other_engines;
            entry
                .upstreams
                .choose(&view, &upstreams::RouteRequest { tried, ..request }, now)
        });
        let choice = preferred.or_else(|| entry.upstreams.choose(&view, &request, now))?;
        let spec = view.config.upstreams.get(&choice.chosen).cloned()?;
        let expected_cached = choice.cached;
        self.journal.record_choice(choice);
        Some((spec, expected_cached))
    }

    fn run_attempt(
        &self,
        spec: &UpstreamSpec,
        attempt: &mut AttemptState<'_>,
        search: &mut EngineSearch,
        sink: &mut dyn TokenSink,
    ) -> AttemptEnd {
        let entry = self.entry;
        let resumed_at = self.journal.len();
        let tracked = entry.rescue.track(self.id, self.attempt_info(spec));
        let result = self.read_stream(spec, attempt, sink);
        self.count_recomputed(search, resumed_at, attempt.usage);
        let error = match result {
            Ok(ended) => {
                entry.upstreams.record_result(&spec.id, true, entry.clock.now());
                if search.no_failures() {
                    entry.retry_budget.lock().succeeded();
                }
                return AttemptEnd::Ended(ended);
            }
            // The usage comes after all tokens, so the answer is complete even if the connection breaks after it.
            Err(_) if attempt.usage.is_some() => {
                return AttemptEnd::Ended(RunEnd::Completed(self.total_usage(attempt.usage)));
            }
            Err(error) => error,
        };
        match self.monitor.stop_reason() {
            Some(stop @ (StopReason::CallerGone | StopReason::TakenOver | StopReason::Late)) => {
                return AttemptEnd::Ended(self.stopped_end(stop));
            }
            Some(StopReason::Stalled | StopReason::Rescued) | None => {}
        }
        if let Some(target) = tracked.destination() {
            counter!("gentian_rescued_total", "how" => target.action.to_string()).increment(1);
            // If the moved answer is late, the burn report attributes it to the reclaim.
            self.meter.record_failure(true);
            return AttemptEnd::Moved(target);
        }
        drop(tracked);
        if error.status.is_some_and(|status| REJECTION_STATUSES.contains(&status)) {
            entry.upstreams.record_result(&spec.id, true, entry.clock.now());
            return AttemptEnd::Ended(RunEnd::Failed(Problem::bad_request(format!(
                "the engine refused the request: {}",
                error.reason
            ))));
        }
        let now = entry.clock.now();
        self.meter.record_failure(!entry.upstreams.hosts.takes_work(&spec.host));
        entry.upstreams.hosts.record_failure(&spec.host, &error, now);
        entry.upstreams.record_result(&spec.id, false, now);
        match self.attempt_failed(&error) {
            AttemptEnd::Failed(_) if !entry.upstreams.hosts.takes_work(&spec.host) => {
                AttemptEnd::Failed(RecomputeCause::Reclaimed)
            }
            end => end,
        }
    }

    fn attempt_info(&self, spec: &UpstreamSpec) -> AttemptInfo {
        AttemptInfo {
            spec: spec.clone(),
            journal: Arc::clone(&self.journal),
            prompt_tokens: self.chat.prompt_tokens,
            max_tokens: self.chat.request.max_tokens,
            deadline: self.monitor.deadline(),
            started: self.entry.clock.now(),
            move_flag: self.monitor.move_flag(),
        }
    }

    fn attempt_failed(&self, error: &UpstreamError) -> AttemptEnd {
        let cause = if self.monitor.stop_reason() == Some(StopReason::Stalled) {
            RecomputeCause::Stalled
        } else {
            RecomputeCause::Died
        };
        counter!("gentian_attempts_failed_total", "cause" => cause.label()).increment(1);
        warn!(self.entry.logger, "attempt failed"; "request" => %self.id, "error" => %error);
        match error.fate {
            Fate::NotRun => AttemptEnd::NotRun,
            Fate::Unknown => AttemptEnd::Failed(cause),
        }
    }

    fn read_stream(
        &self,
        spec: &UpstreamSpec,
        attempt: &mut AttemptState<'_>,
        sink: &mut dyn TokenSink,
    ) -> Result<RunEnd, UpstreamError> {
        let clock = &self.entry.clock;
        self.monitor.start_attempt();
        let monitor: Arc<RequestMonitor> = Arc::clone(&self.monitor);
        let client = EngineClient::with_monitor(CONNECT_TIMEOUT, monitor);
        let mut stream = client.stream(spec.address, self.id, &attempt.chat, ANSWER_TIMEOUT)?;
        let mut first = true;
        loop {
            match stream.next_event()? {
                StreamEvent::Token(token) => {
                    self.monitor.record_token();
                    self.meter.record_token(clock.now());
                    if std::mem::take(&mut first) {
                        attempt
                            .in_flight
                            .record_first_token(&attempt.prefix, attempt.expected_cached, clock.now());
                    }
                    attempt.in_flight.record_token(self.monitor.token_target(), clock.now());
                    if self.journal.push(&token).is_err() {
                        return Ok(RunEnd::TakenOver);
                    }
                    // Returning drops the stream and closes its connection, so that the engine stops generating.
                    if sink.token(&token).is_err() {
                        return Ok(RunEnd::CallerGone);
                    }
                }
                StreamEvent::Usage(usage) => {
                    attempt
                        .in_flight
                        .record_cached(&attempt.prefix, attempt.expected_cached, usage.cached_tokens);
                    attempt.usage = Some(usage);
                }
                StreamEvent::Done => {
                    let prefix = prompt::routing_prefix(&self.resumed_chat().messages);
                    attempt.in_flight.record_complete(&prefix, clock.now());
                    self.entry.rescue.remember_answer(self.id, spec, prefix);
                    return Ok(RunEnd::Completed(self.total_usage(attempt.usage)));
                }
            }
        }
    }

    /// Returns the request with the tokens so far as the beginning of the answer, which the engine continues.
    fn resumed_chat(&self) -> ChatRequest {
        let mut chat = ChatRequest {
            stream: true,
            ..self.chat.request.clone()
        };
        let resumed_at = self.journal.len() as u64;
        if resumed_at > 0 {
            chat.messages.push(Message {
                role: "assistant".to_owned(),
                content: self.journal.text(),
            });
            chat.max_tokens -= resumed_at;
            chat.continue_final_message = true;
            chat.add_generation_prompt = false;
        }
        chat
    }

    fn total_usage(&self, usage: Option<Usage>) -> Usage {
        Usage {
            prompt_tokens: self.chat.prompt_tokens,
            completion_tokens: self.journal.len() as u64,
            ..usage.unwrap_or_default()
        }
    }

    /// Counts the tokens that an engine had to compute again after an earlier attempt had computed them.
    fn count_recomputed(&self, search: &mut EngineSearch, resumed_at: usize, usage: Option<Usage>) {
        if self.journal.len() == resumed_at && usage.is_none() {
            return;
        }
        if let Some(cause) = search.take_cause() {
            let cached = usage.unwrap_or_default().cached_tokens;
            let recomputed = (self.chat.prompt_tokens + resumed_at as u64).saturating_sub(cached);
            let customer = self.customer.to_string();
            counter!("gentian_recomputed_tokens_total", "customer" => customer, "cause" => cause.label())
                .increment(recomputed);
        }
    }

    fn stopped_end(&self, stop: StopReason) -> RunEnd {
        match stop {
            StopReason::CallerGone => RunEnd::CallerGone,
            StopReason::TakenOver => RunEnd::TakenOver,
            StopReason::Stalled | StopReason::Late | StopReason::Rescued => {
                warn!(self.entry.logger, "answer abandoned"; "request" => %self.id);
                RunEnd::Failed(Problem::upstream_failed("the answer took too long"))
            }
        }
    }
}

/// Returns all engines of a model except one.
fn other_engines(view: &ConfigView, model: &str, target: &UpstreamId) -> Vec<UpstreamId> {
    let specs = view.config.upstreams.values();
    let others = specs.filter(|spec| spec.serves_model(model) && spec.id != *target);
    others.map(|spec| spec.id.clone()).collect()
}
