//! The engine stand-in as its clients meet it: cancelling, faults, KV cache, orders.

use std::time::Duration;

use argh::FromArgs;
use contract::RequestId;
use standin::cli::EngineOptions;
use standin::engine::{self, Faults, Running};
use upstream::engine::{ChatRequest, EngineClient, Message, StreamEvent, TokenStream};
use upstream::kv::ExportScope;
use upstream::orders::{EngineAction, EngineOrder};
use upstream::{Fate, UpstreamError};

const WAIT: Duration = Duration::from_secs(20);

fn engine(flags: &[&str]) -> Running {
    let options = EngineOptions::from_args(&["engine"], flags).expect("flags");
    engine::start(&options).expect("engine")
}

fn chat(prompt: &str, max_tokens: u64) -> ChatRequest {
    ChatRequest {
        model: "counter-1".to_owned(),
        messages: vec![Message {
            role: "user".to_owned(),
            content: prompt.to_owned(),
        }],
        max_tokens,
        stream: true,
        ..ChatRequest::default()
    }
}

fn words(count: usize) -> String {
    (0..count).map(|word| word.to_string()).collect::<Vec<_>>().join(" ")
}

fn rest(stream: &mut TokenStream) -> Result<Vec<String>, UpstreamError> {
    let mut tokens = Vec::new();
    loop {
        match stream.next_event()? {
            StreamEvent::Token(token) => tokens.push(token),
            StreamEvent::Usage(_) => {}
            StreamEvent::Done => return Ok(tokens),
        }
    }
}

/// A caller hangs up while its request still waits for a place. The place must go to the next one at once, or a queue
/// of people who have left keeps those waiting who are still there.
#[test]
fn cancelled_waiting() {
    let engine = engine(&["--slots", "1", "--decode-us", "1000", "--lag-ms", "0"]);
    let client = EngineClient::new(WAIT);
    let long = client
        .stream(engine.address(), &RequestId::from("long"), &chat("a", 1_000_000), WAIT)
        .expect("stream");
    let waiting = client
        .stream(engine.address(), &RequestId::from("left"), &chat("b", 10), WAIT)
        .expect("stream");
    let waits = || client.load(engine.address(), WAIT).expect("load").waiting;
    while waits() == 0 {
        std::thread::yield_now();
    }
    drop(waiting);
    while waits() > 0 {
        std::thread::yield_now();
    }
    drop(long);
    let mut last = client
        .stream(engine.address(), &RequestId::from("last"), &chat("c", 3), WAIT)
        .expect("stream");
    assert_eq!(rest(&mut last).expect("whole").len(), 3);
    let made = |id: &str| {
        engine
            .seen()
            .iter()
            .filter(|seen| seen.request == id)
            .map(|seen| seen.made_tokens)
            .sum::<u64>()
    };
    assert_eq!(made("left"), 0);
    assert!(made("long") < 1_000_000);
}

/// A host is taken away in the middle of an answer. The stream must end as broken, never as whole, and new work is
/// refused.
#[test]
fn taken_away() {
    let engine = engine(&["--decode-us", "5000"]);
    let client = EngineClient::new(WAIT);
    let mut stream = client
        .stream(engine.address(), &RequestId::from("r"), &chat("a", 1_000_000), WAIT)
        .expect("stream");
    engine.leave(Duration::from_millis(50));
    let error = rest(&mut stream).expect_err("broken");
    assert_eq!(error.fate, Fate::Unknown);
    let refused = client.stream(engine.address(), &RequestId::from("s"), &chat("a", 1), WAIT);
    refused.expect_err("refused");
}

/// A stream is moved by its KV cache: the second engine finds every whole block of the prompt and of the tokens that
/// were made, and computes only the few tokens after them again.
#[test]
fn moved_cache() {
    let (from, to) = (engine(&["--prefill-us", "10"]), engine(&["--prefill-us", "10"]));
    let client = EngineClient::new(WAIT);
    let id = RequestId::from("r");
    let mut first = client
        .stream(from.address(), &id, &chat(&words(100), 40), WAIT)
        .expect("stream");
    let made = rest(&mut first).expect("whole");
    let blob = client
        .export(from.address(), &ExportScope::Request(id.clone()), WAIT)
        .expect("export");
    assert_eq!(blob.tokens, 128);
    client.import(to.address(), &blob, WAIT).expect("import");
    let mut again = chat(&words(100), 2);
    again.messages.push(Message {
        role: "assistant".to_owned(),
        content: made.concat(),
    });
    again.continue_final_message = true;
    let mut second = client.stream(to.address(), &id, &again, WAIT).expect("stream");
    assert_eq!(rest(&mut second).expect("whole").len(), 2);
    let seen = to.seen();
    assert_eq!((seen[0].prompt_tokens, seen[0].cached_tokens), (140, 128));
}

/// An import breaks off because its target dies or refuses. The client is told, so that the stream can be replayed.
#[test]
fn broken_import() {
    let (from, to) = (engine(&["--prefill-us", "10"]), engine(&[]));
    let client = EngineClient::new(WAIT);
    let id = RequestId::from("r");
    rest(
        &mut client
            .stream(from.address(), &id, &chat(&words(32), 1), WAIT)
            .expect("stream"),
    )
    .expect("whole");
    let blob = client
        .export(from.address(), &ExportScope::Request(id), WAIT)
        .expect("export");
    to.set_faults(Faults {
        break_import: true,
        ..Faults::default()
    });
    client.import(to.address(), &blob, WAIT).expect_err("refused");
    to.die();
    client.import(to.address(), &blob, WAIT).expect_err("gone");
}

/// The answer to an order gets lost. Whoever gave it can't know whether it was carried out until the engine is asked.
#[test]
fn lost_answer() {
    let engine = engine(&["--faults", r#"{"orders_lost":1}"#]);
    let client = EngineClient::new(WAIT);
    let order = EngineOrder {
        id: "o1".to_owned(),
        token: 7,
        action: EngineAction::SetRole {
            role: "decode".to_owned(),
        },
    };
    let error = client.order(engine.address(), &order, WAIT).expect_err("lost");
    assert_eq!(error.fate, Fate::Unknown);
    let state = client.state(engine.address(), WAIT).expect("state");
    assert!(state.satisfies(&order.action));
    assert_eq!((state.token, state.last.as_deref()), (7, Some("o1")));
}

/// An old controller's order arrives after a new one's. An engine that checks refuses it; one that doesn't carries it
/// out, and the wrong role stays until somebody reads it back.
#[test]
fn old_order() {
    let role = |id: &str, token, role: &str| EngineOrder {
        id: id.to_owned(),
        token,
        action: EngineAction::SetRole { role: role.to_owned() },
    };
    for (flags, expected) in [(vec!["--checks-fencing"], "decode"), (vec![], "prefill")] {
        let engine = engine(&flags);
        let client = EngineClient::new(WAIT);
        client
            .order(engine.address(), &role("new", 9, "decode"), WAIT)
            .expect("order");
        let late = client.order(engine.address(), &role("old", 8, "prefill"), WAIT);
        assert_eq!(late.is_err(), expected == "decode");
        assert_eq!(client.state(engine.address(), WAIT).expect("state").role, expected);
    }
}
