//! What entry hosts learn from the leader about upstreams: the list, and what the others have seen.

use std::time::Duration;

use contract::{Listed, NodeId, ServiceName, Zone};
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, LeaderUpdate, UpstreamObservation};

const TERM: u64 = 3;

fn listed(id: &str, leaving: bool, cold_ms: u64) -> Listed {
    Listed {
        id: id.to_owned(),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        slots: 4,
        leaving,
        reclaimable: false,
        cold: Duration::from_millis(cold_ms),
        left: None,
    }
}

fn beat(registry: &EntryRegistry, from: &str, beat: Heartbeat, now_ms: u64) -> LeaderUpdate {
    let sharing = SharedLimits {
        entry_hosts: 2,
        ..SharedLimits::default()
    };
    let from = NodeId::from(from);
    let news = registry.heartbeat(TERM, (&from, beat), &sharing, Tick::from_millis(now_ms));
    news.expect("the number of sharers was left by the leader before")
}

fn seen(id: &str, load: Option<(u32, u32, u32)>, backlog_ms: u32) -> Heartbeat {
    Heartbeat {
        signs: vec![UpstreamObservation {
            id: id.to_owned(),
            load,
            backlog_ms,
            overdue_ms: 0,
        }],
        ..Heartbeat::default()
    }
}

/// One entry host sends a prompt that takes an upstream 800 ms to read. Another would send its own callers behind it, as it
/// sees no more than its own requests; it is told what is left of the 800 ms.
#[test]
fn others_backlog() {
    let registry = EntryRegistry::default();
    beat(&registry, "e1", seen("u", None, 800), 1_000);
    let news = beat(&registry, "e2", Heartbeat::default(), 1_300);
    assert_eq!((news.signs[0].id.as_str(), news.signs[0].backlog_ms), ("u", 500));
    let own = beat(&registry, "e1", Heartbeat::default(), 1_300);
    assert!(
        own.signs.is_empty(),
        "its own prompts come back to nobody: {:?}",
        own.signs
    );
    assert!(beat(&registry, "e2", Heartbeat::default(), 1_900).signs.is_empty());
}

fn overdue(id: &str, overdue_ms: u32) -> Heartbeat {
    Heartbeat {
        signs: vec![UpstreamObservation {
            id: id.to_owned(),
            load: None,
            backlog_ms: 0,
            overdue_ms,
        }],
        ..Heartbeat::default()
    }
}

/// An upstream has fallen silent, or reads a prompt that nobody knows of. The requests of two entry hosts wait there longer than
/// was predicted. Every other one would find out by itself, with a request of its own that is late; it is told by how much they
/// wait, and not the sum, since all of them wait in one queue.
#[test]
fn overdue_told() {
    let registry = EntryRegistry::default();
    beat(&registry, "e1", overdue("u", 700), 1_000);
    beat(&registry, "e2", overdue("u", 900), 1_100);
    let news = beat(&registry, "e3", Heartbeat::default(), 1_200);
    assert_eq!((news.signs[0].backlog_ms, news.signs[0].overdue_ms), (0, 800));
    assert!(beat(&registry, "e3", Heartbeat::default(), 2_100).signs.is_empty());
}

/// Two entry hosts saw an upstream's load at different times. The newest sight counts, whichever came last.
#[test]
fn newest_load() {
    let registry = EntryRegistry::default();
    beat(&registry, "e1", seen("u", Some((9, 1, 50)), 0), 1_000);
    beat(&registry, "e2", seen("u", Some((2, 0, 400)), 0), 1_010);
    let news = beat(&registry, "e3", Heartbeat::default(), 1_100);
    assert_eq!(news.signs[0].load, Some((9, 1, 150)));
    assert!(beat(&registry, "e3", Heartbeat::default(), 5_000).signs.is_empty());
}

