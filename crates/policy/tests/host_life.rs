//! Host events arrive in any order, late and twice; none of them brings work back to a host that leaves.

use std::time::Duration;

use contract::HostId;
use policy::Tick;
use policy::life::{AnyHostState, HostEvent, HostStates};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct TimedEvent {
    host: u8,
    incarnation: u64,
    kind: HostEvent,
    after_ms: u64,
}

impl Arbitrary for TimedEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let left = u64::arbitrary(g) % 60_000;
        let kinds = [
            HostEvent::Leaves { left: None },
            HostEvent::Leaves {
                left: Some(Duration::from_millis(left)),
            },
            HostEvent::Gone,
            HostEvent::Refused,
            HostEvent::Answered,
            HostEvent::Answered,
        ];
        Self {
            host: u8::arbitrary(g) % 3,
            incarnation: u64::arbitrary(g) % 3,
            kind: *g.choose(&kinds).expect("kinds"),
            after_ms: u64::arbitrary(g) % 5_000,
        }
    }
}

fn name(host: u8) -> HostId {
    HostId::from(format!("host-{host}"))
}

fn tells_end(kind: HostEvent) -> bool {
    matches!(kind, HostEvent::Leaves { .. } | HostEvent::Gone)
}

fn check(property: fn(Vec<TimedEvent>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(3_000)
        .quickcheck(property);
}

/// A reclaim notice, the delayed list and an operator all tell of the same host, and the list still shows it as serving
/// for a while. From the first notice on, no new work may go there whatever arrives later; otherwise requests are lost
/// with the host.
#[test]
fn never_serves_again() {
    fn holds(all: Vec<TimedEvent>) -> bool {
        let mut states = HostStates::default();
        let mut now = Tick::default();
        let mut ended_hosts = Vec::new();
        for event in all {
            now = now + Duration::from_millis(event.after_ms);
            states.apply_event(&name(event.host), event.incarnation, event.kind, now);
            if tells_end(event.kind) {
                ended_hosts.push((event.host, event.incarnation));
            }
            if ended_hosts
                .iter()
                .any(|(host, which)| states.accepts_work(&name(*host), *which))
            {
                return false;
            }
        }
        true
    }
    check(holds);
}

/// Events arrive twice, for example from the capacity service and from the cloud. The second one must change nothing.
#[test]
fn doubled_events() {
    fn same(all: Vec<TimedEvent>) -> bool {
        let (mut once, mut twice) = (HostStates::default(), HostStates::default());
        for event in &all {
            let now = Tick::default();
            once.apply_event(&name(event.host), event.incarnation, event.kind, now);
            twice.apply_event(&name(event.host), event.incarnation, event.kind, now);
            twice.apply_event(&name(event.host), event.incarnation, event.kind, now);
        }
        (0..3).all(|host| (0..3).all(|which| once.state(&name(host), which) == twice.state(&name(host), which)))
    }
    check(same);
}

/// A host is reclaimed and another one starts under its name. Late events of the first must not keep work from the
/// second.
#[test]
fn new_incarnation() {
    fn fresh(all: Vec<TimedEvent>) -> bool {
        let mut states = HostStates::default();
        let last = |host| {
            all.iter()
                .filter(|event| event.host == host)
                .map(|event| event.incarnation)
                .max()
        };
        for event in &all {
            states.apply_event(&name(event.host), event.incarnation, event.kind, Tick::default());
        }
        (0..3).all(|host| states.accepts_work(&name(host), last(host).map_or(0, |last| last + 1)))
    }
    check(fresh);
}

#[test]
fn earliest_end() {
    let mut states = HostStates::default();
    let now = Tick::from_millis(1_000);
    let host = name(0);
    for left in [30_000, 5_000, 20_000] {
        let left = Some(Duration::from_millis(left));
        states.apply_event(&host, 0, HostEvent::Leaves { left }, now);
    }
    let AnyHostState::Leaving(state) = states.state(&host, 0) else {
        panic!("not leaving");
    };
    assert_eq!(state.gone_at(), Some(Tick::from_millis(6_000)));
}

/// A host refuses connections without any notice. No new work may go there until it answers again.
#[test]
fn refused_host() {
    let mut states = HostStates::default();
    let host = name(0);
    states.apply_event(&host, 4, HostEvent::Refused, Tick::default());
    assert!(!states.accepts_work(&host, 4));
    states.apply_event(&host, 4, HostEvent::Answered, Tick::default());
    assert!(states.accepts_work(&host, 4));
}
