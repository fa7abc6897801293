//! Sends a request to an upstream, and records the outcome for both.

use std::cell::Cell;
use std::rc::Rc;

use contract::ServiceName;
use metrics::{counter, histogram};
use policy::reach::Reachability;
use policy::{Tick, duration_from_secs};
use slog::info;
use tokio::time::{Instant, sleep};
use wire::slots::SlotEnd;

use crate::exchange::{AttemptError, UpstreamResponse};
use crate::gate::Gateway;
use crate::moving::{KvCopy, StreamMover};
use crate::pool::IdleNeed;
use crate::reclaim_notice::ReclaimNotice;
use crate::request::{AttemptTimes, Request};
use crate::rollouts::TrialSubject;
use crate::server::SYNC_INTERVAL;
use crate::slots::HeldSlot;
use crate::upstreams::{ChosenUpstream, Upstreams};

/// An attempt that occupies an upstream. Dropping it releases the upstream, also when the caller has gone and the
/// request is cancelled.
#[derive(Debug)]
pub struct ActiveAttempt {
    gateway: Rc<Gateway>,
    chosen: ChosenUpstream,
    /// Id in the upstream's backlog until the first event.
    backlog_id: u64,
    /// When the request was sent.
    sent_at: Tick,
    /// Reachability of the upstream's data centre; `None` if the upstream left the list meanwhile.
    reachability: Option<Rc<Reachability>>,
    /// Announced end of the upstream.
    notice: Rc<ReclaimNotice>,
    /// What is counted of the attempt during a rollout; `None` without one.
    trial: Option<AttemptTrial>,
    /// The wait for the upstream on this host's own link; `None` where another host relays.
    own_wait: Option<OwnWait>,
    /// The place that the attempt takes at a brittle upstream.
    slot: Option<HeldSlot>,
}

/// A wait for an upstream on this host's own link, from which a cut of the link shows.
#[derive(Debug)]
struct OwnWait {
    service: ServiceName,
    number: u64,
}

/// An attempt that counts for the trial of a version.
#[derive(Debug)]
struct AttemptTrial {
    subject: TrialSubject,
    /// Time to the first event that an idle upstream would need.
    expected_ms: f64,
    /// When the caller leaves; without a response, the attempt has failed by then.
    deadline: Instant,
    /// Times of the first and of the newest part of the response, and the number of parts.
    parts: Cell<Option<(Tick, Tick, u32)>>,
    judged: Cell<bool>,
}

/// How an attempt counts in the trial of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialOutcome {
    Succeeded,
    Failed,
}

impl ActiveAttempt {
    /// Records that data arrived from the upstream.
    pub(crate) fn record_received(&self) {
        let now = self.gateway.clock.now();
        if let Some(reachability) = &self.reachability {
            reachability.record_received(now);
        }
        if let Some(wait) = &self.own_wait {
            self.gateway.update_isolation(&wait.service, |isolation| {
                isolation.record_received(now);
                isolation.record_ended(wait.number);
            });
            if let Some(upstream) = self.gateway.upstreams.borrow_mut().get_mut(&self.chosen.id) {
                upstream.record_own_link(now);
            }
        }
    }

    /// Waits until this host counts as cut off from the upstream, so that no response can be expected. Pends forever
    /// where another host relays.
    async fn wait_stranded(&self) {
        let Some(wait) = &self.own_wait else {
            return std::future::pending().await;
        };
        while !self
            .gateway
            .update_isolation(&wait.service, |isolation| isolation.is_stranded(self.sent_at))
        {
            sleep(SYNC_INTERVAL).await;
        }
    }

    /// Records that the response is whole, or that the upstream rejected the request, so that its place is free.
    pub(crate) fn record_slot_end(&self, end: SlotEnd) {
        if let Some(slot) = &self.slot {
            slot.record_end(end);
        }
    }

    /// Returns the upstream that the request was sent to.
    pub(crate) const fn upstream(&self) -> &ChosenUpstream {
        &self.chosen
    }

    /// Returns a mover for the stream, for the case that its upstream is reclaimed.
    pub(crate) fn mover(&self) -> StreamMover {
        StreamMover::new(self.chosen.clone(), Rc::clone(&self.notice))
    }

