//! What the entry knows of each upstream beyond the configuration: own requests, reports, breakers, leaving hosts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use contract::{UpstreamId, UpstreamSpec};
use parking_lot::Mutex;
use policy::Tick;
use policy::breaker::Breaker;
use policy::route::{Barred, Candidate, Choice, Need, Routing, choose};
use upstream::engine::{EngineClient, Load};

use crate::current::Current;
use crate::hosts::Hosts;

/// Age at which a load report no longer counts.
const EXPIRY: Duration = Duration::from_secs(3);
/// Pause between two rounds of load reports.
const POLL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// All upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The lives of the hosts.
    pub hosts: Hosts,
    members: Mutex<HashMap<UpstreamId, Member>>,
    turn: AtomicU64,
}

#[derive(Debug, Default)]
struct Member {
    running: u32,
    report: Option<(Load, Tick)>,
    sent_since: u32,
    breaker: Breaker,
}

/// One request under way at an upstream; it ends when dropped.
#[derive(Debug)]
pub struct Visit<'a> {
    fleet: &'a Fleet,
    upstream: UpstreamId,
}

impl Fleet {
    /// Chooses an upstream among those that serve what is needed.
    pub fn choose<'a>(
        &self,
        routing: Routing,
        specs: impl Iterator<Item = &'a UpstreamSpec>,
        need: Need,
        tried: &[UpstreamId],
        now: Tick,
    ) -> Option<Choice> {
        let mut members = self.members.lock();
        let candidates: Vec<Candidate<'a>> = specs
            .map(|spec| {
                let member = members.entry(spec.id.clone()).or_default();
                let left = !self.hosts.takes_work(&spec.host);
                Candidate {
                    id: &spec.id,
                    zone: &spec.host.zone,
                    class: spec.host.class,
                    price: spec.host.price,
                    slots: spec.slots,
                    load: member.load(now),
                    cached: 0,
                    barred: member.barred(left, tried.contains(&spec.id), now),
                }
            })
            .collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        choose(routing, &candidates, &Need { turn, ..need })
    }

    /// Notes that a request goes to an upstream.
    pub fn visit(&self, upstream: &UpstreamId, now: Tick) -> Visit<'_> {
        let mut members = self.members.lock();
        let member = members.entry(upstream.clone()).or_default();
        member.running += 1;
        member.sent_since += 1;
        member.breaker.sent(now);
        Visit {
            fleet: self,
            upstream: upstream.clone(),
        }
    }

    /// Notes how an attempt ended.
    pub fn ended(&self, upstream: &UpstreamId, good: bool, now: Tick) {
        let mut members = self.members.lock();
        let breaker = &mut members.entry(upstream.clone()).or_default().breaker;
        if good { breaker.succeeded() } else { breaker.failed(now) }
    }

    fn report(&self, upstream: &UpstreamId, load: Load, now: Tick) {
        let mut members = self.members.lock();
        let member = members.entry(upstream.clone()).or_default();
        let measured = now - Duration::from_millis(load.age_ms);
        if member.report.is_none_or(|(_, before)| before < measured) {
            member.sent_since = 0;
        }
        member.report = Some((load, measured));
    }
}

impl Member {
    fn load(&self, now: Tick) -> f64 {
        let reported = self.report.filter(|(_, at)| now.since(*at) < EXPIRY);
        reported.map_or_else(
            || f64::from(self.running),
            |(load, _)| f64::from(load.running + load.waiting + self.sent_since),
        )
    }

    fn barred(&self, leaving: bool, tried: bool, now: Tick) -> Option<Barred> {
        if leaving {
            Some(Barred::Leaving)
        } else if tried {
            Some(Barred::Tried)
        } else {
            (!self.breaker.allows(now)).then_some(Barred::Breaker)
        }
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        if let Some(member) = self.fleet.members.lock().get_mut(&self.upstream) {
            member.running -= 1;
        }
    }
}

/// Reads load reports until told to stop.
pub fn poll(fleet: &Fleet, current: &Arc<Current>, clock: &telemetry::Clock, stop: &AtomicBool) {
    let client = EngineClient::new(POLL_TIMEOUT);
    while !stop.load(Ordering::Relaxed) {
        let view = current.view();
        for spec in view.config.upstreams.values() {
            match client.load(spec.address, POLL_TIMEOUT) {
                Ok(load) => {
                    fleet.report(&spec.id, load, clock.now());
                    fleet.hosts.answered(&spec.host, clock.now());
                }
                Err(error) => fleet.hosts.failed(&spec.host, &error, clock.now()),
            }
        }
        std::thread::sleep(POLL);
    }
}
