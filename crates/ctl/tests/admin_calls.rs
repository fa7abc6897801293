//! Calls to the administration API when nodes are gone.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;

use ctl::admin::{Admin, AdminError, Ask};

const ASK: Ask<'_> = Ask {
    method: "GET",
    path: "/v1/contracts",
    change: None,
    body: "",
};

/// A node that takes connections and never answers, as one that was cut off or stopped.
fn silent() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&count);
    spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming() {
            seen.fetch_add(1, Ordering::SeqCst);
            held.push(stream);
        }
    });
    (address, count)
}

fn answers(body: &'static str) -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    spawn(move || {
        for request in server.incoming_requests() {
            request.respond(tiny_http::Response::from_string(body)).unwrap();
        }
    });
    address
}

fn admin(peers: &[SocketAddr]) -> Admin {
    Admin::new(peers.to_vec(), "operator-key-of-the-test".to_owned())
}

/// A data centre is cut off and its state node answers nothing. The operator's change must reach another node.
#[test]
fn next_node() {
    let (cut, _) = silent();
    let value = admin(&[cut, answers("{\"revision\": 4}")])
        .call(&ASK)
        .expect("the other node");
    assert_eq!(value["revision"], 4);
}

/// No node answers. The operator is told after one wait for each node, and which nodes were asked.
#[test]
fn asked_once() {
    let (cut, count) = silent();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = admin(&[cut, gone]).call(&ASK).expect_err("nobody answers");
    assert_eq!(count.load(Ordering::SeqCst), 1);
    assert!(matches!(error, AdminError::Undecided { .. }), "{error}");
    let text = error.to_string();
    assert!(
        text.contains(&cut.to_string()) && text.contains(&gone.to_string()),
        "{text}"
    );
}
