//! A claimed call is granted once, and its outcome answers every resend.

use quickcheck::{Gen, QuickCheck};
use state::applied::{AppliedState, CLAIM_RETENTION_MS, Command, LogEntry, Reply};
use wire::state::{Claim, Claimed, Outcome, Settle, Settled};

fn claim(request: &str, digest: &str) -> LogEntry {
    let ask = Claim {
        group: 0,
        customer: "tan-seng-huat".into(),
        key: "deposit-1".to_owned(),
        digest: digest.to_owned(),
        request: request.into(),
        hold_ms: 1_000,
    };
    LogEntry {
        at_ms: 1,
        wall_ms: 0,
        command: Command::Claim(ask),
    }
}

fn settle(request: &str, outcome: Outcome) -> LogEntry {
    let ask = Settle {
        group: 0,
        customer: "tan-seng-huat".into(),
        key: "deposit-1".to_owned(),
        request: request.into(),
        outcome,
    };
    LogEntry {
        at_ms: 2,
        wall_ms: 0,
        command: Command::Settle(ask),
    }
}

#[test]
fn resend_answered() {
    let mut applied = AppliedState::default();
    let answer = Outcome::Answered {
        status: 201,
        media: "text/plain".to_owned(),
        body: b"booked".to_vec(),
    };
    assert_eq!(applied.apply(&claim("r1", "d")), Reply::Claimed(Claimed::Granted));
    assert_eq!(
        applied.apply(&claim("r2", "d")),
        Reply::Claimed(Claimed::Running("r1".into()))
    );
    assert_eq!(
        applied.apply(&settle("r1", answer.clone())),
        Reply::Settled(Settled::Stored)
    );
    assert_eq!(applied.apply(&claim("r2", "d")), Reply::Claimed(Claimed::Done(answer)));
    assert_eq!(applied.apply(&claim("r3", "other")), Reply::Claimed(Claimed::Mismatch));
}

#[test]
fn free_again() {
    let mut applied = AppliedState::default();
    applied.apply(&claim("r1", "d"));
    assert_eq!(
        applied.apply(&settle("r1", Outcome::NotRun)),
        Reply::Settled(Settled::Stored)
    );
    assert_eq!(applied.apply(&claim("r2", "d")), Reply::Claimed(Claimed::Granted));
}

fn at(at_ms: u64, entry: LogEntry) -> LogEntry {
    LogEntry { at_ms, ..entry }
}

fn claimed(applied: &mut AppliedState, at_ms: u64, request: &str) -> Claimed {
    match applied.apply(&at(at_ms, claim(request, "d"))) {
        Reply::Claimed(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// The host that holds a claim is frozen or dead. After its time the caller's next try is told that the end is unknown;
/// if the key were granted again, the frozen host could wake up and send as well, and the customer would pay twice.
#[test]
fn overdue_holder() {
    let mut applied = AppliedState::default();
    assert_eq!(claimed(&mut applied, 1, "r1"), Claimed::Granted);
    assert_eq!(claimed(&mut applied, 1_001, "r2"), Claimed::Running("r1".into()));
    assert_eq!(claimed(&mut applied, 1_002, "r2"), Claimed::Done(Outcome::Unknown));
    assert_eq!(claimed(&mut applied, 1_003, "r1"), Claimed::Done(Outcome::Unknown));
    // Giving it back is too late now: the caller of the second request was told that it may have run.
    applied.apply(&at(1_004, settle("r1", Outcome::NotRun)));
    assert_eq!(claimed(&mut applied, 1_005, "r3"), Claimed::Done(Outcome::Unknown));
}

/// A host gives up on a claim whose answer it never got, and its question arrives only afterwards. If that were granted,
/// the key would be held by nobody, and the caller, who was told that nothing was run, could never run it.
#[test]
fn late_question() {
    let mut applied = AppliedState::default();
    applied.apply(&at(1, settle("r1", Outcome::NotRun)));
    assert_eq!(claimed(&mut applied, 2, "r1"), Claimed::Done(Outcome::NotRun));
    assert_eq!(claimed(&mut applied, 3, "r2"), Claimed::Granted);
    assert_eq!(claimed(&mut applied, 4, "r1"), Claimed::Running("r2".into()));
}

#[test]
fn told_by_service() {
    let mut applied = AppliedState::default();
    let answer = Outcome::Answered {
        status: 200,
        media: "text/plain".to_owned(),
        body: Vec::new(),
    };
    claimed(&mut applied, 1, "r1");
    applied.apply(&at(2, settle("r1", Outcome::Unknown)));
    assert_eq!(
        applied.apply(&at(3, settle("r2", Outcome::NotRun))),
        Reply::Settled(Settled::NotHeld)
    );
    assert_eq!(
        applied.apply(&at(3, settle("r2", answer.clone()))),
        Reply::Settled(Settled::Stored)
    );
    assert_eq!(claimed(&mut applied, 4, "r3"), Claimed::Done(answer));
}

#[test]
fn kept_for_retention() {
    let mut applied = AppliedState::default();
    claimed(&mut applied, 1, "r1");
    assert_eq!(
        claimed(&mut applied, CLAIM_RETENTION_MS, "r2"),
        Claimed::Done(Outcome::Unknown)
    );
    assert_eq!(claimed(&mut applied, CLAIM_RETENTION_MS + 2, "r3"), Claimed::Granted);
    assert_eq!(applied.claim_count(), 1);
}

/// Several requests under one key claim, send, give back and settle in any order, with copies of old questions in
/// between. However it goes, two requests never both send.
#[test]
fn one_sender() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut applied = AppliedState::default();
        let mut now = 0;
        let mut granted = [false; 4];
        let mut sent = Vec::new();
        for (who, what, wait) in steps {
            let who = usize::from(who % 4);
            let request = format!("r{who}");
            now += u64::from(wait) * 10;
            match what % 4 {
                0 | 1 => {
                    let answer = claimed(&mut applied, now, &request);
                    // A holder that has given its claim back or has sent takes no further grant for its own.
                    granted[who] |= answer == Claimed::Granted;
                }
                2 if granted[who] && !sent.contains(&who) => sent.push(who),
                3 if !sent.contains(&who) => {
                    granted[who] = false;
                    applied.apply(&at(now, settle(&request, Outcome::NotRun)));
                }
                _ => {}
            }
        }
        sent.len() <= 1
    }
    let random = Gen::from_size_and_seed(60, 11);
    QuickCheck::new()
        .rng(random)
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
