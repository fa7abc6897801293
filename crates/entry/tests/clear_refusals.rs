//! Invalid requests get an error response that says that nothing was run.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::client::{self, Response, call, chat, post_chat, read_response, send_raw};
use common::{Host, KEY, config, engine, fake, free_address, service};
use entry::cli::Options;
use serde_json::{Value, json};

/// Starts an entry host in front of an engine and a service that count the requests they get.
fn counting_host() -> (Host, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let (seen, called) = (Arc::clone(&count), Arc::clone(&count));
    let answer = move |_: fake::ReceivedRequest, stream: std::net::TcpStream| {
        seen.fetch_add(1, Ordering::SeqCst);
        fake::begin(&stream);
        fake::token(&stream, "yes ");
        fake::done(&stream);
    };
    let till = fake::serve(move |_, stream| {
        called.fetch_add(1, Ordering::SeqCst);
        fake::reply(&stream, "200 OK", "", "{}");
    });
    let host = Host::start(config([engine("a", fake::serve(answer)), service("t", "till", till)]));
    (host, count)
}

fn assert_refused(answer: &Response, status: u16, kind: &str) {
    assert_eq!(answer.status, status, "{} {}", answer.head, answer.text());
    assert_eq!(answer.header("Gentian-Outcome"), Some("not-run"), "{}", answer.head);
    assert_eq!(answer.header("Content-Type"), Some("application/problem+json"));
    let body = answer.json();
    assert_eq!(body["title"], kind);
    assert_eq!(body["status"], status);
    assert_eq!(body["outcome"], "not-run");
}

#[test]
fn bad_chats() {
    let (host, count) = counting_host();
    let with = |field: &str, value: Value| {
        let mut body = chat("hello", 4, false);
        body[field] = value;
        body.to_string()
    };
    let cases = [
        ("{".to_owned(), "EOF"),
        ("[1]".to_owned(), "chat completion"),
        (with("max_tokens", json!(0)), "max_tokens: 0"),
        (with("max_tokens", json!(10_000_000)), "max_tokens: 10000000"),
        (with("max_tokens", json!(-1)), "-1"),
        (with("max_tokens", json!("many")), "many"),
        (with("messages", json!([])), "messages: 0"),
        (with("messages", json!("hello")), "messages"),
        (with("messages", json!([{"role": "user", "content": ""}])), "no content"),
        (with("messages", json!([{"role": "boss", "content": "go"}])), "boss"),
        (with("messages", json!([{"role": "user"}])), "content"),
        (with("model", json!("")), "model"),
        (with("model", json!(7)), "7"),
        (with("stream", json!("yes")), "yes"),
        (with("n", json!(3)), "n: 3"),
        (with("tools", json!([{}])), "tools"),
    ];
    for (body, detail) in cases {
        let answer = post_chat(host.address, &body);
        assert_refused(&answer, 400, "bad-request");
        let told = answer.json()["detail"].as_str().unwrap().to_owned();
        assert!(told.contains(detail), "{detail:?} is missing in {told:?}");
    }
    assert_eq!(count.load(Ordering::SeqCst), 0);
}

#[test]
fn unknown_names() {
    let (host, count) = counting_host();
    let mut other = chat("hello", 4, false);
    other["model"] = json!("counter-9");
    let answer = post_chat(host.address, &other.to_string());
    assert_refused(&answer, 404, "not-found");
    assert!(answer.text().contains("counter-9"));
    let answer = call(host.address, "GET", "/services/tills/stock", &[], b"");
    assert_refused(&answer, 404, "not-found");
    assert!(answer.text().contains("tills"));
    assert_refused(&call(host.address, "GET", "/v2/chat", &[], b""), 404, "not-found");
    let answer = call(host.address, "GET", "/v1/chat/completions", &[], b"");
    assert_refused(&answer, 405, "method");
    assert_eq!(answer.header("Allow"), Some("POST"));
    assert_refused(
        &call(host.address, "TRACE", "/services/till/stock", &[], b""),
        405,
        "method",
    );
    assert_eq!(count.load(Ordering::SeqCst), 0);
}

#[test]
fn unknown_keys() {
    let (host, count) = counting_host();
    let body = chat("hello", 4, false).to_string();
    for key in ["Bearer nobody", "Basic a2V5", "Bearer", ""] {
        for path in ["/v1/chat/completions", "/services/till/deposits"] {
            let answer = call(host.address, "POST", path, &[("Authorization", key)], body.as_bytes());
            assert_refused(&answer, 401, "unauthorized");
            assert_eq!(answer.header("WWW-Authenticate"), Some("Bearer"));
        }
    }
    assert_eq!(count.load(Ordering::SeqCst), 0);
}

