//! Cost of a change of one route for a state node and an entry host, at 100, 1,000 and 10,000 routes; and what the
//! whole catalog as JSON would cost each of them.
#![expect(
    missing_docs,
    reason = "the macro of the library makes a public function without documentation"
)]

use std::hint::black_box;
use std::time::Duration;

use contract::{Catalog, CatalogDelta, Route, ServiceName, WeightedService};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gateway::catalog_copy::CatalogCopy;
use gateway::routing_table::RoutingTable;
use state::feed::CatalogFeed;
use wire::catalog::Followed;

const ROUTE_COUNTS: [usize; 3] = [100, 1_000, 10_000];

fn catalog(version: u64, routes: usize) -> Catalog {
    let route = |index: usize| Route {
        name: format!("r-{index:06}"),
        host: format!("host{}.example", index % 40),
        prefix: format!("/path{index}/"),
        timeout_ms: 15_000,
        target_ms: 600,
        attempts: 2,
        split: vec![WeightedService {
            service: ServiceName::from("assistant"),
            weight: 1,
        }],
        ..Route::default()
    };
    Catalog {
        version,
        routes: (0..routes).map(route).collect(),
        ..Catalog::default()
    }
}

/// Returns a catalog and its next version, in which one route differs.
fn versions(routes: usize) -> (Catalog, Catalog) {
    let old = catalog(1, routes);
    let mut new = old.clone();
    new.version = 2;
    new.routes[routes / 2].timeout_ms = 1_000;
    (old, new)
}

/// Fetches what a copy lacks; returns the number of bytes.
fn fetch(copy: &mut CatalogCopy, feed: &mut CatalogFeed, newest: &Catalog) -> usize {
    let mut bytes = 0;
    while copy.version() != Some(newest.version) {
        let update = Followed {
            parts: feed.next_parts(&copy.next_request(Duration::ZERO), newest),
            newest: newest.version,
            age_ms: 0,
            members: Vec::new(),
            leader: None,
            entry_hosts: 0,
            versions: Vec::new(),
        };
        bytes += copy.apply_update(update, Duration::ZERO).expect("the transfer fits");
    }
    bytes
}

fn measure_costs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one_route");
    for routes in ROUTE_COUNTS {
        let (old, new) = versions(routes);
        let mut feed = CatalogFeed::default();
        let mut copy = CatalogCopy::default();
        let whole_bytes = fetch(&mut copy, &mut feed, &old);
        feed.push_change(&old, &new);
        let changed_bytes = fetch(&mut copy, &mut feed, &new);
        let json = serde_json::to_vec(&new).expect("a catalog is encoded");
        println!(
            "{routes} routes: change {changed_bytes} B, whole {whole_bytes} B, whole as JSON {} B",
            json.len()
        );
        group.bench_function(BenchmarkId::new("node_compares", routes), |bencher| {
            bencher.iter(|| CatalogFeed::default().push_change(&old, black_box(&new)));
        });
        let request = {
            let mut outdated = CatalogCopy::default();
            fetch(&mut outdated, &mut CatalogFeed::default(), &old);
            outdated.next_request(Duration::ZERO)
        };
        group.bench_function(BenchmarkId::new("node_answers", routes), |bencher| {
            bencher.iter(|| feed.next_parts(black_box(&request), &new));
        });
        let (table, delta) = (RoutingTable::new(&old), CatalogDelta::between(&old, &new));
        group.bench_function(BenchmarkId::new("host_applies", routes), |bencher| {
            bencher.iter(|| table.with_delta(black_box(&delta)));
        });
        group.bench_function(BenchmarkId::new("node_answers_whole_json", routes), |bencher| {
            bencher.iter(|| serde_json::to_vec(&new.clone()).expect("a catalog is encoded"));
        });
        group.bench_function(BenchmarkId::new("host_applies_whole_json", routes), |bencher| {
            bencher.iter(|| {
                let catalog: Catalog = serde_json::from_slice(black_box(&json)).expect("a catalog is read");
                RoutingTable::new(&catalog)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, measure_costs);
criterion_main!(benches);
