//! Clients of a process whose host does not answer.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use wire::client::RpcRuntime;

/// Longest wait of a call, far beyond what a caller would accept.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);

/// Guards against a host that waits out the timeout of a call to a state node without power, while other nodes could
/// answer.
#[test]
fn dark_host() {
    let rpc = RpcRuntime::start(1, CALL_TIMEOUT).expect("a thread starts");
    let (address, _held) = unanswering_address();
    let error = rpc
        .reachable_client(address, Duration::ZERO)
        .expect_err("nobody accepts");
    assert_eq!((error.step, error.peer), ("connect", address));
}

/// Guards against a check that keeps a host from the nodes that do answer.
#[test]
fn running_host() {
    let rpc = RpcRuntime::start(1, CALL_TIMEOUT).expect("a thread starts");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    rpc.reachable_client(address, Duration::ZERO)
        .expect("the system accepts");
}

/// Returns an address that neither accepts nor refuses connections while its listener, whose queue is full, is held.
fn unanswering_address() -> (SocketAddr, (TcpListener, Vec<TcpStream>)) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    let queue = (0..8_192).map_while(connect).collect();
    (address, (listener, queue))
}
