//! The choice between finishing, moving and replaying the streams of hosts that leave.

use std::collections::HashMap;
use std::time::Duration;

use policy::rescue::{MoveRates, Stream, StreamAction, plan};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Copy, Debug)]
struct AnyStream(Stream<u8>);

impl Arbitrary for AnyStream {
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

fn planned(all: &[AnyStream], export: bool) -> (Vec<Stream<u8>>, Vec<(usize, StreamAction)>) {
    let streams: Vec<Stream<u8>> = all.iter().map(|any| any.0).collect();
    let actions = plan(&streams, &rates(export));
    (streams, actions)
}

fn check(property: fn(Vec<AnyStream>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 23))
        .tests(2_000)
        .quickcheck(property);
}

#[test]
fn each_once() {
    fn once(all: Vec<AnyStream>) -> bool {
        let (streams, actions) = planned(&all, true);
        let mut seen: Vec<usize> = actions.iter().map(|(at, _)| *at).collect();
        seen.sort_unstable();
        seen == (0..streams.len()).collect::<Vec<_>>()
    }
    check(once);
}

/// A zone is reclaimed with seconds of notice. If the plan copied more than the links of its hosts can carry, the last
/// copies would be cut off, their streams replayed late, and the time for them lost.
#[test]
fn links_suffice() {
    fn within_link_times(all: Vec<AnyStream>) -> bool {
        let (streams, actions) = planned(&all, true);
        let mut busy: HashMap<u8, Duration> = HashMap::new();
        actions
            .iter()
            .filter(|(_, action)| *action == StreamAction::Export)
            .all(|(at, _)| {
                let stream = &streams[*at];
                let sum = busy.entry(stream.source).or_default();
                *sum += Duration::from_micros(130).mul_f64(stream.tokens as f64);
                *sum <= stream.time_left
            })
    }
    check(within_link_times);
}

/// A stream that is left to finish but does not end before its host is lost.
#[test]
fn finishes_in_time() {
    fn in_time(all: Vec<AnyStream>) -> bool {
        let (streams, actions) = planned(&all, true);
        actions.iter().all(|(at, action)| {
            let stream = &streams[*at];
            let needs = stream.token_interval * stream.remaining as u32;
            *action != StreamAction::Finish || needs <= stream.time_left
        })
    }
    check(in_time);
}

/// The links are too slow for all streams. Those that a replay would make late must be copied first.
#[test]
fn targets_first() {
    fn first(all: Vec<AnyStream>) -> bool {
        let (streams, actions) = planned(&all, true);
        let misses = |at: &usize| Duration::from_micros(250).mul_f64(streams[*at].tokens as f64) > streams[*at].slack;
        let moves = actions.iter().filter(|(_, action)| *action != StreamAction::Finish);
        let order: Vec<bool> = moves.map(|(at, _)| misses(at)).collect();
        order.is_sorted_by(|a, b| a >= b)
    }
    check(first);
}

/// Engines cannot export caches. A planned copy would fail and delay the replay.
#[test]
fn export_off() {
    fn never(all: Vec<AnyStream>) -> bool {
        let (_, actions) = planned(&all, false);
        actions.iter().all(|(_, action)| *action != StreamAction::Export)
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
    let actions = plan(&[stream(500), stream(13_000), stream(20)], &rates(true));
    assert_eq!(
        actions,
        [
            (1, StreamAction::Export),
            (0, StreamAction::Export),
            (2, StreamAction::Replay)
        ]
    );
}