    /// Records how the attempt ended, for the trial of its upstream's version. Only the first outcome counts.
    pub(crate) fn judge(&self, outcome: TrialOutcome) {
        let Some(trial) = self.trial.as_ref().filter(|trial| !trial.judged.replace(true)) else {
            return;
        };
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        upstreams.rollouts.record(&trial.subject, |counts| match outcome {
            TrialOutcome::Failed => counts.failed += 1,
            TrialOutcome::Succeeded => {
                counts.succeeded += 1;
                if let Some((first, newest, parts @ 2..)) = trial.parts.get() {
                    let span_ms = newest.since(first).as_secs_f64() * 1_000.0;
                    counts.interval.record(span_ms / f64::from(parts - 1));
                }
            }
        });
    }

    /// Records a part of the response for the trial of the upstream's version.
    fn record_part(&self) {
        let Some(trial) = &self.trial else {
            return;
        };
        let now = self.gateway.clock.now();
        if let Some((first, _, parts)) = trial.parts.get() {
            trial.parts.set(Some((first, now, parts + 1)));
            return;
        }
        trial.parts.set(Some((now, now, 1)));
        let elapsed_ms = now.since(self.sent_at).as_secs_f64() * 1_000.0;
        let ratio = elapsed_ms / trial.expected_ms.max(1.0);
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        upstreams
            .rollouts
            .record(&trial.subject, |counts| counts.first.record(ratio));
    }

    /// Records the first event, or a whole response.
    pub(crate) fn record_first_event(&self) {
        self.record_part();
        let now = self.gateway.clock.now();
        let mut upstreams = self.gateway.upstreams.borrow_mut();
        let upstream = upstreams.get_mut(&self.chosen.id);
        let timed = upstream.and_then(|upstream| upstream.record_first_event(self.backlog_id, now));
        if let Some(sample) = timed {
            self.gateway.prefills.borrow_mut().record(sample);
        }
    }

    /// Records that the response broke off or reports an error.
    pub(crate) fn record_failure(&self, gateway: &Gateway) {
        if let Some(upstream) = gateway.upstreams.borrow_mut().get_mut(&self.chosen.id) {
            upstream.record_failure(gateway.clock.now());
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        // A caller that leaves before its deadline says nothing about the upstream.
        if self
            .trial
            .as_ref()
            .is_some_and(|trial| Instant::now() >= trial.deadline)
        {
            self.judge(TrialOutcome::Failed);
        }
        if let Some(wait) = &self.own_wait {
            self.gateway
                .update_isolation(&wait.service, |isolation| isolation.record_ended(wait.number));
        }
        let now = self.gateway.clock.now();
        if let Some(upstream) = self.gateway.upstreams.borrow_mut().get_mut(&self.chosen.id) {
            upstream.record_end(self.backlog_id, &self.chosen, self.sent_at, now);
        }
        self.gateway.waiting.wake();
    }
}

impl Request {
    /// Takes the right to send the request to an upstream, right before it is sent.
    async fn claim_send(&self, gateway: &Gateway, chosen: &ChosenUpstream) -> Result<(), AttemptError> {
        let admitted = gateway.admit_parts(self).await;
        admitted.map_err(|left| AttemptError::Quarantined { left })?;
        self.check_stop(gateway)?;
        gateway.claim_send(&chosen.id).map_err(AttemptError::Held)
    }

