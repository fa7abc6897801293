//! Reading and recording the momentary paces of 140 upstreams.
#![expect(
    missing_docs,
    reason = "the macro of the library makes a public function without documentation"
)]

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use policy::Tick;
use policy::pace::moment::{Figure, MomentPace, Pace, PaceTrust};

const UPSTREAMS: u64 = 140;

fn figure(index: u64, ms: u64) -> Figure {
    let hundredths = if (index + ms / 600).is_multiple_of(7) {
        250.0
    } else {
        100.0
    };
    Figure {
        pace: Pace::from_hundredths(hundredths).expect("the figure is a pace"),
        at: Tick::from_millis(ms),
    }
}

fn paces(criterion: &mut Criterion) {
    let mut trust = PaceTrust::default();
    let mut moments = vec![MomentPace::default(); UPSTREAMS as usize];
    let mut ms = 0;
    let mut record = |trust: &mut PaceTrust, moments: &mut [MomentPace]| {
        ms += 100;
        for (index, moment) in (0..).zip(moments) {
            moment.record_own(figure(index, ms), trust);
        }
        ms
    };
    let now = Tick::from_millis(record(&mut trust, &mut moments) + 50);
    criterion.bench_function("record 140 paces", |bench| {
        bench.iter(|| record(black_box(&mut trust), &mut moments));
    });
    criterion.bench_function("read 140 paces", |bench| {
        bench.iter(|| -> f64 {
            let expected = moments.iter().map(|moment| trust.expected(black_box(moment), now));
            expected.map(|expected| expected.factor).sum()
        });
    });
}

criterion_group!(benches, paces);
criterion_main!(benches);
