//! Tokens reach the caller without delay, and an engine stops working when the caller has left.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc::channel;

use common::client::{self, chat, post_chat};
use common::{Host, TIMEOUT, config, engine, fake};
use parking_lot::Mutex;

/// The engine sends its second token only after the caller got the first. Guards against buffering of tokens, which
/// would show an empty page until the answer is complete.
#[test]
fn first_before_second() {
    let (seen, go_on) = channel::<()>();
    let go_on = Mutex::new(go_on);
    let address = fake::serve(move |_, stream| {
        fake::begin(&stream);
        fake::token(&stream, "one ");
        go_on.lock().recv_timeout(TIMEOUT).unwrap();
        fake::token(&stream, "two ");
        fake::done(&stream);
    });
    let host = Host::start(config([engine("a", address)]));
    let mut events = client::stream(host.address, "count", 2);
    assert_eq!(events.token(), "one ");
    seen.send(()).unwrap();
    assert_eq!(events.rest(), ("two ".to_owned(), true));
}

/// A caller closes its connection while the engine is still prefilling. Nothing was written to the caller yet, so no
/// write can fail; the entry host must check the connection, or the engine would generate a whole answer for nobody.
#[test]
fn leaves_before_first() {
    for stream in [true, false] {
        let (noticed, notice) = channel();
        let address = fake::serve(move |_, stream| {
            noticed.send("asked").unwrap();
            fake::wait_closed(&stream);
            noticed.send("closed").unwrap();
        });
        let host = Host::start(config([engine("a", address)]));
        let body = chat("a long prompt", 8, stream).to_string();
        let caller = client::send(host.address, "POST", "/v1/chat/completions", &[], body.as_bytes());
        assert_eq!(notice.recv_timeout(TIMEOUT).unwrap(), "asked");
        caller.shutdown(Shutdown::Both).unwrap();
        drop(caller);
        assert_eq!(notice.recv_timeout(TIMEOUT).unwrap(), "closed");
        while host.entry.request_counts.open_requests() > 0 {
            std::thread::yield_now();
        }
        assert!(!host.entry.admission.is_busy());
    }
}

/// A caller closes its connection in the middle of an answer. The engine's stream must end with it.
#[test]
fn leaves_during_answer() {
    let (noticed, notice) = channel();
    let address = fake::serve(move |_, stream| {
        fake::begin(&stream);
        while fake::token(&stream, "more ") {
            std::thread::yield_now();
        }
        noticed.send(()).unwrap();
    });
    let host = Host::start(config([engine("a", address)]));
    let mut events = client::stream(host.address, "count", 30_000);
    events.token();
    drop(events);
    notice.recv_timeout(TIMEOUT).unwrap();
}

#[test]
fn whole_answer() {
    let address = fake::serve(|_, stream| {
        fake::begin(&stream);
        fake::token(&stream, "one ");
        let usage =
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":1,\"cached_tokens\":4}}\n\n";
        (&stream).write_all(usage.as_bytes()).unwrap();
        fake::done(&stream);
    });
    let host = Host::start(config([engine("a", address)]));
    let answer = post_chat(host.address, &chat("count one", 8, false).to_string());
    assert_eq!(answer.status, 200);
    let body = answer.json();
    assert_eq!(body["choices"][0]["message"]["content"], "one ");
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    assert_eq!(body["usage"]["cached_tokens"], 4);
    assert_eq!(body["id"], answer.header("X-Request-Id").unwrap());
}