    /// Sends the request to an upstream and waits for the response head. Each arrival at an upstream takes a permit, so
    /// that no path around the retry budget exists.
    pub(crate) async fn send_attempt(
        &self,
        gateway: &Rc<Gateway>,
        chosen: &ChosenUpstream,
        after: Option<u64>,
        kv_copy: Option<&KvCopy>,
    ) -> Result<(UpstreamResponse, ActiveAttempt), AttemptError> {
        if let Some(left) = gateway.quarantine_left(self) {
            return Err(AttemptError::Quarantined { left });
        }
        if !self.reserve_send(gateway) {
            return Err(AttemptError::NoPermit);
        }
        let runs_once = !self.is_idempotent();
        let chosen_at = gateway.clock.now();
        self.last_upstream.replace(Some(chosen.clone()));
        if let Some(upstream) = gateway.upstreams.borrow_mut().get_mut(&chosen.id) {
            upstream.record_attempt(gateway.clock.now());
        }
        let slot = gateway
            .reserve_slot(&self.service, chosen, self.deadline)
            .await
            .map_err(|_full| AttemptError::NoRoom)?;
        let need = IdleNeed {
            runs_once,
            own_link: gateway.may_reuse_own(&self.service, &chosen.id),
        };
        let pooled = gateway.pool.borrow_mut().take(chosen.address, need);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        self.last_reused.set(pooled.is_some());
        self.last_relay.set(None);
        let connection = match pooled {
            Some(connection) => connection,
            None => gateway
                .dial(&self.service, chosen, &self.info.id, remaining)
                .await
                .map_err(|error| AttemptError::NotSent {
                    reason: error.to_string(),
                })?,
        };
        self.last_relay.set(connection.relay.as_ref().map(|lease| lease.host));
        // What is known of the upstream may have changed since it was chosen.
        if let Err(error) = self.claim_send(gateway, chosen).await {
            // How long an upstream keeps a reused connection open is no longer known.
            if !connection.reused {
                gateway.pool.borrow_mut().put(connection, None);
            }
            return Err(error);
        }
        let outgoing = self.render(gateway, chosen, after, kv_copy);
        if let Some(slot) = &slot {
            slot.record_end(SlotEnd::Abandoned);
        }
        self.permit.take();
        let mut progress = self.progress.get();
        let ran_before = progress.may_have_run;
        progress.sends += 1;
        progress.arrivals += 1;
        progress.may_have_run = true;
        self.progress.set(progress);
        if progress.arrivals > 1 {
            counter!("gentian_gateway_repeated_arrivals_total", "service" => self.service.to_string()).increment(1);
        }
        self.last_times.set(AttemptTimes {
            chosen_at,
            sent_at: gateway.clock.now(),
            began_at: None,
            went_on: false,
        });
        let backlog_id = self.record_sent(gateway, chosen);
        let attempt = self.new_attempt(gateway, chosen, backlog_id, (slot, !connection.is_relayed()));
        let exchange = gateway.exchange((&self.service, &chosen.id), connection, &outgoing, &self.info.id);
        let may_repeat = self.is_idempotent() && self.has_attempts_left();
        let response = tokio::select! {
            response = exchange => response,
            () = attempt.wait_stranded(), if may_repeat => {
                Err(AttemptError::unknown("this host is cut off from the upstream"))
            }
        };
        if let Err(AttemptError::Refused { wrong_incarnation, .. }) = &response {
            let mut progress = self.progress.get();
            progress.may_have_run = ran_before;
            // The upstream that was chosen no longer exists, so this does not count as an attempt.
            progress.sends -= u32::from(*wrong_incarnation);
            self.progress.set(progress);
        }
        if matches!(response, Err(AttemptError::Unknown { .. })) {
            attempt.judge(TrialOutcome::Failed);
        } else {
            attempt.record_received();
        }
        if let Err(AttemptError::Refused {
            wrong_incarnation: false,
            ..
        }) = &response
        {
            attempt.record_slot_end(SlotEnd::Rejected);
        }
        let response = response?;
        if let Some(load) = response.info.news.load
            && let Some(upstream) = gateway.upstreams.borrow_mut().get_mut(&chosen.id)
        {
            upstream.record_load(load, gateway.clock.now());
            gateway.waiting.wake();
        }
        Ok((response, attempt))
    }

    /// Provides a permit for the next arrival at an upstream, from the retry budget if the request has none; returns
    /// whether there is one.
    pub(crate) fn reserve_send(&self, gateway: &Gateway) -> bool {
        let mut permit = self.permit.take();
        if permit.is_none() {
            permit = gateway.take_retry(&self.service);
            let mut progress = self.progress.get();
            progress.budgeted += u32::from(permit.is_some());
            self.progress.set(progress);
        }
        let reserved = permit.is_some();
        if !reserved {
            gateway.log_no_retry(&self.service, &self.info.id, self.progress.get().arrivals);
        }
        self.permit.replace(permit);
        reserved
    }

    fn new_attempt(
        &self,
        gateway: &Rc<Gateway>,
        chosen: &ChosenUpstream,
        backlog_id: u64,
        (slot, on_own_link): (Option<HeldSlot>, bool),
    ) -> ActiveAttempt {
        let own_wait = on_own_link.then(|| self.start_own_wait(gateway, chosen));
        let mut upstreams = gateway.upstreams.borrow_mut();
        let trial = self.start_trial(&mut upstreams, chosen);
        let upstream = upstreams.get_mut(&chosen.id);
        let (reachability, notice) = upstream.map_or_else(
            || (None, Rc::default()),
            |upstream| (Some(upstream.reachability()), upstream.notice()),
        );
        ActiveAttempt {
            gateway: Rc::clone(gateway),
            chosen: chosen.clone(),
            backlog_id,
            sent_at: gateway.clock.now(),
            reachability,
            notice,
            trial,
            own_wait,
            slot,
        }
    }

