//! Answers of a plain service that are not surely whole and surely its own.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use upstream::service::{ServiceCall, ServiceClient};

/// Size of a request that no kernel takes at once.
const UPLOAD_BYTES: usize = 3_000_000;

/// Starts a service that writes a text as soon as a request has begun to arrive, and then ends the connection.
fn service(text: String, end: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let text = text.clone();
            thread::spawn(move || {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let mut byte = [0];
                    if stream.read_exact(&mut byte).is_err() {
                        return;
                    }
                    head.push(byte[0]);
                }
                // The client may have gone.
                let _ = stream.write_all(text.as_bytes());
                end(&mut stream);
            });
        }
    });
    address
}

fn end_in_order(stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut Vec::new());
}

fn call(address: SocketAddr, body: &[u8]) -> Option<u16> {
    let client = ServiceClient::new(Duration::from_secs(1));
    let call = ServiceCall {
        method: "POST",
        path: "/deposit",
        headers: &[],
        body,
    };
    let answer = client.send(address, &call, Duration::from_secs(5));
    answer.ok().map(|answer| answer.status)
}

/// Guards against a status that is none of a final answer and is passed on as one.
#[test]
fn odd_statuses() {
    for status in ["000", "099", "101", "199", "600", "999"] {
        let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 6\r\n\r\nbooked");
        assert_eq!(call(service(text, end_in_order), b"x"), None, "{status}");
    }
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked".to_owned();
    assert_eq!(call(service(text, end_in_order), b"x"), Some(200));
}

/// Guards against a head that is cut anywhere and passed on as an answer with an empty or short body.
#[test]
fn cut_heads() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nNote: n\r\n\r\n";
    for until in 0..head.len() {
        let address = service(head[..until].to_owned(), end_in_order);
        assert_eq!(call(address, b"x"), None, "cut after {until} bytes");
    }
}

/// Guards against a part of an answer without length that is taken for whole although its connection was reset.
#[test]
fn reset_uploads() {
    let upload = vec![b'x'; UPLOAD_BYTES];
    for _ in 0..20 {
        let text = "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned();
        assert_eq!(call(service(text, |_| {}), &upload), None);
    }
}
