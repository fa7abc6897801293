//! Moves a stream's KV cache to another upstream before its own is reclaimed.
//!
//! Reclaimable upstreams get a notice a second or two before they end, often all of a data centre at once. Without a
//! move, a stream that must not run twice is lost, and any other has to prefill its whole prompt again elsewhere. The
//! cache is copied while the stream keeps running; then the upstream stops the stream and hands over the tokens added
//! meanwhile, and the stream continues on the target.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use contract::{EngineSpec, ServiceName};
use derive_more::{Display, Error};
use inbound::intake::Lease;
use inbound::request_reader::Body;
use metrics::counter;
use policy::duration_from_secs;
use policy::fetch::REMOTE_COPY_FACTOR;
use policy::pace::{self, PrefillWork};
use policy::place::Prediction;
use policy::rescue::{MAX_COPY_FAILURES, MoveRates, Stream, StreamAction, plan};
use slog::info;
use tokio::time::{Sleep, sleep, timeout};

use crate::attempt_head::OutgoingRequest;
use crate::dialect::KvCopyRequest;
use crate::events::EventParser;
use crate::exchange::AttemptError;
use crate::gate::Gateway;
use crate::reclaim_notice::ReclaimNotice;
use crate::request::Request;
use crate::upstreams::ChosenUpstream;

/// Longest wait for a copy. A notice leaves two and a half seconds, so a later copy is of no use.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest copy that is made in one call with the stream stopped. Callers don't notice a pause this short, and a second
/// call would queue behind the other copies on the link again.
const MAX_ONE_STEP_COPY: Duration = Duration::from_millis(25);
/// Longest wait for the connection of a handed-over stream to end. The target generates the last events again from the
/// copy, so a connection that goes silent costs no more than this.
const HANDOVER_WAIT: Duration = Duration::from_millis(150);
/// Share of the time left for which streams that can restart elsewhere wait before copying. One link carries one copy
/// after the other, and streams that must not run twice are lost without a copy, so those go first.
const YIELD_SHARE: f64 = 0.25;
/// Assumed time between two tokens until the stream has shown its own; four times that of an idle engine.
const DEFAULT_TOKEN_INTERVAL: Duration = Duration::from_millis(16);

/// A copy of a stream's KV cache that failed.
#[derive(Clone, Debug, Display, Error)]
pub enum MoveError {
    /// The source could not be reached, or its response broke off.
    #[display("copy from {from}: {error}")]
    Broken {
        /// Address of the upstream that runs the stream.
        from: SocketAddr,
        /// Failure of the copy call.
        error: AttemptError,
    },
    /// The source did not answer in time.
    #[display("copy from {from}: no answer in time")]
    Timeout {
        /// Address of the upstream that runs the stream.
        from: SocketAddr,
    },
    /// The source refused: the target has no room, or the stream does not exist.
    #[display("copy from {from} to {target}: refused with {status}")]
    Refused {
        /// Address of the upstream that runs the stream.
        from: SocketAddr,
        /// Address of the upstream that was to receive the copy.
        target: SocketAddr,
        /// Status code of the refusal.
        status: u16,
    },
}

/// A copy of a stream's KV cache from which a request can continue.
#[derive(Clone, Debug, PartialEq)]
pub struct KvCopy {
    /// The upstream that holds the copy.
    pub upstream: ChosenUpstream,
    /// Address of the upstream that the cache was copied from.
    pub source: SocketAddr,
    /// Name of the copy on the upstream that holds it.
    pub handle: String,
}

type CopyCall = Pin<Box<dyn Future<Output = Result<String, MoveError>>>>;

/// Progress of a move.
enum MoveState {
    /// No end was announced, or the stream stays where it is.
    Idle,
    /// Waits so that streams that must not run twice are copied first.
    Yielding(Pin<Box<Sleep>>),
    /// Copies the cache while the stream keeps running.
    Copying(ChosenUpstream, CopyCall),
    /// The source has been told to stop the stream and hand over the rest.
    Stopping(ChosenUpstream, CopyCall),
    /// The copy is complete; waits for the stream's connection to end.
    Ready(KvCopy, Pin<Box<Sleep>>),
}

/// Moves one stream away from an upstream that is about to be reclaimed.
pub(crate) struct StreamMover {
    source: ChosenUpstream,
    notice: Rc<ReclaimNotice>,
    state: MoveState,
    /// Whether the announced end has been handled; streams that finish in time or can't be moved stay where they are.
    decided: bool,
    failed_copies: u32,
    /// Whether the source was told to stop the stream. It then closes the connection without the end of the stream.
    stop_sent: bool,
}

impl StreamMover {
    pub(crate) const fn new(source: ChosenUpstream, notice: Rc<ReclaimNotice>) -> Self {
        Self {
            source,
            notice,
            state: MoveState::Idle,
            decided: false,
            failed_copies: 0,
            stop_sent: false,
        }
    }

