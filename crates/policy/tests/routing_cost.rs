//! Routing by cost: sessions stay with their cached prefix, candidates are bounded, expired reports do not count.

use std::time::Duration;

use contract::{HostClass, UpstreamId};
use policy::Tick;
use policy::load::{LoadEstimate, LoadReport, PredictedLoad};
use policy::route::{
    Ablation, Candidate, GroupMember, MAX_CANDIDATES, NotChosen, Reason, RequestNeed, Routing, RoutingRules,
    ServiceRates, UpstreamGroup, choose,
};
use quickcheck::{Gen, QuickCheck};

fn candidate(id: &UpstreamId, load: f64, cached: u64) -> Candidate<'_> {
    Candidate {
        id,
        reason: Reason::All,
        class: HostClass::Reclaimable,
        price: 90_000,
        slots: 16,
        local: true,
        reclaims_per_hour: 0.05,
        load: PredictedLoad {
            reported: Some(load),
            own_requests: 0,
            age: Some(Duration::from_millis(100)),
        },
        cached,
        home: true,
        exclusion: None,
    }
}

fn need() -> RequestNeed {
    RequestNeed {
        prompt_tokens: 2_000,
        answer_tokens: 64,
        turn: 0,
    }
}

fn group(count: u32) -> UpstreamGroup {
    let member = |number| GroupMember {
        number,
        id: format!("engine-{number}").into(),
        local: number % 4 == 0,
    };
    UpstreamGroup::new((0..count).map(member).collect())
}

/// A long conversation continues with one more turn. An engine that never saw it would have to prefill all of it; its
/// previous engine is worse only behind a long queue.
#[test]
fn session_affinity() {
    let (home, other) = (UpstreamId::from("home"), UpstreamId::from("other"));
    let rules = RoutingRules::default();
    let rates = ServiceRates::default();
    let busy = [candidate(&home, 12.0, 1_984), candidate(&other, 0.0, 0)];
    assert_eq!(choose(&rules, &busy, &need(), &rates).unwrap().chosen, home);
    let full = [candidate(&home, 60.0, 1_984), candidate(&other, 0.0, 0)];
    let choice = choose(&rules, &full, &need(), &rates).unwrap();
    assert_eq!(choice.chosen, other);
    assert!(matches!(choice.weighed[0].lost, Some(NotChosen::Behind { by }) if by > 0.0));
    assert_eq!(choice.weighed[1].lost, None);
}

/// The hosts of a zone are reclaimed in waves. After the first notice in a zone, a long answer must be started
/// elsewhere even if nothing of it is cached there; without the risk in the cost, it would start on a host that is
/// reclaimed next.
#[test]
fn wave_avoided() {
    let (zone, other) = (UpstreamId::from("zone"), UpstreamId::from("other"));
    let mut candidates = [candidate(&zone, 0.0, 1_984), candidate(&other, 0.0, 1_000)];
    candidates[0].reclaims_per_hour = 60.0;
    let long = RequestNeed {
        answer_tokens: 1_000,
        ..need()
    };
    let rates = ServiceRates::default();
    assert_eq!(
        choose(&RoutingRules::default(), &candidates, &long, &rates)
            .unwrap()
            .chosen,
        other
    );
    let rules = RoutingRules {
        without: vec![Ablation::Risk],
        ..RoutingRules::default()
    };
    assert_eq!(choose(&rules, &candidates, &long, &rates).unwrap().chosen, zone);
}

/// An engine hangs just after it reported that it is idle. If its last report counted for ever, every entry host would
/// go on sending all requests to it.
#[test]
fn expired_report() {
    let mut estimate = LoadEstimate::default();
    estimate.update(LoadReport {
        measured_at: Tick::from_millis(1_000),
        ..LoadReport::default()
    });
    let expiry = Duration::from_secs(3);
    assert_eq!(
        estimate.predict(Tick::from_millis(3_999), expiry, true).reported,
        Some(0.0)
    );
    let expired = estimate.predict(Tick::from_millis(4_000), expiry, true);
    assert_eq!((expired.reported, expired.age), (None, Some(expiry)));
    let (silent, known) = (UpstreamId::from("silent"), UpstreamId::from("known"));
    let mut candidates = [candidate(&silent, 0.0, 0), candidate(&known, 2.0, 0)];
    candidates[0].load = expired;
    let choice = choose(&RoutingRules::default(), &candidates, &need(), &ServiceRates::default()).unwrap();
    assert_eq!(choice.chosen, known);
    assert!(choice.weighed[0].expired);
}

