//! Parsers of what upstreams send: whatever comes, they give a value or an error and never hold more than their bounds.

use std::io::{Cursor, Read};
use std::net::SocketAddr;

use quickcheck::{Gen, QuickCheck};
use upstream::cloud::{CloudHost, HostPrice, ReclaimNotice};
use upstream::engine::{CacheEvent, LoadReport, StreamEvent, TokenStream};
use upstream::kv::ExportedCache;
use upstream::orders::EngineState;

const PEER: ([u8; 4], u16) = ([127, 0, 0, 1], 9);
/// Most bytes of one line that may be read before it is given up.
const MAX_LINE: u64 = 1024 * 1024;

fn check(property: fn(Vec<u8>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 5))
        .tests(2_000)
        .quickcheck(property);
}

fn stream(bytes: Vec<u8>) -> TokenStream {
    TokenStream::new(SocketAddr::from(PEER), Box::new(Cursor::new(bytes)))
}

fn drain(mut stream: TokenStream) -> (usize, bool) {
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
fn any_stream() {
    fn ends(bytes: Vec<u8>) -> bool {
        let (_, whole) = drain(stream(bytes.clone()));
        // Only the mark of the end makes an answer whole.
        !whole || String::from_utf8_lossy(&bytes).contains("[DONE]")
    }
    check(ends);
}

/// An engine breaks off somewhere within an answer that was sent correctly. Every token before the break counts and the
/// answer isn't taken for whole; otherwise a caller would get half a consultation as a finished one.
#[test]
fn cut_stream() {
    fn cut(noise: Vec<u8>) -> bool {
        let token = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n";
        let text = format!(": wait\n\n{token}{token}data: [DONE]\n\n");
        let at = noise.iter().map(|byte| usize::from(*byte)).sum::<usize>() % text.len();
        let (tokens, whole) = drain(stream(text.as_bytes()[..at].to_vec()));
        let complete = text[..at].matches("}]}\n").count();
        tokens == complete && whole == text[..at].contains("[DONE]\n")
    }
    check(cut);
}

#[test]
fn any_json() {
    fn parsed(bytes: Vec<u8>) -> bool {
        // Each either parses or fails; what matters is that none panics.
        let _ = serde_json::from_slice::<LoadReport>(&bytes);
        let _ = serde_json::from_slice::<Vec<CacheEvent>>(&bytes);
        let _ = serde_json::from_slice::<Vec<CloudHost>>(&bytes);
        let _ = serde_json::from_slice::<Vec<ReclaimNotice>>(&bytes);
        let _ = serde_json::from_slice::<Vec<HostPrice>>(&bytes);
        let _ = serde_json::from_slice::<ExportedCache>(&bytes);
        serde_json::from_slice::<EngineState>(&bytes).is_err()
    }
    check(parsed);
}

/// A list of hosts arrives with a field of the wrong kind or torn in the middle. It is refused as a whole, since half a
/// list would make the missing hosts look gone.
#[test]
fn torn_list() {
    let list = r#"[{"id":"h","incarnation":1,"zone":"a","class":"reclaimable","stage":"serving"}]"#;
    assert_eq!(serde_json::from_str::<Vec<CloudHost>>(list).expect("list").len(), 1);
    for at in 0..list.len() {
        serde_json::from_str::<Vec<CloudHost>>(&list[..at]).expect_err("torn");
    }
    let wrong = list.replace("\"incarnation\":1", "\"incarnation\":-1");
    serde_json::from_str::<Vec<CloudHost>>(&wrong).expect_err("negative");
}

/// An engine sends a line that never ends. The reader must give up after its bound; without one the entry host's memory
/// fills up and every caller on it loses its answer.
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
    assert!(read.load(std::sync::atomic::Ordering::Relaxed) <= MAX_LINE + 4_096);
}
