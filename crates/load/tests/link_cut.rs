//! Links pass bytes on, count them and can be cut.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use load::link::Link;

#[test]
fn counts_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::open(listener.local_addr().unwrap()).unwrap();
    let mut near = TcpStream::connect(link.address()).unwrap();
    near.write_all(b"hello").unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let mut bytes = [0; 5];
    far.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"hello");
    assert_eq!(link.bytes(), 5);
}

/// The network between two data centres drops everything without a word. Whoever waits sees silence, and what was
/// written arrives once the cut has healed.
#[test]
fn cut_is_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::open(listener.local_addr().unwrap()).unwrap();
    let mut near = TcpStream::connect(link.address()).unwrap();
    near.write_all(b"a").unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let mut byte = [0];
    far.read_exact(&mut byte).unwrap();
    link.set_cut(true);
    near.write_all(b"b").unwrap();
    far.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    far.read_exact(&mut byte).unwrap_err();
    link.set_cut(false);
    far.set_read_timeout(None).unwrap();
    far.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"b");
}