/// Reports arrive late and out of order. Requests sent after the measurement must be added however late the report
/// arrives, and an older report that arrives last must change nothing; otherwise an entry host forgets what it has just
/// sent.
#[test]
fn late_reports() {
    fn holds(sends: Vec<u16>, measured: u16, late: u16) -> bool {
        let mut estimate = LoadEstimate::default();
        let mut sends = sends;
        sends.sort_unstable();
        for at in &sends {
            estimate.sent(Tick::from_millis(u64::from(*at)));
        }
        let report = |at: u16| LoadReport {
            measured_at: Tick::from_millis(u64::from(at)),
            running: sends.iter().filter(|sent| **sent <= at).count() as u32,
            ..LoadReport::default()
        };
        estimate.update(report(measured.max(late)));
        let newer = estimate.update(report(measured.min(late)));
        let predicted = estimate.predict(Tick::from_millis(70_000), Duration::from_secs(100), true);
        !newer && predicted.reported == Some(sends.len() as f64)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(500)
        .quickcheck(holds as fn(Vec<u16>, u16, u16) -> bool);
}

/// The cost of a choice must not grow with the group, so the number of candidates is bounded and none occurs twice.
#[test]
fn bounded_candidates() {
    fn holds(count: u16, lead: u64, turn: u64, holders: Vec<u32>) -> bool {
        let count = u32::from(count % 700) + 1;
        let group = group(count);
        let found = group.propose(&[], Some(lead), &holders, turn);
        let mut positions: Vec<usize> = found.iter().map(|proposed| proposed.index).collect();
        positions.sort_unstable();
        positions.dedup();
        let again = group.propose(&[], Some(lead), &holders, turn);
        positions.len() == found.len()
            && found.len() <= MAX_CANDIDATES
            && (count as usize > MAX_CANDIDATES || found.len() == count as usize)
            && found == again
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 22))
        .tests(200)
        .quickcheck(holds as fn(u16, u64, u64, Vec<u32>) -> bool);
}

/// One engine of many is removed. Only prompts that were hashed to it may move; if all moved, every cached prefix of
/// the model would be computed again at once.
#[test]
fn few_prefixes_move() {
    let before = group(101);
    let after = {
        let members = before.members().iter().filter(|member| member.number != 40);
        UpstreamGroup::new(members.cloned().collect())
    };
    let first = |group: &UpstreamGroup, lead: u64| {
        let found = group.propose(&[], Some(lead), &[], 0);
        let proposed = found.iter().find(|proposed| proposed.reason == Reason::Rendezvous);
        proposed.map(|proposed| group.members()[proposed.index].number)
    };
    for lead in 0..1_000 {
        let (was, is) = (first(&before, lead), first(&after, lead));
        assert!(was == is || was == Some(40), "lead {lead} moved from {was:?} to {is:?}");
    }
}

#[test]
fn baselines_rotate() {
    let group = group(30);
    let ids: Vec<UpstreamId> = group.members().iter().map(|member| member.id.clone()).collect();
    let rules = RoutingRules {
        routing: Routing::RoundRobin,
        ..RoutingRules::default()
    };
    for turn in 0..90 {
        let window = group.rotation(turn);
        let candidates: Vec<Candidate<'_>> = window.iter().map(|p| candidate(&ids[p.index], 0.0, 0)).collect();
        let choice = choose(
            &rules,
            &candidates,
            &RequestNeed { turn, ..need() },
            &ServiceRates::default(),
        )
        .unwrap();
        assert_eq!(choice.chosen, ids[turn as usize % 30], "turn {turn}");
    }
}
