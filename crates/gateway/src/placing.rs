//! Finds an upstream for a request: at once while one has room and nobody waits, otherwise through the queue.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use contract::{Route, ServiceName};
use derive_more::{Display, Error, From};
use metrics::{counter, gauge, histogram};
use policy::place::PromptPart;
use policy::{Tick, duration_from_secs};
use slog::info;
use tokio::time::Instant;

use crate::gate::Gateway;
use crate::request::Request;
use crate::upstreams::{ChosenUpstream, NoUpstream, PromisedPlace, StartForecast, UpstreamNeed};
use crate::waiting::{Arrival, NewWaiter, WaitCause, WaitEnd, WaitForecast, WaitingRoom};

/// Factor by which a predicted time to the first event may be wrong; predictions are meant to be within it for 80 in 100.
const PREDICTION_FACTOR: f64 = 2.0;
/// Bytes that a waiting request holds besides its body: its head, its prompt parts and its state.
const REQUEST_BYTES: usize = 4 * 1024;

/// The requests that wait for upstreams, with the upstream that each gets and the place that is kept for it there.
pub(crate) type UpstreamQueue = WaitingRoom<WaitingNeed, (ChosenUpstream, PromisedPlace)>;

/// Why a request got no upstream. Nothing was sent since.
#[derive(Clone, Debug, Display, Error, From)]
pub(crate) enum Unplaced {
    /// No upstream may take it.
    #[error(ignore)]
    NoUpstream(NoUpstream),
    /// It waited, or was to wait.
    Waited(WaitEnd),
    /// The work that upstreams have before it takes longer than its caller stays.
    #[display("its first event would come too late")]
    #[from(ignore)]
    TooSlow {
        /// Time after which the caller should try again; `None` while too little is known to tell.
        retry_after: Option<Duration>,
    },
}

/// What was predicted when an upstream was chosen for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartPrediction {
    /// Time for which it waited; `None` if it did not wait.
    pub waited: Option<Duration>,
    /// Predicted wait; `None` if it did not wait or nothing was known.
    pub wait: Option<Duration>,
    /// Predicted time from arrival to the first event or the whole response, in milliseconds; `None` if a part of it was
    /// not known.
    pub first_ms: Option<f64>,
}

/// What a waiting request needs from its upstream.
#[derive(Clone, Debug)]
pub(crate) struct WaitingNeed {
    prompt_parts: Vec<PromptPart>,
    tried: Vec<String>,
    runs_once: bool,
    max_pause_ms: u64,
    draw: f64,
    version: Option<String>,
}

impl WaitingNeed {
    fn new(need: &UpstreamNeed<'_>) -> Self {
        Self {
            prompt_parts: need.prompt_parts.to_vec(),
            tried: need.tried.to_vec(),
            runs_once: need.runs_once,
            max_pause_ms: need.max_pause_ms,
            draw: need.draw,
            version: need.version.map(str::to_owned),
        }
    }

    /// Returns whether the need excludes no upstream, so that others find no upstream where it finds none.
    fn is_general(&self) -> bool {
        self.tried.is_empty() && self.version.is_none()
    }
}

impl Request {
    /// Finds an upstream; waits for one if all are full or other requests of the service wait.
    ///
    /// # Errors
    /// Returns why there is none.
    pub(crate) async fn place_upstream(&self, gateway: &Gateway, tried: &[String]) -> Result<ChosenUpstream, Unplaced> {
        if !gateway.waiting.is_enabled() {
            let chosen = self.choose_upstream(gateway, tried)?;
            self.record_start(gateway, &chosen, None);
            return Ok(chosen);
        }
        match self.choose_unless_full(gateway, tried) {
            Ok(chosen) if !gateway.waiting.has_waiting(&self.service) => {
                self.check_in_time(gateway, &chosen)?;
                self.record_start(gateway, &chosen, None);
                self.record_direct(gateway, &chosen);
                Ok(chosen)
            }
            Ok(_) | Err(NoUpstream::AllFull) => Ok(gateway.wait_for_upstream(self, tried).await?),
            // No wait helps a request for which there is no upstream, full or not.
            Err(reason) => Err(reason.into()),
        }
    }

