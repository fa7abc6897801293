//! Transfers of the catalog from state nodes to an entry host's copy.

use std::time::Duration;

use contract::{Catalog, ClientAccount, Delta, KeyHash, Route, Service, ServiceName};
use gateway::catalog_copy::CatalogCopy;
use gateway::routing_table::RoutingTable;
use quickcheck::quickcheck;
use state::feed::CatalogFeed;
use wire::catalog::{Follow, Followed};

const HOSTS: u8 = 3;
const PREFIXES: u8 = 4;
const NAMES: u8 = 4;
/// More pages of seven bytes than all versions of a drawn case have.
const MOST_PAGES: usize = 20_000;

/// Makes a small catalog; equal seeds give equal items, so that versions have much in common.
fn catalog(version: u64, routes: &[(u8, u8, u8)], accounts: &[(u8, u8)]) -> Catalog {
    let mut made = Catalog {
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
        let free = |one: &Route| (&one.host, &one.prefix) != (&route.host, &route.prefix);
        if made.routes.iter().all(free) {
            made.routes.push(route);
        }
    }
    for (name, key) in accounts {
        let key = KeyHash::of(&key.to_string());
        if made.accounts.iter().all(|account| !account.keys.contains(&key)) {
            made.accounts.push(ClientAccount {
                name: format!("a{}", name % NAMES),
                keys: vec![key],
                ..ClientAccount::default()
            });
            made.services.push(Service {
                name: ServiceName::from(format!("s{}", name % NAMES).as_str()),
                connections: u32::from(*name),
                ..Service::default()
            });
        }
    }
    made
}

/// Compares what requests see of two tables.
fn is_same(one: &RoutingTable, other: &RoutingTable) -> bool {
    let routes = (0..HOSTS).flat_map(|host| (0..=PREFIXES).map(move |depth| (host, depth)));
    let mut routes = routes.map(|(host, depth)| {
        let target = format!("/{}/x", "p/".repeat(usize::from(depth)));
        (format!("h{host}.example"), target)
    });
    let same_routes = routes.all(|(host, target)| one.find_route(&host, &target) == other.find_route(&host, &target));
    let mut keys = (0..=u8::MAX).map(|key| KeyHash::of(&key.to_string()));
    let same_keys = keys.all(|key| one.account_by_key(&key) == other.account_by_key(&key));
    let mut services = (0..NAMES).map(|at| ServiceName::from(format!("s{at}").as_str()));
    let same_services = services.all(|name| one.service(&name) == other.service(&name));
    let same_limits = one.limits() == other.limits() && one.requires_key() == other.requires_key();
    one.version() == other.version() && same_routes && same_keys && same_services && same_limits
}

fn told(ask: &Follow, feed: &mut CatalogFeed, newest: &Catalog) -> Followed {
    Followed {
        parts: feed.next_parts(ask, newest),
        newest: newest.version,
        age_ms: 0,
        members: Vec::new(),
        leader: None,
    }
}

type Drawn = (Vec<(u8, u8, u8)>, Vec<(u8, u8)>);

quickcheck! {
    fn delta_leads_there(old: Drawn, new: Drawn) -> bool {
        let (old, new) = (catalog(4, &old.0, &old.1), catalog(9, &new.0, &new.1));
        let table = RoutingTable::new(&old).with_delta(&Delta::between(&old, &new));
        is_same(&table, &RoutingTable::new(&new)) && is_same(&RoutingTable::new(&new), &table)
    }

    /// Guards against a transfer that never ends, or ends in another catalog, while nodes restart, versions go on, answers are
    /// lost and the host turns from node to node.
    fn reaches_newest(versions: Vec<Drawn>, steps: Vec<u8>) -> bool {
        let mut feeds = [CatalogFeed::default(), CatalogFeed::default()];
        let mut mirror = CatalogCopy::default();
        let mut newest = Catalog { version: 1, ..Catalog::default() };
        let drawn = versions.iter().zip(1..);
        let mut later = drawn.map(|(drawn, version)| catalog(version * 2, &drawn.0, &drawn.1));
        for step in steps.into_iter().chain(std::iter::repeat_n(0, MOST_PAGES)) {
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
                6 => mirror.record_timeout(),
                _ => {
                    let ask = Follow { max_bytes: 7, ..mirror.next_request(Duration::ZERO) };
                    let news = told(&ask, &mut feeds[node], &newest);
                    // A transfer that can't be used any more begins again.
                    let _ = mirror.apply_update(news, Duration::ZERO);
                }
            }
        }
        mirror.ready_table().is_some_and(|table| is_same(table, &RoutingTable::new(&newest)))
    }
}

fn many(version: u64, routes: usize) -> Catalog {
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

fn take(mirror: &mut CatalogCopy, feed: &mut CatalogFeed, newest: &Catalog) -> usize {
    let news = told(&mirror.next_request(Duration::ZERO), feed, newest);
    mirror.apply_update(news, Duration::ZERO).expect("the transfer fits")
}

/// Guards against work that is thrown away: a node that dies in the middle of a transfer costs no byte that has arrived.
#[test]
fn resumed_elsewhere() {
    let newest = many(3, 5_000);
    let (mut first, mut second) = (CatalogFeed::default(), CatalogFeed::default());
    let mut mirror = CatalogCopy::default();
    let mut bytes = take(&mut mirror, &mut first, &newest);
    assert!(mirror.is_fetching(), "the catalog does not fit into one page");
    while mirror.version().is_none() {
        bytes += take(&mut mirror, &mut second, &newest);
    }
    let mut other = CatalogCopy::default();
    let mut whole = 0;
    while other.version().is_none() {
        whole += take(&mut other, &mut first, &newest);
    }
    assert_eq!(bytes, whole);
}

/// Guards against a transfer that is begun again whenever a newer version is published, so that a host on a slow link never
/// gets any of them.
#[test]
fn finished_under_changes() {
    let mut newest = many(1, 5_000);
    let mut feed = CatalogFeed::default();
    let mut mirror = CatalogCopy::default();
    let mut pages = 0;
    while mirror.version() != Some(newest.version) {
        take(&mut mirror, &mut feed, &newest);
        pages += 1;
        assert!(pages < 100, "version {} is still on its way", newest.version);
        if newest.version < 50 {
            let mut next = newest.clone();
            next.version += 1;
            next.routes[pages].timeout_ms = 7;
            feed.push_change(&newest, &next);
            newest = next;
        }
    }
}

/// Guards against a host that has just started and puts a version in force that is older than what others serve.
#[test]
fn first_is_newest() {
    let mut old = many(1, 5_000);
    let mut feed = CatalogFeed::default();
    let mut other = CatalogCopy::default();
    while other.version().is_none() {
        take(&mut other, &mut feed, &old);
    }
    let mut newest = old.clone();
    newest.version = 2;
    newest.routes.truncate(4_990);
    feed.push_change(&old, &newest);
    std::mem::swap(&mut old, &mut newest);
    let mut mirror = CatalogCopy::default();
    while mirror.version() != Some(2) {
        take(&mut mirror, &mut feed, &old);
        let shown = mirror.ready_table().map(|table| table.version());
        assert!(
            shown.is_none() || shown == Some(2),
            "version {shown:?} was put in force"
        );
    }
}
