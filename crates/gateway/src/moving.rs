//! Moves a stream's KV cache to another upstream before its own is taken away.
//!
//! A whole data centre of reclaimable upstreams ends a second or two after its notice. Streams that end with their upstream
//! are lost where they may run only once, and read their whole prompt again elsewhere where not. The cache is copied while
//! the stream goes on; then the upstream stops it, hands over what has been added meanwhile, and the stream goes on there.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use contract::EngineSpec;
use derive_more::{Display, Error};
use metrics::counter;
use policy::pace::{self, PrefillWork};
use policy::place::Prediction;
use policy::rescue::{MAX_COPY_FAILURES, MoveRates, Stream, StreamAction, plan};
use slog::info;
use tokio::time::{Sleep, sleep, timeout};

use crate::dialect::KvCopyRequest;
use crate::events::EventParser;
use crate::exchange::{AttemptError, send_request};
use crate::gate::Gateway;
use crate::pool::connect;
use crate::reclaim_notice::ReclaimNotice;
use crate::request::Request;
use crate::upstreams::ChosenUpstream;

/// Longest wait for a copy: the time between a notice and the end that it announces is two seconds and a half.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Factor on the copy of a token's cache between data centres, where the links are half as fast.
const REMOTE_COPY_FACTOR: f64 = 2.0;
/// Time up to which a copy is made at once, with the stream stopped: callers notice no pause, and a second call would queue
/// once more behind the other copies on the link.
const MAX_ONE_STEP_COPY: Duration = Duration::from_millis(25);
/// Longest wait for the end of a stream that its upstream has handed over. Its last events are made anew from the copy, so
/// that a connection which falls silent costs no more than this.
const HANDOVER_WAIT: Duration = Duration::from_millis(150);
/// Part of the time left by which streams that can begin anew elsewhere let the others go first: what may run only once is
/// lost without a copy, and one link carries one copy after the other.
const YIELD_SHARE: f64 = 0.25;
/// Time between two tokens until a stream has shown its own; four times that of an idle engine.
const DEFAULT_TOKEN_INTERVAL: Duration = Duration::from_millis(16);

/// A copy that came to nothing.
#[derive(Clone, Debug, Display, Error)]
pub enum MoveError {
    /// The upstream was not reached, or its answer broke off.
    #[display("copy from {from}: {error}")]
    Broken {
        /// Where the stream runs.
        from: SocketAddr,
        /// What is known of the call.
        error: AttemptError,
    },
    /// No answer in time.
    #[display("copy from {from}: no answer in time")]
    Timeout {
        /// Where the stream runs.
        from: SocketAddr,
    },
    /// The upstream refused: no room at the other, or no such stream.
    #[display("copy from {from} to {target}: refused with {status}")]
    Refused {
        /// Where the stream runs.
        from: SocketAddr,
        /// Where it was to go.
        target: SocketAddr,
        /// Status of the refusal.
        status: u16,
    },
}

/// A stream's cache at another upstream, for the request that goes on with it.
#[derive(Clone, Debug, PartialEq)]
pub struct KvCopy {
    /// The upstream that holds the copy.
    pub upstream: ChosenUpstream,
    /// Where the copy came from.
    pub source: SocketAddr,
    /// Name of the copy there.
    pub handle: String,
}

type CopyCall = Pin<Box<dyn Future<Output = Result<String, MoveError>>>>;

/// How far the move of a stream is.
enum MoveState {
    /// Nothing is announced, or nothing can be done about it.
    Idle,
    /// Streams that would be lost go first.
    Yielding(Pin<Box<Sleep>>),
    /// The cache is copied while the stream goes on.
    Copying(ChosenUpstream, CopyCall),
    /// The upstream stops the stream and hands the rest over.
    Stopping(ChosenUpstream, CopyCall),
    /// The copy is whole, and the stream's connection ends.
    Ready(KvCopy, Pin<Box<Sleep>>),
}

/// Moves one stream away from an upstream that is taken away.
pub(crate) struct StreamMover {
    source: ChosenUpstream,
    notice: Rc<ReclaimNotice>,
    state: MoveState,
    /// Whether the end was looked at; streams that end in time, or can't be moved, stay.
    decided: bool,
    failed_copies: u32,
}

impl StreamMover {
    pub(crate) const fn new(source: ChosenUpstream, notice: Rc<ReclaimNotice>) -> Self {
        Self {
            source,
            notice,
            state: MoveState::Idle,
            decided: false,
            failed_copies: 0,
        }
    }

    /// Waits until the move is one step further, and tells whether the stream has been handed over long enough for its
    /// connection to have ended; ends never while there is nothing to do. It may be dropped and called again.
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

