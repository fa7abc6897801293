//! Streams continue at another engine when theirs dies or stalls.

mod common;

use common::client::{self, expected};
use common::{Host, Standin, config, engine};

const SLOW_DECODE: [&str; 2] = ["--decode-us", "20000"];

/// Starts two engines and an entry host in front of them.
fn engine_pair() -> (Standin, Standin, Host) {
    let (a, b) = (Standin::engine(&SLOW_DECODE), Standin::engine(&SLOW_DECODE));
    let host = Host::start(config([engine("a", a.address), engine("b", b.address)]));
    (a, b, host)
}

/// Returns the engine of a request's latest attempt.
fn serving_engine(host: &Host, id: &str) -> String {
    let journal = host.entry.journals.find(&id.into()).unwrap();
    journal.choices().last().unwrap().chosen.to_string()
}

/// An engine dies without notice in the middle of an answer. The answer must continue at the other engine from the
/// tokens that were sent, or the caller would get half an answer.
#[test]
fn engine_killed() {
    let (mut a, mut b, host) = engine_pair();
    let mut events = client::stream(host.address, "a custom septum quote", 60);
    let mut text: String = (0..5).map(|_| events.token()).collect();
    let id = events.request_id();
    if serving_engine(&host, &id) == "a" {
        a.kill();
    } else {
        b.kill();
    }
    let (rest, done) = events.rest();
    text.push_str(&rest);
    assert_eq!(text, expected("a custom septum quote", 60));
    assert!(done);
    let journal = host.entry.journals.find(&id.as_str().into()).unwrap();
    assert_eq!(journal.choices().len(), 2);
    assert_eq!(journal.text(), text);
}

/// An engine stalls with its connection open, like a suspended host, so no error ever comes. Guards against waiting
/// without bound between two tokens.
#[test]
fn engine_frozen() {
    let (a, b, host) = engine_pair();
    let mut events = client::stream(host.address, "aftercare for a helix", 60);
    let mut text: String = (0..5).map(|_| events.token()).collect();
    if serving_engine(&host, &events.request_id()) == "a" {
        a.freeze();
    } else {
        b.freeze();
    }
    let (rest, done) = events.rest();
    text.push_str(&rest);
    assert_eq!(text, expected("aftercare for a helix", 60));
    assert!(done);
}

/// An engine stalls before the request; its kernel still accepts connections. Guards against waiting without bound for
/// the first token.
#[test]
fn frozen_before() {
    let (a, b, host) = engine_pair();
    a.freeze();
    for number in 0..4 {
        let prompt = format!("question {number}");
        let (text, done) = client::stream(host.address, &prompt, 8).rest();
        assert_eq!(text, expected(&prompt, 8));
        assert!(done);
    }
    drop(b);
}

/// Both engines die, and one restarts later under its address. The answer must wait for an engine instead of being
/// given up.
#[test]
fn engine_returns() {
    let (mut a, mut b, host) = engine_pair();
    let mut events = client::stream(host.address, "a season plan", 60);
    let mut text: String = (0..5).map(|_| events.token()).collect();
    let address = a.address.to_string();
    a.kill();
    b.kill();
    let _back = Standin::engine(&["--decode-us", "5000", "--listen", &address]);
    let (rest, done) = events.rest();
    text.push_str(&rest);
    assert_eq!(text, expected("a season plan", 60));
    assert!(done);
}

/// An engine dies with many open streams. All must be resumed; a retry budget that counted them like retries against an
/// overloaded engine would cut off half of them.
#[test]
fn many_streams_resume() {
    let (mut a, _b, host) = engine_pair();
    let callers: Vec<_> = (0..20)
        .map(|number| {
            let (address, prompt) = (host.address, format!("quote {number}"));
            std::thread::spawn(move || {
                let (text, done) = client::stream(address, &prompt, 60).rest();
                assert_eq!(text, expected(&prompt, 60));
                assert!(done);
            })
        })
        .collect();
    while host
        .entry
        .journals
        .open_journals()
        .iter()
        .filter(|(_, journal)| journal.len() > 2)
        .count()
        < 20
    {
        std::thread::yield_now();
    }
    a.kill();
    for caller in callers {
        caller.join().unwrap();
    }
}

/// The engine dies after the last token but before the end marker. Asking another engine for zero more tokens would
/// fail or add one; the answer is already complete.
#[test]
fn dies_after_last() {
    use common::fake;
    let address = fake::serve(|_, stream| {
        fake::begin(&stream);
        fake::token(&stream, "one ");
        fake::token(&stream, "two ");
    });
    let host = Host::start(config([engine("a", address)]));
    let (text, done) = client::stream(host.address, "count", 2).rest();
    assert_eq!((text.as_str(), done), ("one two ", true));
}
