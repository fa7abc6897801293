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
    let mut sources = NodeSelector::new(1);
    let now = Tick::from_millis(1_000);
    assert_eq!(sources.pick(&nodes(), None, now), Some(node(2)));
    sources.record_failure(node(2), now);
    assert_eq!(sources.pick(&nodes(), Some(node(5)), now), Some(node(5)));
    sources.record_failure(node(5), now);
    assert_eq!(sources.pick(&nodes(), Some(node(5)), now), Some(node(3)));
}

/// Guards against asking a silent node again before all others were asked.
#[test]
fn silent_avoided() {
    let mut sources = NodeSelector::new(0);
    for port in 1..=4 {
        let now = Tick::from_millis(u64::from(port) * 900);
        assert_eq!(sources.pick(&nodes(), None, now), Some(node(port)));
        sources.record_failure(node(port), now);
    }
    assert_eq!(sources.pick(&nodes(), None, Tick::from_millis(4_000)), Some(node(5)));
    sources.record_failure(node(5), Tick::from_millis(4_100));
    let longest_ago = sources.pick(&nodes(), None, Tick::from_millis(4_200));
    assert_eq!(
        longest_ago,
        Some(node(1)),
        "with all of them silent the first is due again"
    );
    assert_eq!(sources.pick(&BTreeSet::new(), None, Tick::default()), None);
}

/// Guards against pages that stay too large for a slow link: each of them would miss its timeout.
#[test]
fn smaller_pages() {
    let mut paging = PageSize::default();
    let first = paging.bytes();
    paging.record_loss();
    assert!(paging.bytes() <= first / 2);
    for _ in 0..40 {
        paging.record_loss();
    }
    let least = paging.bytes();
    assert!(
        (1..=2_048).contains(&least),
        "{least} bytes would not pass 20 kbit/s in time"
    );
    paging.record_arrival(Duration::from_millis(20));
    assert!(paging.bytes() > least);
}
