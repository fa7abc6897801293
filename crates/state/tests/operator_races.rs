//! Concurrent and repeated configuration changes by operators.

use std::collections::BTreeMap;

use contract::{Account, Change, Class, Contract, CustomerLimits, KeyHash, Matcher, RetrySafety, Revision, Targets};
use quickcheck::{Gen, QuickCheck};
use state::applied::{AppliedState, Command, LogEntry, Reply};
use wire::state::{Propose, Proposed};

const SEED: u64 = 23;

fn contract(customer: &str, share: u32) -> Contract {
    let targets = Targets {
        first_token_ms: None,
        between_tokens_ms: None,
        whole_answer_ms: 1_000,
    };
    let class = Class {
        name: "lookup".into(),
        matches: Matcher {
            service: Some("till".into()),
            ..Matcher::default()
        },
        targets,
        repeat: RetrySafety::Idempotent,
        shed: 0,
    };
    Contract {
        customer: customer.into(),
        accounts: vec![Account {
            name: "counter".into(),
            key_hash: KeyHash::of(customer),
        }],
        limits: CustomerLimits {
            requests_per_s: 10.0,
            tokens_per_s: 10.0,
            concurrency: 1,
        },
        share,
        classes: vec![class],
    }
}

fn propose(applied: &mut AppliedState, id: &str, base: Option<u64>, contract: Contract) -> Proposed {
    let ask = Propose {
        id: id.into(),
        base: base.map(Revision),
        operator: "operator".to_owned(),
        change: Change::PutContract(contract),
    };
    let entry = LogEntry {
        at_ms: applied.at_ms + 1,
        wall_ms: 0,
        command: Command::Propose(ask),
    };
    match applied.apply(&entry) {
        Reply::Proposed(answer) => answer,
        other => panic!("a proposal was answered by {other:?}"),
    }
}

/// Two operators read a contract at the same revision and both change it. If the second change silently overwrote the
/// first, the first operator would believe in a share that is not in force.
#[test]
fn first_change_wins() {
    let mut applied = AppliedState::default();
    let first = propose(&mut applied, "a", None, contract("mwangaza", 1));
    assert_eq!(first, Proposed::Accepted(Revision(1)));
    let winner = propose(&mut applied, "b", Some(1), contract("mwangaza", 2));
    assert_eq!(winner, Proposed::Accepted(Revision(2)));
    let loser = propose(&mut applied, "c", Some(1), contract("mwangaza", 3));
    assert_eq!(loser, Proposed::Conflict(Revision(2)));
    assert_eq!(applied.config.contracts[&"mwangaza".into()].share, 2);
    let elsewhere = propose(&mut applied, "d", Some(1), contract("tan-seng-huat", 4));
    assert_eq!(elsewhere, Proposed::Accepted(Revision(3)));
}

/// The answer to an accepted change is lost, and the operator retries after another one has changed the same contract.
/// The retry must get the first answer and must not restore the older contract.
#[test]
fn retry_after_change() {
    let mut applied = AppliedState::default();
    let first = propose(&mut applied, "a", Some(0), contract("mwangaza", 1));
    propose(&mut applied, "b", Some(1), contract("mwangaza", 2));
    let again = propose(&mut applied, "a", Some(0), contract("mwangaza", 1));
    assert_eq!(again, first);
    assert_eq!(applied.config.contracts[&"mwangaza".into()].share, 2);
    assert_eq!(applied.config.revision, Revision(2));
}

/// Many operators change two contracts, based on any revision that they saw, and retry at random. The state must be
/// that of the accepted changes in their order, each id applied once, and none based on an older state of its item.
#[test]
fn concurrent_changes() {
    fn holds(steps: Vec<(u8, bool, u8)>) -> bool {
        let mut applied = AppliedState::default();
        let mut answers = BTreeMap::new();
        let mut shares = BTreeMap::new();
        let mut touched = BTreeMap::new();
        for (id, other, behind) in steps {
            let name = if other { "mwangaza" } else { "tan-seng-huat" };
            let newest = applied.config.revision;
            let base = newest.0.saturating_sub(u64::from(behind % 4));
            let id = format!("{name}-{id}");
            let share = answers.len() as u32 + 1;
            let answer = propose(&mut applied, &id, Some(base), contract(name, share));
            let Some(before) = answers.insert(id, answer.clone()) else {
                let due = touched.get(name).is_none_or(|last: &Revision| *last <= Revision(base));
                assert_eq!(due, matches!(answer, Proposed::Accepted(_)));
                if let Proposed::Accepted(revision) = answer {
                    assert_eq!(revision, newest.next());
                    shares.insert(name, share);
                    touched.insert(name, revision);
                }
                continue;
            };
            assert_eq!(answer, before);
            assert_eq!(applied.config.revision, newest);
        }
        let contracts = &applied.config.contracts;
        shares
            .iter()
            .all(|(name, share)| contracts[&(*name).into()].share == *share)
    }
    let random = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new()
        .rng(random)
        .tests(200)
        .quickcheck(holds as fn(Vec<(u8, bool, u8)>) -> bool);
}
