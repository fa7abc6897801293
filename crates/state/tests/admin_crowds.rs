//! Crowds at the administration API of a state node that send what doesn't end.

#[expect(dead_code, reason = "other tests use more of it")]
mod nodes;

use std::net::SocketAddr;
use std::path::Path;

use nodes::{KEY, Nodes, wait};
use standin::crowd::{Crowd, UsageWatch};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gentian-state");
/// Most memory that the node may take, in megabytes.
const MEMORY_MB: u64 = 96;
/// Bytes that connections may hold, in megabytes, and how many there may be.
const LIMITS: [(&str, &str); 2] = [("GENTIAN_INTAKE_MB", "16"), ("GENTIAN_CONNECTIONS", "64")];
/// Size of a crowd.
const OPERATORS: usize = 120;
/// Bytes that each of them sends, as many as the longest body.
const SENT_BYTES: usize = 1024 * 1024;
/// Bytes that an operator sends in turn with the others.
const PIECE_BYTES: usize = 64 * 1024;

/// Sends bytes on many connections to a node, and checks that it answers an operator meanwhile and keeps its memory.
fn check(bytes: &[u8]) {
    let nodes = Nodes::start_with(Path::new(PROGRAM), 1, &LIMITS);
    let admin = nodes.admin[0];
    wait("an answer", || read_config(admin));
    let watch = UsageWatch::start(nodes.pid(0).unwrap(), &[admin]);
    let mut crowd = Crowd::connect(admin, OPERATORS);
    crowd.send(bytes, PIECE_BYTES);
    wait("an answer beside a crowd", || read_config(admin));
    drop(crowd);
    assert!(nodes.status(0).is_some(), "the node has ended");
    let megabytes = watch.finish().memory_bytes / 1_000_000;
    assert!(megabytes <= MEMORY_MB, "the node took {megabytes} MB of {MEMORY_MB}");
}

fn read_config(admin: SocketAddr) -> Option<()> {
    let config = ureq::Agent::config_builder().timeout_global(Some(std::time::Duration::from_secs(4)));
    let agent: ureq::Agent = config.build().into();
    let call = agent.get(format!("http://{admin}/v1/config"));
    let response = call.header("Authorization", format!("Bearer {KEY}")).call().ok()?;
    (response.status().as_u16() == 200).then_some(())
}

/// Guards against bodies that lack their end, which take all threads of the API and its memory.
#[test]
fn unfinished_bodies() {
    let mut request = format!(
        "PUT /v1/contracts/a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {SENT_BYTES}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + SENT_BYTES - 1, b'x');
    check(&request);
}

/// Guards against header lines without end.
#[test]
fn endless_heads() {
    let mut head = b"PUT /v1/contracts/a HTTP/1.1\r\nHost: a\r\nLong: ".to_vec();
    head.resize(SENT_BYTES, b'x');
    check(&head);
}
