//! Choice of an upstream among 40, 400 and 3,300 replicas.
#![expect(
    missing_docs,
    reason = "the macro of the library makes a public function without documentation"
)]

use std::hint::black_box;
use std::time::Duration;

use contract::{HostClass, UpstreamId};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::Tick;
use policy::load::{LoadEstimate, LoadReport};
use policy::prefix::{Prefix, PrefixIndex};
use policy::route::{Candidate, GroupMember, RequestNeed, RoutingRules, ServiceRates, UpstreamGroup, choose};

const EXPIRY: Duration = Duration::from_secs(3);

struct Fleet {
    ids: Vec<UpstreamId>,
    group: UpstreamGroup,
    loads: Vec<LoadEstimate>,
    index: PrefixIndex,
}

fn prompt(seed: usize, words: usize) -> Prefix {
    let words: Vec<String> = (0..words).map(|at| format!("w{}", seed * 10_000 + at)).collect();
    Prefix::of(words.iter().map(String::as_str))
}

fn fleet(count: u32) -> Fleet {
    let ids: Vec<UpstreamId> = (0..count).map(|number| format!("engine-{number}").into()).collect();
    let member = |number: u32| GroupMember {
        number,
        id: ids[number as usize].clone(),
        local: number.is_multiple_of(8),
    };
    let group = UpstreamGroup::new((0..count).map(member).collect());
    let mut index = PrefixIndex::new(256 * 1024);
    for seed in 0..2_000 {
        index.store(
            &prompt(seed, 1_600),
            seed as u32 % count,
            Tick::from_millis(seed as u64),
        );
    }
    let load = |number: u32| {
        let mut load = LoadEstimate::default();
        load.update(LoadReport {
            measured_at: Tick::from_millis(2_000),
            running: number % 16,
            ..LoadReport::default()
        });
        (0..8).for_each(|at| load.sent(Tick::from_millis(1_996 + at)));
        load
    };
    let loads = (0..count).map(load).collect();
    Fleet {
        ids,
        group,
        loads,
        index,
    }
}

fn candidate(fleet: &Fleet, at: usize, cached: u64, reason: policy::route::Reason) -> Candidate<'_> {
    Candidate {
        id: &fleet.ids[at],
        reason,
        class: HostClass::Reclaimable,
        price: 90_000,
        slots: 16,
        local: fleet.group.members()[at].local,
        reclaims_per_hour: 0.05,
        load: fleet.loads[at].predict(Tick::from_millis(2_500), EXPIRY, true),
        cached,
        home: true,
        exclusion: None,
    }
}

fn pick(fleet: &Fleet, prefix: &Prefix, turn: u64) -> Option<UpstreamId> {
    let holders: Vec<u32> = fleet
        .index
        .holders(prefix)
        .iter()
        .map(|holder| holder.upstream)
        .collect();
    let proposed = fleet.group.propose(
        &fleet.group.homes(prefix.leading_hash()),
        Some(prefix.leading_hash()),
        &holders,
        turn,
    );
    let numbers: Vec<u32> = proposed.iter().map(|p| fleet.group.members()[p.index].number).collect();
    let cached = fleet.index.cached_words(prefix, &numbers);
    let rows = proposed.iter().zip(cached);
    let candidates: Vec<Candidate<'_>> = rows
        .map(|(p, cached)| candidate(fleet, p.index, cached, p.reason))
        .collect();
    let need = RequestNeed {
        prompt_tokens: prefix.words(),
        answer_tokens: 200,
        turn,
    };
    let choice = choose(&RoutingRules::default(), &candidates, &need, &ServiceRates::default())?;
    Some(choice.chosen)
}

fn benches(c: &mut Criterion) {
    let mut one = c.benchmark_group("choice");
    for count in [40, 400, 3_300] {
        let fleet = fleet(count);
        let prefixes: Vec<Prefix> = (0..64).map(|seed| prompt(seed * 31, 1_600)).collect();
        let mut turn = 0;
        one.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                turn += 1;
                black_box(pick(&fleet, &prefixes[turn as usize % prefixes.len()], turn))
            });
        });
    }
    one.finish();
    let mut index = c.benchmark_group("index");
    index.sample_size(10);
    for count in [40, 400, 3_300] {
        let members = fleet(count).group.members().to_vec();
        index.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| black_box(UpstreamGroup::new(members.clone())));
        });
    }
    index.finish();
    c.bench_function("hash prompt of 1600 words", |b| {
        let words: Vec<String> = (0..1_600).map(|at| format!("w{at}")).collect();
        b.iter(|| black_box(Prefix::of(words.iter().map(String::as_str))));
    });
}

criterion_group!(choice, benches);
criterion_main!(choice);
