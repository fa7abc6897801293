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
use crate::events::Events;
use crate::exchange::{Fate, open};
use crate::gate::Gateway;
use crate::pool::connect;
use crate::reclaim_notice::Notice;
use crate::request::Request;
use crate::upstreams::ChosenUpstream;

/// Longest wait for a copy: the time between a notice and the end that it announces is two seconds and a half.
const COPY: Duration = Duration::from_millis(2_500);
/// Factor on the copy of a token's cache between data centres, where the links are half as fast.
const DISTANT: f64 = 2.0;
/// Time up to which a copy is made at once, with the stream stopped: callers notice no pause, and a second call would queue
/// once more behind the other copies on the link.
const SHORT: Duration = Duration::from_millis(25);
/// Longest wait for the end of a stream that its upstream has handed over. Its last events are made anew from the copy, so
/// that a connection which falls silent costs no more than this.
const HANDED: Duration = Duration::from_millis(150);
/// Part of the time left by which streams that can begin anew elsewhere let the others go first: what may run only once is
/// lost without a copy, and one link carries one copy after the other.
const YIELD: f64 = 0.25;
/// Time between two tokens until a stream has shown its own; four times that of an idle engine.
const STEP: Duration = Duration::from_millis(16);

/// A copy that came to nothing.
#[derive(Clone, Debug, Display, Error)]
pub enum MoveError {
    /// The upstream was not reached, or its answer broke off.
    #[display("copy from {peer}: {fate}")]
    Broken {
        /// Where the stream runs.
        peer: SocketAddr,
        /// What is known of the call.
        fate: Fate,
    },
    /// No answer in time.
    #[display("copy from {peer}: no answer in time")]
    Late {
        /// Where the stream runs.
        peer: SocketAddr,
    },
    /// The upstream refused: no room at the other, or no such stream.
    #[display("copy from {peer} to {to}: refused with {status}")]
    Refused {
        /// Where the stream runs.
        peer: SocketAddr,
        /// Where it was to go.
        to: SocketAddr,
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

type Call = Pin<Box<dyn Future<Output = Result<String, MoveError>>>>;

/// How far the move of a stream is.
enum Step {
    /// Nothing is announced, or nothing can be done about it.
    Idle,
    /// Streams that would be lost go first.
    Yielding(Pin<Box<Sleep>>),
    /// The cache is copied while the stream goes on.
    Copying(ChosenUpstream, Call),
    /// The upstream stops the stream and hands the rest over.
    Stopping(ChosenUpstream, Call),
    /// The copy is whole, and the stream's connection ends.
    Ready(KvCopy, Pin<Box<Sleep>>),
}

/// Moves one stream away from an upstream that is taken away.
pub(crate) struct Mover {
    from: ChosenUpstream,
    notice: Rc<Notice>,
    step: Step,
    /// Whether the end was looked at; streams that end in time, or can't be moved, stay.
    decided: bool,
    failed: u32,
}

impl Mover {
    pub(crate) const fn new(from: ChosenUpstream, notice: Rc<Notice>) -> Self {
        Self {
            from,
            notice,
            step: Step::Idle,
            decided: false,
            failed: 0,
        }
    }

    /// Waits until the move is one step further, and tells whether the stream has been handed over long enough for its
    /// connection to have ended; ends never while there is nothing to do. It may be dropped and called again.
    pub(crate) async fn advance(&mut self, request: &Request, gate: &Rc<Gateway>, events: &Events) -> bool {
        match &mut self.step {
            Step::Idle if self.decided => std::future::pending().await,
            Step::Idle => {
                self.notice.told().await;
                self.decided = true;
                self.step = Step::Yielding(Box::pin(sleep(self.yields(request, gate))));
            }
            Step::Yielding(wait) => {
                wait.await;
                self.step = Step::Idle;
                self.begin(request, gate, events);
            }
            Step::Copying(_, call) | Step::Stopping(_, call) => {
                let ended = call.await;
                self.copied(ended, request, gate, events);
            }
            Step::Ready(_, wait) => {
                wait.await;
                return true;
            }
        }
        false
    }

    /// Gives the time for which a stream lets others go first.
    fn yields(&self, request: &Request, gate: &Gateway) -> Duration {
        if !request.is_idempotent() {
            return Duration::ZERO;
        }
        let left = self.notice.left(gate.clock.now());
        left.unwrap_or_default().mul_f64(YIELD)
    }

    /// Takes the next step after a call for a copy has ended.
    fn copied(&mut self, ended: Result<String, MoveError>, request: &Request, gate: &Rc<Gateway>, events: &Events) {
        match (std::mem::replace(&mut self.step, Step::Idle), ended) {
            (Step::Copying(to, _), Ok(_)) => {
                let call = self.call(request, gate, &to, true);
                self.step = Step::Stopping(to, call);
            }
            (Step::Stopping(to, _), Ok(handle)) => {
                let taken = KvCopy {
                    upstream: to,
                    source: self.from.address,
                    handle,
                };
                self.step = Step::Ready(taken, Box::pin(sleep(HANDED)));
            }
            (step, Err(error)) => self.fail(&step, &error, request, gate, events),
            (step, Ok(_)) => self.step = step,
        }
    }

    /// Notes a copy that came to nothing; one that did not stop the stream is made once more.
    fn fail(&mut self, step: &Step, error: &MoveError, request: &Request, gate: &Rc<Gateway>, events: &Events) {
        counter!("gentian_gateway_moves_failed_total").increment(1);
        self.failed += 1;
        info!(gate.logger, "stream not moved"; "request" => &request.asked.id, "upstream" => &self.from.id,
            "error" => %error, "failed" => self.failed);
        if matches!(step, Step::Copying(..)) && self.failed < MAX_COPY_FAILURES {
            self.begin(request, gate, events);
        }
    }

    /// Gives the copy once the stream has ended at its upstream; waits for it if the upstream is handing it over.
    pub(crate) async fn taken(&mut self, request: &Request, gate: &Rc<Gateway>, events: &Events) -> Option<KvCopy> {
        if matches!(self.step, Step::Stopping(..)) {
            self.advance(request, gate, events).await;
        }
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Ready(taken, _) => Some(taken),
            _ => None,
        }
    }

    /// Begins to copy the cache, unless the stream ends in time or the copy would not.
    fn begin(&mut self, request: &Request, gate: &Rc<Gateway>, events: &Events) {
        let Some(left) = self.notice.left(gate.clock.now()) else {
            return;
        };
        let stream = self.stream(request, gate, events, left);
        let engine = gate.engine(&request.service).unwrap_or_default();
        let how = how(&stream, engine, gate.upstreams.borrow().rates(&request.service));
        let to = (how == StreamAction::Export)
            .then(|| self.target(request, gate))
            .flatten();
        let to_id = to.as_ref().map(|to| to.id.clone());
        info!(gate.logger, "upstream ends"; "request" => &request.asked.id, "upstream" => &self.from.id,
            "left_ms" => left.as_millis() as u64, "how" => %how, "to" => to_id, "events" => events.count());
        let Some(to) = to else {
            return;
        };
        if copy_time(&engine, stream.tokens).is_some_and(|time| time <= SHORT) {
            let call = self.call(request, gate, &to, true);
            self.step = Step::Stopping(to, call);
        } else {
            let call = self.call(request, gate, &to, false);
            self.step = Step::Copying(to, call);
        }
    }

    /// Chooses where the stream goes on; a move is one more send of the request.
    fn target(&self, request: &Request, gate: &Rc<Gateway>) -> Option<ChosenUpstream> {
        let tried = [self.from.id.clone()];
        let chosen = request.choose(gate, &tried).ok()?;
        // A copy takes a slot there at once.
        if !chosen.prediction.has_slot || !gate.may_repeat(&request.service) {
            return None;
        }
        // The copy brings everything that was read.
        let whole = request.asked.prompt_parts.iter().map(|part| part.tokens).sum();
        let reading = PrefillWork {
            cached: whole,
            fresh: 0,
        };
        let predicted = Prediction {
            prefill_ms: 0.0,
            ..chosen.prediction
        };
        Some(ChosenUpstream {
            prediction: predicted,
            prefill: reading,
            ..chosen
        })
    }

    fn stream(&self, request: &Request, gate: &Gateway, events: &Events, left: Duration) -> Stream<()> {
        let engine = gate.engine(&request.service).unwrap_or_default();
        let made = events.count() * u64::from(engine.event_tokens);
        let asked = request.asked.tokens.unwrap_or_default();
        Stream {
            source: (),
            time_left: left,
            tokens: asked.prompt + made,
            remaining: asked.max_output.saturating_sub(made),
            token_interval: request.pace(made).unwrap_or(STEP),
            slack: Duration::ZERO,
            failed_copies: self.failed,
        }
    }

    fn call(&self, request: &Request, gate: &Rc<Gateway>, to: &ChosenUpstream, last: bool) -> Call {
        let (peer, to) = (self.from.address, to.address);
        let gate = Rc::clone(gate);
        let copying = KvCopyRequest {
            source: peer,
            request_id: request.asked.id.clone(),
            target: to,
            stop_stream: last,
        };
        Box::pin(async move {
            let answer = timeout(COPY, copy(&gate, &copying)).await;
            let (status, body) = answer
                .map_err(|_late| MoveError::Late { peer })?
                .map_err(|fate| MoveError::Broken { peer, fate })?;
            let handle = gate.dialect.copied(&body).filter(|_| status == 200);
            handle.ok_or(MoveError::Refused { peer, to, status })
        })
    }
}

/// Decides what becomes of a stream whose upstream ends.
fn how(stream: &Stream<()>, engine: EngineSpec, learnt: pace::EngineRates) -> StreamAction {
    let rates = MoveRates {
        export: copy_time(&engine, 1),
        prefill: Duration::from_secs_f64(learnt.token_ms / 1_000.0),
    };
    plan(&[*stream], &rates)
        .first()
        .map_or(StreamAction::Finish, |(_, how)| *how)
}

/// Gives the time to copy the cache of so many tokens to another data centre, if engines can.
fn copy_time(engine: &EngineSpec, tokens: u64) -> Option<Duration> {
    let one = Duration::from_nanos(engine.copy_ns?).mul_f64(DISTANT);
    Some(one.mul_f64(tokens as f64))
}

/// Asks an upstream to copy a stream's cache; gives status and body of its answer.
async fn copy(gate: &Gateway, copying: &KvCopyRequest) -> Result<(u16, bytes::Bytes), Fate> {
    let connection = connect(copying.source, COPY).await.map_err(|error| Fate::NotSent {
        why: format!("connect to {}: {error}", copying.source),
    })?;
    let mut bytes = Vec::new();
    gate.dialect.write_copy(&mut bytes, copying);
    let mut opened = open(connection, &bytes, &copying.request_id, gate.dialect.as_ref()).await?;
    let status = opened.head.start.status;
    Ok((status, opened.whole().await?))
}
