//! A planned stop: the balancer notices it at once, and no request is accepted that the stop would cut off.

mod common;

use std::time::{Duration, Instant};

use common::{Host, Upstream, respond};
use contract::RetryMode;
use gateway::gate::Shared;

fn readiness(host: &Host) -> u16 {
    let mut stream = std::net::TcpStream::connect(host.ready).unwrap();
    std::io::Write::write_all(
        &mut stream,
        b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    )
    .unwrap();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    text.split(' ').nth(1).unwrap().parse().unwrap()
}

fn accepting_upstream() -> Upstream {
    Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "200 OK", "Signed: s\r\n", "booked")
    }))
}

#[test]
fn readiness_on_stop() {
    let upstream = accepting_upstream();
    let host = Host::start(RetryMode::Once, 1, &[&upstream]);
    assert_eq!(readiness(&host), 200);
    host.stop();
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(readiness(&host), 503);
    // Callers that the balancer still sends are served, and asked to connect to another host next time.
    let response = host.request("", "deposit");
    assert_eq!(response.status, 200);
    assert!(response.head.contains("Connection: close"));
}

/// Guards against a long request that is cut off by the end of the process, because it arrives late on a connection
/// that is still open. It has to be refused as not run, or the connection closed.
#[test]
fn request_during_stop() {
    let upstream = accepting_upstream();
    let host = Host::start(RetryMode::Once, 1, &[&upstream]);
    let mut caller = host.connect();
    host.stop();
    let started = Instant::now();
    // An incomplete head keeps the connection from being closed as idle.
    caller.write("POST /x/1 HTTP/1.1\r\n");
    while started.elapsed() < Duration::from_millis(2_900) {
        std::thread::sleep(Duration::from_millis(20));
    }
    caller.write("Host: a.example\r\nId: q1\r\nContent-Length: 0\r\n\r\n");
    let response = caller.read_response();
    assert!(matches!(response.status, 503 | 0), "{response:?}");
    assert_eq!(upstream.request_count(), 0);
}

/// Guards against a final 404 from a host that has no catalog yet and can't know whether a route exists.
#[test]
fn no_config() {
    let host = Host::run(std::sync::Arc::new(Shared::default()));
    assert_eq!(readiness(&host), 503);
    assert_eq!(host.request("", "").status, 503);
}

/// Guards against refusals after a restart of all processes, while the state group elects a leader: callers would use
/// up their only retry. They have to wait a moment and be served.
#[test]
fn waits_for_config() {
    let upstream = accepting_upstream();
    let configured = Host::shared(RetryMode::Once, 1, 5_000, &[&upstream]);
    let shared = std::sync::Arc::new(Shared::default());
    let host = Host::run(std::sync::Arc::clone(&shared));
    let mut caller = host.connect();
    caller.send("Wait-Ms: 3000\r\n", "deposit");
    std::thread::sleep(Duration::from_millis(300));
    *shared.new_list.lock() = configured.new_list.lock().take();
    shared.table.store(configured.table.load_full());
    assert_eq!(caller.read_response().status, 200);
}
