//! A planned stop finishes all open requests and takes no new ones.

mod common;

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::client::{self, call, expected};
use common::state::FakeState;
use common::{Standin, TIMEOUT, config, engine, fake, free_address, service, signal};

struct EntryProcess {
    child: Child,
    callers: SocketAddr,
    ops: SocketAddr,
}

impl EntryProcess {
    fn start(state: &FakeState) -> Self {
        let [callers, ops, inner] = [free_address(), free_address(), free_address()];
        let child = Command::new(env!("CARGO_BIN_EXE_gentian-entry"))
            .args(["--node", "entry-1", "--data-center", "dc-1", "--notice-ms", "2000"])
            .args(["--listen", &callers.to_string(), "--ops", &ops.to_string()])
            .args(["--inner", &inner.to_string(), "--state", &state.address.to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let process = Self { child, callers, ops };
        wait_until(|| process.readiness_status() == Some(200));
        process
    }

    fn readiness_status(&self) -> Option<u16> {
        let mut connection = std::net::TcpStream::connect(self.ops).ok()?;
        connection.set_read_timeout(Some(TIMEOUT)).ok()?;
        std::io::Write::write_all(&mut connection, b"GET /readyz HTTP/1.0\r\n\r\n").ok()?;
        let mut text = String::new();
        connection.read_to_string(&mut text).ok()?;
        text.split(' ').nth(1)?.parse().ok()
    }
}

fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT);
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry host gets SIGTERM with open streams and requests arriving. Every open answer must be finished, what the
/// load balancer still sends must be served or refused as not run, and the process must exit by itself without an
/// error.
#[test]
fn stop_drains_requests() {
    let a = Standin::engine(&["--decode-us", "30000"]);
    let till = fake::serve(|_, stream| fake::reply(&stream, "200 OK", "", "7"));
    let state = FakeState::start(config([engine("a", a.address), service("t", "till", till)]));
    let mut process = EntryProcess::start(&state);
    let (entry, callers) = (process.callers, 8);
    let streams: Vec<_> = (0..callers)
        .map(|number| {
            std::thread::spawn(move || {
                let prompt = format!("evening {number}");
                let (text, done) = client::stream(entry, &prompt, 150).rest();
                assert_eq!(text, expected(&prompt, 150));
                assert!(done);
            })
        })
        .collect();
    while call(entry, "GET", "/services/till/stock", &[], b"").status != 200 {}
    std::thread::sleep(Duration::from_millis(300));
    signal(process.child.id(), "TERM");
    wait_until(|| process.readiness_status() == Some(503));
    // The load balancer has not noticed yet and still sends requests.
    assert_eq!(call(entry, "GET", "/services/till/stock", &[], b"").status, 200);
    wait_until(|| call(entry, "GET", "/services/till/stock", &[], b"").status == 503);
    let refused = call(entry, "GET", "/services/till/stock", &[], b"");
    assert_eq!(refused.json()["title"], "leaving");
    assert_eq!(refused.header("Gentian-Outcome"), Some("not-run"));
    assert!(refused.header("Retry-After").is_some());
    for stream in streams {
        stream.join().unwrap();
    }
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
}

#[test]
fn idle_stop() {
    let state = FakeState::start(config([]));
    let mut process = EntryProcess::start(&state);
    signal(process.child.id(), "TERM");
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
}
