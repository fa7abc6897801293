//! Parsers of upstream responses: any input leads to a value or an error, within the memory limits.

use std::io::{Cursor, Read};
use std::net::SocketAddr;

use quickcheck::{Gen, QuickCheck};
use upstream::cloud::{CloudHost, HostPrice, ReclaimNotice};
use upstream::engine::{CacheEvent, LoadReport, StreamEvent, TokenStream};
use upstream::kv::ExportedCache;
use upstream::orders::EngineState;

const PEER: ([u8; 4], u16) = ([127, 0, 0, 1], 9);
/// Longest line that the stream reader accepts.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

fn check(property: fn(Vec<u8>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 5))
        .tests(2_000)
        .quickcheck(property);
}

fn stream(bytes: Vec<u8>) -> TokenStream {
    TokenStream::new(SocketAddr::from(PEER), Box::new(Cursor::new(bytes)))
}

fn read_to_end(mut stream: TokenStream) -> (usize, bool) {
    let mut tokens = 0;
    loop {
        match stream.next_event() {
            Ok(StreamEvent::Token(_)) => tokens += 1,
            Ok(StreamEvent::Usage(_)) => {}
            Ok(StreamEvent::Done) => return (tokens, true),
            Err(_) => return (tokens, false),
        }
    }
}

#[test]
fn arbitrary_stream() {
    fn ends(bytes: Vec<u8>) -> bool {
        let (_, complete) = read_to_end(stream(bytes.clone()));
        // Only the end marker completes a response.
        !complete || String::from_utf8_lossy(&bytes).contains("[DONE]")
    }
    check(ends);
}

/// Guards against a truncated completion that passes for complete. An engine breaks off at any byte of a valid stream;
/// every token before that counts, and only the end marker completes the response.
#[test]
fn truncated_stream() {
    fn reads_prefix(noise: Vec<u8>) -> bool {
        let token = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n";
        let text = format!(": wait\n\n{token}{token}data: [DONE]\n\n");
        let length = noise.iter().map(|byte| usize::from(*byte)).sum::<usize>() % text.len();
        let (tokens, complete) = read_to_end(stream(text.as_bytes()[..length].to_vec()));
        let sent_tokens = text[..length].matches("}]}\n").count();
        tokens == sent_tokens && complete == text[..length].contains("[DONE]\n")
    }
    check(reads_prefix);
}

#[test]
fn arbitrary_json() {
    fn parses(bytes: Vec<u8>) -> bool {
        // Parsing may succeed or fail, but must not panic.
        let _ = serde_json::from_slice::<LoadReport>(&bytes);
        let _ = serde_json::from_slice::<Vec<CacheEvent>>(&bytes);
        let _ = serde_json::from_slice::<Vec<CloudHost>>(&bytes);
        let _ = serde_json::from_slice::<Vec<ReclaimNotice>>(&bytes);
        let _ = serde_json::from_slice::<Vec<HostPrice>>(&bytes);
        let _ = serde_json::from_slice::<ExportedCache>(&bytes);
        serde_json::from_slice::<EngineState>(&bytes).is_err()
    }
    check(parses);
}

/// Guards against a partial list of hosts, in which the missing ones would look gone: a truncated list, or one with an
/// invalid field, must be rejected as a whole.
#[test]
fn truncated_list() {
    let list = r#"[{"id":"h","incarnation":1,"zone":"a","class":"reclaimable","stage":"serving"}]"#;
    assert_eq!(serde_json::from_str::<Vec<CloudHost>>(list).expect("list").len(), 1);
    for at in 0..list.len() {
        serde_json::from_str::<Vec<CloudHost>>(&list[..at]).expect_err("truncated");
    }
    let wrong = list.replace("\"incarnation\":1", "\"incarnation\":-1");
    serde_json::from_str::<Vec<CloudHost>>(&wrong).expect_err("negative");
}

/// Guards against a line without end, which would fill the memory of the entry host and fail all its requests: the
/// reader must stop at its limit.
#[test]
fn endless_line() {
    struct Endless(std::sync::Arc<std::sync::atomic::AtomicU64>);
    impl Read for Endless {
        fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
            buf.fill(b'x');
            self.0.fetch_add(buf.len() as u64, std::sync::atomic::Ordering::Relaxed);
            Ok(buf.len())
        }
    }
    let read = std::sync::Arc::default();
    let mut stream = TokenStream::new(SocketAddr::from(PEER), Box::new(Endless(std::sync::Arc::clone(&read))));
    stream.next_event().expect_err("too long");
    assert!(read.load(std::sync::atomic::Ordering::Relaxed) <= MAX_LINE_BYTES + 4_096);
}
