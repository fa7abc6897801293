//! A fake upstream whose responses the test writes byte by byte.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use super::client::read_response_head;

/// A request that the upstream received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

/// Starts an upstream that handles every request with a function, each on its own thread.
pub fn serve(answer: impl Fn(ReceivedRequest, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                match read(&stream) {
                    // Load report polls are not callers' requests.
                    Some(call) if call.head.starts_with("GET /load ") => reply(&stream, "404 Not Found", "", ""),
                    // Neither are queries for the outcome of an earlier call, which this upstream can't answer.
                    Some(call) if call.head.starts_with("GET /outcomes/") => reply(&stream, "404 Not Found", "", ""),
                    Some(call) => answer(call, stream),
                    None => {}
                }
            });
        }
    });
    address
}

fn read(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let head = read_response_head(&mut reader);
    if head.is_empty() {
        return None;
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("Content-Length")
            .then(|| value.parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    if head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        chunked_transfer::Decoder::new(reader).read_to_end(&mut body).ok()?;
    } else {
        reader.read_exact(&mut body).ok()?;
    }
    Some(ReceivedRequest { head, body })
}

/// Sends the head of an event stream.
pub fn begin(mut stream: &TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    // The test checks for closed connections itself.
    let _ = stream.write_all(head.as_bytes());
}

/// Sends one token; returns whether the connection was still open.
pub fn token(mut stream: &TcpStream, token: &str) -> bool {
    let event = format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n");
    stream.write_all(event.as_bytes()).is_ok()
}

/// Sends the end marker.
pub fn done(mut stream: &TcpStream) {
    let _ = stream.write_all(b"data: [DONE]\n\n");
}

/// Sends a response with a body and some header lines.
pub fn reply(mut stream: &TcpStream, status: &str, headers: &str, body: &str) {
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n{headers}\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(text.as_bytes());
}

/// Waits until the other side closes the connection.
pub fn wait_closed(mut stream: &TcpStream) {
    let mut sink = [0; 256];
    while matches!(stream.read(&mut sink), Ok(count) if count > 0) {}
}