#[test]
fn bad_heads() {
    let (host, count) = counting_host();
    let send = |bytes: &[u8]| read_response(send_raw(host.address, bytes));
    let long = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(20_000));
    assert_refused(&send(long.as_bytes()), 431, "long-head");
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: 1\r\n".repeat(100));
    assert_refused(&send(many.as_bytes()), 431, "long-head");
    assert_refused(&send(b"hello there\r\n\r\n"), 400, "bad-request");
    let twice = "POST /services/till/search HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_refused(&send(twice.as_bytes()), 400, "bad-request");
    let unequal = "POST /services/till/search HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n";
    assert_refused(&send(unequal.as_bytes()), 400, "bad-request");
    let negative = "POST /services/till/search HTTP/1.1\r\nContent-Length: -2\r\n\r\n";
    assert_refused(&send(negative.as_bytes()), 400, "bad-request");
    assert_eq!(count.load(Ordering::SeqCst), 0);
}

#[test]
fn long_bodies() {
    let (host, count) = counting_host();
    let announced = format!(
        "POST /services/till/search HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99999999\r\n\r\n"
    );
    assert_refused(
        &read_response(send_raw(host.address, announced.as_bytes())),
        413,
        "too-large",
    );
    let mut chunked = format!(
        "POST /services/till/search HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..5 {
        chunked.extend_from_slice(b"100000\r\n");
        chunked.extend(std::iter::repeat_n(b'x', 0x10_0000));
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    assert_refused(&read_response(send_raw(host.address, &chunked)), 413, "too-large");
    assert_eq!(count.load(Ordering::SeqCst), 0);
}

/// All engines refuse connections. The caller must be told at once that nothing was run, instead of waiting for its own
/// timeout.
#[test]
fn no_engine_reachable() {
    let engines = (0..3).map(|at| engine(&format!("gone-{at}"), free_address()));
    let host = Host::start(config(engines));
    for stream in [true, false] {
        let answer = post_chat(host.address, &chat("hello", 4, stream).to_string());
        assert_refused(&answer, 503, "overloaded");
        assert!(answer.header("Retry-After").is_some());
    }
}

/// An engine rejects the request itself. Every other engine would too, so the caller gets the error and the engine's
/// breaker stays closed.
#[test]
fn engine_refuses() {
    let address = fake::serve(|_, stream| fake::reply(&stream, "400 Bad Request", "", "temperature"));
    let host = Host::start(config([engine("a", address)]));
    for _ in 0..5 {
        let answer = post_chat(host.address, &chat("hello", 4, true).to_string());
        assert_refused(&answer, 400, "bad-request");
    }
}

#[test]
fn chunked_body() {
    let (host, _) = counting_host();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\
         Expect: 100-continue\r\nConnection: close\r\n\r\n"
    );
    let body = chat("hello", 1, false).to_string();
    let (first, second) = body.split_at(20);
    let chunks = format!(
        "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    );
    let mut connection = send_raw(host.address, head.as_bytes());
    let mut reader = std::io::BufReader::new(connection.try_clone().unwrap());
    assert!(client::read_response_head(&mut reader).starts_with("HTTP/1.1 100"));
    connection.write_all(chunks.as_bytes()).unwrap();
    assert!(client::read_response_head(&mut reader).starts_with("HTTP/1.1 200"));
}

/// Callers announce a body and never send it, like phones that lose their network. Only one request runs at a time
/// here. Guards against slow senders that hold the running slot, or all threads, so that nobody else is served.
#[test]
fn slow_senders() {
    let address = fake::serve(|_, stream| fake::reply(&stream, "200 OK", "", "{}"));
    let options = Options {
        running: Some("1".into()),
        waiting: Some("1".into()),
        connections: Some("16".into()),
        ..Options::default()
    };
    let host = Host::with(config([service("t", "till", address)]), options);
    let announced = format!(
        "POST /services/till/search HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 9000\r\n\r\nstart"
    );
    let mut slow: Vec<_> = (0..8).map(|_| send_raw(host.address, announced.as_bytes())).collect();
    while host.entry.request_counts.reading_bodies() < 8 {
        std::thread::yield_now();
    }
    let answer = call(host.address, "GET", "/services/till/stock/7", &[], b"");
    assert_eq!(answer.status, 200);
    let ninth = read_response(send_raw(host.address, announced.as_bytes()));
    assert_refused(&ninth, 503, "overloaded");
    assert_eq!(ninth.header("Retry-After"), Some("1"));
    let answer = read_response(slow.pop().unwrap());
    assert_refused(&answer, 408, "too-slow");
}

/// More callers connect than there are threads. The one beyond must be refused at once; if it were accepted and left
/// waiting, it would not know that it should go elsewhere.
#[test]
fn too_many_connections() {
    let options = Options {
        connections: Some("16".into()),
        ..Options::default()
    };
    let host = Host::with(config([]), options);
    let _silent: Vec<_> = (0..16).map(|_| send_raw(host.address, b"")).collect();
    let answer = read_response(send_raw(host.address, b""));
    assert_refused(&answer, 503, "overloaded");
}

#[test]
fn connection_reused() {
    let (host, _) = counting_host();
    let one = format!("GET /services/till/stock/1 HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let connection = send_raw(host.address, format!("{one}{one}").as_bytes());
    let mut reader = std::io::BufReader::new(connection);
    for _ in 0..2 {
        assert!(client::read_response_head(&mut reader).starts_with("HTTP/1.1 200"));
        std::io::Read::read_exact(&mut reader, &mut [0; 2]).unwrap();
    }
}
