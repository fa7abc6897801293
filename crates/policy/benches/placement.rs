//! Choice of an upstream among 4 and 140 candidates, for calls without a prompt and for prompts with weighted homes.
#![expect(
    missing_docs,
    reason = "the macro of the library makes a public function without documentation"
)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::home_speed::SpeedStep;
use policy::homes::assume_home_cached;
use policy::pace::EngineRates;
use policy::place::{Candidate, PromptNeed, choose};
use policy::spread::choose_spread;

/// Returns a candidate; `prompt` is the hash of its shared part.
fn candidate(index: usize, prompt: u64) -> Candidate {
    let hash = (index as u64 ^ prompt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let step = SpeedStep::new([-1, -1, 2][index % 3]);
    Candidate {
        index,
        load: (index % 11) as f64,
        slots: 12.0,
        cached: 0,
        sent: 0,
        weight: step.weigh(hash),
        local: index.is_multiple_of(4),
        backlog_ms: (index % 7) as f64,
        doubt_ms: 0.0,
        rates: EngineRates::default().scaled([0.7, 0.7, 1.7][index % 3]),
    }
}

fn benches(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement");
    for count in [4, 140] {
        let mut turn = 0_u64;
        group.bench_function(BenchmarkId::new("call", count), |b| {
            b.iter(|| {
                turn += 1;
                let candidates: Vec<Candidate> = (0..count).map(|index| candidate(index, turn)).collect();
                black_box(choose_spread(&candidates, 67, (turn % 101) as f64 / 101.0))
            });
        });
        let need = PromptNeed {
            tokens: 2_000,
            max_pause_ms: 400.0,
        };
        group.bench_function(BenchmarkId::new("prompt", count), |b| {
            b.iter(|| {
                turn += 1;
                let mut candidates: Vec<Candidate> = (0..count).map(|index| candidate(index, turn)).collect();
                assume_home_cached(&mut candidates, 1_200, |_| 0.9);
                black_box(choose(&candidates, need, 100.0))
            });
        });
    }
    group.finish();
}

criterion_group!(placement, benches);
criterion_main!(placement);
