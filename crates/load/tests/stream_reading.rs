//! Parsing of streamed answers.

use load::trial::sse::{Event, EventReader, MAX_LINE_BYTES, SseError};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 6;

fn read_all(bytes: &[u8]) -> (Vec<Event>, Option<SseError>) {
    let mut events = EventReader::new(bytes);
    let mut read = Vec::new();
    loop {
        match events.next_event() {
            Ok(event) => read.push(event),
            Err(error) => return (read, Some(error)),
        }
        if read.last() == Some(&Event::Done) {
            return (read, None);
        }
    }
}

/// Guards against panics and endless loops on arbitrary input.
#[test]
fn any_bytes() {
    fn terminates(bytes: Vec<u8>, tail: String) -> bool {
        let mut text = b"data: ".to_vec();
        text.extend(&bytes);
        text.extend(tail.as_bytes());
        let (events, _) = read_all(&text);
        events.len() <= text.len()
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .quickcheck(terminates as fn(Vec<u8>, String) -> bool);
}

/// Guards against tokens that are altered by special characters.
#[test]
fn tokens_round_trip() {
    fn round_trips(tokens: Vec<String>) -> bool {
        let tokens: Vec<String> = tokens.into_iter().filter(|token| !token.is_empty()).collect();
        let mut text = String::new();
        for token in &tokens {
            let data = serde_json::json!({"choices": [{"delta": {"content": token}}]});
            text.extend(["data: ", &data.to_string(), "\n\n"]);
        }
        text.push_str("data: [DONE]\n\n");
        let expected: Vec<Event> = tokens.into_iter().map(Event::Token).chain([Event::Done]).collect();
        read_all(text.as_bytes()).0 == expected
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(round_trips as fn(Vec<String>) -> bool);
}

/// An engine is lost in the middle of a line. The end of the stream must not count as the end of the answer.
#[test]
fn cut_line() {
    let (events, error) = read_all(b"data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\ndata: [DO");
    assert_eq!(events, [Event::Token("a ".to_owned())]);
    assert!(matches!(error, Some(SseError::EndedEarly)), "{error:?}");
}

/// A faulty peer sends bytes without a line end. Without a limit, the memory of the caller would be exhausted.
#[test]
fn endless_line() {
    let bytes = vec![b'x'; 3 * usize::try_from(MAX_LINE_BYTES).unwrap()];
    let (events, error) = read_all(&bytes);
    assert!(events.is_empty());
    assert!(matches!(error, Some(SseError::Malformed)), "{error:?}");
}
