//! Forwards streams event by event, and resumes them at another upstream where the route allows it.

use std::rc::Rc;
use std::time::Duration;

use inbound::intake::Lease;
use metrics::{counter, gauge};
use policy::turns::MAX_TURN;
use slog::info;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, timeout};

use contract::RetryMode;
use wire::slots::SlotEnd;

use crate::answer_writer::{MAX_JOINED_BYTES, write_bytes};
use crate::attempt::{ActiveAttempt, TrialOutcome};
use crate::events::{Event, EventError, EventParser};
use crate::exchange::{AttemptError, BodyChunk, UpstreamResponse};
use crate::gate::Gateway;
use crate::head::Framing;
use crate::moving::{KvCopy, StreamMover};
use crate::request::{ForwardedEvents, Outcome, Request};
use crate::response_head::response_head;
use crate::upstreams::ChosenUpstream;

/// Silence before the first event after which a resumable stream is tried elsewhere. An engine with a long queue may
/// take this long, and a second run would only lengthen the queue.
const MAX_FIRST_SILENCE: Duration = Duration::from_secs(3);
/// Silence between two events after which a resumable stream is resumed elsewhere. Callers leave after two seconds or
/// more.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// Forwards a stream.
///
/// # Errors
/// Returns the outcome of the attempt if the stream breaks off before its first event.
pub(crate) async fn forward_stream(
    request: &Request,
    gateway: &Rc<Gateway>,
    out: &mut OwnedWriteHalf,
    response: UpstreamResponse,
    attempt: ActiveAttempt,
    tried: &mut Vec<String>,
) -> Result<Outcome, AttemptError> {
    let status = response.head.start.status;
    let mut parser = EventParser::resume_after(request.info.last_event);
    let head = response_head(&response.head, None, request.keep_alive);
    let _held = request.hold_head(&head)?;
    let mut source = EventSource::new(response, attempt);
    let mut sink = EventSink {
        out,
        lease: &request.lease,
        head: Some(head),
    };
    loop {
        let framing = source.response.framing;
        request.forwarded.set(ForwardedEvents {
            framing: Some(framing),
            ..request.forwarded.get()
        });
        expect_event(request, gateway, source.attempt.upstream(), &mut parser);
        let ended = match forward_events(request, gateway, &mut source, &mut parser, &mut sink).await {
            Err(ForwardError::Caller(reason)) => return Ok(Outcome::Broken { reason }),
            Err(ForwardError::Upstream(error)) => Err(error),
            Ok(ended) => Ok(ended),
        };
        let is_marked = matches!(ended, Ok(StreamEnd::Marked));
        let kv_copy = if is_marked {
            None
        } else {
            source.mover.take_copy(request, gateway, &parser).await
        };
        let error = match ended {
            Ok(StreamEnd::Marked) => None,
            Ok(StreamEnd::Closed) if source.mover.may_have_stopped() => Some(AttemptError::closed("handed over")),
            Ok(StreamEnd::Closed) if source.write_time > MAX_TURN => Some(AttemptError::unconfirmed_end()),
            Ok(StreamEnd::Closed) => {
                let upstream = source.attempt.upstream();
                let still_runs = gateway.still_runs(&request.service, upstream, &request.info.id).await;
                (!still_runs).then(AttemptError::unconfirmed_end)
            }
            Err(error) => Some(error),
        };
        let Some(error) = error else {
            count_end(framing, "whole");
            record_numbering(request, gateway, source.attempt.upstream(), &parser);
            source.finish(gateway);
            sink.end()
                .await
                .map_err(|error| AttemptError::unknown(error.to_string()))?;
            return Ok(Outcome::Passed { status });
        };
        count_end(framing, if error.is_closed() { "closed" } else { "failed" });
        if kv_copy.is_none() {
            source.attempt.record_failure(gateway);
            source.attempt.judge(TrialOutcome::Failed);
        }
        // The upstream stops the run when its connection closes; it must have stopped before another one continues.
        drop(source);
        parser.discard_partial();
        if kv_copy.is_none() && request.progress.get().output_started {
            let chosen = request.last_upstream.borrow().clone();
            if let Some(chosen) = chosen {
                gateway.record_crash(request, &chosen, &error).await;
            }
        }
        if !request.progress.get().output_started {
            return Err(error);
        }
        log_broken(request, gateway, &error, &parser, kv_copy.is_some());
        if !parser.is_resumable() {
            return Ok(Outcome::Broken {
                reason: format!("stream broke off after an event without an id: {error}"),
            });
        }
        let resumed = match &kv_copy {
            Some(kv_copy) => resume_from_copy(request, gateway, &parser, kv_copy, tried).await,
            None => None,
        };
        let next = match resumed {
            Some(next) => Some(next),
            None => resume_elsewhere(request, gateway, &parser, tried).await,
        };
        match next {
            Some(next) => source = next,
            None => {
                return Ok(Outcome::Broken {
                    reason: format!("stream broke off: {error}"),
                });
            }
        }
    }
}

