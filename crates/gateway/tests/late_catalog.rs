//! Delivery of a published catalog to an entry host.

#[expect(dead_code, reason = "each feature uses a part of it")]
mod slow_node;

use slow_node::{SlowNode, catalog, wait_version};

/// Bandwidth at which the transfer of the whole catalog takes longer than one request may.
const SLOW_BYTES_PER_S: f64 = 60_000.0;
/// Bandwidth that causes no delay.
const FAST_BYTES_PER_S: f64 = 1e9;

/// Guards against a catalog that never comes into force, because each transfer times out and starts over.
#[test]
fn over_slow_link() {
    let node = SlowNode::start(SLOW_BYTES_PER_S);
    node.publish(&catalog(1, 2_000));
    let entry = node.start_entry();
    wait_version(&entry, 1);
}

/// Guards against a change of one route that costs each entry host the transfer of all routes.
#[test]
fn one_route_changed() {
    let node = SlowNode::start(FAST_BYTES_PER_S);
    let mut catalog = catalog(1, 2_000);
    node.publish(&catalog);
    let entry = node.start_entry();
    wait_version(&entry, 1);
    let whole = node.bytes_sent();
    catalog.version = 2;
    catalog.routes[700].timeout_ms = 1_000;
    node.publish(&catalog);
    wait_version(&entry, 2);
    let change = node.bytes_sent() - whole;
    assert!(
        change * 20 < whole,
        "one of 2,000 routes took {change} bytes, all of them {whole}"
    );
}
