//! Crashes of upstreams, counted by the parts of the prompts that were about to begin on them.

use std::time::Duration;

use contract::PartId;
use policy::Tick;
use policy::quarantine::parts::{PartHistory, Suspect};
use policy::quarantine::rules::Admission;
use quickcheck::quickcheck;

const SHARED: PartId = PartId(1);
const TOPIC: PartId = PartId(2);
const BAD: PartId = PartId(9);
const ACCOUNT: u64 = 7;

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// Records that an upstream crashed at a time under a request that was sent 50 ms before.
fn crash(history: &mut PartHistory, parts: &[PartId], upstream: u64, ms: u64) {
    crash_of(history, parts, upstream, ms, ACCOUNT);
}

fn crash_of(history: &mut PartHistory, parts: &[PartId], upstream: u64, ms: u64, account: u64) {
    let suspect = Suspect {
        parts,
        account,
        upstream,
        sent_at: at(ms.saturating_sub(50)),
        at: at(ms),
    };
    history.record(&suspect, at(ms));
}

fn is_free(history: &PartHistory, parts: &[PartId], ms: u64) -> bool {
    history.admit(parts, ACCOUNT, at(ms)) == Admission::Free
}

/// Guards against a part that crashes one upstream after the other in requests that share nothing else.
#[test]
fn one_part() {
    let mut history = PartHistory::default();
    for upstream in 0..5 {
        let others = PartId(100 + upstream);
        crash(&mut history, &[others, BAD], upstream, 100 * (upstream + 1));
        assert!(is_free(&history, &[others], 500 + upstream), "part {others} is refused");
    }
    let left = history.admit(&[SHARED, BAD], ACCOUNT, at(600));
    assert!(
        matches!(left, Admission::Closed(left) if left > Duration::from_secs(20)),
        "{left:?}"
    );
}

/// Guards against a sound part that is refused because all bad requests have it too.
#[test]
fn sound_companion() {
    let mut history = PartHistory::default();
    for upstream in 0..6 {
        crash(&mut history, &[SHARED, TOPIC, BAD], upstream, 100 * (upstream + 1));
    }
    assert!(is_free(&history, &[SHARED, TOPIC], 700));
    assert!(!is_free(&history, &[SHARED, TOPIC, BAD], 700));
    history.clear(SHARED, at(400));
    history.clear(TOPIC, at(400));
    assert!(!is_free(&history, &[BAD], 700), "the part without its companions");
    assert!(is_free(&history, &[SHARED, TOPIC], 700));
}

/// Guards against a popular part that is refused because it waits at each upstream that a bad one crashes.
#[test]
fn popular_part() {
    let mut history = PartHistory::default();
    for upstream in 0..20 {
        let now = 300 * (upstream + 1);
        crash(&mut history, &[SHARED, BAD], upstream, now);
        crash(&mut history, &[SHARED], upstream, now);
        history.clear(SHARED, at(now + 150));
        assert!(is_free(&history, &[SHARED], now + 150), "after crash {upstream}");
    }
    assert!(!is_free(&history, &[SHARED, BAD], 7_000));
}

/// Guards against parts that are refused because a rack with many upstreams is lost.
#[test]
fn lost_rack() {
    let mut history = PartHistory::default();
    for upstream in 0..40 {
        crash(&mut history, &[SHARED, TOPIC], upstream, 1_000 + upstream);
    }
    assert!(is_free(&history, &[SHARED, TOPIC], 1_100));
}

/// Guards against hosts that all try a suspected part at the same time.
#[test]
fn one_trial() {
    let mut history = PartHistory::default();
    for upstream in 0..3 {
        crash(&mut history, &[BAD], upstream, 100 * (upstream + 1));
    }
    assert_eq!(history.start_trial(&[BAD], ACCOUNT, at(400)), Ok(()));
    assert!(history.start_trial(&[SHARED, BAD], ACCOUNT, at(401)).is_err());
    crash(&mut history, &[BAD], 4, 500);
    assert!(history.start_trial(&[BAD], ACCOUNT, at(600)).is_err(), "no pause");
    assert_eq!(history.start_trial(&[BAD], ACCOUNT, at(1_600)), Ok(()));
    history.clear(BAD, at(1_700));
    assert!(history.is_empty());
}

