//! A claimed call is granted once, and its outcome answers every resend.

use state::applied::{Applied, Command, Entry, Reply};
use wire::state::{Claim, Claimed, Outcome, Settle, Settled};

fn claim(request: &str, digest: &str) -> Entry {
    let ask = Claim {
        group: 0,
        customer: "tan-seng-huat".into(),
        key: "deposit-1".to_owned(),
        digest: digest.to_owned(),
        request: request.into(),
        hold_ms: 1_000,
    };
    Entry {
        at_ms: 1,
        wall_ms: 0,
        command: Command::Claim(ask),
    }
}

fn settle(request: &str, outcome: Outcome) -> Entry {
    let ask = Settle {
        group: 0,
        customer: "tan-seng-huat".into(),
        key: "deposit-1".to_owned(),
        request: request.into(),
        outcome,
    };
    Entry {
        at_ms: 2,
        wall_ms: 0,
        command: Command::Settle(ask),
    }
}

#[test]
fn resend_answered() {
    let mut applied = Applied::default();
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
    let mut applied = Applied::default();
    applied.apply(&claim("r1", "d"));
    assert_eq!(
        applied.apply(&settle("r1", Outcome::NotRun)),
        Reply::Settled(Settled::Stored)
    );
    assert_eq!(applied.apply(&claim("r2", "d")), Reply::Claimed(Claimed::Granted));
}
