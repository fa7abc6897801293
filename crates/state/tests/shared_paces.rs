//! What entry hosts learn from the leader about the momentary pace of upstreams.

use contract::NodeId;
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, UpstreamObservation};

/// Most observations in an answer when no upstream is gone.
const MAX_TOLD: usize = 64;

/// Returns the observations that a host is told in the answer to its heartbeat.
fn exchange(
    registry: &EntryRegistry,
    from: &str,
    signs: Vec<UpstreamObservation>,
    now_ms: u64,
) -> Vec<UpstreamObservation> {
    let heartbeat = Heartbeat {
        signs,
        ..Heartbeat::default()
    };
    let limits = SharedLimits {
        entry_hosts: 2,
        ..SharedLimits::default()
    };
    let update = registry.heartbeat(3, (&NodeId::from(from), heartbeat), &limits, Tick::from_millis(now_ms));
    update.expect("the number of entry hosts is stored").signs
}

fn paced(id: &str, running: u32, hundredths: u32, age_ms: u32) -> UpstreamObservation {
    UpstreamObservation {
        id: id.to_owned(),
        load: Some((running, 0, age_ms)),
        pace: Some((hundredths, age_ms)),
        ..UpstreamObservation::default()
    }
}

/// Guards against slowed upstreams of which nobody hears because others are busier, and against answers that grow with
/// the number of slowed ones or leave no room for the busiest.
#[test]
fn slowed_told() {
    for slowed in [20, 400] {
        let registry = EntryRegistry::default();
        let pace = |index| if index < slowed { 200 + index } else { 100 };
        let all = (0..500).map(|index| paced(&format!("u{index:03}"), index, pace(index), 10));
        exchange(&registry, "e1", all.collect(), 1_000);
        let told = exchange(&registry, "e2", vec![], 1_100);
        let slow_told = told.iter().filter(|told| told.pace.is_some_and(|pace| pace.0 >= 200));
        let (count, reserved) = (slow_told.count(), slowed.min(32) as usize);
        assert_eq!(told.len(), MAX_TOLD);
        assert!(
            (reserved..=reserved + 1).contains(&count),
            "{count} of {slowed} slowed ones"
        );
        assert!(told.iter().any(|told| told.id == "u499"), "the busiest is told");
        let slowest = format!("u{:03}", slowed - 1);
        assert!(told.iter().any(|told| told.id == slowest), "the slowest is told");
    }
}

/// Guards against an older pace that replaces a newer one because it arrives later, and against an expired one.
#[test]
fn newest_measured() {
    let registry = EntryRegistry::default();
    exchange(&registry, "e1", vec![paced("u", 1, 250, 50)], 1_000);
    exchange(&registry, "e2", vec![paced("u", 1, 100, 400)], 1_010);
    let told = exchange(&registry, "e3", vec![], 1_100);
    assert_eq!(told[0].pace, Some((250, 150)));
    assert!(exchange(&registry, "e3", vec![], 4_000).is_empty());
}

/// Guards against hosts that hear their own pace again and take it for a newer one.
#[test]
fn not_echoed() {
    let registry = EntryRegistry::default();
    let told = exchange(&registry, "e1", vec![paced("u", 1, 250, 10)], 1_000);
    assert!(told.iter().all(|told| told.pace.is_none()), "{told:?}");
    let told = exchange(&registry, "e2", vec![], 1_050);
    assert_eq!(told[0].pace, Some((250, 60)));
}

/// Guards against hosts that avoid an upstream because they do not hear that it is as fast as usual again.
#[test]
fn recovery_told() {
    let registry = EntryRegistry::default();
    let busy = |age_ms| (0..200).map(move |index| paced(&format!("u{index}"), 9, 100, age_ms));
    let all = busy(10).chain([paced("idle", 0, 250, 10)]);
    exchange(&registry, "e1", all.collect(), 1_000);
    let all = busy(10).chain([paced("idle", 0, 100, 10)]);
    exchange(&registry, "e1", all.collect(), 1_300);
    let pace_of_idle = |now_ms| {
        let told = exchange(&registry, "e2", vec![], now_ms);
        let idle = told.into_iter().find(|told| told.id == "idle");
        idle.and_then(|idle| idle.pace)
    };
    assert_eq!(pace_of_idle(1_400), Some((100, 110)));
    assert_eq!(pace_of_idle(2_100), None, "the place is free for busier ones again");
}

/// Guards against paces that are none, and against a time of measurement before the leader's start.
#[test]
fn wrong_paces() {
    let registry = EntryRegistry::default();
    let wrong = [0, 10_001, u32::MAX].map(|hundredths| UpstreamObservation {
        pace: Some((hundredths, 10)),
        load: None,
        ..paced("u", 0, 100, 10)
    });
    exchange(&registry, "e1", wrong.to_vec(), 1_000);
    assert!(exchange(&registry, "e2", vec![], 1_050).is_empty());
    exchange(&registry, "e1", vec![paced("v", 0, 250, u32::MAX)], 1_100);
    let told = exchange(&registry, "e2", vec![], 1_150);
    assert!(told.iter().all(|told| told.id == "v"), "{told:?}");
}
