//! Non-idempotent calls are sent at most once, whatever fails.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::client::{Response, call};
use common::state::FakeState;
use common::{Host, config, fake, free_address, service};
use contract::{Config, UpstreamSpec};
use entry::cli::Options;

fn start(upstreams: Vec<UpstreamSpec>) -> (Host, FakeState) {
    let state = FakeState::start(Config::default());
    let options = Options {
        state: Some(state.address.to_string()),
        ..Options::default()
    };
    (Host::with(config(upstreams), options), state)
}

/// Starts a service that counts its calls and either answers them or breaks each connection.
fn counting_service(breaks: bool) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&count);
    let address = fake::serve(move |_, stream| {
        let times = seen.fetch_add(1, Ordering::SeqCst) + 1;
        if !breaks {
            fake::reply(&stream, "201 Created", "", &format!("booked {times}"));
        }
    });
    (address, count)
}

fn deposit(host: &Host, key: &str, body: &str) -> Response {
    let headers = [("Idempotency-Key", key)];
    call(
        host.address,
        "POST",
        "/services/till/deposits",
        &headers,
        body.as_bytes(),
    )
}

#[test]
fn retry_gets_answer() {
    let (address, count) = counting_service(false);
    let (host, _state) = start(vec![service("t", "till", address)]);
    for _ in 0..3 {
        let answer = deposit(&host, "labret-17", "50");
        assert_eq!((answer.status, answer.text().as_str()), (201, "booked 1"));
    }
    assert_eq!(count.load(Ordering::SeqCst), 1);
    let other = deposit(&host, "labret-17", "70");
    assert_eq!(other.status, 422);
    assert_eq!(other.header("Gentian-Outcome"), Some("not-run"));
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

/// A service receives a call and breaks the connection before it responds, so the outcome is unknown. The call must
/// neither be sent to another upstream nor be reported as not run, and a retry must get the same response.
#[test]
fn outcome_unknown() {
    let (broken, count) = counting_service(true);
    let (good, others) = counting_service(false);
    let (host, _state) = start(vec![service("a", "till", broken)]);
    for _ in 0..3 {
        let answer = deposit(&host, "labret-18", "50");
        assert_eq!(answer.status, 504);
        assert_eq!(answer.json()["title"], "unknown-outcome");
        assert_eq!(answer.header("Gentian-Outcome"), Some("unknown"));
    }
    assert_eq!(count.load(Ordering::SeqCst), 1);
    let both = vec![service("a", "till", broken), service("b", "till", good)];
    let (host, _state) = start(both);
    for number in 0..8 {
        deposit(&host, &format!("seat-{number}"), "1");
    }
    assert_eq!(count.load(Ordering::SeqCst) - 1 + others.load(Ordering::SeqCst), 8);
}

/// Some upstreams refuse the connection, so the call was not sent there. Another upstream may run it, once.
#[test]
fn unreachable_first() {
    let (good, count) = counting_service(false);
    let mut tills = vec![service("z", "till", good)];
    tills.extend((0..3).map(|at| service(&format!("dead-{at}"), "till", free_address())));
    let (host, _state) = start(tills);
    for number in 0..4 {
        assert_eq!(deposit(&host, &format!("seat-{number}"), "1").status, 201);
    }
    assert_eq!(count.load(Ordering::SeqCst), 4);
}