/// Counts how the response of an upstream to a stream ended.
fn count_end(framing: Framing, end: &'static str) {
    counter!("gentian_gateway_stream_ends_total", "framing" => framing.to_string(), "end" => end).increment(1);
}

/// Has the first event of a response compared with what earlier streams let expect.
fn expect_event(request: &Request, gateway: &Gateway, upstream: &ChosenUpstream, parser: &mut EventParser) {
    let numberings = gateway.numberings.borrow();
    let version = (&request.service, upstream.version.as_str());
    parser.expect(numberings.expected(version, &upstream.id, parser.last_id()));
}

/// Learns from a whole stream how events are numbered.
fn record_numbering(request: &Request, gateway: &Gateway, upstream: &ChosenUpstream, parser: &EventParser) {
    let mut numberings = gateway.numberings.borrow_mut();
    let version = (&request.service, upstream.version.as_str());
    numberings.record_whole(version, parser.first_id(), parser.id_step());
    gauge!("gentian_gateway_numberings_count").set(numberings.len() as f64);
}

/// Logs that a stream broke off after its first event.
fn log_broken(request: &Request, gateway: &Gateway, error: &AttemptError, parser: &EventParser, has_copy: bool) {
    let upstream = request.last_upstream.borrow();
    let forwarded = request.forwarded.get();
    info!(gateway.logger, "stream broke off"; "request" => request.info.log_id(), "content" => %request.fingerprint(),
        "upstream" => upstream.as_ref().map(|upstream| upstream.id.as_str()),
        "version" => upstream.as_ref().map(|upstream| upstream.version.as_str()), "why" => %error, "events" => parser.event_count(),
        "framing" => forwarded.framing.map(|framing| framing.to_string()),
        "first_event" => forwarded.first, "last_event" => forwarded.last,
        "copied" => has_copy,
        "resumable" => request.route.repeat == RetryMode::ResumableStream && parser.is_resumable(),
        "arrivals" => request.progress.get().arrivals);
}

/// The upstream side of a stream.
struct EventSource {
    response: UpstreamResponse,
    attempt: ActiveAttempt,
    mover: StreamMover,
    /// Time for which the caller took no events before the newest read; what is read may have arrived that long ago.
    write_time: Duration,
}

impl EventSource {
    fn new(response: UpstreamResponse, attempt: ActiveAttempt) -> Self {
        let mover = attempt.mover();
        Self {
            response,
            attempt,
            mover,
            write_time: Duration::ZERO,
        }
    }

    fn hold_events(&mut self, capacity: usize) -> Result<(), ForwardError> {
        let held = self.response.room.hold_events(capacity);
        held.map_err(|error| ForwardError::Upstream(AttemptError::unknown(error.to_string())))
    }

    fn finish(self, gateway: &Gateway) {
        let Self { response, attempt, .. } = self;
        attempt.judge(TrialOutcome::Succeeded);
        attempt.record_slot_end(SlotEnd::Answered);
        drop(attempt);
        if let Some((connection, idle)) = response.into_reusable() {
            gateway.pool.borrow_mut().put(connection, idle);
        }
    }
}