    /// Returns whether the source may have stopped the stream, so that the end of its connection is not that of the stream.
    pub(crate) const fn may_have_stopped(&self) -> bool {
        self.stop_sent
    }

    /// Waits for the next step of the move and returns whether the stream's connection should have ended by now, as its
    /// handover was long enough ago. Pends forever while there is nothing to do. Cancel safe.
    pub(crate) async fn advance(&mut self, request: &Request, gateway: &Rc<Gateway>, parser: &EventParser) -> bool {
        match &mut self.state {
            MoveState::Idle if self.decided => std::future::pending().await,
            MoveState::Idle => {
                self.notice.announced().await;
                self.decided = true;
                self.state = MoveState::Yielding(Box::pin(sleep(self.yield_time(request, gateway))));
            }
            MoveState::Yielding(wait) => {
                wait.await;
                self.state = MoveState::Idle;
                self.start_copy(request, gateway, parser);
            }
            MoveState::Copying(_, call) | MoveState::Stopping(_, call) => {
                let result = call.await;
                self.copy_ended(result, request, gateway, parser);
            }
            MoveState::Ready(_, wait) => {
                wait.await;
                return true;
            }
        }
        false
    }

    /// Returns how long a stream lets others copy first.
    fn yield_time(&self, request: &Request, gateway: &Gateway) -> Duration {
        if !request.is_idempotent() {
            return Duration::ZERO;
        }
        let time_left = self.notice.time_left(gateway.clock.now());
        time_left.unwrap_or_default().mul_f64(YIELD_SHARE)
    }

    /// Moves on to the next state after a copy call has ended.
    fn copy_ended(
        &mut self,
        result: Result<String, MoveError>,
        request: &Request,
        gateway: &Rc<Gateway>,
        parser: &EventParser,
    ) {
        match (std::mem::replace(&mut self.state, MoveState::Idle), result) {
            (MoveState::Copying(target, _), Ok(_)) => {
                let call = self.start_call(request, gateway, &target, true);
                self.state = MoveState::Stopping(target, call);
            }
            (MoveState::Stopping(target, _), Ok(handle)) => {
                let kv_copy = KvCopy {
                    upstream: target,
                    source: self.source.address,
                    handle,
                };
                self.state = MoveState::Ready(kv_copy, Box::pin(sleep(HANDOVER_WAIT)));
            }
            (state, Err(error)) => self.copy_failed(&state, &error, request, gateway, parser),
            (state, Ok(_)) => self.state = state,
        }
    }

    /// Records a failed copy, and starts another one if the stream is still running.
    fn copy_failed(
        &mut self,
        state: &MoveState,
        error: &MoveError,
        request: &Request,
        gateway: &Rc<Gateway>,
        parser: &EventParser,
    ) {
        counter!("gentian_gateway_moves_failed_total").increment(1);
        self.failed_copies += 1;
        info!(gateway.logger, "stream not moved"; "request" => request.info.log_id(), "upstream" => &self.source.id,
            "error" => %error, "failed" => self.failed_copies);
        if matches!(state, MoveState::Copying(..)) && self.failed_copies < MAX_COPY_FAILURES {
            self.start_copy(request, gateway, parser);
        }
    }

    /// Returns the copy after the stream's connection has ended; waits for it if the upstream is handing over.
    pub(crate) async fn take_copy(
        &mut self,
        request: &Request,
        gateway: &Rc<Gateway>,
        parser: &EventParser,
    ) -> Option<KvCopy> {
        if matches!(self.state, MoveState::Stopping(..)) {
            self.advance(request, gateway, parser).await;
        }
        match std::mem::replace(&mut self.state, MoveState::Idle) {
            MoveState::Ready(kv_copy, _) => Some(kv_copy),
            _ => None,
        }
    }

    /// Starts to copy the cache, unless the stream finishes in time or the copy would not.
    fn start_copy(&mut self, request: &Request, gateway: &Rc<Gateway>, parser: &EventParser) {
        let Some(time_left) = self.notice.time_left(gateway.clock.now()) else {
            return;
        };
        let stream = self.stream_info(request, gateway, parser, time_left);
        let engine = gateway.engine_spec(&request.service).unwrap_or_default();
        let action = choose_action(&stream, engine, gateway.upstreams.borrow().rates(&request.service));
        let target = (action == StreamAction::Export && parser.is_resumable())
            .then(|| self.choose_target(request, gateway))
            .flatten();
        let target_id = target.as_ref().map(|target| target.id.clone());
        info!(gateway.logger, "upstream ends"; "request" => request.info.log_id(), "upstream" => &self.source.id,
            "left_ms" => time_left.as_millis() as u64, "how" => %action, "to" => target_id,
            "events" => parser.event_count());
        let Some(target) = target else {
            return;
        };
        if copy_time(&engine, stream.tokens).is_some_and(|time| time <= MAX_ONE_STEP_COPY) {
            let call = self.start_call(request, gateway, &target, true);
            self.state = MoveState::Stopping(target, call);
        } else {
            let call = self.start_call(request, gateway, &target, false);
            self.state = MoveState::Copying(target, call);
        }
    }

