//! Places at brittle upstreams, leased from the leader of the state group before a request is sent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{Revision, ServiceName};
use metrics::{counter, gauge};
use policy::Tick;
use policy::slots::may_send_alone;
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::registry::BrittleNews;
use wire::slots::{ReleaseSlots, ReleasedSlot, SlotEnd, TakeSlot, TakeSlotReply};
use xxhash_rust::xxh3::xxh3_64;

use crate::gate::Gateway;
use crate::node_clients::NodeClients;
use crate::upstreams::ChosenUpstream;

/// Longest wait for the leader. Data centres are a few milliseconds apart, and the caller waits meanwhile.
const TAKE_TIMEOUT: Duration = Duration::from_millis(120);

/// Exchanges places with the leader.
#[derive(Debug, Default)]
pub(crate) struct SlotClient {
    clients: NodeClients,
    /// Leases that have ended and that the leader has not been told of, with the node that granted them.
    ended: RefCell<Vec<(Option<SocketAddr>, ReleasedSlot)>>,
    has_ended: Notify,
}

/// A place at a brittle upstream for one request; dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct HeldSlot {
    client: Rc<SlotClient>,
    leader: Option<SocketAddr>,
    upstream: String,
    lease: Option<u64>,
    end: Cell<SlotEnd>,
}

impl HeldSlot {
    /// Records how the request ended.
    pub(crate) fn record_end(&self, end: SlotEnd) {
        self.end.set(end);
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let released = ReleasedSlot {
            upstream: std::mem::take(&mut self.upstream),
            lease: self.lease,
            end: self.end.get(),
        };
        if released.lease.is_some() || released.end == SlotEnd::Rejected {
            self.client.ended.borrow_mut().push((self.leader, released));
            self.client.has_ended.notify_one();
        }
    }
}

/// No place is free at the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoSlot;

impl Gateway {
    /// Takes a place at an upstream for a request until `deadline`; `Ok(None)` if the upstream needs none.
    ///
    /// # Errors
    /// Fails if the upstream has no room for the request now.
    pub(crate) async fn reserve_slot(
        &self,
        service: &ServiceName,
        chosen: &ChosenUpstream,
        deadline: Instant,
    ) -> Result<Option<HeldSlot>, NoSlot> {
        if !self.is_brittle(service) {
            return Ok(None);
        }
        let leader = **self.shared.leader.load();
        let request = TakeSlot {
            service: service.clone(),
            upstream: chosen.id.clone(),
            slots: self.upstreams.borrow().slots_of(&chosen.id),
            longest_ms: deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
            heard_ms: self.heard_brittle(service).map(|age| age.as_millis() as u32),
        };
        let held = |leader, lease| HeldSlot {
            client: Rc::clone(&self.slots),
            leader,
            upstream: chosen.id.clone(),
            lease,
            end: Cell::default(),
        };
        match self.ask_slot(leader, request).await {
            Some(TakeSlotReply::Leased(lease)) => {
                counter!("gentian_gateway_slots_total", "result" => "leased").increment(1);
                Ok(Some(held(leader, Some(lease))))
            }
            Some(TakeSlotReply::Full) => {
                counter!("gentian_gateway_slots_total", "result" => "full").increment(1);
                Err(NoSlot)
            }
            Some(TakeSlotReply::Unavailable(_)) | None => {
                counter!("gentian_gateway_slots_total", "result" => "unavailable").increment(1);
                if self.may_send_alone(service) {
                    Ok(Some(held(None, None)))
                } else {
                    Err(NoSlot)
                }
            }
        }
    }

    async fn ask_slot(&self, leader: Option<SocketAddr>, request: TakeSlot) -> Option<TakeSlotReply> {
        let leader = leader?;
        let client = self.slots.clients.get(leader)?;
        let call = client.take_slot(Envelope::new(&self.settings.node, Revision::default(), request));
        if let Ok(Ok(reply)) = timeout(TAKE_TIMEOUT, call).await {
            return Some(reply.body);
        }
        // Counted where the reply is used; the background threads log the loss of the leader.
        self.slots.clients.forget(leader);
        None
    }

    /// Returns whether this host may send a request to a brittle service while no leader leases places.
    fn may_send_alone(&self, service: &ServiceName) -> bool {
        let (running, slots) = self.upstreams.borrow().use_of(service);
        let second = self.clock.now().0.as_secs();
        let seed = xxh3_64(format!("{}/{second}", self.settings.node).as_bytes());
        may_send_alone(running, slots, self.entry_count(), seed as f64 / u64::MAX as f64)
    }

