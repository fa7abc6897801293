//! The choice between finishing, moving and replaying the streams of hosts that leave.

use std::collections::HashMap;
use std::time::Duration;

use policy::rescue::{MoveRates, Stream, StreamAction, plan};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Copy, Debug)]
struct Any(Stream<u8>);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut up_to = |most: u64| u64::arbitrary(g) % most;
        Self(Stream {
            source: up_to(4) as u8,
            time_left: Duration::from_millis(up_to(20_000)),
            tokens: up_to(20_000),
            remaining: up_to(2_000),
            token_interval: Duration::from_millis(up_to(100)),
            slack: Duration::from_millis(up_to(5_000)),
            failed_copies: up_to(4) as u32,
        })
    }
}

fn rates(export: bool) -> MoveRates {
    MoveRates {
        export: export.then_some(Duration::from_micros(130)),
        prefill: Duration::from_micros(250),
    }
}

fn planned(all: &[Any], export: bool) -> (Vec<Stream<u8>>, Vec<(usize, StreamAction)>) {
    let streams: Vec<Stream<u8>> = all.iter().map(|any| any.0).collect();
    let steps = plan(&streams, &rates(export));
    (streams, steps)
}

fn check(property: fn(Vec<Any>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 23))
        .tests(2_000)
        .quickcheck(property);
}

#[test]
fn each_once() {
    fn once(all: Vec<Any>) -> bool {
        let (streams, steps) = planned(&all, true);
        let mut seen: Vec<usize> = steps.iter().map(|(at, _)| *at).collect();
        seen.sort_unstable();
        seen == (0..streams.len()).collect::<Vec<_>>()
    }
    check(once);
}

/// A zone is reclaimed with seconds of notice. If the plan copied more than the links of its hosts can carry, the last
/// copies would be cut off, their streams replayed late, and the time for them lost.
#[test]
fn links_suffice() {
    fn fits(all: Vec<Any>) -> bool {
        let (streams, steps) = planned(&all, true);
        let mut busy: HashMap<u8, Duration> = HashMap::new();
        steps
            .iter()
            .filter(|(_, how)| *how == StreamAction::Export)
            .all(|(at, _)| {
                let stream = &streams[*at];
                let sum = busy.entry(stream.source).or_default();
                *sum += Duration::from_micros(130).mul_f64(stream.tokens as f64);
                *sum <= stream.time_left
            })
    }
    check(fits);
}

#[test]
fn finishes_in_time() {
    fn in_time(all: Vec<Any>) -> bool {
        let (streams, steps) = planned(&all, true);
        steps.iter().all(|(at, how)| {
            let stream = &streams[*at];
            let needs = stream.token_interval * stream.remaining as u32;
            *how != StreamAction::Finish || needs <= stream.time_left
        })
    }
    check(in_time);
}

#[test]
fn targets_first() {
    fn first(all: Vec<Any>) -> bool {
        let (streams, steps) = planned(&all, true);
        let misses = |at: &usize| Duration::from_micros(250).mul_f64(streams[*at].tokens as f64) > streams[*at].slack;
        let moves = steps.iter().filter(|(_, how)| *how != StreamAction::Finish);
        let order: Vec<bool> = moves.map(|(at, _)| misses(at)).collect();
        order.is_sorted_by(|a, b| a >= b)
    }
    check(first);
}

#[test]
fn export_off() {
    fn never(all: Vec<Any>) -> bool {
        let (_, steps) = planned(&all, false);
        steps.iter().all(|(_, how)| *how != StreamAction::Export)
    }
    check(never);
}

#[test]
fn long_before_short() {
    let stream = |tokens| Stream {
        source: 0,
        time_left: Duration::from_secs(2),
        tokens,
        remaining: 1_000,
        token_interval: Duration::from_millis(50),
        slack: Duration::from_mins(1),
        failed_copies: 0,
    };
    let steps = plan(&[stream(500), stream(13_000), stream(20)], &rates(true));
    assert_eq!(
        steps,
        [
            (1, StreamAction::Export),
            (0, StreamAction::Export),
            (2, StreamAction::Replay)
        ]
    );
}
