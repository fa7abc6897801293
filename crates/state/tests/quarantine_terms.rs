//! Guards against a node that answers calls of a former term as if its quarantine were empty.

use contract::{Fingerprint, NodeId};
use policy::Tick;
use slog::{Discard, Logger, o};
use state::registry::{EntryRegistry, SharedLimits};
use wire::quarantine::{ReportCrashes, ReportedCrash};
use wire::registry::Heartbeat;

fn heartbeat(registry: &EntryRegistry, term: u64, now: Tick) {
    let shared = SharedLimits {
        entry_hosts: 1,
        ..SharedLimits::default()
    };
    let from = NodeId::from("e1");
    registry.heartbeat(term, (&from, Heartbeat::default()), &shared, now);
}

fn crash(upstream: u64) -> ReportedCrash {
    ReportedCrash {
        request: Fingerprint { account: 1, content: 2 },
        upstream,
        attempt: 3,
        age_ms: 0,
    }
}

/// A node that led in term 3 holds calls of hosts, loses the lead, and leads again in term 5 before it has heard anything.
#[test]
fn former_term() {
    let registry = EntryRegistry::default();
    let (now, logger) = (Tick::from_millis(1_000), Logger::root(Discard, o!()));
    assert!(registry.quarantine(3, now).is_none(), "no host has called in term 3");
    heartbeat(&registry, 3, now);
    let report = ReportCrashes {
        crashes: (1..=3).map(crash).collect(),
        ..ReportCrashes::default()
    };
    let counted = registry.report_crashes(3, (&NodeId::from("e1"), &report), &logger, now);
    assert_eq!(counted, Some((vec![1, 2, 3], true)));
    let told = registry.quarantine(3, now).expect("the term is current");
    assert_eq!(told.requests.len(), 1);
    let mut held = registry.quarantine_changes();
    held.mark_unchanged();
    heartbeat(&registry, 5, now);
    assert!(registry.quarantine(3, now).is_none(), "what term 3 knew is gone");
    let told = registry.quarantine(5, now).expect("the term is current");
    assert!(told.requests.is_empty() && told.mark.term == 5);
    assert!(
        held.has_changed().expect("the registry lives"),
        "held calls end, so that hosts report to the new term"
    );
}