    /// Records work that an upstream takes at once, from which waits are predicted too.
    fn record_direct(&self, gateway: &Gateway, chosen: &ChosenUpstream) {
        let now = gateway.clock.now();
        gateway.waiting.record_started(&self.service, self.work(chosen), now);
    }

    /// Returns the work of the request at its upstream, in tokens of prefill.
    fn work(&self, chosen: &ChosenUpstream) -> f64 {
        Arrival::work_of(chosen.prefill.fresh, self.max_output())
    }

    /// Returns the most tokens of the output; `None` for a call without a prompt.
    fn max_output(&self) -> Option<u64> {
        let tokens = self.info.tokens.filter(|_| !self.info.prompt_parts.is_empty());
        tokens.map(|tokens| tokens.max_output)
    }

    fn choose_unless_full(&self, gateway: &Gateway, tried: &[String]) -> Result<ChosenUpstream, NoUpstream> {
        let origin = self.origin.borrow();
        let version = origin.as_ref().map(|origin| origin.version.as_str());
        let excluded = gateway.excluded(&self.service, tried);
        let need = self.need(gateway, &excluded, version);
        gateway
            .upstreams
            .borrow()
            .choose_unless_full(&need, gateway.clock.now())
    }

    /// Checks that work which upstreams have before the request does not take so long that its caller leaves first. A
    /// request whose own prompt takes long is sent all the same, as nothing would be learnt otherwise.
    fn check_in_time(&self, gateway: &Gateway, chosen: &ChosenUpstream) -> Result<(), Unplaced> {
        let prediction = &chosen.prediction;
        let is_queued = prediction.backlog_ms > 0.0 || !prediction.has_slot;
        if !is_queued || self.progress.get().arrivals > 0 {
            return Ok(());
        }
        let now = gateway.clock.now();
        let forecast = StartForecast {
            fresh: 0,
            first_ms: prediction.ms,
        };
        let left = self.arrival(forecast, now).leaves_at().since(now);
        if prediction.ms / PREDICTION_FACTOR <= left.as_secs_f64() * 1_000.0 {
            return Ok(());
        }
        self.count_refusal("too_slow");
        let after = duration_from_secs(prediction.ms / 1_000.0).saturating_sub(left);
        let work = self.work(chosen);
        let deadline = now + self.deadline.saturating_duration_since(Instant::now());
        Err(Unplaced::TooSlow {
            retry_after: gateway.waiting.return_time(&self.service, (after, work), deadline, now),
        })
    }

