//! Places at upstreams that fail when they have to reject more than a few requests in a second.

use std::time::Duration;

use contract::{NodeId, ServiceName};
use policy::Tick;
use policy::slots::{Brittleness, SlotLeases, SlotNeed, may_send_alone};

/// Time at which a leader knows all leases.
const NOW: Tick = Tick::from_millis(10_000);

fn at(ms: u64) -> Tick {
    NOW + Duration::from_millis(ms)
}

fn take(leases: &mut SlotLeases, host: &str, upstream: &str, now: Tick) -> Option<u64> {
    let need = SlotNeed {
        service: &ServiceName::from("till"),
        upstream,
        slots: 8,
        longest: Duration::from_secs(2),
        heard: Some(Duration::ZERO),
    };
    leases.take(&NodeId::from(host), need, now)
}

/// Guards against an upstream that gets more requests at once, from all hosts together, than it runs.
#[test]
fn fewer_than_slots() {
    let mut leases = SlotLeases::default();
    let granted = (0..20).filter_map(|host| take(&mut leases, &format!("e{host}"), "u", NOW));
    assert_eq!(granted.count(), 6);
    assert!(take(&mut leases, "e1", "v", NOW).is_some(), "another upstream has room");
}

/// Guards against places that stay taken after their request, or after a host that is gone.
#[test]
fn places_return() {
    let mut leases = SlotLeases::default();
    let all: Vec<u64> = (0..6).map(|_| take(&mut leases, "e1", "u", NOW).unwrap()).collect();
    assert_eq!(take(&mut leases, "e2", "u", NOW), None);
    leases.release(&NodeId::from("e2"), "u", all[0]);
    assert_eq!(take(&mut leases, "e2", "u", NOW), None, "not its own");
    leases.release(&NodeId::from("e1"), "u", all[0]);
    assert!(take(&mut leases, "e2", "u", NOW).is_some());
    assert!(
        take(&mut leases, "e2", "u", at(2_000)).is_some(),
        "the other leases have ended"
    );
}

/// Guards against a place that is granted again while the upstream still works for a caller who has left.
#[test]
fn abandoned_work() {
    let mut leases = SlotLeases::default();
    let all: Vec<u64> = (0..6).map(|_| take(&mut leases, "e1", "u", NOW).unwrap()).collect();
    leases.abandon(&NodeId::from("e1"), "u", all[0], NOW);
    assert_eq!(take(&mut leases, "e2", "u", at(499)), None);
    assert!(take(&mut leases, "e2", "u", at(500)).is_some());
}

/// Guards against a second rejection within the second in which the first one counts.
#[test]
fn rest_after_rejection() {
    let mut leases = SlotLeases::default();
    take(&mut leases, "e1", "u", NOW);
    leases.record_rejection("u", NOW);
    assert_eq!(take(&mut leases, "e2", "u", at(999)), None);
    assert!(take(&mut leases, "e2", "u", at(1_000)).is_some());
    let mut host = Brittleness::default();
    host.record_rejection("u", NOW);
    assert_eq!(host.resting(at(999)).collect::<Vec<_>>(), ["u"]);
    assert_eq!(host.resting(at(1_000)).count(), 0);
}

/// Guards against a new leader that grants the places which the leader before has granted.
#[test]
fn new_leader() {
    let mut leases = SlotLeases::new(NOW);
    let granted = (0..20).filter(|_| take(&mut leases, "e1", "u", at(500)).is_some());
    assert_eq!(granted.count(), 3);
    assert!(take(&mut leases, "e1", "u", at(1_000)).is_some());
}

/// Guards against places that are asked for after a brittle time has ended, or against one that goes unnoticed.
#[test]
fn brittle_times() {
    let mut host = Brittleness::default();
    assert_eq!(host.record_response(false, NOW), None);
    assert_eq!(host.record_response(true, at(100)), Some(true));
    assert_eq!(host.record_response(true, at(200)), None);
    assert_eq!(host.record_response(false, at(300)), Some(false));
    host.record_news(at(250));
    assert!(!host.is_brittle(at(400)), "older than its own response");
    host.record_news(at(350));
    assert!(host.is_brittle(at(400)));
    assert!(!host.is_brittle(at(20_000)), "nobody has said so for long");
}

/// Guards against hosts that are not told of a brittle service, and against news of one that has recovered.
#[test]
fn news_of_services() {
    let mut leases = SlotLeases::default();
    take(&mut leases, "e1", "u", NOW);
    assert_eq!(
        leases.brittle_services(at(300)),
        [(ServiceName::from("till"), Duration::from_millis(300))]
    );
    // A host that knows it from the leader alone does not keep the news alive.
    let need = SlotNeed {
        service: &ServiceName::from("till"),
        upstream: "u",
        slots: 8,
        longest: Duration::from_secs(2),
        heard: None,
    };
    leases.take(&NodeId::from("e2"), need, at(1_900));
    assert_eq!(leases.brittle_services(at(2_000)), []);
}

/// Guards against hosts that together send more than there is room for while no leader leases places.
#[test]
fn without_leader() {
    let hosts = 56;
    let draws = (0..hosts).map(|host| f64::from(host) / f64::from(hosts));
    let places = draws.filter(|draw| may_send_alone(0, 24, hosts, *draw)).count();
    assert!(places <= 18, "{places} of 24 slots");
    assert!(places >= 17, "{places} of 24 slots");
    assert!(may_send_alone(1, 24, 8, 0.9) && !may_send_alone(2, 24, 8, 0.9));
}