    /// Chooses the target; a move counts as a retry of the request.
    fn choose_target(&self, request: &Request, gateway: &Rc<Gateway>) -> Option<ChosenUpstream> {
        let tried = [self.source.id.clone()];
        let version = &self.source.version;
        let chosen = request.choose_of_version(gateway, &tried, Some(version)).ok()?;
        // The copy occupies a slot on the target at once.
        if !chosen.prediction.has_slot || !request.reserve_send(gateway) {
            return None;
        }
        // Nothing is left to prefill on the target.
        let prompt_tokens = request.info.prompt_parts.iter().map(|part| part.tokens).sum();
        let prefill = PrefillWork {
            cached: prompt_tokens,
            fresh: 0,
        };
        let prediction = Prediction {
            prefill_ms: 0.0,
            ..chosen.prediction
        };
        Some(ChosenUpstream {
            prediction,
            prefill,
            ..chosen
        })
    }

    fn stream_info(
        &self,
        request: &Request,
        gateway: &Gateway,
        parser: &EventParser,
        time_left: Duration,
    ) -> Stream<()> {
        let engine = gateway.engine_spec(&request.service).unwrap_or_default();
        let output_tokens = parser.event_count() * u64::from(engine.event_tokens);
        let tokens = request.info.tokens.unwrap_or_default();
        Stream {
            source: (),
            time_left,
            tokens: tokens.prompt + output_tokens,
            remaining: tokens.max_output.saturating_sub(output_tokens),
            token_interval: request.token_interval(output_tokens).unwrap_or(DEFAULT_TOKEN_INTERVAL),
            slack: Duration::ZERO,
            failed_copies: self.failed_copies,
        }
    }

    fn start_call(
        &mut self,
        request: &Request,
        gateway: &Rc<Gateway>,
        target: &ChosenUpstream,
        stop_stream: bool,
    ) -> CopyCall {
        self.stop_sent |= stop_stream;
        let (source, target) = (self.source.clone(), target.address);
        let from = source.address;
        let (gateway, service, lease) = (Rc::clone(gateway), request.service.clone(), request.lease.clone());
        let copy_request = KvCopyRequest {
            source: from,
            request_id: request.info.id.clone(),
            target,
            stop_stream,
        };
        Box::pin(async move {
            let response = timeout(
                COPY_TIMEOUT,
                request_copy(&gateway, &service, &source, &copy_request, &lease),
            )
            .await;
            let (status, body) = response
                .map_err(|_late| MoveError::Timeout { from })?
                .map_err(|error| MoveError::Broken { from, error })?;
            let handle = gateway.codec.copied(&body.bytes).filter(|_| status == 200);
            handle.ok_or(MoveError::Refused { from, target, status })
        })
    }
}

/// Decides whether a stream on an upstream that ends is finished, moved or replayed.
fn choose_action(stream: &Stream<()>, engine: EngineSpec, engine_rates: pace::EngineRates) -> StreamAction {
    let rates = MoveRates {
        export: copy_time(&engine, 1),
        prefill: duration_from_secs(engine_rates.token_ms / 1_000.0),
    };
    plan(&[*stream], &rates)
        .first()
        .map_or(StreamAction::Finish, |(_, action)| *action)
}

/// Returns the time to copy the cache of `tokens` tokens to another data centre, or `None` if engines can't copy.
fn copy_time(engine: &EngineSpec, tokens: u64) -> Option<Duration> {
    let per_token = Duration::from_nanos(engine.copy_ns?).mul_f64(REMOTE_COPY_FACTOR);
    Some(per_token.mul_f64(tokens as f64))
}

/// Asks an upstream to copy a stream's cache; returns status and body of the response.
async fn request_copy(
    gateway: &Gateway,
    service: &ServiceName,
    source: &ChosenUpstream,
    copy_request: &KvCopyRequest,
    lease: &Lease,
) -> Result<(u16, Body), AttemptError> {
    let connection = gateway
        .dial(service, source, &copy_request.request_id, COPY_TIMEOUT)
        .await
        .map_err(|error| AttemptError::NotSent {
            reason: error.to_string(),
        })?;
    gateway.claim_call(&source.id).map_err(AttemptError::Held)?;
    let mut outgoing = OutgoingRequest {
        head: Vec::new(),
        body: Bytes::new(),
    };
    gateway.codec.write_copy(&mut outgoing.head, copy_request);
    let mut response = gateway
        .exchange((service, &source.id), connection, &outgoing, &copy_request.request_id)
        .await?;
    let status = response.head.start.status;
    Ok((status, response.read_body(lease).await?))
}
