//! One attempt of a request at an upstream, and what is noted of both.

use std::rc::Rc;

use metrics::counter;
use policy::Tick;
use policy::reach::Reachability;
use slog::info;
use tokio::time::Instant;

use crate::dialect::AttemptHeaders;
use crate::exchange::{Fate, Opened, open};
use crate::gate::Gateway;
use crate::moving::{KvCopy, Mover};
use crate::pool::connect;
use crate::reclaim_notice::Notice;
use crate::request::Request;
use crate::response_head::{ROOM, write_line};
use crate::upstreams::ChosenUpstream;

/// Frees what a request holds at an upstream, also when its caller has gone and the work is dropped.
#[derive(Debug)]
pub struct Running {
    gate: Rc<Gateway>,
    chosen: ChosenUpstream,
    /// Number under which it waits for its first event.
    number: u64,
    /// When it was sent.
    sent: Tick,
    /// What is heard of the upstream's data centre.
    reach: Option<Rc<Reachability>>,
    /// The upstream's announced end.
    notice: Rc<Notice>,
}

impl Running {
    /// Notes that something came from the upstream.
    pub(crate) fn hear(&self) {
        if let Some(reach) = &self.reach {
            reach.record_received(self.gate.clock.now());
        }
    }

    /// Makes what moves the stream when its upstream is taken away.
    pub(crate) fn mover(&self) -> Mover {
        Mover::new(self.chosen.clone(), Rc::clone(&self.notice))
    }

    /// Notes the first event, or the whole answer.
    pub(crate) fn begun(&self) {
        if let Some(upstream) = self.gate.upstreams.borrow_mut().get(&self.chosen.id) {
            upstream.begun(self.number, self.gate.clock.now());
        }
    }

    /// Notes that the upstream broke off.
    pub(crate) fn note_failed(&self, gate: &Gateway) {
        if let Some(upstream) = gate.upstreams.borrow_mut().get(&self.chosen.id) {
            upstream.failed(gate.clock.now());
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        if let Some(upstream) = self.gate.upstreams.borrow_mut().get(&self.chosen.id) {
            upstream.ended(self.number, self.sent, now);
        }
    }
}

impl Request {
    /// Sends the request to an upstream and waits for the head of its answer.
    pub(crate) async fn attempt(
        &self,
        gate: &Rc<Gateway>,
        chosen: &ChosenUpstream,
        after: Option<u64>,
        copy: Option<&KvCopy>,
    ) -> Result<(Opened, Running), Fate> {
        let once = !self.is_idempotent();
        self.placed.replace(Some(chosen.clone()));
        let kept = gate.pool.borrow_mut().take(chosen.address, once);
        let left = self.until.saturating_duration_since(Instant::now());
        let connection = if let Some(connection) = kept {
            connection
        } else {
            counter!("gentian_gateway_connections_opened_total").increment(1);
            let opened = connect(chosen.address, left).await;
            opened.map_err(|error| Fate::NotSent {
                why: format!("connect to {}: {error}", chosen.address),
            })?
        };
        let bytes = self.render(gate, chosen, after, copy);
        let mut progress = self.progress.get();
        let ran_before = progress.may_run;
        progress.sends += 1;
        progress.may_run = true;
        self.progress.set(progress);
        let number = self.note_sent(gate, chosen);
        let running = Self::running(gate, chosen, number);
        let opened = open(connection, &bytes, &self.asked.id, gate.dialect.as_ref()).await;
        if let Err(Fate::Refused { other, .. }) = &opened {
            let mut progress = self.progress.get();
            progress.may_run = ran_before;
            // Another incarnation than the one that was meant is no upstream of this service.
            progress.sends -= u32::from(*other);
            self.progress.set(progress);
        }
        if !matches!(opened, Err(Fate::Unknown { .. })) {
            running.hear();
        }
        let opened = opened?;
        if let Some(load) = opened.told.load
            && let Some(upstream) = gate.upstreams.borrow_mut().get(&chosen.id)
        {
            upstream.told(load, gate.clock.now());
        }
        Ok((opened, running))
    }

    fn running(gate: &Rc<Gateway>, chosen: &ChosenUpstream, number: u64) -> Running {
        let mut upstreams = gate.upstreams.borrow_mut();
        let upstream = upstreams.get(&chosen.id);
        let (reach, notice) = upstream.map_or_else(
            || (None, Rc::default()),
            |upstream| (Some(upstream.reach()), upstream.notice()),
        );
        Running {
            gate: Rc::clone(gate),
            chosen: chosen.clone(),
            number,
            sent: gate.clock.now(),
            reach,
            notice,
        }
    }

    /// Notes that the request leaves for an upstream; gives the number under which it waits for its first event there.
    fn note_sent(&self, gate: &Gateway, chosen: &ChosenUpstream) -> u64 {
        let now = gate.clock.now();
        gate.note_reading(&self.service, chosen.prediction.prefill_ms);
        let mut upstreams = gate.upstreams.borrow_mut();
        upstreams.note_use(&self.asked.prompt_parts, now);
        let upstream = upstreams.get(&chosen.id);
        upstream.map_or(0, |upstream| upstream.sent(&self.asked.prompt_parts, chosen, now))
    }

    /// Writes the request as the upstream gets it.
    fn render(&self, gate: &Gateway, chosen: &ChosenUpstream, after: Option<u64>, copy: Option<&KvCopy>) -> Vec<u8> {
        let mut out = Vec::with_capacity(ROOM + self.body.len());
        let start = &self.head.start;
        for part in [&*start.method, b" ", &*start.target, b" HTTP/1.1\r\n"] {
            out.extend_from_slice(part);
        }
        for line in &self.head.lines {
            if !self.head.is_hop(&line.name) && gate.dialect.passes(&line.name) {
                write_line(&mut out, &line.name, &line.value);
            }
        }
        let attempt = AttemptHeaders {
            remaining: self.until.saturating_duration_since(Instant::now()),
            incarnation: &chosen.id,
            account: self.account.as_ref().map(|account| account.name.as_str()),
            after,
            priority: self.priority(),
            kv_copy: copy,
        };
        gate.dialect.write(&mut out, &attempt);
        let bodyless = matches!(&*start.method, b"GET" | b"HEAD" | b"DELETE" | b"OPTIONS");
        if !self.body.is_empty() || !bodyless {
            write_line(&mut out, b"Content-Length", self.body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }

    fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Takes in what an attempt tells about its upstream.
    pub(crate) fn note_fate(&self, gate: &Gateway, chosen: &ChosenUpstream, fate: &Fate) {
        let now = gate.clock.now();
        if let Some(upstream) = gate.upstreams.borrow_mut().get(&chosen.id) {
            match fate {
                Fate::Refused { other: true, .. } => upstream.replaced(),
                Fate::Refused { .. } => {}
                Fate::NotSent { .. } => upstream.refused(now),
                Fate::Unknown { .. } => upstream.failed(now),
            }
        }
        info!(gate.logger, "attempt failed"; "request" => &self.asked.id, "upstream" => &chosen.id,
            "address" => %chosen.address, "fate" => %fate, "load" => chosen.load,
            "sends" => self.progress.get().sends);
    }
}
