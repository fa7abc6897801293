//! An answer can be fetched by request id through any entry host of the data centre, but only by the account that made
//! the request.

mod common;

use std::sync::mpsc::channel;

use common::client::{self, Response, call};
use common::{Host, OTHER_KEY, config, engine, fake, free_address};
use contract::Config;
use entry::cli::Options;
use entry::journal::owner;
use parking_lot::Mutex;

/// Starts entry hosts that are peers of each other.
fn start_peers(count: usize, config: &Config) -> Vec<Host> {
    let inners: Vec<String> = (0..count).map(|_| free_address().to_string()).collect();
    let start = |at: usize| {
        let options = Options {
            node: Some(format!("entry-{at}")),
            inner: Some(inners[at].clone()),
            peers: Some(inners.join(",")),
            ..Options::default()
        };
        Host::with(config.clone(), options)
    };
    (0..count).map(start).collect()
}

fn fetch(host: &Host, id: &str, query: &str) -> Response {
    call(host.address, "GET", &format!("/v1/requests/{id}{query}"), &[], b"")
}

/// A caller loses its connection and is sent by the load balancer to an entry host that does not know the request. It
/// must find the rest of its answer there, while the answer is being generated and afterwards.
#[test]
fn through_any_host() {
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let address = fake::serve(move |_, stream| {
        fake::begin(&stream);
        fake::token(&stream, "one ");
        fake::token(&stream, "two ");
        gate.lock().recv().unwrap();
        fake::token(&stream, "three ");
        fake::done(&stream);
    });
    let start_peers = start_peers(3, &config([engine("a", address)]));
    let mut events = client::stream(start_peers[0].address, "count", 9);
    let id = events.request_id();
    assert_eq!((events.token(), events.token()), ("one ".into(), "two ".into()));
    for host in &start_peers {
        let part = fetch(host, &id, "?from=1");
        assert_eq!(part.header("Retry-After"), Some("1"));
        let part = part.json();
        assert_eq!((&part["text"], &part["next"]), (&"two ".into(), &2.into()));
        assert_eq!((&part["whole"], &part["failed"]), (&false.into(), &false.into()));
    }
    go.send(()).unwrap();
    assert_eq!(events.rest(), ("three ".to_owned(), true));
    for host in &start_peers {
        let part = fetch(host, &id, "").json();
        assert_eq!((&part["text"], &part["next"]), (&"one two three ".into(), &3.into()));
        assert_eq!(part["whole"], true);
        assert_eq!(fetch(host, &id, "?from=99").json()["text"], "");
    }
}

/// Names may contain slashes. Customer "a" with account "b/c" and customer "a/b" with account "c" must have different
/// owner strings, or one could read the other's answers.
#[test]
fn names_with_slashes() {
    let first = owner(&"a".into(), &"b/c".into());
    let second = owner(&"a/b".into(), &"c".into());
    assert_ne!(first, second);
}

/// Another account of the same customer guesses a request id. It must learn neither the answer nor that the request
/// exists.
#[test]
fn own_account_only() {
    let address = fake::serve(|_, stream| {
        fake::begin(&stream);
        fake::token(&stream, "secret ");
        fake::done(&stream);
    });
    let start_peers = start_peers(2, &config([engine("a", address)]));
    let mut events = client::stream(start_peers[0].address, "count", 9);
    let id = events.request_id();
    assert!(events.rest().1);
    let key = format!("Bearer {OTHER_KEY}");
    let fetch_as_other = |host: &Host, id: &str| {
        let path = format!("/v1/requests/{id}");
        call(host.address, "GET", &path, &[("Authorization", &key)], b"")
    };
    for host in &start_peers {
        let (there, nowhere) = (fetch_as_other(host, &id), fetch_as_other(host, "entry-9-1-1"));
        assert_eq!((there.status, nowhere.status), (404, 404));
        assert_eq!(there.text(), nowhere.text());
        assert_eq!(fetch(host, &id, "?from=x").status, 400);
        assert_eq!(fetch(host, "not%20a%20name", "").status, 404);
    }
}
