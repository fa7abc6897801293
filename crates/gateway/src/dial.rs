//! Opens connections to upstreams, on this host's own link or through another host that reaches them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{RelayHost, ServiceName};
use derive_more::{Display, Error};
use metrics::{counter, gauge};
use policy::isolation::{Evidence, Isolation, Path};
use rand::seq::IndexedRandom;
use slog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use wire::relay::RelayRequest;

use crate::gate::Gateway;
use crate::pool::{CONNECT_TIMEOUT, Connection, connect};
use crate::relay::{RelayError, RelayLease, connect_through};
use crate::upstreams::ChosenUpstream;

/// Wait for a connection on the own link after which another host is asked as well; several round trips between data
/// centres.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// Wait for a connection on the own link when the host is cut off and no other host passes the request on.
const LAST_RESORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Most hosts that are asked to pass on one connection of a host that is cut off, and of any other. An upstream that has
/// crashed fails everywhere, and asking many hosts would multiply the connections.
const MAX_RELAYS: (usize, usize) = (3, 1);

/// An upstream to which no connection could be opened.
#[derive(Debug, Display, Error)]
#[display("connect to {address}: {own}; through other hosts: {relayed}")]
pub(crate) struct DialError {
    address: SocketAddr,
    /// Failure on the own link.
    #[error(not(source))]
    own: String,
    /// Failure through other hosts.
    #[error(not(source))]
    relayed: String,
}

