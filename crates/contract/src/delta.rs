//! The difference between two catalogs, which grows with what changed and not with what exists.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Catalog, ClientAccount, Route, Service, ServiceName};

/// What makes one catalog into the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that it changes; nothing where it holds the whole catalog.
    pub base: Option<u64>,
    /// Version that it leads to.
    pub version: u64,
    /// Changes of the routes.
    pub routes: Changes<Route, RouteKey>,
    /// Changes of the services.
    pub services: Changes<Service, ServiceName>,
    /// Changes of the client accounts.
    pub accounts: Changes<ClientAccount, String>,
    /// Limits of callers, as they are from now on.
    pub limits: CallerLimits,
}

/// Changes of a list whose items have keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes<T, K> {
    /// New and changed items; they take the place of all items with their keys.
    pub put: Vec<T>,
    /// Keys of items that are gone.
    pub gone: Vec<K>,
}

/// What no two routes of a catalog share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
}

/// An item that is known by a key.
pub trait Keyed {
    /// The key.
    type Key: Clone + Eq + Hash;

    /// Gives the key.
    fn key(&self) -> Self::Key;
}

impl Keyed for Route {
    type Key = RouteKey;

    fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.to_ascii_lowercase(),
            prefix: self.prefix.clone(),
        }
    }
}

impl Keyed for Service {
    type Key = ServiceName;

    fn key(&self) -> ServiceName {
        self.name.clone()
    }
}

impl Keyed for ClientAccount {
    type Key = String;

    fn key(&self) -> String {
        self.name.clone()
    }
}

impl Delta {
    /// Compares two catalogs.
    #[must_use]
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        Self {
            base: Some(old.version),
            version: new.version,
            routes: Changes::between(&old.routes, &new.routes),
            services: Changes::between(&old.services, &new.services),
            accounts: Changes::between(&old.accounts, &new.accounts),
            limits: new.limits,
        }
    }

    /// Makes a delta that needs nothing before it.
    #[must_use]
    pub fn whole(catalog: &Catalog) -> Self {
        Self {
            base: None,
            ..Self::between(&Catalog::default(), catalog)
        }
    }
}

impl<T, K> Changes<T, K>
where
    T: Keyed<Key = K> + Clone + PartialEq,
    K: Clone + Eq + Hash,
{
    /// Compares two lists. Items that share a key are compared and sent together.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        let (before, after) = (by_key(old), by_key(new));
        let changed = |item: &&T| {
            let key = item.key();
            before.get(&key) != after.get(&key)
        };
        let mut told = HashSet::new();
        let gone = old.iter().map(Keyed::key).filter(|key| !after.contains_key(key));
        Self {
            put: new.iter().filter(changed).cloned().collect(),
            gone: gone.filter(|key| told.insert(key.clone())).collect(),
        }
    }

    /// Tells whether nothing changes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }

    /// Gives the keys whose items are replaced or gone.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.put.iter().map(Keyed::key).chain(self.gone.iter().cloned())
    }
}

fn by_key<T: Keyed>(items: &[T]) -> HashMap<T::Key, Vec<&T>> {
    let mut groups: HashMap<T::Key, Vec<&T>> = HashMap::with_capacity(items.len());
    for item in items {
        groups.entry(item.key()).or_default().push(item);
    }
    groups
}
