//! Streams of an upstream that is taken away: moved with what it has computed, before it is gone.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Host, Reply, Seen, Upstream, answer, begin_stream, listed, send_event};
use contract::{EngineSpec, Repeatable};
use gateway::gate::Shared;
use gateway::routing_table::RoutingTable;
use policy::Tick;

/// Events of every stream.
const EVENTS: u64 = 6;
/// Events that the leaving upstream sends before it is told to stop.
const BEFORE: u64 = 3;
/// Time that the notice leaves, from the start of the host's clock.
const LEFT: Duration = Duration::from_secs(8);
/// Copies of the prompt that take a millisecond, and a tenth of a second.
const QUICK: u64 = 1_000;
const SLOW: u64 = 100_000;
/// Longest silence that a caller bears.
const SILENCE: Duration = Duration::from_secs(3);
/// A prompt and an answer that last longer than the notice leaves.
const LONG: &str = "Prompt: 500\r\nMost: 100000\r\n";

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    let events: Vec<String> = ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    events.concat()
}

/// Makes what a host knows whose engines can copy their caches, in so many nanoseconds a token.
fn engines(copy_ns: u64, upstreams: &[&Upstream]) -> Arc<Shared> {
    let shared = Host::shared(Repeatable::Stream, 1, 10_000, upstreams);
    let mut catalog = Host::catalog(Repeatable::Stream, 1, 10_000);
    catalog.services[0].engine = Some(EngineSpec {
        slots: 4,
        kv_tokens: 100_000,
        event_tokens: 5,
        copy_ns: Some(copy_ns),
    });
    shared.table.store(Some(Arc::new(RoutingTable::new(&catalog))));
    shared
}

/// Lists a second upstream, and that the first is taken away.
fn announce(shared: &Shared, leaving: &Upstream, other: &Upstream) {
    let mut list = listed(&[leaving, other]);
    list[0].leaving = true;
    list[0].left = Some(LEFT);
    *shared.new_list.lock() = Some((list, Tick::default()));
}

/// An upstream whose streams stop, in the middle of an event, when it is told to hand the last part of a copy over. Copies
/// get the status.
fn leaving(status: &'static str) -> Upstream {
    ending(status, true)
}