impl Gateway {
    /// Opens a connection to an upstream for a request.
    ///
    /// While the own link takes longer than usual, another host is asked as well, and the first connection is used.
    ///
    /// # Errors
    /// Fails if neither this host nor another one reaches the upstream in time; nothing was sent to it then.
    pub(crate) async fn dial(
        &self,
        service: &ServiceName,
        chosen: &ChosenUpstream,
        request_id: &str,
        max_wait: Duration,
    ) -> Result<Connection, DialError> {
        counter!("gentian_gateway_connections_opened_total").increment(1);
        let deadline = Instant::now() + max_wait.min(CONNECT_TIMEOUT);
        let request = RelayRequest {
            from: self.settings.node.clone(),
            request: request_id.to_owned(),
            service: service.clone(),
            upstream: chosen.id.clone(),
        };
        let path = self.path_to(service, &chosen.id);
        let relayed = self.dial_relays(&request, path, chosen.address, deadline);
        if path == Path::Relay {
            return match relayed.await {
                Ok(connection) => {
                    self.update_isolation(service, |isolation| isolation.record_relayed(&chosen.id));
                    Ok(connection)
                }
                Err(error) => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    let own = self.dial_own(service, chosen, left.min(LAST_RESORT_TIMEOUT)).await;
                    own.map_err(|own| dial_error(chosen, &own, &error))
                }
            };
        }
        let own = self.dial_own(service, chosen, max_wait);
        tokio::pin!(own);
        let mut own_error = match timeout(HEDGE_DELAY, &mut own).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) => Some(error),
            Err(_slow) => None,
        };
        tokio::pin!(relayed);
        let mut relay_error = None;
        loop {
            if let (Some(own), Some(relayed)) = (&own_error, &relay_error) {
                return Err(dial_error(chosen, own, relayed));
            }
            tokio::select! {
                opened = &mut own, if own_error.is_none() => match opened {
                    Ok(connection) => return Ok(connection),
                    Err(error) => own_error = Some(error),
                },
                opened = &mut relayed, if relay_error.is_none() => match opened {
                    Ok(connection) => {
                        self.record_bypassed(service, chosen);
                        return Ok(connection);
                    }
                    Err(error) => relay_error = Some(error),
                },
            }
        }
    }

    async fn dial_own(
        &self,
        service: &ServiceName,
        chosen: &ChosenUpstream,
        max_wait: Duration,
    ) -> std::io::Result<Connection> {
        let connection = connect(chosen.address, self.settings.source, max_wait).await?;
        self.record_connected(service, &chosen.id);
        Ok(connection)
    }

    /// Asks other hosts, one after the other, to connect to an upstream.
    async fn dial_relays(
        &self,
        request: &RelayRequest,
        path: Path,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, RelayError> {
        let mut tried = Vec::new();
        let mut last_error = RelayError::NoHost;
        let max_relays = match path {
            Path::Relay => MAX_RELAYS.0,
            Path::Own => MAX_RELAYS.1,
        };
        while tried.len() < max_relays && Instant::now() < deadline {
            let (zone, now) = (&self.settings.zone, self.clock.now());
            let Some(host) = self.relays.borrow().choose(&request.service, zone, &tried, now) else {
                break;
            };
            tried.push(host);
            let lease = RelayLease::new(&self.relays, host);
            match connect_through(host, request).await {
                Ok(stream) => {
                    counter!("gentian_gateway_relays_asked_total", "result" => "connected").increment(1);
                    return Ok(Connection::relayed(stream, address, lease));
                }
                Err(error) => {
                    counter!("gentian_gateway_relays_asked_total", "result" => "failed").increment(1);
                    info!(self.logger, "relay failed"; "request" => &request.request, "host" => %host,
                        "service" => %request.service, "upstream" => &request.upstream, "error" => %error);
                    // Where this host is cut off, one that does not reach this upstream may reach others. Elsewhere the
                    // next request asks another host, as this one may be cut off without knowing it yet.
                    if path == Path::Own || !error.is_of_upstream() {
                        let now = self.clock.now();
                        self.relays.borrow_mut().record_refused(host, &request.service, now);
                    }
                    last_error = error;
                }
            }
        }
        Err(last_error)
    }

    fn path_to(&self, service: &ServiceName, upstream: &str) -> Path {
        let isolations = self.isolations.borrow();
        let isolation = isolations.get(service);
        isolation.map_or(Path::Own, |isolation| isolation.path_to(upstream, self.clock.now()))
    }

    /// Returns whether idle connections on the own link may be used for an upstream: while the host is cut off, only if
    /// the upstream still answers on them.
    pub(crate) fn may_reuse_own(&self, service: &ServiceName, upstream: &str) -> bool {
        if self.path_to(service, upstream) == Path::Own {
            return true;
        }
        let mut upstreams = self.upstreams.borrow_mut();
        let now = self.clock.now();
        upstreams
            .get_mut(upstream)
            .is_some_and(|upstream| upstream.answers_on_own_link(now))
    }

    /// Returns whether this host counts as cut off from the upstreams of a service.
    pub(crate) fn is_isolated(&self, service: &ServiceName) -> bool {
        self.isolations
            .borrow()
            .get(service)
            .is_some_and(Isolation::is_isolated)
    }

    /// Calls `change` with what is known of the own link to a service's upstreams.
    pub(crate) fn update_isolation<T>(&self, service: &ServiceName, change: impl FnOnce(&mut Isolation) -> T) -> T {
        let mut isolations = self.isolations.borrow_mut();
        if let Some(isolation) = isolations.get_mut(service) {
            return change(isolation);
        }
        change(isolations.entry(service.clone()).or_default())
    }

    /// Records that an upstream accepted a connection of this host.
    pub(crate) fn record_connected(&self, service: &ServiceName, upstream: &str) {
        let now = self.clock.now();
        let was_isolated = self.update_isolation(service, |isolation| {
            isolation.record_connected(upstream, now);
            isolation.record_recovery(now)
        });
        if let Some(duration) = was_isolated {
            info!(self.logger, "upstreams are reached again"; "service" => %service, "upstream" => upstream,
                "lasted_ms" => duration.as_millis() as u64);
            self.count_isolated();
        }
    }

    fn record_bypassed(&self, service: &ServiceName, chosen: &ChosenUpstream) {
        let now = self.clock.now();
        let evidence = self.update_isolation(service, |isolation| isolation.record_bypassed(&chosen.id, now));
        self.log_isolation(service, evidence);
    }

    /// Records that a connection on the own link broke without a response.
    pub(crate) fn record_broken(&self, service: &ServiceName, upstream: &str) {
        let now = self.clock.now();
        let evidence = self.update_isolation(service, |isolation| isolation.record_broken(upstream, now));
        self.log_isolation(service, evidence);
    }

    /// Checks whether requests on the own link are overdue while nothing arrives, and starts the probes that are due.
    pub(crate) fn check_links(self: &Rc<Self>) {
        let now = self.clock.now();
        let services: Vec<ServiceName> = self.isolations.borrow().keys().cloned().collect();
        for service in services {
            let evidence = self.update_isolation(&service, |isolation| isolation.check_silence(now));
            self.log_isolation(&service, evidence);
            if self.update_isolation(&service, |isolation| isolation.claim_probe(now)) {
                self.start_probe(&service);
            }
        }
    }

    /// Connects to one upstream on the own link to find out whether the host is still cut off.
    fn start_probe(self: &Rc<Self>, service: &ServiceName) {
        let target = self.update_isolation(service, |isolation| isolation.probe_target().map(str::to_owned));
        let listed: Vec<(String, SocketAddr)> = self.upstreams.borrow().listed(service).collect();
        let preferred = listed.iter().find(|(id, _)| Some(id) == target.as_ref());
        let Some((upstream, address)) = preferred.or_else(|| listed.choose(&mut rand::rng())).cloned() else {
            return;
        };
        let (gateway, service) = (Rc::clone(self), service.clone());
        spawn_local(async move {
            let result = connect(address, gateway.settings.source, CONNECT_TIMEOUT).await;
            counter!("gentian_gateway_link_probes_total").increment(1);
            match result {
                Ok(connection) => {
                    gateway.record_connected(&service, &upstream);
                    gateway.pool.borrow_mut().put(connection, None);
                }
                Err(error) => {
                    gateway.update_isolation(&service, |isolation| isolation.record_probe_failure(&upstream));
                    info!(gateway.logger, "still cut off from upstreams"; "service" => %service,
                        "upstream" => &upstream, "error" => %error);
                }
            }
        });
    }

    fn log_isolation(&self, service: &ServiceName, evidence: Option<Evidence>) {
        let Some(evidence) = evidence else {
            return;
        };
        if evidence != Evidence::Bypassed {
            // Connections that were open before are as silent as those that requests wait on.
            let addresses: HashSet<SocketAddr> = self.upstreams.borrow().listed(service).map(|(_, at)| at).collect();
            self.pool.borrow_mut().drop_own(&addresses);
        }
        self.upstreams.borrow_mut().close_breakers(service);
        warn!(self.logger, "cut off from upstreams"; "service" => %service, "why" => %evidence,
            "relays" => self.relays.borrow().hosts().len());
        self.count_isolated();
    }

    fn count_isolated(&self) {
        let isolations = self.isolations.borrow();
        let isolated = isolations.values().filter(|isolation| isolation.is_isolated());
        gauge!("gentian_gateway_isolated_services_count").set(isolated.count() as f64);
    }

    /// Returns how this host passes on requests of others; `None` if it takes none.
    pub(crate) fn relay_offer(&self) -> Option<RelayHost> {
        let address = self.settings.relay.filter(|_| !self.stopping.get())?;
        let isolations = self.isolations.borrow();
        let isolated = isolations.iter().filter(|(_, isolation)| isolation.is_isolated());
        Some(RelayHost {
            address,
            zone: self.settings.zone.clone(),
            isolated: isolated.map(|(service, _)| service.clone()).collect(),
        })
    }

    /// Uses the hosts that the leader names, and closes idle connections through any others.
    pub(crate) fn adopt_relays(&self, hosts: Vec<RelayHost>) {
        let mut relays = self.relays.borrow_mut();
        relays.adopt(hosts);
        info!(self.logger, "hosts that relay"; "hosts" => relays.hosts().len(),
            "isolated" => relays.hosts().iter().filter(|host| !host.isolated.is_empty()).count());
        let unused = self.pool.borrow_mut().take_relayed(|host| !relays.names(host));
        drop(relays);
        drop(unused);
    }
}

fn dial_error(chosen: &ChosenUpstream, own: &std::io::Error, relayed: &RelayError) -> DialError {
    DialError {
        address: chosen.address,
        own: own.to_string(),
        relayed: relayed.to_string(),
    }
}