    fn arrival(&self, forecast: StartForecast, now: Tick) -> Arrival<'_> {
        Arrival {
            account: self.account.as_ref(),
            route: &self.route,
            fresh: forecast.fresh,
            max_output: self.max_output(),
            first_ms: forecast.first_ms,
            arrived: now - self.arrived.elapsed(),
            passed: self.passed,
            deadline: now + self.deadline.saturating_duration_since(Instant::now()),
            bytes: self.body.bytes.len() + REQUEST_BYTES,
        }
    }

    /// Records what was predicted when an upstream was chosen. Only the first choice counts: later ones include the time
    /// of the attempts before.
    fn record_start(&self, gateway: &Gateway, chosen: &ChosenUpstream, waited: Option<(Duration, WaitForecast)>) {
        if self.start.get().is_some() {
            return;
        }
        // The prediction leaves out what any upstream takes: the call itself, or the first step of an engine.
        let rates = gateway.upstreams.borrow().rates(&self.service);
        let own_ms = if self.info.prompt_parts.is_empty() {
            rates.run_ms
        } else {
            rates.base_ms
        };
        let wait = match waited {
            None => Some(Duration::ZERO),
            Some((_, forecast)) => forecast.wait,
        };
        self.start.set(Some(StartPrediction {
            waited: waited.map(|(waited, _)| waited),
            wait: waited.and_then(|(_, forecast)| forecast.wait),
            first_ms: wait.map(|wait| wait.as_secs_f64() * 1_000.0 + chosen.prediction.ms + own_ms),
        }));
    }

    /// Records the wait of a request that was refused.
    fn record_unstarted(&self, waited: Duration, forecast: &WaitForecast) {
        let mut start = self.start.get().unwrap_or_default();
        start.waited = start.waited.or(Some(waited));
        start.wait = start.wait.or(forecast.wait);
        self.start.set(Some(start));
    }

    /// Counts how the predicted time to the first event compares with the observed one.
    pub(crate) fn record_prediction(&self) {
        let progress = self.progress.get();
        let predicted = self.start.get().and_then(|start| start.first_ms);
        let (Some(predicted), Some(first_ms), 1) = (predicted, progress.first_ms, progress.arrivals) else {
            return;
        };
        let observed = (first_ms as f64).max(1.0);
        let fit = if predicted > observed * PREDICTION_FACTOR {
            "longer"
        } else if predicted * PREDICTION_FACTOR < observed {
            "shorter"
        } else {
            "within"
        };
        counter!("gentian_gateway_predictions_total", "route" => self.route.name.clone(), "fit" => fit).increment(1);
    }

    fn count_refusal(&self, cause: &'static str) {
        counter!("gentian_gateway_wait_refusals_total", "service" => self.service.to_string(),
            "priority" => self.priority_label(), "cause" => cause)
        .increment(1);
    }

    fn priority_label(&self) -> String {
        Arrival::capped_priority(self.account.as_ref(), &self.route).to_string()
    }
}

impl Gateway {
    /// Waits until the queue of the request's service lets it go with an upstream, of which it then has the place.
    ///
    /// # Errors
    /// Returns why it was refused; nothing was sent.
    pub(crate) async fn wait_for_upstream(
        &self,
        request: &Request,
        tried: &[String],
    ) -> Result<ChosenUpstream, WaitEnd> {
        let entered = self.clock.now();
        let place = {
            let origin = request.origin.borrow();
            let version = origin.as_ref().map(|origin| origin.version.as_str());
            let need = request.need(self, tried, version);
            let forecast = self.upstreams.borrow().forecast(&need, entered);
            let arrival = request.arrival(forecast, entered);
            let waiter = NewWaiter {
                ticket: arrival.ticket(),
                need: WaitingNeed::new(&need),
                deadline: arrival.deadline,
            };
            self.waiting.enter(&request.service, waiter, entered)
        };
        let place = place.inspect_err(|end| request.count_refusal(end.cause.label()))?;
        let forecast = place.forecast();
        self.log_wait(request, &forecast);
        let ended = place.wait().await;
        let waited = self.clock.now().since(entered);
        self.log_wait_end(request, &forecast, waited, ended.as_ref().err().map(|end| end.cause));
        match ended {
            Ok((chosen, promised)) => {
                request.record_start(self, &chosen, Some((waited, forecast)));
                request.place.replace(Some(promised));
                Ok(chosen)
            }
            Err(end) => {
                request.count_refusal(end.cause.label());
                request.record_unstarted(waited, &forecast);
                Err(end)
            }
        }
    }

    /// Gives waiting requests the upstreams that have room, for as long as the process runs.
    pub(crate) async fn start_waiting(self: Rc<Self>) {
        loop {
            self.waiting.woken().await;
            self.start_fitting();
        }
    }

    fn start_fitting(&self) {
        let now = self.clock.now();
        for service in self.waiting.services() {
            // Whether a general need without or with a prompt has found all upstreams full in this round.
            let full = RefCell::new([false; 2]);
            self.waiting.start_fitting(&service, now, |need| {
                let is_prompt = usize::from(!need.prompt_parts.is_empty());
                if full.borrow()[is_prompt] {
                    return None;
                }
                let chosen = self.choose_for(&service, need, now);
                if chosen == Err(NoUpstream::AllFull) && need.is_general() {
                    full.borrow_mut()[is_prompt] = true;
                }
                let chosen = chosen.ok()?;
                let promised = self.upstreams.borrow().promise(&chosen.id)?;
                Some((chosen, promised))
            });
        }
    }

