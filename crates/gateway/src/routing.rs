//! Where a request goes, and how long it may take.

use std::time::Duration;

use contract::{ClientAccount, Route, ServiceName};
use rand::Rng;
use tokio::time::Instant;

use crate::dialect::RequestInfo;
use crate::gate::Gateway;
use crate::head::{Head, RequestLine};
use crate::refusal::Refusal;
use crate::routing_table::{RoutingTable, pick_service};

/// Time before a caller's deadline at which its final answer leaves, so that it arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Wait that is taken for a caller's that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a caller comes back that found a host without a configuration.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Gateway {
    /// Finds route, service and account of a request.
    ///
    /// # Errors
    /// Gives the answer of a request that can't be served.
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

    /// Gives the answer to a request for what the table doesn't hold: final only where no newer version may hold it.
    fn not_found(&self, table: &RoutingTable, refusal: Refusal) -> Refusal {
        if self.shared.is_current(table, self.clock.now()) {
            return refusal;
        }
        Refusal::new(503, "not run: the configuration here may not be the newest").with_retry_after(CONFIG_RETRY_AFTER)
    }

    /// Gives the time at which a request gets its final answer at the latest.
    #[must_use]
    pub fn deadline(&self, arrived: Instant, info: &RequestInfo, route: &Route) -> Instant {
        let max_wait = info.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(DEADLINE_MARGIN);
        arrived + max_wait.min(Duration::from_millis(route.timeout_ms))
    }
}