    /// Gives the time for which a stream lets others go first.
    fn yield_time(&self, request: &Request, gateway: &Gateway) -> Duration {
        if !request.is_idempotent() {
            return Duration::ZERO;
        }
        let time_left = self.notice.time_left(gateway.clock.now());
        time_left.unwrap_or_default().mul_f64(YIELD_SHARE)
    }

    /// Takes the next step after a call for a copy has ended.
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

    /// Notes a copy that came to nothing; one that did not stop the stream is made once more.
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
        info!(gateway.logger, "stream not moved"; "request" => &request.info.id, "upstream" => &self.source.id,
            "error" => %error, "failed" => self.failed_copies);
        if matches!(state, MoveState::Copying(..)) && self.failed_copies < MAX_COPY_FAILURES {
            self.start_copy(request, gateway, parser);
        }
    }

    /// Gives the copy once the stream has ended at its upstream; waits for it if the upstream is handing it over.
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

    /// Begins to copy the cache, unless the stream ends in time or the copy would not.
    fn start_copy(&mut self, request: &Request, gateway: &Rc<Gateway>, parser: &EventParser) {
        let Some(time_left) = self.notice.time_left(gateway.clock.now()) else {
            return;
        };
        let stream = self.stream_info(request, gateway, parser, time_left);
        let engine = gateway.engine_spec(&request.service).unwrap_or_default();
        let action = choose_action(&stream, engine, gateway.upstreams.borrow().rates(&request.service));
        let target = (action == StreamAction::Export)
            .then(|| self.choose_target(request, gateway))
            .flatten();
        let target_id = target.as_ref().map(|target| target.id.clone());
        info!(gateway.logger, "upstream ends"; "request" => &request.info.id, "upstream" => &self.source.id,
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

    /// Chooses where the stream goes on; a move is one more send of the request.
    fn choose_target(&self, request: &Request, gateway: &Rc<Gateway>) -> Option<ChosenUpstream> {
        let tried = [self.source.id.clone()];
        let chosen = request.choose_upstream(gateway, &tried).ok()?;
        // A copy takes a slot there at once.
        if !chosen.prediction.has_slot || !gateway.may_retry(&request.service) {
            return None;
        }
        // The copy brings everything that was read.
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
        &self,
        request: &Request,
        gateway: &Rc<Gateway>,
        target: &ChosenUpstream,
        stop_stream: bool,
    ) -> CopyCall {
        let (from, target) = (self.source.address, target.address);
        let gateway = Rc::clone(gateway);
        let copy_request = KvCopyRequest {
            source: from,
            request_id: request.info.id.clone(),
            target,
            stop_stream,
        };
        Box::pin(async move {
            let response = timeout(COPY_TIMEOUT, request_copy(&gateway, &copy_request)).await;
            let (status, body) = response
                .map_err(|_late| MoveError::Timeout { from })?
                .map_err(|error| MoveError::Broken { from, error })?;
            let handle = gateway.codec.copied(&body).filter(|_| status == 200);
            handle.ok_or(MoveError::Refused { from, target, status })
        })
    }
}

/// Decides what becomes of a stream whose upstream ends.
fn choose_action(stream: &Stream<()>, engine: EngineSpec, engine_rates: pace::EngineRates) -> StreamAction {
    let rates = MoveRates {
        export: copy_time(&engine, 1),
        prefill: Duration::from_secs_f64(engine_rates.token_ms / 1_000.0),
    };
    plan(&[*stream], &rates)
        .first()
        .map_or(StreamAction::Finish, |(_, action)| *action)
}

/// Gives the time to copy the cache of so many tokens to another data centre, if engines can.
fn copy_time(engine: &EngineSpec, tokens: u64) -> Option<Duration> {
    let one = Duration::from_nanos(engine.copy_ns?).mul_f64(REMOTE_COPY_FACTOR);
    Some(one.mul_f64(tokens as f64))
}

/// Asks an upstream to copy a stream's cache; gives status and body of its answer.
async fn request_copy(gateway: &Gateway, copy_request: &KvCopyRequest) -> Result<(u16, bytes::Bytes), AttemptError> {
    let connection = connect(copy_request.source, COPY_TIMEOUT)
        .await
        .map_err(|error| AttemptError::NotSent {
            reason: format!("connect to {}: {error}", copy_request.source),
        })?;
    let mut bytes = Vec::new();
    gateway.codec.write_copy(&mut bytes, copy_request);
    let mut response = send_request(connection, &bytes, &copy_request.request_id, gateway.codec.as_ref()).await?;
    let status = response.head.start.status;
    Ok((status, response.read_body().await?))
}