    fn choose_for(&self, service: &ServiceName, need: &WaitingNeed, now: Tick) -> Result<ChosenUpstream, NoUpstream> {
        let excluded = self.excluded(service, &need.tried);
        let need = UpstreamNeed {
            service,
            prompt_parts: &need.prompt_parts,
            tried: &excluded,
            zone: &self.settings.zone,
            entry_hosts: self.entry_count(),
            runs_once: need.runs_once,
            max_pause_ms: need.max_pause_ms,
            copy_ms: self.copy_ms(service),
            draw: need.draw,
            version: need.version.as_deref(),
        };
        self.upstreams.borrow().choose_with_room(&need, now)
    }

    /// Returns the upstreams of a service that get no request now which has `tried` some.
    pub(crate) fn excluded(&self, service: &ServiceName, tried: &[String]) -> Vec<String> {
        let mut excluded = self.resting(service);
        excluded.extend_from_slice(tried);
        excluded
    }

    /// Records the timeout that a caller has set. Returns the time that has passed since the caller's first try.
    pub(crate) fn record_timeout(&self, route: &Route, timeout: Option<Duration>) -> Duration {
        if !self.waiting.is_enabled() {
            return Duration::ZERO;
        }
        let mut timeouts = self.timeouts.borrow_mut();
        timeout.map_or(Duration::ZERO, |timeout| {
            let timeout = timeout.min(Duration::from_millis(route.timeout_ms));
            timeouts.record(&route.name, timeout, self.clock.now())
        })
    }

    /// Reports in metrics what waits.
    pub(crate) fn report_waiting(&self) {
        self.waiting.report(self.clock.now(), |service, state| {
            for (priority, (count, oldest)) in &state.by_priority {
                let labels = [("service", service.to_string()), ("priority", priority.to_string())];
                gauge!("gentian_gateway_waiting_requests", &labels).set(*count as f64);
                gauge!("gentian_gateway_oldest_wait_seconds", &labels).set(oldest.as_secs_f64());
            }
        });
    }

    fn log_wait(&self, request: &Request, forecast: &WaitForecast) {
        let labels = [
            ("service", request.service.to_string()),
            ("priority", request.priority_label()),
        ];
        counter!("gentian_gateway_waits_total", &labels).increment(1);
        if let Some(wait) = forecast.wait {
            histogram!("gentian_gateway_predicted_wait_seconds", &labels).record(wait.as_secs_f64());
        }
        if self.may_log() {
            info!(self.logger, "request waits"; "request" => request.info.log_id(),
                "account" => request.account.as_ref().map(|account| account.name.as_str()),
                "route" => &request.route.name, "service" => %request.service, "place" => forecast.place,
                "work_ahead" => forecast.work_ahead as u64,
                "predicted_ms" => forecast.wait.map(|wait| wait.as_millis() as u64),
                "passed_ms" => request.passed.as_millis() as u64);
        }
    }

    fn log_wait_end(&self, request: &Request, forecast: &WaitForecast, waited: Duration, cause: Option<WaitCause>) {
        let labels = [
            ("service", request.service.to_string()),
            ("priority", request.priority_label()),
        ];
        histogram!("gentian_gateway_wait_seconds", &labels).record(waited.as_secs_f64());
        if self.may_log() {
            info!(self.logger, "request leaves the queue"; "request" => request.info.log_id(),
                "waited_ms" => waited.as_millis() as u64,
                "predicted_ms" => forecast.wait.map(|wait| wait.as_millis() as u64),
                "outcome" => cause.map_or("started", WaitCause::label));
        }
    }
}
