//! A leaving entry host hands its open answers over to a peer, and callers continue by request id.

mod common;

use std::time::Duration;

use common::client::{self, call, chat, expected, token_of};
use common::{Host, Standin, TIMEOUT, config, engine, free_address};
use contract::Revision;
use entry::cli::Options;
use entry::drain;
use entry::journal::owner;
use serde_json::Value;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::{EntryRpcClient, Handover, HostSignal, HostSignalKind};

const TOKENS: u64 = 400;

fn host_pair(config: &contract::Config) -> (Host, Host) {
    let inners = [free_address().to_string(), free_address().to_string()];
    let start = |number: usize| {
        let options = Options {
            node: Some(format!("entry-{number}")),
            host: Some(format!("vm-{number}")),
            inner: Some(inners[number].clone()),
            peers: Some(inners.join(",")),
            notice_ms: Some("0".into()),
            ..Options::default()
        };
        Host::with(config.clone(), options)
    };
    (start(0), start(1))
}

fn send_notice(host: &Host, left_ms: u64) {
    let calls = RpcRuntime::start(1, TIMEOUT).unwrap();
    let client = calls.client(host.inner, Duration::ZERO).unwrap();
    let signal = HostSignal {
        host: "vm-0".into(),
        incarnation: 0,
        sign: HostSignalKind::Notice { left_ms },
    };
    let message = Envelope::new(&"capacity-1".into(), Revision(1), vec![signal]);
    calls.wait(client.hosts(message)).unwrap();
}

/// Fetches the rest of an answer, polling until it is complete.
fn fetch_rest(host: &Host, path: &str) -> String {
    let (id, from) = path.split_once("?from=").unwrap();
    let mut from: u64 = from.parse().unwrap();
    let mut text = String::new();
    loop {
        let part = call(host.address, "GET", &format!("{id}?from={from}"), &[], b"").json();
        assert_eq!(part["failed"], false, "{part}");
        text.push_str(part["text"].as_str().unwrap());
        from = part["next"].as_u64().unwrap();
        if part["whole"] == true {
            return text;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An entry host is reclaimed with a short notice while answers are open. Callers' connections end with the host; each
/// caller must be told where its answer continues and find all of it there.
#[test]
fn open_streams_moved() {
    let (a, b) = (Standin::engine(&[]), Standin::engine(&[]));
    let (leaving, peer) = host_pair(&config([engine("a", a.address), engine("b", b.address)]));
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let (address, prompt) = (leaving.address, format!("consultation {number}"));
            std::thread::spawn(move || {
                let mut events = client::stream(address, &prompt, TOKENS);
                let mut text = String::new();
                while let Some(data) = events.next() {
                    let event: Value = serde_json::from_str(&data).unwrap();
                    if let Some(resume) = event["moved"]["resume"].as_str() {
                        return (prompt, text, resume.to_owned());
                    }
                    text.extend(token_of(&data));
                }
                panic!("the stream ended without a word: {text}");
            })
        })
        .collect();
    let address = leaving.address;
    let whole = std::thread::spawn(move || client::post_chat(address, &chat("a plan", TOKENS, false).to_string()));
    while leaving
        .entry
        .journals
        .open_journals()
        .iter()
        .filter(|(_, journal)| journal.len() > 3)
        .count()
        < 7
    {
        std::thread::yield_now();
    }
    send_notice(&leaving, 1_500);
    assert!(leaving.entry.leave_requested.load(std::sync::atomic::Ordering::SeqCst));
    drain::drain(&leaving.entry);
    for caller in callers {
        let (prompt, mut text, resume) = caller.join().unwrap();
        text.push_str(&fetch_rest(&peer, &resume));
        assert_eq!(text, expected(&prompt, TOKENS));
    }
    let whole = whole.join().unwrap();
    assert_eq!(whole.status, 202);
    assert_eq!(
        fetch_rest(&peer, whole.header("Location").unwrap()),
        expected("a plan", TOKENS)
    );
    // As long as the leaving host runs, it finds the answer at the peer.
    assert_eq!(
        fetch_rest(&leaving, whole.header("Location").unwrap()),
        expected("a plan", TOKENS)
    );
}

/// A host is replaced by a new one of the same name, and signals about the old one arrive late and repeatedly. They
/// must not stop the new one.
#[test]
fn late_signal() {
    let options = Options {
        host: Some("vm-0".into()),
        incarnation: Some("2".into()),
        ..Options::default()
    };
    let host = Host::with(config([]), options);
    let signal = |incarnation, sign| HostSignal {
        host: "vm-0".into(),
        incarnation,
        sign,
    };
    let leave_requested = || host.entry.leave_requested.load(std::sync::atomic::Ordering::SeqCst);
    drain::handle_signal(&host.entry, &signal(1, HostSignalKind::Gone));
    drain::handle_signal(&host.entry, &signal(1, HostSignalKind::Notice { left_ms: 5 }));
    drain::handle_signal(&host.entry, &signal(2, HostSignalKind::Serving));
    assert!(!leave_requested() && host.entry.gone_at().is_none());
    drain::handle_signal(&host.entry, &signal(2, HostSignalKind::Notice { left_ms: 5 }));
    assert!(leave_requested() && host.entry.gone_at().is_some());
}

/// No peer is reachable when the host leaves. The answers must continue here instead of being dropped.
#[test]
fn no_peer_reachable() {
    let a = Standin::engine(&[]);
    let options = Options {
        peers: Some(free_address().to_string()),
        notice_ms: Some("0".into()),
        ..Options::default()
    };
    let host = Host::with(config([engine("a", a.address)]), options);
    let mut events = client::stream(host.address, "alone", 100);
    let first = events.token();
    host.entry.announce_end(Duration::from_millis(1));
    let entry = std::sync::Arc::clone(&host.entry);
    let leaving = std::thread::spawn(move || drain::drain(&entry));
    let (rest, done) = events.rest();
    assert_eq!(first + &rest, expected("alone", 100));
    assert!(done);
    leaving.join().unwrap();
}

/// The leaving host loses the peer's reply and repeats the handover. The request must not be run a second time.
#[test]
fn repeated_handover() {
    let a = Standin::engine(&[]);
    let host = Host::start(config([engine("a", a.address)]));
    let handover = Handover {
        request: "entry-9-1-1".into(),
        owner: owner(&"tan-seng-huat".into(), &"counter".into()),
        body: chat("twice", 50, true).to_string(),
        tokens: vec![expected("twice", 1)],
    };
    assert!(entry::callers::adopt(&host.entry, &handover));
    assert!(entry::callers::adopt(&host.entry, &handover));
    assert_eq!(
        fetch_rest(&host, "/v1/requests/entry-9-1-1?from=0"),
        expected("twice", 50)
    );
    let broken = Handover {
        request: "entry-9-1-2".into(),
        body: "{".into(),
        ..handover
    };
    assert!(!entry::callers::adopt(&host.entry, &broken));
}
