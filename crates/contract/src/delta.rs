//! The difference between two catalogs; its size depends on what changed and not on the size of the catalogs.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Catalog, ClientAccount, Route, Service, ServiceName};

/// The changes that lead from one catalog version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// Version that the delta applies to; `None` when it holds the whole catalog.
    pub base: Option<u64>,
    /// Version that results from applying the delta.
    pub version: u64,
    /// Changed and removed routes.
    pub routes: ListChanges<Route, RouteKey>,
    /// Changed and removed services.
    pub services: ListChanges<Service, ServiceName>,
    /// Changed and removed client accounts.
    pub accounts: ListChanges<ClientAccount, String>,
    /// Caller limits of the new version; sent whole.
    pub limits: CallerLimits,
}

/// Changes of a list of keyed items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges<T, K> {
    /// New and changed items; they replace all items with the same keys.
    pub put: Vec<T>,
    /// Keys of removed items.
    pub gone: Vec<K>,
}

/// Key of a route; no two routes of a catalog have the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
}

/// An item that is identified by a key.
pub trait Keyed {
    /// Type of the key.
    type Key: Clone + Eq + Hash;

    /// Returns the key of the item.
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

impl CatalogDelta {
    /// Returns the changes that lead from `old` to `new`.
    #[must_use]
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        Self {
            base: Some(old.version),
            version: new.version,
            routes: ListChanges::between(&old.routes, &new.routes),
            services: ListChanges::between(&old.services, &new.services),
            accounts: ListChanges::between(&old.accounts, &new.accounts),
            limits: new.limits,
        }
    }

    /// Returns a delta that holds the whole catalog and needs no base version.
    #[must_use]
    pub fn whole(catalog: &Catalog) -> Self {
        Self {
            base: None,
            ..Self::between(&Catalog::default(), catalog)
        }
    }
}

impl<T, K> ListChanges<T, K>
where
    T: Keyed<Key = K> + Clone + PartialEq,
    K: Clone + Eq + Hash,
{
    /// Returns the changes that lead from `old` to `new`; items with the same key are compared and sent as a group.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        let (before, after) = (group_by_key(old), group_by_key(new));
        let changed = |item: &&T| {
            let key = item.key();
            before.get(&key) != after.get(&key)
        };
        let mut seen = HashSet::new();
        let gone = old.iter().map(Keyed::key).filter(|key| !after.contains_key(key));
        Self {
            put: new.iter().filter(changed).cloned().collect(),
            gone: gone.filter(|key| seen.insert(key.clone())).collect(),
        }
    }

    /// Returns whether nothing changes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }

    /// Returns the keys whose items are replaced or removed.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.put.iter().map(Keyed::key).chain(self.gone.iter().cloned())
    }
}

fn group_by_key<T: Keyed>(items: &[T]) -> HashMap<T::Key, Vec<&T>> {
    let mut groups: HashMap<T::Key, Vec<&T>> = HashMap::with_capacity(items.len());
    for item in items {
        groups.entry(item.key()).or_default().push(item);
    }
    groups
}