/// The caller side of a stream.
struct EventSink<'a> {
    out: &'a mut OwnedWriteHalf,
    lease: &'a Lease,
    /// The response head until the first event is written.
    head: Option<Vec<u8>>,
}

impl EventSink<'_> {
    async fn write(&mut self, events: &[Event]) -> std::io::Result<()> {
        let size: usize = events.iter().map(|event| event.bytes.len()).sum();
        let mut bytes = self.head.take().unwrap_or_default();
        bytes.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        if size > MAX_JOINED_BYTES {
            write_bytes(self.out, &bytes, self.lease).await?;
            for event in events {
                write_bytes(self.out, &event.bytes, self.lease).await?;
            }
            return write_bytes(self.out, b"\r\n", self.lease).await;
        }
        for event in events {
            bytes.extend_from_slice(&event.bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        write_bytes(self.out, &bytes, self.lease).await
    }

    async fn end(&mut self) -> std::io::Result<()> {
        let mut bytes = self.head.take().unwrap_or_default();
        bytes.extend_from_slice(b"0\r\n\r\n");
        write_bytes(self.out, &bytes, self.lease).await
    }
}

/// The side on which a stream failed.
enum ForwardError {
    Caller(String),
    Upstream(AttemptError),
}

/// How a stream ended that has not failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The framing of the body marks the end.
    Marked,
    /// The connection ended in order after a whole event.
    Closed,
}

/// Forwards events until the stream ends.
async fn forward_events(
    request: &Request,
    gateway: &Rc<Gateway>,
    source: &mut EventSource,
    parser: &mut EventParser,
    sink: &mut EventSink<'_>,
) -> Result<StreamEnd, ForwardError> {
    let resumable = request.route.repeat == RetryMode::ResumableStream;
    loop {
        let output_started = request.progress.get().output_started;
        let max_silence = (resumable && request.progress.get().sends < request.route.attempts)
            .then_some(if output_started { MAX_SILENCE } else { MAX_FIRST_SILENCE });
        let chunk = tokio::select! {
            chunk = next_chunk(&mut source.response, max_silence) => chunk,
            handed_over = source.mover.advance(request, gateway, parser), if output_started => {
                if handed_over {
                    return Err(ForwardError::Upstream(AttemptError::unknown("handed over, and silent since")));
                }
                continue;
            }
        };
        match chunk.map_err(ForwardError::Upstream)? {
            BodyChunk::Bytes(bytes) => {
                source.hold_events(parser.capacity_with(bytes.len()))?;
                parser.push(&bytes);
            }
            BodyChunk::End | BodyChunk::Closed if parser.is_partial() => {
                return Err(ForwardError::Upstream(AttemptError::closed("ended within an event")));
            }
            BodyChunk::End => return Ok(StreamEnd::Marked),
            BodyChunk::Closed => return Ok(StreamEnd::Closed),
        }
        source.attempt.record_received();
        let (events, parse_error) = take_events(parser);
        if !events.is_empty() {
            request.count_usage(gateway);
            request.record_began(gateway);
            request.record_output();
            request.record_event(gateway);
            source.attempt.record_first_event();
            let forwarded = request.forwarded.get();
            request.forwarded.set(ForwardedEvents {
                first: forwarded.first.or_else(|| events.iter().find_map(|event| event.id)),
                last: parser.last_id(),
                ..forwarded
            });
            let write_begun = Instant::now();
            let written = source.response.room.wait_for_caller(sink.write(&events)).await;
            source.write_time = write_begun.elapsed();
            written.map_err(|error| ForwardError::Caller(error.to_string()))?;
            drop(events);
            source.hold_events(parser.shrink())?;
        }
        if let Some(error) = parse_error {
            if let EventError::Unexpected { received, .. } = error {
                let upstream = source.attempt.upstream();
                let version = (&request.service, upstream.version.as_str());
                let mut numberings = gateway.numberings.borrow_mut();
                numberings.record_doubt(version, &upstream.id, parser.last_id(), received);
                counter!("gentian_gateway_unexpected_events_total", "service" => request.service.to_string())
                    .increment(1);
            }
            return Err(ForwardError::Upstream(AttemptError::unknown(error.to_string())));
        }
    }
}

