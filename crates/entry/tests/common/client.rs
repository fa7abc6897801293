//! A plain HTTP client: sends requests as a caller does and reads the responses.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use super::{KEY, MODEL, TIMEOUT};

/// A response that was read completely.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A streamed response that is read event by event.
pub struct Events {
    pub head: String,
    reader: BufReader<TcpStream>,
}

impl Events {
    /// Returns the data of the next event, or `None` at the end of the stream.
    pub fn next(&mut self) -> Option<String> {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some(data) = line.strip_prefix("data: ") {
                return Some(data.trim().to_owned());
            }
        }
    }

    /// Returns the next token; panics if the stream ends before.
    pub fn token(&mut self) -> String {
        loop {
            let data = self.next().expect("a token");
            if let Some(token) = token_of(&data) {
                return token;
            }
        }
    }

    /// Returns the remaining text, and whether the end marker of a complete answer came.
    pub fn rest(&mut self) -> (String, bool) {
        let mut text = String::new();
        while let Some(data) = self.next() {
            if data == "[DONE]" {
                return (text, true);
            }
            text.extend(token_of(&data));
        }
        (text, false)
    }

    pub fn request_id(&self) -> String {
        header(&self.head, "X-Request-Id").unwrap().to_owned()
    }
}

pub fn token_of(data: &str) -> Option<String> {
    let event: Value = serde_json::from_str(data).ok()?;
    event["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
}

pub fn chat(prompt: &str, tokens: u64, stream: bool) -> Value {
    json!({"model": MODEL, "stream": stream, "max_tokens": tokens, "messages": [{"role": "user", "content": prompt}]})
}

/// Returns the complete answer that the simulated engine generates for a prompt.
pub fn expected(prompt: &str, tokens: u64) -> String {
    let messages = [("user".to_owned(), prompt.to_owned())];
    let (prompt, begun) = standin::engine::continuation(&messages, false);
    (begun..tokens).map(|at| standin::engine::token(prompt, at)).collect()
}

/// Starts a streamed chat completion and reads its head.
pub fn stream(entry: SocketAddr, prompt: &str, tokens: u64) -> Events {
    let body = chat(prompt, tokens, true).to_string();
    let connection = send(entry, "POST", "/v1/chat/completions", &[], body.as_bytes());
    let mut reader = BufReader::new(connection);
    let head = read_response_head(&mut reader);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    Events { head, reader }
}

pub fn post_chat(entry: SocketAddr, body: &str) -> Response {
    call(entry, "POST", "/v1/chat/completions", &[], body.as_bytes())
}

pub fn call(entry: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Response {
    read_response(send(entry, method, path, headers, body))
}

/// Sends a request; an `Authorization` header in `headers` replaces the default key.
pub fn send(entry: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> TcpStream {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Authorization") {
        write!(head, "Authorization: Bearer {KEY}\r\n").unwrap();
    }
    if !body.is_empty() {
        write!(head, "Content-Length: {}\r\n", body.len()).unwrap();
    }
    for (name, value) in headers {
        write!(head, "{name}: {value}\r\n").unwrap();
    }
    send_raw(entry, &[head.as_bytes(), b"\r\n", body].concat())
}

/// Opens a connection and sends raw bytes.
pub fn send_raw(entry: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut connection = TcpStream::connect(entry).unwrap();
    connection.set_read_timeout(Some(TIMEOUT)).unwrap();
    connection.set_nodelay(true).unwrap();
    // The server may refuse the request and close before everything is sent.
    let _ = connection.write_all(bytes);
    connection
}

/// Reads a response.
pub fn read_response(connection: TcpStream) -> Response {
    let mut reader = BufReader::new(connection);
    let head = read_response_head(&mut reader);
    let mut body = Vec::new();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or_default();
    match header(&head, "Content-Length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).unwrap();
        }
        None => {
            let _ = reader.read_to_end(&mut body);
        }
    }
    Response { status, head, body }
}

pub fn read_response_head(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            break;
        }
    }
    head
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let pairs = head.lines().filter_map(|line| line.split_once(": "));
    pairs
        .filter(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
        .next()
}
