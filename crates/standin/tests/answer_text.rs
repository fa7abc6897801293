//! Guards against answers whose text is no longer a function of the prompt, by which other tests verify answers.
//!
//! An integration test in this package also makes `cargo test --workspace` build its binary, which the tests of other
//! crates start.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use standin::engine::{continuation, token};

/// An engine process, killed when dropped.
struct EngineProcess(Child);

impl Drop for EngineProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn message(role: &str, content: &str) -> (String, String) {
    (role.to_owned(), content.to_owned())
}

/// A continued answer would repeat or skip tokens if the partial answer changed the id of the prompt.
#[test]
fn continued_answer() {
    let messages = vec![message("user", "a labret in titanium")];
    let (prompt_id, start) = continuation(&messages, false);
    assert_eq!(start, 0);
    let generated: String = (0..3).map(|position| token(prompt_id, position)).collect();
    let mut resumed = messages;
    resumed.push(message("assistant", &generated));
    assert_eq!(continuation(&resumed, true), (prompt_id, 3));
    let (next_prompt_id, _) = continuation(&resumed, false);
    assert_ne!(next_prompt_id, prompt_id);
}

/// A served answer would differ from the one that callers compute if the engine hashed other text than they do.
#[test]
fn served_answer() {
    let program = env!("CARGO_BIN_EXE_gentian-standin");
    let mut command = Command::new(program);
    command.args(["engine", "--model", "m", "--decode-us", "100"]);
    let mut engine = EngineProcess(command.stdout(Stdio::piped()).spawn().unwrap());
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
    let (prompt_id, _) = continuation(&[message("user", "hello")], false);
    let expected: String = (0..4).map(|position| token(prompt_id, position)).collect();
    assert!(answer.contains(&expected), "{answer}");
}
