//! Transfers of the catalog from state nodes to an entry host's copy.

use std::time::Duration;

use contract::{Catalog, CatalogDelta, ClientAccount, KeyHash, Route, Service, ServiceName};
use gateway::catalog_copy::CatalogCopy;
use gateway::routing_table::RoutingTable;
use quickcheck::quickcheck;
use state::feed::CatalogFeed;
use wire::catalog::{Follow, Followed};

const HOSTS: u8 = 3;
const PREFIXES: u8 = 4;
const NAMES: u8 = 4;
/// More pages of seven bytes than all versions of a generated case have.
const MAX_PAGES: usize = 20_000;

/// Returns a small catalog. Equal seeds give equal items, so that versions have much in common.
fn catalog(version: u64, routes: &[(u8, u8, u8)], accounts: &[(u8, u8)]) -> Catalog {
    let mut catalog = Catalog {
        version,
        ..Catalog::default()
    };
    for (host, prefix, timeout) in routes {
        let route = Route {
            host: format!("H{}.example", host % HOSTS),
            prefix: format!("/{}/", "p/".repeat(usize::from(prefix % PREFIXES))),
            timeout_ms: u64::from(*timeout),
            ..Route::default()
        };
        let is_free = |other: &Route| (&other.host, &other.prefix) != (&route.host, &route.prefix);
        if catalog.routes.iter().all(is_free) {
            catalog.routes.push(route);
        }
    }
    for (name, key) in accounts {
        let key = KeyHash::of(&key.to_string());
        if catalog.accounts.iter().all(|account| !account.keys.contains(&key)) {
            catalog.accounts.push(ClientAccount {
                name: format!("a{}", name % NAMES),
                keys: vec![key],
                ..ClientAccount::default()
            });
            catalog.services.push(Service {
                name: ServiceName::from(format!("s{}", name % NAMES).as_str()),
                connections: u32::from(*name),
                ..Service::default()
            });
        }
    }
    catalog
}

/// Returns whether two tables give the same results for requests.
fn is_same(table: &RoutingTable, other: &RoutingTable) -> bool {
    let routes = (0..HOSTS).flat_map(|host| (0..=PREFIXES).map(move |depth| (host, depth)));
    let mut routes = routes.map(|(host, depth)| {
        let target = format!("/{}/x", "p/".repeat(usize::from(depth)));
        (format!("h{host}.example"), target)
    });
    let same_routes = routes.all(|(host, target)| table.find_route(&host, &target) == other.find_route(&host, &target));
    let mut keys = (0..=u8::MAX).map(|key| KeyHash::of(&key.to_string()));
    let same_keys = keys.all(|key| table.account_by_key(&key) == other.account_by_key(&key));
    let mut services = (0..NAMES).map(|at| ServiceName::from(format!("s{at}").as_str()));
    let same_services = services.all(|name| table.service(&name) == other.service(&name));
    let same_limits = table.limits() == other.limits() && table.requires_key() == other.requires_key();
    table.version() == other.version() && same_routes && same_keys && same_services && same_limits
}

fn next_update(request: &Follow, feed: &mut CatalogFeed, newest: &Catalog) -> Followed {
    Followed {
        parts: feed.next_parts(request, newest),
        newest: newest.version,
        age_ms: 0,
        members: Vec::new(),
        leader: None,
        entry_hosts: 0,
        versions: Vec::new(),
    }
}

type CatalogParts = (Vec<(u8, u8, u8)>, Vec<(u8, u8)>);