/// A large deployment has thousands of upstreams. An answer names only the busiest, so that beats stay small.
#[test]
fn busiest_first() {
    let registry = EntryRegistry::default();
    let signs = (0..500).map(|at| UpstreamObservation {
        id: format!("u{at}"),
        load: Some((at, 0, 10)),
        backlog_ms: 0,
        overdue_ms: 0,
    });
    let all = Heartbeat {
        signs: signs.collect(),
        ..Heartbeat::default()
    };
    beat(&registry, "e1", all, 1_000);
    let told = beat(&registry, "e2", Heartbeat::default(), 1_100).signs;
    assert_eq!((told.len(), told[0].id.as_str()), (64, "u499"));
}

/// The list is read every second, and how long upstreams are cold changes each time. Only what matters is sent again.
#[test]
fn list_when_changed() {
    let registry = EntryRegistry::default();
    registry.set_list(TERM, vec![listed("u", false, 900)], Tick::from_millis(1_000));
    let first = beat(&registry, "e1", Heartbeat::default(), 1_100).list;
    assert_eq!((first.age_ms, first.whole, first.put.len()), (Some(100), true, 1));
    let known = || Heartbeat {
        list: first.mark.clone(),
        ..Heartbeat::default()
    };
    registry.set_list(TERM, vec![listed("u", false, 0)], Tick::from_millis(2_000));
    let same = beat(&registry, "e1", known(), 2_100).list;
    assert_eq!((&same.mark, same.put.len(), same.complete), (&first.mark, 0, true));
    registry.set_list(TERM, vec![listed("u", true, 0)], Tick::from_millis(3_000));
    let leaving = beat(&registry, "e1", known(), 3_100).list;
    assert!(leaving.mark > first.mark && leaving.put[0].leaving && !leaving.whole);
}

/// Another leader reads the list anew and counts from the beginning. Its numbers must not meet those of the leader before, or
/// entry hosts would keep the old list as if it were this one.
#[test]
fn numbers_of_leaders() {
    let (old, new) = (EntryRegistry::default(), EntryRegistry::default());
    old.set_list(TERM, vec![listed("u", false, 0)], Tick::from_millis(1_000));
    new.set_list(TERM + 1, vec![listed("v", false, 0)], Tick::from_millis(1_000));
    let number = |registry: &EntryRegistry| beat(registry, "e1", Heartbeat::default(), 1_100).list.mark;
    assert!(number(&new) > number(&old));
}

/// A data centre is reclaimed with a notice of 1.1 s. Its engines say so at once, the list 0.8 s later, when callers' streams
/// can no longer be moved. Entry hosts hear of it with the next beat, and the lagging list does not take it back.
#[test]
fn engines_tell_first() {
    let registry = EntryRegistry::default();
    let spot = |id: &str, zone: &str, leaving| Listed {
        zone: Zone::from(zone),
        reclaimable: true,
        ..listed(id, leaving, 0)
    };
    let ready = || vec![spot("u", "z", false), spot("v", "y", false), listed("w", false, 0)];
    let leaving = |now_ms| -> Vec<String> {
        let list = beat(&registry, "e1", Heartbeat::default(), now_ms).list.put;
        let leaving = list.into_iter().filter(|one| one.leaving && one.left.is_some());
        leaving.map(|one| one.id).collect()
    };
    registry.set_list(TERM, ready(), Tick::from_millis(1_000));
    let group = (ServiceName::from("m"), Zone::from("z"));
    registry.record_reclaim(TERM, group, Tick::from_millis(2_100), Tick::from_millis(1_300));
    assert_eq!(leaving(1_310), ["u"]);
    registry.set_list(TERM, ready(), Tick::from_millis(1_500));
    assert_eq!(leaving(1_510), ["u"]);
    // What the list still shows as ready long afterwards is ready: the engines told of something else.
    registry.set_list(TERM, ready(), Tick::from_millis(3_500));
    assert_eq!(leaving(3_510), [""; 0]);
}
