//! Reading of streamed answers.

use load::trial::sse::{Event, Events, MAX_LINE, SseError};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 6;

fn all(bytes: &[u8]) -> (Vec<Event>, Option<SseError>) {
    let mut events = Events::new(bytes);
    let mut got = Vec::new();
    loop {
        match events.next_event() {
            Ok(event) => got.push(event),
            Err(error) => return (got, Some(error)),
        }
        if got.last() == Some(&Event::Done) {
            return (got, None);
        }
    }
}

#[test]
fn any_bytes() {
    // Whatever comes, reading ends with an event or an error and never panics.
    fn ends(bytes: Vec<u8>, tail: String) -> bool {
        let mut text = b"data: ".to_vec();
        text.extend(&bytes);
        text.extend(tail.as_bytes());
        let (events, _) = all(&text);
        events.len() <= text.len()
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .quickcheck(ends as fn(Vec<u8>, String) -> bool);
}

#[test]
fn tokens_return() {
    // What an engine writes as tokens comes back as the same tokens, however they are spelt.
    fn same(tokens: Vec<String>) -> bool {
        let tokens: Vec<String> = tokens.into_iter().filter(|token| !token.is_empty()).collect();
        let mut text = String::new();
        for token in &tokens {
            let data = serde_json::json!({"choices": [{"delta": {"content": token}}]});
            text.extend(["data: ", &data.to_string(), "\n\n"]);
        }
        text.push_str("data: [DONE]\n\n");
        let expected: Vec<Event> = tokens.into_iter().map(Event::Token).chain([Event::Done]).collect();
        all(text.as_bytes()).0 == expected
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(same as fn(Vec<String>) -> bool);
}

/// An engine host is taken away in the middle of a line. The caller sees an end of the stream, which must not pass for
/// the end of the answer.
#[test]
fn cut_line() {
    let (events, error) = all(b"data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\ndata: [DO");
    assert_eq!(events, [Event::Token("a ".to_owned())]);
    assert!(matches!(error, Some(SseError::Early)), "{error:?}");
}

/// A broken peer sends bytes without ever ending the line. Without a bound the caller's memory fills.
#[test]
fn endless_line() {
    let bytes = vec![b'x'; 3 * usize::try_from(MAX_LINE).unwrap()];
    let (events, error) = all(&bytes);
    assert!(events.is_empty());
    assert!(matches!(error, Some(SseError::Malformed)), "{error:?}");
}
