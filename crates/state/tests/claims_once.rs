//! A claim of a call is granted once, and its outcome answers every retry.

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

/// A caller retries a deposit, with the same body or another one. Granting the second claim would book it twice.
#[test]
fn retry_answered() {
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

/// A holder gives its claim back without having sent the call. If the key stayed taken, the call could never be run.
#[test]
fn returned_claim() {
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

/// The entry host that holds a claim is paused or dead. After its hold time the caller's next try must learn that the
/// outcome is unknown: if the key were granted again, the paused host could resume and send the call too, and the
/// customer would pay twice.
#[test]
fn overdue_holder() {
    let mut applied = AppliedState::default();
    assert_eq!(claimed(&mut applied, 1, "r1"), Claimed::Granted);
    assert_eq!(claimed(&mut applied, 1_001, "r2"), Claimed::Running("r1".into()));
    assert_eq!(claimed(&mut applied, 1_002, "r2"), Claimed::Done(Outcome::Unknown));
    assert_eq!(claimed(&mut applied, 1_003, "r1"), Claimed::Done(Outcome::Unknown));
    // Giving the claim back is too late now: the caller of the second request was told that the call may have run.
    applied.apply(&at(1_004, settle("r1", Outcome::NotRun)));
    assert_eq!(claimed(&mut applied, 1_005, "r3"), Claimed::Done(Outcome::Unknown));
}

/// An entry host gives back a claim that it never got an answer to, and the claim itself arrives only afterwards. If it
/// were granted, nobody would hold the key, and the caller, who was told that nothing was run, could never run the
/// call.
#[test]
fn late_claim() {
    let mut applied = AppliedState::default();
    applied.apply(&at(1, settle("r1", Outcome::NotRun)));
    assert_eq!(claimed(&mut applied, 2, "r1"), Claimed::Done(Outcome::NotRun));
    assert_eq!(claimed(&mut applied, 3, "r2"), Claimed::Granted);
    assert_eq!(claimed(&mut applied, 4, "r1"), Claimed::Running("r2".into()));
}

/// The outcome of a call is unknown until the service reports the answer. If a later report were refused, retries would
/// never get the answer.
#[test]
fn reported_later() {
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

/// Claims are kept for the retention time. Dropped earlier, a retry would run the call again; kept forever, they would
/// fill the memory.
#[test]
fn retention_time() {
    let mut applied = AppliedState::default();
    claimed(&mut applied, 1, "r1");
    assert_eq!(
        claimed(&mut applied, CLAIM_RETENTION_MS, "r2"),
        Claimed::Done(Outcome::Unknown)
    );
    assert_eq!(claimed(&mut applied, CLAIM_RETENTION_MS + 2, "r3"), Claimed::Granted);
    assert_eq!(applied.claim_count(), 1);
}

/// Several requests under one key claim, send and give back in any order, with copies of old claims in between. Two
/// requests must never both send the call.
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
                    // A claim is granted once, or again to the request that holds it.
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
