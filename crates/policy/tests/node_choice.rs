//! Which state node is asked for the catalog, and how large the pages are.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use policy::Tick;
use policy::paging::PageSize;
use policy::sources::NodeSelector;

fn nodes() -> BTreeSet<SocketAddr> {
    (1..=5).map(node).collect()
}

fn node(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Guards against a host that asks one silent node after another, a second each, while the leader has what it lacks.
#[test]
fn leader_when_behind() {
    let mut selector = NodeSelector::new(1);
    let now = Tick::from_millis(1_000);
    assert_eq!(selector.pick(&nodes(), None, now), Some(node(2)));
    selector.record_failure(node(2), now);
    assert_eq!(selector.pick(&nodes(), Some(node(5)), now), Some(node(5)));
    selector.record_failure(node(5), now);
    assert_eq!(selector.pick(&nodes(), Some(node(5)), now), Some(node(3)));
}

/// Guards against asking a silent node again before all others were asked.
#[test]
fn silent_avoided() {
    let mut selector = NodeSelector::new(0);
    for port in 1..=4 {
        let now = Tick::from_millis(u64::from(port) * 900);
        assert_eq!(selector.pick(&nodes(), None, now), Some(node(port)));
        selector.record_failure(node(port), now);
    }
    assert_eq!(selector.pick(&nodes(), None, Tick::from_millis(4_000)), Some(node(5)));
    selector.record_failure(node(5), Tick::from_millis(4_100));
    let longest_ago = selector.pick(&nodes(), None, Tick::from_millis(4_200));
    assert_eq!(
        longest_ago,
        Some(node(1)),
        "with all of them silent the first is due again"
    );
    assert_eq!(selector.pick(&BTreeSet::new(), None, Tick::default()), None);
}

/// Guards against pages that stay too large for a slow link: each of them would miss its timeout.
#[test]
fn smaller_pages() {
    let mut page_size = PageSize::default();
    let first = page_size.bytes();
    page_size.record_loss();
    assert!(page_size.bytes() <= first / 2);
    for _ in 0..40 {
        page_size.record_loss();
    }
    let least = page_size.bytes();
    assert!(
        (1..=2_048).contains(&least),
        "{least} bytes would not pass 20 kbit/s in time"
    );
    page_size.record_arrival(Duration::from_millis(20));
    assert!(page_size.bytes() > least);
}
