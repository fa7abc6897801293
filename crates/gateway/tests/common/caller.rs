//! A caller's connection and the answers that it reads.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::PATIENCE;

/// A caller's connection.
pub struct Caller(pub BufReader<TcpStream>);

/// An answer as a caller read it.
#[derive(Debug)]
pub struct Reply {
    /// Status code; zero when the connection ended before an answer.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// Its body as far as it came.
    pub body: String,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Caller {
    /// Sends a request.
    pub fn send(&mut self, lines: &str, body: &str) {
        self.send_to("/x/1", lines, body);
    }

    /// Sends a request for a path.
    pub fn send_to(&mut self, path: &str, lines: &str, body: &str) {
        let head = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nId: q1\r\n{lines}");
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        self.write(&text);
    }

    /// Sends bytes as they are.
    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads an answer.
    pub fn reply(&mut self) -> Reply {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return Reply {
                    status: 0,
                    head,
                    body: String::new(),
                    whole: false,
                };
            }
            head += &line;
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (body, whole) = if head.contains("Transfer-Encoding: chunked") {
            self.chunks()
        } else {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let mut body = vec![0; length.map_or(0, |text| text.parse().unwrap())];
            let whole = self.0.read_exact(&mut body).is_ok();
            (String::from_utf8(body).unwrap(), whole)
        };
        Reply {
            status,
            head,
            body,
            whole,
        }
    }

    fn chunks(&mut self) -> (String, bool) {
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
