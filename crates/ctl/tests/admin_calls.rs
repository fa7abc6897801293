//! Calls to the administration API while nodes are unreachable.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;

use ctl::admin::{AdminClient, AdminError, AdminRequest};

const REQUEST: AdminRequest<'_> = AdminRequest {
    method: "GET",
    path: "/v1/contracts",
    change_id: None,
    body: "",
};

/// Starts a node that accepts connections and never answers, like an unreachable or frozen one, and counts connections.
fn start_silent() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            counter.fetch_add(1, Ordering::SeqCst);
            open.push(stream);
        }
    });
    (address, count)
}

/// Starts a node that answers every call with the given body.
fn start_answering(body: &'static str) -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    spawn(move || {
        for request in server.incoming_requests() {
            request.respond(tiny_http::Response::from_string(body)).unwrap();
        }
    });
    address
}

fn admin(peers: &[SocketAddr]) -> AdminClient {
    AdminClient::new(peers.to_vec(), "operator-key-of-the-test".to_owned())
}

/// A data centre is unreachable and its state node doesn't answer. The call must reach another node.
#[test]
fn next_node() {
    let (silent, _) = start_silent();
    let value = admin(&[silent, start_answering("{\"revision\": 4}")])
        .call(&REQUEST)
        .expect("the other node");
    assert_eq!(value["revision"], 4);
}

/// No node answers. The call must fail after one timeout for each silent node, not one in every round, and the error
/// must name the nodes that were called.
#[test]
fn called_once() {
    let (silent, count) = start_silent();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = admin(&[silent, closed]).call(&REQUEST).expect_err("nobody answers");
    assert_eq!(count.load(Ordering::SeqCst), 1);
    assert!(matches!(error, AdminError::Undecided { .. }), "{error}");
    let text = error.to_string();
    assert!(
        text.contains(&silent.to_string()) && text.contains(&closed.to_string()),
        "{text}"
    );
}
