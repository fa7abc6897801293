//! The text of answers is a function of the prompt, which is what other tests check whole answers by.
//!
//! That this package has a test also makes `cargo test --workspace` build its program, which tests of others start.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use standin::engine::{continuation, token};

/// A process that ends with the test.
struct Engine(Child);

impl Drop for Engine {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn said(role: &str, content: &str) -> (String, String) {
    (role.to_owned(), content.to_owned())
}

#[test]
fn continued_answer() {
    let asked = vec![said("user", "a labret in titanium")];
    let (prompt, begun) = continuation(&asked, false);
    assert_eq!(begun, 0);
    let made: String = (0..3).map(|position| token(prompt, position)).collect();
    let mut resumed = asked;
    resumed.push(said("assistant", &made));
    assert_eq!(continuation(&resumed, true), (prompt, 3));
    let (later_turn, _) = continuation(&resumed, false);
    assert_ne!(later_turn, prompt);
}

#[test]
fn served_answer() {
    let program = env!("CARGO_BIN_EXE_gentian-standin");
    let mut command = Command::new(program);
    command.args(["engine", "--model", "m", "--decode-us", "100"]);
    let mut engine = Engine(command.stdout(Stdio::piped()).spawn().unwrap());
    let mut line = String::new();
    let out = engine.0.stdout.take().unwrap();
    BufReader::new(out).read_line(&mut line).unwrap();
    let address: SocketAddr = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
    let body = r#"{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}"#;
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: m\r\nConnection: close\r\n"
    )
    .unwrap();
    write!(stream, "Content-Length: {length}\r\n\r\n{body}").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (prompt, _) = continuation(&[said("user", "hello")], false);
    let expected: String = (0..4).map(|position| token(prompt, position)).collect();
    assert!(answer.contains(&expected), "{answer}");
}