/// Guards against a part that is tried again at short intervals for as long as callers ask for it.
#[test]
fn rare_trials() {
    let mut history = PartHistory::default();
    let mut crashes = Vec::new();
    for ms in (0..120_000).step_by(100) {
        if history.start_trial(&[BAD], ACCOUNT, at(ms)).is_ok() {
            crash(&mut history, &[BAD], ms, ms + 60);
            crashes.push(ms);
        }
    }
    let later = crashes.iter().filter(|ms| **ms > crashes[4] + 3_000);
    assert!((1..=3).contains(&later.count()), "tried at {crashes:?}");
}

/// Guards against an account that can have a part of another one's prompts refused.
#[test]
fn other_account() {
    let mut history = PartHistory::default();
    for upstream in 0..6 {
        crash(&mut history, &[BAD], upstream, 100 * (upstream + 1));
    }
    let other = |history: &PartHistory| history.admit(&[BAD], ACCOUNT + 1, at(800));
    assert_eq!(other(&history), Admission::Free);
    crash_of(&mut history, &[BAD], 6, 700, ACCOUNT + 1);
    assert_ne!(other(&history), Admission::Free);
}

/// Guards against crashes that are forgotten, or count twice, as hosts report them to a new leader in any order.
#[test]
fn told_in_any_order() {
    fn prop(order: Vec<u8>) -> bool {
        let mut history = PartHistory::default();
        let told = order.iter().map(|upstream| u64::from(upstream % 5)).chain((0..5).rev());
        for upstream in told {
            let suspect = Suspect {
                parts: &[BAD],
                account: ACCOUNT,
                upstream,
                sent_at: at(100 * upstream),
                at: at(100 * upstream + 60),
            };
            history.record(&suspect, at(1_000));
        }
        history.rules(at(1_000)).next().is_some_and(|rule| rule.crashes == 5)
    }
    quickcheck(prop as fn(Vec<u8>) -> bool);
}

/// Guards against a bad part that counts as sound because a request with it began before it turned bad.
#[test]
fn began_before() {
    let mut history = PartHistory::default();
    for upstream in 0..4 {
        crash(&mut history, &[BAD], upstream, 1_000 + 100 * upstream);
    }
    assert!(!history.clear(BAD, at(1_050)));
    assert!(!is_free(&history, &[BAD], 1_400));
}

/// Guards against memory that grows with the number of parts, and parts that are refused long after the last crash.
#[test]
fn many_parts() {
    let mut history = PartHistory::default();
    for upstream in 0..20_000 {
        crash(&mut history, &[PartId(upstream)], upstream, 100);
    }
    let mut later = PartHistory::default();
    for upstream in 0..4 {
        crash(&mut later, &[BAD], upstream, 100 * (upstream + 1));
    }
    assert!(!is_free(&later, &[BAD], 60_000));
    assert!(is_free(&later, &[BAD], 62_000));
    history.drop_expired(at(70_000));
    assert!(history.is_empty());
}

/// Guards against sound parts that are refused for long because a request with a bad part was tried before sound ones.
#[test]
fn sound_first() {
    let mut history = PartHistory::default();
    for upstream in 0..3 {
        crash(&mut history, &[SHARED, BAD], upstream, 100 * (upstream + 1));
        crash(&mut history, &[SHARED], upstream, 100 * (upstream + 1));
    }
    assert!(history.start_trial(&[SHARED, BAD], ACCOUNT, at(310)).is_err());
    assert_eq!(history.start_trial(&[SHARED], ACCOUNT, at(320)), Ok(()));
    history.clear(SHARED, at(500));
    assert!(is_free(&history, &[SHARED], 500));
    assert_eq!(history.start_trial(&[SHARED, BAD], ACCOUNT, at(510)), Ok(()));
}

/// Guards against a sound part that is closed for long because it was in the requests of two bad parts, and so met more
/// crashes than each of them.
#[test]
fn between_bad_parts() {
    let mut history = PartHistory::default();
    for upstream in 0..6 {
        let bad = if upstream % 2 == 0 { BAD } else { TOPIC };
        crash(&mut history, &[SHARED, bad], upstream, 100 * (upstream + 1));
    }
    crash(&mut history, &[SHARED], 5, 600);
    let left = history.admit(&[SHARED], ACCOUNT, at(610));
    assert!(
        matches!(left, Admission::Closed(left) if left <= Duration::from_secs(1)),
        "{left:?}"
    );
}
