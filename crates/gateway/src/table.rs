//! The catalog in the form in which requests look things up.

use std::collections::HashMap;

use contract::{Catalog, ClientAccount, KeyHash, Route, ServiceName};

/// A catalog with its indexes.
#[derive(Debug)]
pub struct Table {
    catalog: Catalog,
    /// Routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<KeyHash, usize>,
}

impl Table {
    /// Makes the indexes of a catalog.
    #[must_use]
    pub fn new(catalog: Catalog) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in catalog.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(catalog.routes[*at].prefix.len()));
        }
        let accounts = catalog.accounts.iter().enumerate();
        let keys = accounts.flat_map(|(at, account)| account.keys.iter().map(move |key| (key.clone(), at)));
        let keys = keys.collect();
        Self { catalog, hosts, keys }
    }

    /// Gives the catalog.
    #[must_use]
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Finds the route of a request: among those of its host the one with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<&Route> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self
            .hosts
            .get(&host.to_ascii_lowercase())
            .or_else(|| self.hosts.get(&name))?;
        let routes = routes.iter().map(|at| &self.catalog.routes[*at]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the client account that holds a key.
    #[must_use]
    pub fn account(&self, key: &KeyHash) -> Option<&ClientAccount> {
        self.keys.get(key).map(|at| &self.catalog.accounts[*at])
    }

    /// Tells whether requests need a key unless their route is public.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        !self.catalog.accounts.is_empty()
    }
}

/// Draws one of a route's services by weight; `draw` is uniform from 0 to 1.
#[must_use]
pub fn draw_service(route: &Route, draw: f64) -> Option<&ServiceName> {
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
