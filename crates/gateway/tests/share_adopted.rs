//! The quota share of an entry host that has not reached a leader yet.

#[expect(dead_code, reason = "each feature uses a part of it")]
mod slow_node;

use policy::parts::EVEN_SHARE;
use slow_node::{SlowNode, catalog, wait_until};

/// Bandwidth that causes no delay.
const FAST_BYTES_PER_S: f64 = 1e9;

/// Guards against callers that wait for an election after a restart of the whole system: the number of entry hosts is
/// known to every state node, and with it the even share.
#[test]
fn without_leader() {
    let node = SlowNode::without_leader(FAST_BYTES_PER_S, 6);
    node.publish(&catalog(1, 3));
    let entry = node.start_entry();
    wait_until("a share is known", || entry.quota_share.load().is_some());
    let share = (**entry.quota_share.load()).expect("the share that was waited for");
    assert_eq!(share.entries, 6);
    assert!(
        (share.floor - EVEN_SHARE / 6.0).abs() < 1e-9,
        "an even share: {}",
        share.floor
    );
}