fn ending(status: &'static str, closes: bool) -> Upstream {
    let stopped = AtomicBool::new(false);
    Upstream::start(Box::new(move |seen, stream| {
        if seen.head.starts_with("POST /copy") {
            let last = seen.get("Last").as_deref().map(str::trim) == Some("true");
            stopped.store(last, Ordering::SeqCst);
            let text = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nh7");
            return stream.write_all(text.as_bytes()).is_ok();
        }
        begin_stream(seen, stream);
        (1..=BEFORE).for_each(|id| send_event(stream, id));
        let begun = Instant::now();
        while !stopped.load(Ordering::SeqCst) && begun.elapsed() < Duration::from_secs(4) {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = stream.write_all(b"20\r\nid: 4\ndata: pie");
        if !closes {
            thread::sleep(Duration::from_secs(4));
        }
        false
    }))
}

/// An upstream that goes on with a copy, and refuses what has none.
fn taking() -> Upstream {
    Upstream::start(Box::new(|seen: &Seen, stream: &mut TcpStream| {
        if seen.get("Copy").is_none() {
            return answer(seen, stream, "503 Full", "Not-Run: 1\r\n", "");
        }
        begin_stream(seen, stream);
        let after: u64 = seen.get("After").and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        (after + 1..=EVENTS).for_each(|id| send_event(stream, id));
        stream.write_all(b"0\r\n\r\n").is_ok()
    }))
}

/// Asks for a long stream, calls its upstream back, and reads what the caller gets.
fn called_back(copy_ns: u64, leaving: &Upstream, other: &Upstream) -> Reply {
    let shared = engines(copy_ns, &[leaving]);
    let host = Host::run(Arc::clone(&shared));
    let mut caller = host.connect();
    caller.send(LONG, "prompt");
    wait_for(leaving);
    announce(&shared, leaving, other);
    caller.0.get_mut().set_read_timeout(Some(SILENCE)).unwrap();
    caller.reply()
}

/// Gives for each copy that the upstream was asked for whether it stopped the stream.
fn copies(upstream: &Upstream) -> Vec<String> {
    let seen = upstream.seen.lock();
    let last = seen.iter().filter_map(|seen| seen.get("Last"));
    last.map(|last| last.trim().to_owned()).collect()
}

fn wait_for(upstream: &Upstream) {
    let begun = Instant::now();
    while upstream.count() == 0 {
        assert!(begun.elapsed() < common::PATIENCE, "no request comes");
        thread::sleep(Duration::from_millis(5));
    }
    // The first events are on their way.
    thread::sleep(Duration::from_millis(200));
}

/// All reclaimable engines of a data centre are taken away, seconds after the notice. A stream that may run only once would
/// end in the middle, and its caller would have to begin anew. It goes on at another engine from the copy of what the first
/// has computed: the caller sees every piece once, in one answer.
#[test]
fn moved_once() {
    let (leaving, other) = (leaving("200 OK"), taking());
    let reply = called_back(SLOW, &leaving, &other);
    assert_eq!((reply.status, reply.whole), (200, true), "{reply:?}");
    assert_eq!(reply.body, events(1..=EVENTS));
    let went_on = other.seen.lock()[0].clone();
    assert_eq!(went_on.get("Copy").unwrap().trim(), format!("{}/h7", leaving.address));
    assert_eq!(went_on.get("After").unwrap().trim(), BEFORE.to_string());
    assert_eq!(
        copies(&leaving),
        ["false", "true"],
        "copied while it goes on, then stopped"
    );
}

/// Twenty streams of an engine have to leave within a second, and one link carries one copy after the other. A short one is
/// copied in one call: a second one would wait behind the copies of all others, with its stream stopped.
#[test]
fn short_copy() {
    let (leaving, other) = (leaving("200 OK"), taking());
    let reply = called_back(QUICK, &leaving, &other);
    assert_eq!((reply.body, reply.whole), (events(1..=EVENTS), true));
    assert_eq!(copies(&leaving), ["true"]);
}

/// The engine has handed the stream over, but the end of its connection gets lost. Nothing more will come from there; waiting
/// for it would hold up a caller who has begun to read.
#[test]
fn silent_end() {
    let (leaving, other) = (ending("200 OK", false), taking());
    let reply = called_back(QUICK, &leaving, &other);
    assert_eq!((reply.body, reply.whole), (events(1..=EVENTS), true));
}

/// No engine has room for the copy. The stream is left where it is until it ends with its engine; it must not begin anew
/// elsewhere, since it may run only once, and its answer must not look complete.
#[test]
fn no_room() {
    let (leaving, other) = (leaving("503 Full"), taking());
    let reply = called_back(QUICK, &leaving, &other);
    assert_eq!(reply.body, events(1..=BEFORE));
    assert!(!reply.whole);
    assert_eq!(other.count(), 0);
}

/// The notice leaves more time than the answer needs. Nothing is copied: it would cost the links and a slot for nothing.
#[test]
fn ends_in_time() {
    let short = Upstream::start(Box::new(|seen, stream| {
        begin_stream(seen, stream);
        for id in 1..=EVENTS {
            thread::sleep(Duration::from_millis(100));
            send_event(stream, id);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }));
    let other = taking();
    let shared = engines(QUICK, &[&short]);
    let host = Host::run(Arc::clone(&shared));
    let mut caller = host.connect();
    caller.send("Prompt: 500\r\nMost: 30\r\n", "prompt");
    wait_for(&short);
    announce(&shared, &short, &other);
    let reply = caller.reply();
    assert_eq!(reply.body, events(1..=EVENTS));
    assert!(reply.whole);
    assert_eq!((short.count(), other.count()), (1, 0));
}
