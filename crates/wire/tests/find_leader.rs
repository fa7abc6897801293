//! The client of the state group finds the leader, and does not wait for an unresponsive node in every call.

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

/// Starts a node that gives the same reply to every claim; it runs until the test process ends.
fn node(runtime: &RpcRuntime, reply: Claimed) -> SocketAddr {
    let server = runtime.wait(Server::builder().build("127.0.0.1:0")).unwrap();
    let address = server.local_addr().unwrap();
    let mut module = RpcModule::new(reply);
    let message = |reply: &Claimed| Envelope::new(&"node".into(), Revision(1), reply.clone());
    module
        .register_method("state_claim", move |_, reply, _| {
            serde_json::to_value(message(reply)).unwrap()
        })
        .unwrap();
    let handle = runtime.wait(async { server.start(module) });
    std::mem::forget(handle);
    address
}

/// Starts a node behind a network partition, which accepts connections and never responds; also returns its connection
/// count.
fn silent_node() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::SeqCst);
            open.push(stream);
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

/// Guards against taking the reply of a partitioned node as final. It reports that there is no quorum while another
/// node is the leader, and every non-idempotent call through this host would be rejected without need.
#[test]
fn partitioned_node() {
    let runtime = RpcRuntime::start(2, Duration::from_secs(5)).unwrap();
    let (partitioned, leading) = (node(&runtime, no_quorum()), node(&runtime, Claimed::Granted));
    let leader = Some(leading);
    let follower = node(&runtime, Claimed::Unavailable(Unavailable::NotLeader { leader }));
    for peers in [
        [partitioned, leading, follower],
        [follower, partitioned, leading],
        [partitioned, follower, leading],
    ] {
        let client = StateClient::new(&runtime, &"tester".into(), &peers).unwrap();
        assert_eq!(claim(&client).unwrap(), Claimed::Granted);
    }
}

/// Guards against waiting for unresponsive nodes in every call. The host is on the minority side of a network partition
/// with one node; the first call finds that the other nodes don't respond, and later calls get the reply of the
/// reachable node at once.
#[test]
fn unresponsive_nodes() {
    let runtime = RpcRuntime::start(2, Duration::from_secs(1)).unwrap();
    let ((far, far_count), (other, other_count)) = (silent_node(), silent_node());
    let near = node(&runtime, no_quorum());
    let client = StateClient::new(&runtime, &"tester".into(), &[far, near, other]).unwrap();
    assert!(
        claim(&client).is_err(),
        "an unresponsive node may have written the claim"
    );
    assert_eq!(claim(&client).unwrap(), no_quorum());
    assert_eq!(claim(&client).unwrap(), no_quorum());
    assert_eq!(
        (far_count.load(Ordering::SeqCst), other_count.load(Ordering::SeqCst)),
        (1, 1)
    );
}
