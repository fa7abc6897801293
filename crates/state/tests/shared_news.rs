//! What entry hosts learn from the leader about upstreams: the list, and observations of other entry hosts.

use std::time::Duration;

use contract::{ListedUpstream, NodeId, ServiceName, Zone};
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, LeaderUpdate, UpstreamObservation};

const TERM: u64 = 3;

fn listed(id: &str, leaving: bool, cold_ms: u64) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        version: String::new(),
        slots: 4,
        leaving,
        reclaimable: false,
        cold: Duration::from_millis(cold_ms),
        left: None,
    }
}

fn heartbeat(registry: &EntryRegistry, from: &str, beat: Heartbeat, now_ms: u64) -> LeaderUpdate {
    let shared = SharedLimits {
        entry_hosts: 2,
        ..SharedLimits::default()
    };
    let from = NodeId::from(from);
    let news = registry.heartbeat(TERM, (&from, beat), &shared, Tick::from_millis(now_ms));
    news.expect("the number of entry hosts was stored by the former leader")
}

fn observed(id: &str, load: Option<(u32, u32, u32)>, backlog_ms: u32) -> Heartbeat {
    Heartbeat {
        signs: vec![UpstreamObservation {
            id: id.to_owned(),
            load,
            backlog_ms,
            overdue_ms: 0,
            ..UpstreamObservation::default()
        }],
        ..Heartbeat::default()
    }
}

/// One entry host sends a prompt that an upstream takes 800 ms to process. Another one, which knows only its own
/// requests, would queue its callers behind it; it must learn what is left of the 800 ms.
#[test]
fn backlog_of_others() {
    let registry = EntryRegistry::default();
    heartbeat(&registry, "e1", observed("u", None, 800), 1_000);
    let news = heartbeat(&registry, "e2", Heartbeat::default(), 1_300);
    assert_eq!((news.signs[0].id.as_str(), news.signs[0].backlog_ms), ("u", 500));
    let own = heartbeat(&registry, "e1", Heartbeat::default(), 1_300);
    assert!(
        own.signs.is_empty(),
        "its own prompts are not reported back: {:?}",
        own.signs
    );
    assert!(heartbeat(&registry, "e2", Heartbeat::default(), 1_900).signs.is_empty());
}

fn overdue(id: &str, overdue_ms: u32) -> Heartbeat {
    Heartbeat {
        signs: vec![UpstreamObservation {
            id: id.to_owned(),
            load: None,
            backlog_ms: 0,
            overdue_ms,
            ..UpstreamObservation::default()
        }],
        ..Heartbeat::default()
    }
}

/// An upstream has stalled, or processes a prompt that nobody reported, and the requests of two entry hosts wait longer
/// than predicted. Without the report every other entry host would find out by a late request of its own. It must learn
/// the longer of the two waits, not their sum, since all requests wait in one queue.
#[test]
fn overdue_reported() {
    let registry = EntryRegistry::default();
    heartbeat(&registry, "e1", overdue("u", 700), 1_000);
    heartbeat(&registry, "e2", overdue("u", 900), 1_100);
    let news = heartbeat(&registry, "e3", Heartbeat::default(), 1_200);
    assert_eq!((news.signs[0].backlog_ms, news.signs[0].overdue_ms), (0, 800));
    assert!(heartbeat(&registry, "e3", Heartbeat::default(), 2_100).signs.is_empty());
}

/// Guards against hosts that each find out by themselves that another incarnation has an upstream's address. The news
/// takes precedence over the loads of busy upstreams, and ends when nobody reports it again.
#[test]
fn replaced_shared() {
    let registry = EntryRegistry::default();
    let busy = (0..200).map(|at| UpstreamObservation {
        id: format!("u{at}"),
        load: Some((9, at, 10)),
        ..UpstreamObservation::default()
    });
    let replaced = UpstreamObservation {
        id: "gone".to_owned(),
        replaced: true,
        ..UpstreamObservation::default()
    };
    let all = Heartbeat {
        signs: busy.chain([replaced]).collect(),
        ..Heartbeat::default()
    };
    heartbeat(&registry, "e1", all, 1_000);
    let told = |now_ms| {
        let signs = heartbeat(&registry, "e2", Heartbeat::default(), now_ms).signs;
        let replaced = signs.into_iter().filter(|observed| observed.replaced);
        replaced.map(|observed| observed.id).collect::<Vec<_>>()
    };
    assert_eq!(told(1_200), ["gone"]);
    assert!(told(2_300).is_empty());
}

/// Two entry hosts observed an upstream's load at different times. The newest observation counts, not the one that was
/// reported last.
#[test]
fn newest_load() {
    let registry = EntryRegistry::default();
    heartbeat(&registry, "e1", observed("u", Some((9, 1, 50)), 0), 1_000);
    heartbeat(&registry, "e2", observed("u", Some((2, 0, 400)), 0), 1_010);
    let news = heartbeat(&registry, "e3", Heartbeat::default(), 1_100);
    assert_eq!(news.signs[0].load, Some((9, 1, 150)));
    assert!(heartbeat(&registry, "e3", Heartbeat::default(), 5_000).signs.is_empty());
}

/// A large deployment has thousands of upstreams. An answer names only the busiest, so that heartbeats stay small.
#[test]
fn busiest_first() {
    let registry = EntryRegistry::default();
    let signs = (0..500).map(|at| UpstreamObservation {
        id: format!("u{at}"),
        load: Some((at, 0, 10)),
        backlog_ms: 0,
        overdue_ms: 0,
        ..UpstreamObservation::default()
    });
    let all = Heartbeat {
        signs: signs.collect(),
        ..Heartbeat::default()
    };
    heartbeat(&registry, "e1", all, 1_000);
    let observations = heartbeat(&registry, "e2", Heartbeat::default(), 1_100).signs;
    assert_eq!((observations.len(), observations[0].id.as_str()), (64, "u499"));
}

