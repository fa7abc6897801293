//! Orders to engines that check fencing tokens and to others: unanswered, doubled, late.

use std::time::Duration;

use argh::FromArgs;
use capacity::lease::Tenure;
use capacity::orders::{Engine, Given};
use policy::Tick;
use standin::cli::EngineOptions;
use standin::engine::{self, Running};
use upstream::engine::EngineClient;
use upstream::orders::EngineAction;

const AGE: Duration = Duration::from_mins(1);

fn engine(flags: &[&str]) -> Running {
    engine::start(&EngineOptions::from_args(&["engine"], flags).unwrap()).unwrap()
}

fn tenure(token: u64) -> Tenure {
    Tenure {
        token,
        since: Tick::default(),
        until: Tick::default() + AGE,
    }
}

fn role(role: &str) -> EngineAction {
    EngineAction::SetRole { role: role.to_owned() }
}

/// The answer to an order gets lost. The next look at the engine shows that it was carried out, so it isn't given again.
#[test]
fn unanswered_order() {
    let running = engine(&["--checks-fencing", "--faults", r#"{"orders_lost":1}"#]);
    let client = EngineClient::new(AGE);
    let engine = Engine::new(&client, running.address(), true).read().unwrap();
    let (given, unread) = engine.give(&tenure(1), Tick::default(), &role("decode")).unwrap();
    assert_eq!(given, Given::Unanswered);
    assert!(unread.read().unwrap().state().satisfies(&role("decode")));
}

/// An engine that doesn't check tokens may still get an order of the holder before. The new holder waits until none can
/// arrive any more; otherwise that order would undo its own.
#[test]
fn waits_unchecked() {
    let running = engine(&[]);
    let client = EngineClient::new(AGE);
    let read = || Engine::new(&client, running.address(), false).read().unwrap();
    let early = Tick::default() + Duration::from_millis(500);
    let (given, _) = read().give(&tenure(2), early, &role("decode")).unwrap();
    assert_eq!(given, Given::Waits);
    let late = Tick::default() + Duration::from_secs(10);
    let (given, _) = read().give(&tenure(2), late, &role("decode")).unwrap();
    assert_eq!(given, Given::Taken);
}

#[test]
fn checked_at_once() {
    let running = engine(&["--checks-fencing"]);
    let client = EngineClient::new(AGE);
    let engine = Engine::new(&client, running.address(), true).read().unwrap();
    let (given, _) = engine.give(&tenure(2), Tick::default(), &role("decode")).unwrap();
    assert_eq!(given, Given::Taken);
}

/// A holder that was cut off comes back and doesn't know that it was replaced. The engine has seen a newer token, and
/// that tells it.
#[test]
fn superseded_holder() {
    let running = engine(&["--checks-fencing"]);
    let client = EngineClient::new(AGE);
    let read = || Engine::new(&client, running.address(), true).read().unwrap();
    read().give(&tenure(9), Tick::default(), &role("decode")).unwrap();
    let error = read().give(&tenure(8), Tick::default(), &role("prefill")).unwrap_err();
    assert_eq!((error.seen, error.own), (9, 8));
}

/// The old holder's order was read and decided before the new one's, and is sent after it. An engine that checks refuses
/// it.
#[test]
fn overtaken_order() {
    let running = engine(&["--checks-fencing"]);
    let client = EngineClient::new(AGE);
    let read = || Engine::new(&client, running.address(), true).read().unwrap();
    let old = read();
    read().give(&tenure(9), Tick::default(), &role("decode")).unwrap();
    let (given, unread) = old.give(&tenure(8), Tick::default(), &role("prefill")).unwrap();
    assert_eq!(given, Given::Refused);
    assert_eq!(unread.read().unwrap().state().role, "decode");
}

/// The network delivers an order twice, the second time after a newer order. An engine that checks keeps the newer one.
#[test]
fn doubled_order() {
    let faults = r#"{"orders_doubled":1,"double_ms":100}"#;
    let running = engine(&["--checks-fencing", "--faults", faults]);
    let client = EngineClient::new(AGE);
    let read = || Engine::new(&client, running.address(), true).read().unwrap();
    read().give(&tenure(1), Tick::default(), &role("prefill")).unwrap();
    read().give(&tenure(2), Tick::default(), &role("decode")).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(read().state().role, "decode");
}
