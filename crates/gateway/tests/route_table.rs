//! Lookup of the route, service and account of a request.

use contract::{Catalog, ClientAccount, KeyHash, Route, Service, ServiceName, WeightedService};
use gateway::routing_table::{RoutingTable, pick_service};
use quickcheck::quickcheck;

fn share(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: ServiceName::from(service),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        timeout_ms: 1_000,
        split: vec![share("till", 1)],
        ..Route::default()
    }
}

fn table() -> RoutingTable {
    RoutingTable::new(&Catalog {
        version: 3,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        services: vec![Service {
            name: ServiceName::from("till"),
            ..Service::default()
        }],
        accounts: vec![ClientAccount {
            name: "counter".to_owned(),
            keys: vec![KeyHash::of("one"), KeyHash::of("two")],
            ..ClientAccount::default()
        }],
        ..Catalog::default()
    })
}

#[test]
fn longest_prefix() {
    let table = table();
    let name = |host, target| table.find_route(host, target).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/z"), Some("short".to_owned()));
    assert_eq!(name("a.example", "/x/y/z?q=/"), Some("long".to_owned()));
    assert_eq!(name("A.EXAMPLE:80", "/x/y"), Some("short".to_owned()));
    assert_eq!(name("b.example", "/x/y/z"), Some("other".to_owned()));
    assert_eq!(name("b.example", "/xy/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn account_keys() {
    let table = table();
    assert!(table.requires_key());
    assert_eq!(table.account_by_key(&KeyHash::of("two")).unwrap().name, "counter");
    assert!(table.account_by_key(&KeyHash::of("three")).is_none());
}

quickcheck! {
    /// Guards against requests to a service with a weight of zero, for any draw.
    fn weights_respected(a: u8, b: u8, draw: u32) -> bool {
        let split = vec![share("none", 0), share("a", u32::from(a)), share("b", u32::from(b) + 1)];
        let route = Route { split, ..Route::default() };
        let draw = f64::from(draw) / (f64::from(u32::MAX) + 1.0);
        let service = pick_service(&route, draw).unwrap().as_str();
        service == "b" || (service == "a" && a > 0)
    }
}
