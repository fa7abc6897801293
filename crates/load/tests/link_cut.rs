//! Forwarding, counting and cutting of links.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use load::link::Link;

/// Guards against wrong byte counts, on which the cost figures rest.
#[test]
fn counts_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::open(listener.local_addr().unwrap()).unwrap();
    let mut client = TcpStream::connect(link.address()).unwrap();
    client.write_all(b"hello").unwrap();
    let (mut server, _) = listener.accept().unwrap();
    let mut bytes = [0; 5];
    server.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"hello");
    assert_eq!(link.bytes(), 5);
}

/// Guards against cuts that close the connection or lose data: a network that drops packets shows as silence, and TCP
/// delivers the data once it is restored.
#[test]
fn silent_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::open(listener.local_addr().unwrap()).unwrap();
    let mut client = TcpStream::connect(link.address()).unwrap();
    client.write_all(b"a").unwrap();
    let (mut server, _) = listener.accept().unwrap();
    let mut byte = [0];
    server.read_exact(&mut byte).unwrap();
    link.set_cut(true);
    client.write_all(b"b").unwrap();
    server.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    server.read_exact(&mut byte).unwrap_err();
    link.set_cut(false);
    server.set_read_timeout(None).unwrap();
    server.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"b");
}
