//! How the list of upstreams reaches an entry host.

#[expect(dead_code, reason = "each feature uses a part of it")]
mod slow_node;

use std::time::Duration;

use contract::{Listed, ServiceName, Zone};
use slow_node::{SlowNode, wait};

/// Bytes a second of a link of 10 Mbit/s.
const THIN: f64 = 1_250_000.0;

fn upstream(at: usize) -> Listed {
    Listed {
        id: format!("i-{at:012x}"),
        start: 1_780_000_000_000,
        service: ServiceName::from("counter-assistant"),
        address: ([10, 128, (at / 256) as u8, (at % 256) as u8], 8080).into(),
        zone: Zone::from("data-centre-1"),
        slots: 16,
        leaving: false,
        reclaimable: at.is_multiple_of(2),
        cold: Duration::ZERO,
        left: None,
    }
}

/// Guards against a list that is too long for one answer on a thin link, so that no beat is answered in time and the host is told
/// neither its upstreams nor its parts of limits.
#[test]
fn many_upstreams() {
    let node = SlowNode::start(THIN);
    node.set_list((0..3_300).map(upstream).collect());
    let entry = node.entry();
    wait("the parts of limits", || entry.quota_share.load().is_some());
    wait("the list", || {
        entry
            .new_list
            .lock()
            .as_ref()
            .is_some_and(|(list, _)| list.len() == 3_300)
    });
}
