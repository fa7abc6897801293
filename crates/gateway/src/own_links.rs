//! What an entry host knows of its own links to the upstreams of each service, and how it passes on requests of others.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use contract::{RelayHost, ServiceName};
use metrics::{counter, gauge};
use policy::isolation::{Evidence, Isolation, Path};
use rand::seq::{IndexedRandom, SliceRandom};
use slog::{info, warn};
use tokio::task::spawn_local;

use crate::gate::Gateway;
use crate::pool::{CONNECT_TIMEOUT, connect};

/// Most upstreams that are tried to find out whether this host reaches any, and the longest wait for each.
const MAX_TRIED: usize = 3;
const TRY_TIMEOUT: Duration = Duration::from_millis(50);

impl Gateway {
    /// Returns how a request gets to an upstream.
    pub(crate) fn path_to(&self, service: &ServiceName, upstream: &str) -> Path {
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

    /// Records that another host reached an upstream to which this host could not connect in time.
    pub(crate) fn record_bypassed(&self, service: &ServiceName, upstream: &str) {
        let now = self.clock.now();
        let evidence = self.update_isolation(service, |isolation| isolation.record_bypassed(upstream, now));
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

    /// Returns whether this host reaches an upstream of a service on its own link, but for one.
    pub(crate) async fn reaches_another(&self, service: &ServiceName, except: &str) -> bool {
        let listed = self.upstreams.borrow().listed(service).collect::<Vec<_>>();
        let mut others: Vec<(String, SocketAddr)> = listed.into_iter().filter(|(id, _)| id != except).collect();
        others.shuffle(&mut rand::rng());
        for (upstream, address) in others.into_iter().take(MAX_TRIED) {
            if let Ok(connection) = connect(address, self.settings.source, TRY_TIMEOUT).await {
                self.record_connected(service, &upstream);
                self.pool.borrow_mut().put(connection, None);
                return true;
            }
        }
        false
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
        let address = self.settings.relay.filter(|_| self.planned_stop().is_none())?;
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
