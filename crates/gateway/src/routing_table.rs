//! The catalog in the form in which requests are looked up.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use contract::{
    CallerLimits, Catalog, CatalogDelta, ClientAccount, KeyHash, ListChanges, Route, RouteKey, Service, ServiceName,
};

/// A version of the catalog.
///
/// Versions share unchanged data, so that a new version costs only as much as its changes.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    version: u64,
    limits: CallerLimits,
    routes: RoutesByHost,
    services: Arc<BTreeMap<ServiceName, Service>>,
    accounts: Arc<Accounts>,
}

/// Routes by lower-case host; routes with the longest prefix come first.
type RoutesByHost = Arc<HashMap<Arc<str>, Arc<Vec<Arc<Route>>>>>;

#[derive(Clone, Debug, Default)]
struct Accounts {
    by_name: BTreeMap<String, Vec<Arc<ClientAccount>>>,
    by_key: HashMap<KeyHash, Arc<ClientAccount>>,
}

impl RoutingTable {
    /// Builds the table of a whole catalog.
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        Self::default().with_delta(&CatalogDelta::whole(catalog))
    }

    /// Returns the table after a delta.
    #[must_use]
    pub fn with_delta(&self, delta: &CatalogDelta) -> Self {
        let empty = Self::default();
        let old = if delta.base.is_some() { self } else { &empty };
        let mut next = old.clone();
        next.version = delta.version;
        next.limits = delta.limits;
        next.apply_routes(&delta.routes);
        next.apply_services(&delta.services);
        next.apply_accounts(&delta.accounts);
        next
    }

    fn apply_routes(&mut self, changes: &ListChanges<Route, RouteKey>) {
        if changes.is_empty() {
            return;
        }
        let mut replaced: HashMap<String, BTreeSet<String>> = HashMap::new();
        for key in changes.keys() {
            replaced.entry(key.host).or_default().insert(key.prefix);
        }
        let mut added: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &changes.put {
            let host = route.host.to_ascii_lowercase();
            added.entry(host).or_default().push(Arc::new(route.clone()));
        }
        let hosts = Arc::make_mut(&mut self.routes);
        for (host, prefixes) in replaced {
            let old = hosts.get(host.as_str()).into_iter().flat_map(|routes| routes.iter());
            let kept = old.filter(|route| !prefixes.contains(&route.prefix)).cloned();
            let mut routes: Vec<Arc<Route>> = kept.collect();
            routes.extend(added.remove(&host).unwrap_or_default());
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
            if routes.is_empty() {
                hosts.remove(host.as_str());
            } else {
                hosts.insert(host.into(), Arc::new(routes));
            }
        }
    }

    fn apply_services(&mut self, changes: &ListChanges<Service, ServiceName>) {
        if changes.is_empty() {
            return;
        }
        let services = Arc::make_mut(&mut self.services);
        for name in changes.keys() {
            services.remove(&name);
        }
        for service in &changes.put {
            services.entry(service.name.clone()).or_insert_with(|| service.clone());
        }
    }

    fn apply_accounts(&mut self, changes: &ListChanges<ClientAccount, String>) {
        if changes.is_empty() {
            return;
        }
        let Accounts { by_name, by_key } = Arc::make_mut(&mut self.accounts);
        for name in changes.keys() {
            for account in by_name.remove(&name).unwrap_or_default() {
                account.keys.iter().for_each(|key| drop(by_key.remove(key)));
            }
        }
        for account in &changes.put {
            let account = Arc::new(account.clone());
            by_key.extend(account.keys.iter().map(|key| (key.clone(), Arc::clone(&account))));
            by_name.entry(account.name.clone()).or_default().push(account);
        }
    }

    /// Returns the version of the catalog.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers may send.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(|routes| routes.len()).sum()
    }

    /// Returns all client accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &ClientAccount> {
        self.accounts.by_name.values().flatten().map(|account| &**account)
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of a request: of the routes of its host, the one with the longest prefix that the path starts
    /// with.
    #[must_use]
    pub fn find_route(&self, host: &str, target: &str) -> Option<&Route> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self
            .routes
            .get(host.to_ascii_lowercase().as_str())
            .or_else(|| self.routes.get(name.as_str()))?;
        let mut routes = routes.iter().map(|route| &**route);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the client account that holds a key.
    #[must_use]
    pub fn account_by_key(&self, key: &KeyHash) -> Option<&ClientAccount> {
        self.accounts.by_key.get(key).map(|account| &**account)
    }

    /// Returns whether requests need a key unless their route is public.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        !self.accounts.by_name.is_empty()
    }
}

/// Picks one of a route's services by weight; `draw` is uniform in [0, 1). Returns `None` if no service has a weight.
#[must_use]
pub fn pick_service(route: &Route, draw: f64) -> Option<&ServiceName> {
    let sum: u64 = route.split.iter().map(|share| u64::from(share.weight)).sum();
    let mut left = (draw * sum as f64) as u64;
    for share in &route.split {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    let last = route.split.iter().rev();
    last.into_iter()
        .find(|share| share.weight > 0)
        .map(|share| &share.service)
}