    /// Tells the leader of leases that have ended, as they end.
    pub(crate) async fn release_slots(self: Rc<Self>) {
        loop {
            self.slots.has_ended.notified().await;
            let mut ended = self.slots.ended.take();
            while let Some((leader, _)) = ended.first() {
                let leader = *leader;
                let of_leader = |(granted_by, _): &mut (Option<SocketAddr>, ReleasedSlot)| *granted_by == leader;
                let released: Vec<ReleasedSlot> = ended.extract_if(.., of_leader).map(|(_, slot)| slot).collect();
                // Without a lease, the present leader has to know of the rejection.
                let peer = leader.or_else(|| **self.shared.leader.load());
                let count = released.len();
                if !self.send_released(peer, released).await {
                    counter!("gentian_gateway_slots_unreleased_total").increment(count as u64);
                    warn!(self.logger, "places not given back"; "places" => count,
                        "peer" => peer.map(|peer| peer.to_string()));
                }
            }
        }
    }

    /// Tells a state node of leases that have ended; returns whether it took them.
    async fn send_released(&self, peer: Option<SocketAddr>, released: Vec<ReleasedSlot>) -> bool {
        let Some((peer, client)) = peer.and_then(|peer| Some((peer, self.slots.clients.get(peer)?))) else {
            return false;
        };
        let request = Envelope::new(&self.settings.node, Revision::default(), ReleaseSlots { released });
        let call = timeout(TAKE_TIMEOUT, client.release_slots(request)).await;
        let is_taken = matches!(call, Ok(Ok(())));
        if !is_taken {
            self.slots.clients.forget(peer);
        }
        is_taken
    }

    /// Returns whether the upstreams of a service are brittle.
    pub(crate) fn is_brittle(&self, service: &ServiceName) -> bool {
        let brittle = self.brittle.borrow();
        brittle
            .get(service)
            .is_some_and(|brittleness| brittleness.is_brittle(self.clock.now()))
    }

    /// Returns the time since a response to this host said that a service is brittle.
    fn heard_brittle(&self, service: &ServiceName) -> Option<Duration> {
        self.brittle.borrow().get(service)?.heard_age(self.clock.now())
    }

    /// Returns the upstreams of a service that get no requests for now, as they have just rejected one.
    pub(crate) fn resting(&self, service: &ServiceName) -> Vec<String> {
        let brittle = self.brittle.borrow();
        let resting = brittle.get(service).into_iter();
        let now = self.clock.now();
        resting
            .flat_map(|brittleness| brittleness.resting(now))
            .map(str::to_owned)
            .collect()
    }

    /// Records whether a response says that the upstreams of its service are brittle, and whether it is a rejection.
    pub(crate) fn record_brittleness(
        &self,
        service: &ServiceName,
        upstream: &str,
        max_rejections: Option<u32>,
        rejected: bool,
    ) {
        let now = self.clock.now();
        let mut brittle = self.brittle.borrow_mut();
        if max_rejections.is_none() && !brittle.contains_key(service) {
            return;
        }
        let brittleness = brittle.entry(service.clone()).or_default();
        let changed = brittleness.record_response(max_rejections.is_some(), now);
        if rejected && brittleness.is_brittle(now) {
            brittleness.record_rejection(upstream, now);
            counter!("gentian_gateway_brittle_rejections_total", "service" => service.to_string()).increment(1);
        }
        if let Some(is_brittle) = changed {
            info!(self.logger, "brittle upstreams"; "service" => %service, "brittle" => is_brittle,
                "upstream" => upstream, "rejections" => max_rejections);
            let count = brittle.values().filter(|known| known.is_brittle(now)).count();
            gauge!("gentian_gateway_brittle_services_count").set(count as f64);
        }
    }

    /// Records the services that the leader says are brittle, from an answer that arrived at `received_at`.
    pub(crate) fn record_brittle_news(&self, news: &[BrittleNews], received_at: Tick) {
        let mut brittle = self.brittle.borrow_mut();
        for news in news {
            let at = received_at - Duration::from_millis(u64::from(news.age_ms));
            brittle.entry(news.service.clone()).or_default().record_news(at);
        }
    }
}
