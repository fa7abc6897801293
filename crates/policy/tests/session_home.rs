//! Every entry host sends the turns of a conversation to the same upstream unless the wait there costs more.

use contract::{HostClass, UpstreamId};
use policy::load::PredictedLoad;
use policy::route::{
    Ablation, Candidate, Choice, GroupMember, Reason, RequestNeed, RoutingRules, ServiceRates, UpstreamGroup, choose,
};
use quickcheck::{Gen, QuickCheck};

fn group(numbers: &[u32], near: u32) -> UpstreamGroup {
    let member = |number: &u32| GroupMember {
        number: *number,
        id: format!("engine-{number}").into(),
        local: number % 4 == near,
    };
    UpstreamGroup::new(numbers.iter().map(member).collect())
}

fn pick(loads: &[f64], home: usize, rules: &RoutingRules) -> Choice {
    let ids: Vec<UpstreamId> = (0..loads.len()).map(|at| format!("engine-{at}").into()).collect();
    let candidate = |at: usize| Candidate {
        id: &ids[at],
        reason: Reason::All,
        class: HostClass::OnDemand,
        price: 0,
        slots: 4,
        local: true,
        reclaims_per_hour: 0.0,
        load: PredictedLoad {
            reported: Some(loads[at]),
            ..PredictedLoad::default()
        },
        cached: if at == home { 900 } else { 0 },
        home: at == home,
        exclusion: None,
    };
    let candidates: Vec<Candidate<'_>> = (0..loads.len()).map(candidate).collect();
    let need = RequestNeed {
        prompt_tokens: 1_000,
        answer_tokens: 50,
        turn: 1,
    };
    choose(rules, &candidates, &need, &ServiceRates::default()).unwrap()
}

/// Entry hosts in different data centres number their upstreams in a different order and have different local ones. If
/// they disagreed on the home, each turn that arrives at another host would be prefilled from its start.
#[test]
fn hosts_agree() {
    fn holds(count: u16, key: u64) -> bool {
        let numbers: Vec<u32> = (0..2 + u32::from(count % 400)).collect();
        let reversed: Vec<u32> = numbers.iter().rev().copied().collect();
        let (one, other) = (group(&numbers, 0), group(&reversed, 3));
        let names = |group: &UpstreamGroup| group.homes(key).map(|at| group.members()[at].id.clone());
        let homes = names(&one);
        homes == names(&other) && homes[0] != homes[1]
    }
    let generator = Gen::from_size_and_seed(1_000, 21);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(holds as fn(u16, u64) -> bool);
}

/// Homes that are spread unevenly would overload some upstreams.
#[test]
fn homes_spread() {
    let group = group(&(0..10).collect::<Vec<_>>(), 0);
    let mut counts = [0; 10];
    for key in 0..10_000 {
        counts[group.homes(key)[0]] += 1;
    }
    assert!(counts.iter().all(|count| (800..1_200).contains(count)), "{counts:?}");
}

#[test]
fn home_wins() {
    let rules = RoutingRules::default();
    assert_eq!(pick(&[0.0, 3.0, 0.0], 1, &rules).chosen.as_str(), "engine-1");
}

#[test]
fn full_home() {
    let rules = RoutingRules::default();
    assert_ne!(pick(&[0.0, 30.0, 0.0], 1, &rules).chosen.as_str(), "engine-1");
}

#[test]
fn ablation_name() {
    assert_eq!("home".parse::<Ablation>().unwrap(), Ablation::Home);
}