/// The list is read every second, and the remaining warm-up times change each time. Only relevant changes are sent
/// again.
#[test]
fn list_changes_only() {
    let registry = EntryRegistry::default();
    registry.set_list(TERM, vec![listed("u", false, 900)], Tick::from_millis(1_000));
    let first = heartbeat(&registry, "e1", Heartbeat::default(), 1_100).list;
    assert_eq!((first.age_ms, first.whole, first.put.len()), (Some(100), true, 1));
    let known = || Heartbeat {
        list: first.mark.clone(),
        ..Heartbeat::default()
    };
    registry.set_list(TERM, vec![listed("u", false, 0)], Tick::from_millis(2_000));
    let same = heartbeat(&registry, "e1", known(), 2_100).list;
    assert_eq!((&same.mark, same.put.len(), same.complete), (&first.mark, 0, true));
    registry.set_list(TERM, vec![listed("u", true, 0)], Tick::from_millis(3_000));
    let leaving = heartbeat(&registry, "e1", known(), 3_100).list;
    assert!(leaving.mark > first.mark && leaving.put[0].leaving && !leaving.whole);
}

/// A new leader reads the list and numbers its changes from the beginning. Its numbers must not overlap with those of
/// the former leader, or entry hosts would keep the old list as if it were the new one.
#[test]
fn leader_change_numbers() {
    let (old, new) = (EntryRegistry::default(), EntryRegistry::default());
    old.set_list(TERM, vec![listed("u", false, 0)], Tick::from_millis(1_000));
    new.set_list(TERM + 1, vec![listed("v", false, 0)], Tick::from_millis(1_000));
    let number = |registry: &EntryRegistry| heartbeat(registry, "e1", Heartbeat::default(), 1_100).list.mark;
    assert!(number(&new) > number(&old));
}

/// The upstreams of a data centre are reclaimed with a notice of 1.1 s. Engines report it at once, the list 0.8 s
/// later, which is too late to migrate streams. Entry hosts must learn it with the next heartbeat, and the lagging list
/// must not undo it.
#[test]
fn early_reclaim_notice() {
    let registry = EntryRegistry::default();
    let spot = |id: &str, zone: &str, leaving| ListedUpstream {
        zone: Zone::from(zone),
        reclaimable: true,
        ..listed(id, leaving, 0)
    };
    let ready = || vec![spot("u", "z", false), spot("v", "y", false), listed("w", false, 0)];
    let leaving = |now_ms| -> Vec<String> {
        let list = heartbeat(&registry, "e1", Heartbeat::default(), now_ms).list.put;
        let leaving = list.into_iter().filter(|one| one.leaving && one.left.is_some());
        leaving.map(|one| one.id).collect()
    };
    registry.set_list(TERM, ready(), Tick::from_millis(1_000));
    let group = (ServiceName::from("m"), Zone::from("z"));
    registry.record_reclaim(TERM, group, Tick::from_millis(2_100), Tick::from_millis(1_300));
    assert_eq!(leaving(1_310), ["u"]);
    registry.set_list(TERM, ready(), Tick::from_millis(1_500));
    assert_eq!(leaving(1_510), ["u"]);
    // An upstream that the list still shows as ready long afterwards is ready: the engines reported something else.
    registry.set_list(TERM, ready(), Tick::from_millis(3_500));
    assert_eq!(leaving(3_510), [""; 0]);
}

/// Guards against a leader that adds up the backlogs of all entry hosts for each heartbeat: with hundreds of hosts that
/// takes all of its processor time.
#[test]
fn many_hosts() {
    const HOSTS: u64 = 390;
    let recorder = metrics_exporter_prometheus::PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        let registry = EntryRegistry::default();
        for host in 0..HOSTS {
            let at_ms = 1_000 + host * 500 / HOSTS;
            let news = heartbeat(&registry, &format!("e{host}"), observed("u", None, 2_000), at_ms);
            let known: u32 = news.signs.iter().map(|sign| sign.backlog_ms).sum();
            // All but the reports of the last 20 ms, each reduced by the time since then.
            let expected = host.saturating_sub(20) * 1_500;
            assert!(u64::from(known) >= expected, "host {host} is told {known} ms");
        }
    });
    let summaries = handle.render();
    let count = summaries
        .lines()
        .find_map(|line| line.strip_prefix("gentian_state_summaries_total "));
    let count: u64 = count
        .and_then(|count| count.parse().ok())
        .expect("the counter is shown");
    assert!(count <= 500 / 20 + 1, "{count} summaries in half a second");
}

/// Guards against hosts that find out one by one that an upstream leaves, and against news that outlast their source.
#[test]
fn leaving_told() {
    let registry = EntryRegistry::default();
    let leaving = Heartbeat {
        signs: vec![UpstreamObservation {
            id: "u".to_owned(),
            leaving: Some(7),
            ..UpstreamObservation::default()
        }],
        ..Heartbeat::default()
    };
    heartbeat(&registry, "e1", leaving, 1_000);
    let news = heartbeat(&registry, "e2", Heartbeat::default(), 1_100);
    assert_eq!(news.signs.len(), 1);
    assert_eq!((news.signs[0].id.as_str(), news.signs[0].leaving), ("u", Some(7)));
    assert!(heartbeat(&registry, "e2", Heartbeat::default(), 4_000).signs.is_empty());
}
