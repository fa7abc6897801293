//! Opens connections to upstreams, on this host's own link or through another host that reaches them.

use std::net::SocketAddr;
use std::time::Duration;

use contract::ServiceName;
use derive_more::{Display, Error};
use metrics::counter;
use policy::isolation::Path;
use slog::info;
use tokio::time::{Instant, timeout};
use wire::relay::{EndMark, RelayRequest};

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
    relayed: RelayError,
}

impl DialError {
    /// Returns whether another host could not reach the upstream either.
    pub(crate) const fn is_confirmed(&self) -> bool {
        self.relayed.is_of_upstream()
    }
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
            end_mark: Some(EndMark(rand::random())),
            news: None,
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
                    own.map_err(|own| dial_error(chosen, &own, error))
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
            if let Some(own) = &own_error
                && let Some(relayed) = relay_error.take()
            {
                return Err(dial_error(chosen, own, relayed));
            }
            tokio::select! {
                opened = &mut own, if own_error.is_none() => match opened {
                    Ok(connection) => return Ok(connection),
                    Err(error) => own_error = Some(error),
                },
                opened = &mut relayed, if relay_error.is_none() => match opened {
                    Ok(connection) => {
                        self.record_bypassed(service, &chosen.id);
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
                    return Ok(Connection::relayed(stream, address, lease, request.end_mark));
                }
                Err(error) => {
                    counter!("gentian_gateway_relays_asked_total", "result" => "failed").increment(1);
                    info!(self.logger, "relay failed"; "request" => &request.request, "host" => %host,
                        "service" => %request.service, "upstream" => &request.upstream, "error" => %error);
                    // Where this host is cut off, one that does not reach this upstream may reach others. Elsewhere the
                    // next request asks another host, as this one may be cut off without knowing it yet.
                    if !error.is_held() && (path == Path::Own || !error.is_of_upstream()) {
                        let now = self.clock.now();
                        self.relays.borrow_mut().record_refused(host, &request.service, now);
                    }
                    last_error = error;
                }
            }
        }
        Err(last_error)
    }
}

fn dial_error(chosen: &ChosenUpstream, own: &std::io::Error, relayed: RelayError) -> DialError {
    DialError {
        address: chosen.address,
        own: own.to_string(),
        relayed,
    }
}
