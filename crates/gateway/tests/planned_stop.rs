//! A planned stop: the balancer hears of it at once, and no request is taken that the stop would cut.

mod common;

use std::time::{Duration, Instant};

use common::{Host, Upstream, answer};
use contract::Repeatable;
use gateway::gate::Shared;

fn ready(host: &Host) -> u16 {
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

fn till() -> Upstream {
    Upstream::start(Box::new(|seen, stream| {
        answer(seen, stream, "200 OK", "Signed: s\r\n", "booked")
    }))
}

#[test]
fn ready_then_not() {
    let till = till();
    let host = Host::start(Repeatable::Once, 1, &[&till]);
    assert_eq!(ready(&host), 200);
    host.stop();
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(ready(&host), 503);
    // Callers whom the balancer still sends are served, and told to connect elsewhere next time.
    let reply = host.ask("", "deposit");
    assert_eq!(reply.status, 200);
    assert!(reply.head.contains("Connection: close"));
}

/// A caller keeps a connection open while the host stops, and sends a long request when the process is about to end. It
/// would be cut in the middle of its answer; instead it hears that it was not run, or finds the connection closed.
#[test]
fn late_in_stop() {
    let till = till();
    let host = Host::start(Repeatable::Once, 1, &[&till]);
    let mut caller = host.connect();
    host.stop();
    let begun = Instant::now();
    // Bytes of an unfinished head keep the connection from being idle.
    caller.write("POST /x/1 HTTP/1.1\r\n");
    while begun.elapsed() < Duration::from_millis(2_900) {
        std::thread::sleep(Duration::from_millis(20));
    }
    caller.write("Host: a.example\r\nId: q1\r\nContent-Length: 0\r\n\r\n");
    let reply = caller.reply();
    assert!(matches!(reply.status, 503 | 0), "{reply:?}");
    assert_eq!(till.count(), 0);
}

/// A process that knows no configuration yet can't tell a wrong path from one that it has not heard of.
#[test]
fn nothing_known() {
    let host = Host::run(std::sync::Arc::new(Shared::default()));
    assert_eq!(ready(&host), 503);
    assert_eq!(host.ask("", "").status, 503);
}

/// All processes were restarted, and callers come while the state group still elects its leader. They wait for a moment and
/// are served, instead of being sent away with their only repeat.
#[test]
fn known_soon() {
    let till = till();
    let known = Host::shared(Repeatable::Once, 1, 5_000, &[&till]);
    let empty = std::sync::Arc::new(Shared::default());
    let host = Host::run(std::sync::Arc::clone(&empty));
    let mut caller = host.connect();
    caller.send("Wait-Ms: 3000\r\n", "deposit");
    std::thread::sleep(Duration::from_millis(300));
    *empty.new_list.lock() = known.new_list.lock().take();
    empty.table.store(known.table.load_full());
    assert_eq!(caller.reply().status, 200);
}
