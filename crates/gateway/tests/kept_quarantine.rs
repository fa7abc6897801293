//! Guards against hosts that send what crashes upstreams again because a new leader has not heard of it yet.

use std::time::Duration;

use contract::{Fingerprint, PartId};
use gateway::quarantine::KnownQuarantine;
use policy::Tick;
use policy::quarantine::rules::Admission;
use wire::quarantine::{QuarantineMark, QuarantineNews, ToldPart};

const ACCOUNT: u64 = 7;
const REQUEST: Fingerprint = Fingerprint {
    account: ACCOUNT,
    content: 1,
};
const PART: PartId = PartId(11);
/// Time for which the tests' quarantine holds, in milliseconds.
const LEFT_MS: u32 = 30_000;

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn empty(term: u64, number: u64) -> QuarantineNews {
    QuarantineNews {
        mark: QuarantineMark { term, number },
        ..QuarantineNews::default()
    }
}

fn told(crashes: u32, closed_ms: u32) -> ToldPart {
    ToldPart {
        part: PART,
        companions: Vec::new(),
        account: None,
        crashes,
        closed_ms,
    }
}

fn full(term: u64, number: u64) -> QuarantineNews {
    QuarantineNews {
        requests: vec![(REQUEST, LEFT_MS)],
        parts: vec![told(5, LEFT_MS)],
        ..empty(term, number)
    }
}

fn known(term: u64, number: u64, now: Tick) -> KnownQuarantine {
    let mut known = KnownQuarantine::default();
    known.apply(full(term, number), now);
    known
}

fn closed(known: &KnownQuarantine, now: Tick) -> (bool, bool) {
    let part = known.admit(&[PART], ACCOUNT, now);
    (
        known.left(&REQUEST, now).is_some(),
        matches!(part, Admission::Closed(_)),
    )
}

/// Soak seed 49113: the new leader answers 0.4 s before the hosts have reported.
#[test]
fn empty_leader() {
    let mut known = known(3, 5, at(1_000));
    known.apply(empty(4, 0), at(7_060));
    assert_eq!(known.mark(), QuarantineMark { term: 4, number: 0 });
    assert_eq!(closed(&known, at(7_060)), (true, true));
    known.apply(empty(4, 1), at(7_400));
    assert_eq!(
        closed(&known, at(7_400)),
        (true, true),
        "one host has reported something else"
    );
}

/// Soak seed 49113: three leaders within four seconds, and none for two of them.
#[test]
fn leaders_in_turn() {
    let mut known = known(3, 5, at(1_000));
    known.apply(empty(4, 0), at(7_060));
    assert_eq!(closed(&known, at(17_000)), (true, true), "nobody leads");
    known.apply(empty(6, 0), at(17_000));
    assert_eq!(
        closed(&known, at(17_010)),
        (true, true),
        "the former leader was not told in time"
    );
}

/// A call that a node still holds from a former term is answered by nothing.
#[test]
fn stale_answer() {
    let mut known = known(4, 5, at(1_000));
    known.apply(empty(4, 0), at(10_000));
    assert_eq!(closed(&known, at(10_000)), (true, true), "numbers of a term only grow");
    known.apply(empty(3, 9), at(10_100));
    assert_eq!(closed(&known, at(10_100)), (true, true), "a term that has ended");
}

/// What a leader takes back is free at once, and so is what a new leader has not been told when hosts have
/// had time to report.
#[test]
fn ended_quarantine() {
    let mut same = known(3, 5, at(1_000));
    same.apply(empty(3, 6), at(1_100));
    assert_eq!(
        closed(&same, at(1_100)),
        (false, false),
        "the leader that told it takes it back"
    );
    let mut other = known(3, 5, at(1_000));
    assert_eq!(other.keeps_for(at(1_000)), None);
    other.apply(empty(4, 0), at(2_000));
    let kept = other.keeps_for(at(2_000)).expect("the former leader's news are kept");
    let complete_at = at(2_000) + kept;
    other.apply(empty(4, 0), complete_at - Duration::from_millis(1));
    assert_eq!(closed(&other, complete_at), (true, true), "hosts may report until then");
    other.apply(empty(4, 0), complete_at);
    assert_eq!(closed(&other, complete_at), (false, false), "no host has reported it");
    assert_eq!(other.admit(&[PART], ACCOUNT, complete_at), Admission::Free);
    assert_eq!(other.keeps_for(complete_at), None);
}

/// Leaders that change for a minute don't prolong a quarantine.
#[test]
fn changing_leaders() {
    let mut known = known(3, 5, at(1_000));
    for term in 4..=30 {
        known.apply(empty(term, 0), at(term * 1_000));
    }
    assert_eq!(closed(&known, at(30_900)), (true, true));
    assert_eq!(
        closed(&known, at(31_000)),
        (false, false),
        "the time that was told has passed"
    );
    known.apply(empty(40, 0), at(95_000));
    assert_eq!(
        known.admit(&[PART], ACCOUNT, at(95_000)),
        Admission::Free,
        "a minute after the pause"
    );
}

/// Nobody leads for long: a rule ends as it would at the leader that told it.
#[test]
fn no_leader() {
    let known = known(3, 5, at(1_000));
    assert_eq!(closed(&known, at(30_900)), (true, true));
    assert_eq!(known.admit(&[PART], ACCOUNT, at(60_000)), Admission::Trial);
    assert_eq!(known.admit(&[PART], ACCOUNT, at(91_000)), Admission::Free);
}

/// The first hosts that report know only some of the crashes, under one account and with one more part.
#[test]
fn stricter_rule() {
    let mut known = known(3, 5, at(1_000));
    let partial = QuarantineNews {
        parts: vec![ToldPart {
            companions: vec![PartId(12)],
            account: Some(1),
            ..told(3, 0)
        }],
        ..empty(4, 1)
    };
    known.apply(partial, at(2_000));
    assert_eq!(
        known.admit(&[PART], ACCOUNT, at(2_000)),
        Admission::Closed(Duration::from_secs(29))
    );
    let mut worse = full(4, 2);
    worse.parts = vec![told(6, 60_000)];
    known.apply(worse, at(2_100));
    assert_eq!(
        known.admit(&[PART], ACCOUNT, at(2_100)),
        Admission::Closed(Duration::from_mins(1))
    );
}
