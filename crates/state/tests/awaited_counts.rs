//! Counts of a usage window that entry hosts have not sent yet.

use contract::NodeId;
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::Heartbeat;

fn heartbeat(registry: &EntryRegistry, from: &str, now_ms: u64) {
    let shared = SharedLimits {
        entry_hosts: 2,
        ..SharedLimits::default()
    };
    let from = NodeId::from(from);
    let news = registry.heartbeat(1, (&from, Heartbeat::default()), &shared, Tick::from_millis(now_ms));
    assert!(news.is_some(), "the number of entry hosts is known");
}

/// Guards against a report without the requests of a data centre that is cut off for a few seconds at the end of a
/// window.
#[test]
fn cut_host() {
    let registry = EntryRegistry::default();
    heartbeat(&registry, "e1", 1_000);
    heartbeat(&registry, "e2", 4_000);
    let awaited = |now_ms| registry.awaits_counts(Tick::from_millis(3_000), Tick::from_millis(now_ms));
    assert!(awaited(5_500), "e1 has not been heard of since the end of the window");
    heartbeat(&registry, "e1", 6_000);
    assert!(!awaited(6_100));
}

/// Guards against a report that waits for a host that is gone for good.
#[test]
fn lost_host() {
    let registry = EntryRegistry::default();
    heartbeat(&registry, "e1", 1_000);
    assert!(!registry.awaits_counts(Tick::from_millis(12_000), Tick::from_millis(14_500)));
}