    /// Records that a response is expected on this host's own link.
    fn start_own_wait(&self, gateway: &Gateway, chosen: &ChosenUpstream) -> OwnWait {
        let expected = duration_from_secs(chosen.prediction.ms.max(0.0) / 1_000.0);
        let now = gateway.clock.now();
        let number = gateway.update_isolation(&self.service, |isolation| {
            isolation.record_sent(&chosen.id, expected, now)
        });
        OwnWait {
            service: self.service.clone(),
            number,
        }
    }

    /// Starts to count the attempt if a rollout of its service is running.
    fn start_trial(&self, upstreams: &mut Upstreams, chosen: &ChosenUpstream) -> Option<AttemptTrial> {
        let subject = upstreams.start_trial(&self.service, &self.route.name, &chosen.id)?;
        let rates = upstreams.rates(&self.service);
        Some(AttemptTrial {
            subject,
            expected_ms: rates.base_ms + rates.prefill_ms(chosen.prefill),
            deadline: self.deadline,
            parts: Cell::new(None),
            judged: Cell::new(false),
        })
    }

    /// Records that the request is sent to an upstream; returns its id in the upstream's backlog.
    fn record_sent(&self, gateway: &Gateway, chosen: &ChosenUpstream) -> u64 {
        let now = gateway.clock.now();
        // An upstream stops at the deadline, whatever the caller says of its prompt.
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut chosen = chosen.clone();
        let predicted = &mut chosen.prediction.prefill_ms;
        *predicted = predicted.min(left.as_secs_f64() * 1_000.0);
        gateway.record_prefill(&self.service, chosen.prediction.prefill_ms);
        if let Some(age) = chosen.pace.age {
            histogram!("gentian_gateway_pace_age_seconds", "service" => self.service.to_string())
                .record(age.as_secs_f64());
        }
        let mut upstreams = gateway.upstreams.borrow_mut();
        upstreams.record_use(&self.info.prompt_parts, now);
        // The request itself counts at the upstream from now on, no longer the place that was kept for it.
        drop(self.place.take());
        let upstream = upstreams.get_mut(&chosen.id);
        upstream.map_or(0, |upstream| {
            upstream.record_sent(&self.info.prompt_parts, &chosen, now)
        })
    }

    /// Records a failed attempt for the choice of upstreams.
    pub(crate) fn record_failure(&self, gateway: &Gateway, chosen: &ChosenUpstream, error: &AttemptError) {
        if matches!(error, AttemptError::Unknown { .. }) && self.last_relay.get().is_none() {
            gateway.record_broken(&self.service, &chosen.id);
        }
        let is_cut = self.last_relay.get().is_none() && gateway.is_isolated(&self.service);
        let now = gateway.clock.now();
        let was_sent = matches!(error, AttemptError::Refused { .. } | AttemptError::Unknown { .. });
        let times = was_sent.then(|| self.last_times.get());
        let mut heard_ms = None;
        if let Some(upstream) = gateway.upstreams.borrow_mut().get_mut(&chosen.id) {
            heard_ms = upstream.heard_age(now).map(|age| age.as_millis() as u64);
            match error {
                // Nothing is known of the upstream while its link is cut.
                AttemptError::NotSent { .. } | AttemptError::Unknown { .. } if is_cut => {}
                AttemptError::Refused {
                    wrong_incarnation: true,
                    ..
                } => {
                    counter!("gentian_gateway_replaced_total", "service" => self.service.to_string()).increment(1);
                    upstream.mark_replaced(true, now);
                }
                AttemptError::NoPermit
                | AttemptError::Held(_)
                | AttemptError::Stopping
                | AttemptError::NoRoom
                | AttemptError::Quarantined { .. }
                | AttemptError::Refused { .. } => {}
                AttemptError::NotSent { .. } => upstream.record_connect_failure(now),
                AttemptError::Unknown { .. } => upstream.record_failure(now),
            }
        }
        info!(gateway.logger, "attempt failed"; "request" => self.info.log_id(), "content" => %self.fingerprint(),
            "upstream" => &chosen.id,
            "address" => %chosen.address, "fate" => %error, "load" => chosen.load, "heard_ms" => heard_ms,
            "reused" => self.last_reused.get(), "relay" => self.last_relay.get().map(|host| host.to_string()),
            "waited_ms" => times.map(|times| times.sent_at.since(times.chosen_at).as_millis() as u64),
            "answered_ms" => times.map(|times| now.since(times.sent_at).as_millis() as u64),
            "after_ms" => self.arrived.elapsed().as_millis() as u64,
            "sends" => self.progress.get().sends, "arrivals" => self.progress.get().arrivals,
            "budgeted" => self.progress.get().budgeted);
    }
}
