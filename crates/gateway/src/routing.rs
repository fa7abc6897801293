//! Determines where a request goes, and how long it may take.

use std::time::Duration;

use contract::{ClientAccount, Route, ServiceName};
use rand::Rng;
use tokio::time::Instant;

use crate::dialect::RequestInfo;
use crate::gate::Gateway;
use crate::head::{Head, RequestLine};
use crate::refusal::Refusal;
use crate::routing_table::{RoutingTable, pick_service};

/// Time before a caller's deadline at which the final response is sent, so that it arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Timeout of a request whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay for a caller whose route or key may be in a catalog version that this host doesn't have yet.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Gateway {
    /// Determines the route, service and account of a request.
    ///
    /// # Errors
    /// Returns the response to a request that can't be served.
    pub fn route_request(
        &self,
        head: &Head<RequestLine>,
        info: &RequestInfo,
    ) -> Result<(Route, ServiceName, Option<ClientAccount>), Refusal> {
        let Some(table) = self.shared.table.load_full() else {
            return Err(
                Refusal::new(503, "not run: no configuration is known yet").with_retry_after(CONFIG_RETRY_AFTER)
            );
        };
        let target = std::str::from_utf8(&head.start.target).unwrap_or_default();
        let host = head.get("host").unwrap_or_default();
        let route = table
            .find_route(host, target)
            .ok_or_else(|| self.not_found(&table, Refusal::new(404, "no such route")))?;
        let account = info.key_hash.as_ref().and_then(|key| table.account_by_key(key));
        if table.requires_key() && account.is_none() && !route.public {
            return Err(self.not_found(&table, Refusal::new(401, "the key is not known")));
        }
        let draw = rand::rng().random_range(0.0..1.0);
        let service =
            pick_service(route, draw).ok_or_else(|| Refusal::new(503, "not run: the route has no service"))?;
        Ok((route.clone(), service.clone(), account.cloned()))
    }

    /// Returns the response to a request whose route or key the table doesn't hold. It is final only if no newer
    /// catalog version may hold them.
    fn not_found(&self, table: &RoutingTable, refusal: Refusal) -> Refusal {
        if self.shared.is_current(table, self.clock.now()) {
            return refusal;
        }
        Refusal::new(503, "not run: the configuration here may not be the newest").with_retry_after(CONFIG_RETRY_AFTER)
    }

    /// Returns the longest time from the arrival of a request to its final response.
    #[must_use]
    pub fn longest(&self, info: &RequestInfo, route: &Route) -> Duration {
        let max_wait = info.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(DEADLINE_MARGIN);
        max_wait.min(Duration::from_millis(route.timeout_ms))
    }

    /// Returns the deadline of a request's final response.
    #[must_use]
    pub fn deadline(&self, arrived: Instant, info: &RequestInfo, route: &Route) -> Instant {
        arrived + self.longest(info, route)
    }
}