quickcheck! {
    fn delta_applied(old: CatalogParts, new: CatalogParts) -> bool {
        let (old, new) = (catalog(4, &old.0, &old.1), catalog(9, &new.0, &new.1));
        let table = RoutingTable::new(&old).with_delta(&CatalogDelta::between(&old, &new));
        is_same(&table, &RoutingTable::new(&new)) && is_same(&RoutingTable::new(&new), &table)
    }

    /// Guards against a transfer that never ends, or results in another catalog, while nodes restart, new versions are
    /// published, responses are lost and the host changes nodes.
    fn reaches_newest(versions: Vec<CatalogParts>, steps: Vec<u8>) -> bool {
        let mut feeds = [CatalogFeed::default(), CatalogFeed::default()];
        let mut copy = CatalogCopy::default();
        let mut newest = Catalog { version: 1, ..Catalog::default() };
        let numbered = versions.iter().zip(1..);
        let mut later = numbered.map(|(parts, version)| catalog(version * 2, &parts.0, &parts.1));
        for step in steps.into_iter().chain(std::iter::repeat_n(0, MAX_PAGES)) {
            let node = usize::from(step >> 3 & 1);
            match step % 8 {
                3 => feeds[node].clear(),
                4 | 5 => {
                    if let Some(next) = later.next() {
                        for feed in &mut feeds {
                            feed.push_change(&newest, &next);
                        }
                        newest = next;
                    }
                }
                6 => copy.record_timeout(),
                _ => {
                    let request = Follow { max_bytes: 7, ..copy.next_request(Duration::ZERO) };
                    let update = next_update(&request, &mut feeds[node], &newest);
                    // A transfer that can't be continued starts over.
                    let _ = copy.apply_update(update, Duration::ZERO);
                }
            }
        }
        copy.ready_table().is_some_and(|table| is_same(table, &RoutingTable::new(&newest)))
    }
}

fn catalog_of(version: u64, routes: usize) -> Catalog {
    let route = |at: usize| Route {
        host: "h.example".to_owned(),
        prefix: format!("/{at}/"),
        ..Route::default()
    };
    Catalog {
        version,
        routes: (0..routes).map(route).collect(),
        ..Catalog::default()
    }
}

fn fetch_page(copy: &mut CatalogCopy, feed: &mut CatalogFeed, newest: &Catalog) -> usize {
    let update = next_update(&copy.next_request(Duration::ZERO), feed, newest);
    copy.apply_update(update, Duration::ZERO).expect("the transfer fits")
}

/// Guards against wasted transfers: if a node fails during a transfer, the bytes that have arrived must be kept.
#[test]
fn transfer_resumed() {
    let newest = catalog_of(3, 5_000);
    let (mut first, mut second) = (CatalogFeed::default(), CatalogFeed::default());
    let mut copy = CatalogCopy::default();
    let mut bytes = fetch_page(&mut copy, &mut first, &newest);
    assert!(copy.is_fetching(), "the catalog does not fit into one page");
    while copy.version().is_none() {
        bytes += fetch_page(&mut copy, &mut second, &newest);
    }
    let mut other = CatalogCopy::default();
    let mut total_bytes = 0;
    while other.version().is_none() {
        total_bytes += fetch_page(&mut other, &mut first, &newest);
    }
    assert_eq!(bytes, total_bytes);
}

/// Guards against a transfer that starts over whenever a newer version is published, so that a host on a slow link
/// never gets any version.
#[test]
fn finishes_despite_changes() {
    let mut newest = catalog_of(1, 5_000);
    let mut feed = CatalogFeed::default();
    let mut copy = CatalogCopy::default();
    let mut pages = 0;
    while copy.version() != Some(newest.version) {
        fetch_page(&mut copy, &mut feed, &newest);
        pages += 1;
        assert!(pages < 100, "version {} has not arrived", newest.version);
        if newest.version < 50 {
            let mut next = newest.clone();
            next.version += 1;
            next.routes[pages].timeout_ms = 7;
            feed.push_change(&newest, &next);
            newest = next;
        }
    }
}

/// Guards against a host that starts and puts a version in force that is older than what other hosts serve.
#[test]
fn newest_comes_first() {
    let mut old = catalog_of(1, 5_000);
    let mut feed = CatalogFeed::default();
    let mut other = CatalogCopy::default();
    while other.version().is_none() {
        fetch_page(&mut other, &mut feed, &old);
    }
    let mut newest = old.clone();
    newest.version = 2;
    newest.routes.truncate(4_990);
    feed.push_change(&old, &newest);
    std::mem::swap(&mut old, &mut newest);
    let mut copy = CatalogCopy::default();
    while copy.version() != Some(2) {
        fetch_page(&mut copy, &mut feed, &old);
        let ready = copy.ready_table().map(|table| table.version());
        assert!(
            ready.is_none() || ready == Some(2),
            "version {ready:?} was put in force"
        );
    }
}