/// Reads the next part of a stream; silence for longer than `max_silence` counts as its end.
async fn next_chunk(response: &mut UpstreamResponse, max_silence: Option<Duration>) -> Result<BodyChunk, AttemptError> {
    let Some(max_silence) = max_silence else {
        return response.next_chunk().await;
    };
    let chunk = timeout(max_silence, response.next_chunk()).await;
    chunk.unwrap_or_else(|_silent| Err(AttemptError::unknown("silent")))
}

/// Takes the complete events received so far, up to an invalid one.
fn take_events(parser: &mut EventParser) -> (Vec<Event>, Option<EventError>) {
    let mut events = Vec::new();
    loop {
        match parser.next_event() {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, None),
            Err(error) => return (events, Some(error)),
        }
    }
}

/// Resumes the stream after the last forwarded event, at the upstream that holds the copy of its KV cache.
async fn resume_from_copy(
    request: &Request,
    gateway: &Rc<Gateway>,
    parser: &EventParser,
    kv_copy: &KvCopy,
    tried: &mut Vec<String>,
) -> Option<EventSource> {
    tried.push(kv_copy.upstream.id.clone());
    match request
        .send_attempt(gateway, &kv_copy.upstream, parser.last_id(), Some(kv_copy))
        .await
    {
        Ok((response, attempt)) if response.is_acceptable() && response.head.start.status == 200 => {
            counter!("gentian_gateway_streams_moved_total").increment(1);
            info!(gateway.logger, "stream moved"; "request" => request.info.log_id(), "upstream" => &kv_copy.upstream.id,
                "version" => &kv_copy.upstream.version,
                "from" => %kv_copy.source, "after" => parser.last_id());
            Some(EventSource::new(response, attempt))
        }
        Ok((response, attempt)) => {
            attempt.judge(TrialOutcome::Failed);
            let error = AttemptError::unknown(format!("answered {}", response.head.start.status));
            request.record_failure(gateway, &kv_copy.upstream, &error);
            None
        }
        Err(error) => {
            request.record_failure(gateway, &kv_copy.upstream, &error);
            gateway.record_crash(request, &kv_copy.upstream, &error).await;
            None
        }
    }
}

/// Resumes the stream after the last forwarded event, at another upstream.
async fn resume_elsewhere(
    request: &Request,
    gateway: &Rc<Gateway>,
    parser: &EventParser,
    tried: &mut Vec<String>,
) -> Option<EventSource> {
    if request.route.repeat != RetryMode::ResumableStream {
        return None;
    }
    loop {
        if request.progress.get().sends >= request.route.attempts {
            return None;
        }
        let chosen = request.choose_upstream(gateway, tried).ok()?;
        tried.push(chosen.id.clone());
        match request.send_attempt(gateway, &chosen, parser.last_id(), None).await {
            Ok((response, attempt)) if response.is_acceptable() && response.head.start.status == 200 => {
                counter!("gentian_gateway_streams_resumed_total").increment(1);
                info!(gateway.logger, "stream resumed"; "request" => request.info.log_id(), "upstream" => &chosen.id,
                    "version" => &chosen.version, "after" => parser.last_id());
                return Some(EventSource::new(response, attempt));
            }
            Ok((response, attempt)) => {
                attempt.judge(TrialOutcome::Failed);
                let error = AttemptError::unknown(format!("answered {}", response.head.start.status));
                request.record_failure(gateway, &chosen, &error);
            }
            Err(AttemptError::NoPermit) => return None,
            Err(error) => {
                request.record_failure(gateway, &chosen, &error);
                if matches!(error, AttemptError::Quarantined { .. }) {
                    return None;
                }
                gateway.record_crash(request, &chosen, &error).await;
            }
        }
    }
}
