//! A leaving entry host hands its open answers to a peer, and callers go on by request id.

mod common;

use std::time::Duration;

use common::ask::{self, call, chat, expected, token_of};
use common::{Host, PATIENCE, Standin, config, engine, free_address};
use contract::Revision;
use entry::cli::Options;
use entry::drain;
use entry::journal::owner;
use serde_json::Value;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::{EntryRpcClient, Handover, HostSignal, Sign};

const TOKENS: u64 = 400;

fn pair(config: &contract::Config) -> (Host, Host) {
    let inners = [free_address().to_string(), free_address().to_string()];
    let start = |at: usize| {
        let options = Options {
            node: Some(format!("entry-{at}")),
            host: Some(format!("vm-{at}")),
            inner: Some(inners[at].clone()),
            peers: Some(inners.join(",")),
            notice_ms: Some("0".into()),
            ..Options::default()
        };
        Host::with(config.clone(), options)
    };
    (start(0), start(1))
}

fn notice(host: &Host, left_ms: u64) {
    let calls = RpcRuntime::start(1, PATIENCE).unwrap();
    let client = calls.client(host.inner, Duration::ZERO).unwrap();
    let sign = HostSignal {
        host: "vm-0".into(),
        incarnation: 0,
        sign: Sign::Notice { left_ms },
    };
    let message = Envelope::new(&"capacity-1".into(), Revision(1), vec![sign]);
    calls.wait(client.hosts(message)).unwrap();
}

/// Fetches the rest of an answer, asking again as long as it is being made.
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

/// The cloud takes an entry host back within seconds while consultations are being written there. The callers'
/// connections end with the host, but not their answers: each is told where its answer goes on and finds all of it.
#[test]
fn open_streams_move() {
    let (a, b) = (Standin::engine(&[]), Standin::engine(&[]));
    let (leaving, peer) = pair(&config([engine("a", a.address), engine("b", b.address)]));
    let callers: Vec<_> = (0..6)
        .map(|turn| {
            let (address, prompt) = (leaving.address, format!("consultation {turn}"));
            std::thread::spawn(move || {
                let mut events = ask::stream(address, &prompt, TOKENS);
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
    let whole = std::thread::spawn(move || ask::post_chat(address, &chat("a plan", TOKENS, false).to_string()));
    while leaving
        .entry
        .journals
        .open_ones()
        .iter()
        .filter(|(_, journal)| journal.len() > 3)
        .count()
        < 7
    {
        std::thread::yield_now();
    }
    notice(&leaving, 1_500);
    assert!(leaving.entry.told.load(std::sync::atomic::Ordering::SeqCst));
    drain::leave(&leaving.entry);
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
    // The host that left still knows where the answer is, as long as it is there.
    assert_eq!(
        fetch_rest(&leaving, whole.header("Location").unwrap()),
        expected("a plan", TOKENS)
    );
}

/// A host comes back under its old name, and the word that the old one is gone arrives late and twice. The new one has
/// just begun to serve and must go on.
#[test]
fn late_word() {
    let options = Options {
        host: Some("vm-0".into()),
        incarnation: Some("2".into()),
        ..Options::default()
    };
    let host = Host::with(config([]), options);
    let sign = |incarnation, sign| HostSignal {
        host: "vm-0".into(),
        incarnation,
        sign,
    };
    let told = || host.entry.told.load(std::sync::atomic::Ordering::SeqCst);
    drain::hear(&host.entry, &sign(1, Sign::Gone));
    drain::hear(&host.entry, &sign(1, Sign::Notice { left_ms: 5 }));
    drain::hear(&host.entry, &sign(2, Sign::Serving));
    assert!(!told() && host.entry.gone_at().is_none());
    drain::hear(&host.entry, &sign(2, Sign::Notice { left_ms: 5 }));
    assert!(told() && host.entry.gone_at().is_some());
}

/// The host leaves and no peer can be reached. The answers must go on where they are instead of being dropped.
#[test]
fn no_peer_left() {
    let a = Standin::engine(&[]);
    let options = Options {
        peers: Some(free_address().to_string()),
        notice_ms: Some("0".into()),
        ..Options::default()
    };
    let host = Host::with(config([engine("a", a.address)]), options);
    let mut events = ask::stream(host.address, "alone", 100);
    let first = events.token();
    host.entry.will_go(Duration::from_millis(1));
    let entry = std::sync::Arc::clone(&host.entry);
    let leaving = std::thread::spawn(move || drain::leave(&entry));
    let (rest, done) = events.rest();
    assert_eq!(first + &rest, expected("alone", 100));
    assert!(done);
    leaving.join().unwrap();
}

/// The leaving host doesn't hear the peer's answer and asks again. The request must not be run a second time.
#[test]
fn asked_twice() {
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
