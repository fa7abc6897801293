//! A caller's connection and the responses that it reads.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::TEST_TIMEOUT;

/// A caller's connection.
pub struct Caller(pub BufReader<TcpStream>);

/// A response as a caller reads it.
#[derive(Debug)]
pub struct Response {
    /// Status code; zero if the connection ended before a response.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// The body as far as it arrived.
    pub body: String,
    /// Whether the whole body arrived.
    pub complete: bool,
}

impl Caller {
    /// Sends a request to the path of the test route.
    pub fn send(&mut self, headers: &str, body: &str) {
        self.send_to("/x/1", headers, body);
    }

    /// Sends a request to a path.
    pub fn send_to(&mut self, path: &str, headers: &str, body: &str) {
        let head = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nId: q1\r\n{headers}");
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        self.write(&text);
    }

    /// Sends bytes as they are.
    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads a response.
    pub fn read_response(&mut self) -> Response {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return Response {
                    status: 0,
                    head,
                    body: String::new(),
                    complete: false,
                };
            }
            head += &line;
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (body, complete) = if head.contains("Transfer-Encoding: chunked") {
            self.read_chunks()
        } else {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let mut body = vec![0; length.map_or(0, |text| text.parse().unwrap())];
            let complete = self.0.read_exact(&mut body).is_ok();
            (String::from_utf8(body).unwrap(), complete)
        };
        Response {
            status,
            head,
            body,
            complete,
        }
    }

    fn read_chunks(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let mut chunk = vec![0; size + 2];
            if self.0.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body += std::str::from_utf8(&chunk[..size]).unwrap();
        }
    }
}
