//! Streams: events as they come, gone on with elsewhere where the route allows it, and broken visibly where not.

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::{Host, Upstream, begin_stream, send_event};
use contract::Repeatable;

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    let events: Vec<String> = ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    events.concat()
}

/// An upstream that sends a stream to its end, or dies after an event, in the middle of the next one.
fn streaming(dies_after: Option<u64>) -> Upstream {
    Upstream::start(Box::new(move |seen, stream| {
        begin_stream(seen, stream);
        let after: u64 = seen.get("After").and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        for id in after + 1..=6 {
            send_event(stream, id);
            if dies_after == Some(id) {
                stream.write_all(b"20\r\nid: 9\ndata: pie").unwrap();
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }))
}

#[test]
fn whole_stream() {
    let upstream = streaming(None);
    let host = Host::start(Repeatable::Stream, 1, &[&upstream]);
    let reply = host.ask("", "prompt");
    assert_eq!((reply.status, reply.whole), (200, true));
    assert_eq!(reply.body, events(1..=6));
}

/// An engine dies in the middle of an event. The caller sees every piece once, in one answer with the first engine's head.
#[test]
fn goes_on_elsewhere() {
    let dying = streaming(Some(3));
    let also = streaming(Some(3));
    let host = Host::start(Repeatable::ResumableStream, 2, &[&dying, &also]);
    let reply = host.ask("", "prompt");
    // Whichever was asked first died after three events; the other began after them and went on to the end.
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, events(1..=6));
    assert!(reply.whole);
    assert_eq!(dying.count() + also.count(), 2);
}

/// A stream that may run only once breaks off. No other engine gets it, and the answer does not look complete.
#[test]
fn broken_once() {
    let dying = streaming(Some(2));
    let other = streaming(Some(2));
    let host = Host::start(Repeatable::Stream, 2, &[&dying, &other]);
    let reply = host.ask("", "prompt");
    assert_eq!(reply.body, events(1..=2));
    assert!(!reply.whole);
    assert_eq!(dying.count() + other.count(), 1);
}

/// An engine leaves an event out. The caller must not see the pieces behind the gap as if nothing were missing.
#[test]
fn missing_event() {
    let skipping = Upstream::start(Box::new(|seen, stream| {
        begin_stream(seen, stream);
        for id in [1, 2, 4, 5] {
            send_event(stream, id);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }));
    let host = Host::start(Repeatable::Stream, 1, &[&skipping]);
    let reply = host.ask("", "prompt");
    assert_eq!(reply.body, events(1..=2));
    assert!(!reply.whole);
}

/// A caller closes its connection while the engine works. The engine's connection closes within half a second, so that it
/// does not go on for nobody.
#[test]
fn caller_leaves() {
    let slow = Upstream::start(Box::new(|seen, stream| {
        begin_stream(seen, stream);
        send_event(stream, 1);
        true
    }));
    let host = Host::start(Repeatable::Stream, 1, &[&slow]);
    let mut caller = host.connect();
    caller.send("", "prompt");
    let begun = Instant::now();
    while slow.count() == 0 {
        assert!(begun.elapsed() < common::PATIENCE);
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(caller);
    let left = Instant::now();
    while slow.closed.lock().is_empty() {
        assert!(left.elapsed() < common::PATIENCE, "the engine goes on for nobody");
        std::thread::sleep(Duration::from_millis(5));
    }
}
