//! The client of the state group finds who decides, and doesn't wait again and again for who is silent.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use contract::Revision;
use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use wire::Envelope;
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Claim, Claimed, Unavailable};

/// A node that gives the same answer to every claim; it lives as long as the test.
fn node(calls: &RpcRuntime, answer: Claimed) -> SocketAddr {
    let server = calls.wait(Server::builder().build("127.0.0.1:0")).unwrap();
    let address = server.local_addr().unwrap();
    let mut module = RpcModule::new(answer);
    let reply = |answer: &Claimed| Envelope::new(&"node".into(), Revision(1), answer.clone());
    module
        .register_method("state_claim", move |_, answer, _| {
            serde_json::to_value(reply(answer)).unwrap()
        })
        .unwrap();
    let handle = calls.wait(async { server.start(module) });
    std::mem::forget(handle);
    address
}

/// Something behind a cut: it takes connections and never answers.
fn silence() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&count);
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming().flatten() {
            seen.fetch_add(1, Ordering::SeqCst);
            kept.push(stream);
        }
    });
    (address, count)
}

fn claim(client: &StateClient) -> Result<Claimed, wire::client::CallError> {
    let claim = Claim {
        group: 0,
        customer: "customer".into(),
        key: "key".to_owned(),
        digest: String::new(),
        request: "request".into(),
        hold_ms: 1_000,
    };
    client.claim(Revision(1), &claim)
}

fn no_quorum() -> Claimed {
    let reason = "no leader is known".to_owned();
    Claimed::Unavailable(Unavailable::NoQuorum { reason })
}

/// One node is cut off and says that there is no quorum, while another leads. Its word must not be the last one, or every
/// deposit that comes in through this host is refused although nothing is wrong.
#[test]
fn cut_node_first() {
    let calls = RpcRuntime::start(2, Duration::from_secs(5)).unwrap();
    let (cut, good) = (node(&calls, no_quorum()), node(&calls, Claimed::Granted));
    let leader = Some(good);
    let hint = node(&calls, Claimed::Unavailable(Unavailable::NotLeader { leader }));
    for peers in [[cut, good, hint], [hint, cut, good], [cut, hint, good]] {
        let client = StateClient::new(&calls, &"tester".into(), &peers).unwrap();
        assert_eq!(claim(&client).unwrap(), Claimed::Granted);
    }
}

/// The host is on the small side of a cut with one node; the others are silent. The first call finds that out, the next
/// ones get the near node's word at once instead of waiting for the others again.
#[test]
fn silent_nodes() {
    let calls = RpcRuntime::start(2, Duration::from_secs(1)).unwrap();
    let ((far, far_count), (other, other_count)) = (silence(), silence());
    let near = node(&calls, no_quorum());
    let client = StateClient::new(&calls, &"tester".into(), &[far, near, other]).unwrap();
    // The first answer is the careful one: a silent node may have written the claim.
    assert!(claim(&client).is_err(), "a silent node may have written it");
    assert_eq!(claim(&client).unwrap(), no_quorum());
    assert_eq!(claim(&client).unwrap(), no_quorum());
    assert_eq!(
        (far_count.load(Ordering::SeqCst), other_count.load(Ordering::SeqCst)),
        (1, 1)
    );
}
