//! Orders to engines with and without checks of fencing tokens: unanswered, duplicated and delayed ones.

use std::time::Duration;

use argh::FromArgs;
use capacity::lease::HeldLease;
use capacity::orders::{Engine, OrderOutcome};
use policy::Tick;
use standin::cli::EngineOptions;
use standin::engine::{self, Running};
use upstream::engine::EngineClient;
use upstream::orders::EngineAction;

/// Far longer than any test: the client timeout and the duration of leases.
const LONG_TIME: Duration = Duration::from_mins(1);

fn engine(flags: &[&str]) -> Running {
    engine::start(&EngineOptions::from_args(&["engine"], flags).unwrap()).unwrap()
}

fn lease(token: u64) -> HeldLease {
    HeldLease {
        token,
        acquired: Tick::default(),
        expires: Tick::default() + LONG_TIME,
    }
}

fn set_role(role: &str) -> EngineAction {
    EngineAction::SetRole { role: role.to_owned() }
}

/// The answer to an order is lost. Reading the engine must show that the order was executed, so that it isn't repeated.
#[test]
fn unanswered_order() {
    let running = engine(&["--checks-fencing", "--faults", r#"{"orders_lost":1}"#]);
    let client = EngineClient::new(LONG_TIME);
    let engine = Engine::new(&client, running.address(), true).read().unwrap();
    let (outcome, after) = engine.send(&lease(1), Tick::default(), &set_role("decode")).unwrap();
    assert_eq!(outcome, OrderOutcome::Unanswered);
    assert!(after.read().unwrap().state().satisfies(&set_role("decode")));
}

/// An engine that doesn't check fencing tokens may still receive an order of the previous lease holder, which would
/// undo one of the new holder. The new holder must wait until none can arrive.
#[test]
fn waits_unchecked() {
    let running = engine(&[]);
    let client = EngineClient::new(LONG_TIME);
    let read = || Engine::new(&client, running.address(), false).read().unwrap();
    let early = Tick::default() + Duration::from_millis(500);
    let (outcome, _) = read().send(&lease(2), early, &set_role("decode")).unwrap();
    assert_eq!(outcome, OrderOutcome::Deferred);
    let late = Tick::default() + Duration::from_secs(10);
    let (outcome, _) = read().send(&lease(2), late, &set_role("decode")).unwrap();
    assert_eq!(outcome, OrderOutcome::Accepted);
}

/// An engine that checks fencing tokens refuses delayed orders itself, so that a new holder needn't wait.
#[test]
fn checked_immediately() {
    let running = engine(&["--checks-fencing"]);
    let client = EngineClient::new(LONG_TIME);
    let engine = Engine::new(&client, running.address(), true).read().unwrap();
    let (outcome, _) = engine.send(&lease(2), Tick::default(), &set_role("decode")).unwrap();
    assert_eq!(outcome, OrderOutcome::Accepted);
}

/// A holder that was disconnected returns without knowing that it was replaced. It must learn so from the newer token
/// that the engine has seen.
#[test]
fn superseded_holder() {
    let running = engine(&["--checks-fencing"]);
    let client = EngineClient::new(LONG_TIME);
    let read = || Engine::new(&client, running.address(), true).read().unwrap();
    read().send(&lease(9), Tick::default(), &set_role("decode")).unwrap();
    let error = read()
        .send(&lease(8), Tick::default(), &set_role("prefill"))
        .unwrap_err();
    assert_eq!((error.seen_token, error.own_token), (9, 8));
}

/// The old holder reads the engine's state before the new holder sends its order, and sends its own after it. An engine
/// that checks fencing tokens must refuse the old holder's order.
#[test]
fn overtaken_order() {
    let running = engine(&["--checks-fencing"]);
    let client = EngineClient::new(LONG_TIME);
    let read = || Engine::new(&client, running.address(), true).read().unwrap();
    let old = read();
    read().send(&lease(9), Tick::default(), &set_role("decode")).unwrap();
    let (outcome, after) = old.send(&lease(8), Tick::default(), &set_role("prefill")).unwrap();
    assert_eq!(outcome, OrderOutcome::Refused);
    assert_eq!(after.read().unwrap().state().role, "decode");
}

/// The network delivers an order twice, the second time after a newer order. An engine that checks fencing tokens must
/// keep the newer one.
#[test]
fn duplicated_order() {
    let faults = r#"{"orders_doubled":1,"double_ms":100}"#;
    let running = engine(&["--checks-fencing", "--faults", faults]);
    let client = EngineClient::new(LONG_TIME);
    let read = || Engine::new(&client, running.address(), true).read().unwrap();
    read().send(&lease(1), Tick::default(), &set_role("prefill")).unwrap();
    read().send(&lease(2), Tick::default(), &set_role("decode")).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(read().state().role, "decode");
}
