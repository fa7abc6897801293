//! The engine client against the engine stand-in: cancellation, faults, KV cache transfer and orders.

use std::time::Duration;

use argh::FromArgs;
use contract::RequestId;
use standin::cli::EngineOptions;
use standin::engine::{self, Faults, Running};
use upstream::engine::{ChatRequest, EngineClient, Message, StreamEvent, TokenStream};
use upstream::kv::ExportScope;
use upstream::orders::{EngineAction, EngineOrder};
use upstream::{Fate, UpstreamError};

const TIMEOUT: Duration = Duration::from_secs(20);

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

fn numbers(count: usize) -> String {
    (0..count).map(|word| word.to_string()).collect::<Vec<_>>().join(" ")
}

fn read_tokens(stream: &mut TokenStream) -> Result<Vec<String>, UpstreamError> {
    let mut tokens = Vec::new();
    loop {
        match stream.next_event()? {
            StreamEvent::Token(token) => tokens.push(token),
            StreamEvent::Usage(_) => {}
            StreamEvent::Done => return Ok(tokens),
        }
    }
}

/// Guards against queued requests of disconnected callers that delay those of connected ones: when a caller hangs up,
/// its request must leave the queue at once and never run.
#[test]
fn cancelled_while_queued() {
    let engine = engine(&["--slots", "1", "--decode-us", "1000", "--lag-ms", "0"]);
    let client = EngineClient::new(TIMEOUT);
    let long = client
        .stream(
            engine.address(),
            &RequestId::from("long"),
            &chat("a", 1_000_000),
            TIMEOUT,
        )
        .expect("stream");
    let queued = client
        .stream(engine.address(), &RequestId::from("left"), &chat("b", 10), TIMEOUT)
        .expect("stream");
    let queue_length = || client.load(engine.address(), TIMEOUT).expect("load").waiting;
    while queue_length() == 0 {
        std::thread::yield_now();
    }
    drop(queued);
    while queue_length() > 0 {
        std::thread::yield_now();
    }
    drop(long);
    let mut last = client
        .stream(engine.address(), &RequestId::from("last"), &chat("c", 3), TIMEOUT)
        .expect("stream");
    assert_eq!(read_tokens(&mut last).expect("whole").len(), 3);
    let generated = |id: &str| {
        engine
            .seen()
            .iter()
            .filter(|seen| seen.request == id)
            .map(|seen| seen.made_tokens)
            .sum::<u64>()
    };
    assert_eq!(generated("left"), 0);
    assert!(generated("long") < 1_000_000);
}

/// Guards against a truncated completion that passes for complete: when the host is reclaimed during a completion, the
/// stream must end with an error, and the engine must reject new requests.
#[test]
fn reclaimed_host() {
    let engine = engine(&["--decode-us", "5000"]);
    let client = EngineClient::new(TIMEOUT);
    let mut stream = client
        .stream(engine.address(), &RequestId::from("r"), &chat("a", 1_000_000), TIMEOUT)
        .expect("stream");
    engine.leave(Duration::from_millis(50));
    let error = read_tokens(&mut stream).expect_err("broken");
    assert_eq!(error.fate, Fate::Unknown);
    let refused = client.stream(engine.address(), &RequestId::from("s"), &chat("a", 1), TIMEOUT);
    refused.expect_err("refused");
}

/// Guards against needless prefill after a stream has moved with its KV cache: the second engine must find every full
/// block of the prompt and of the generated tokens, and compute only the tokens after them.
#[test]
fn moved_cache() {
    let (from, to) = (engine(&["--prefill-us", "10"]), engine(&["--prefill-us", "10"]));
    let client = EngineClient::new(TIMEOUT);
    let id = RequestId::from("r");
    let mut first = client
        .stream(from.address(), &id, &chat(&numbers(100), 40), TIMEOUT)
        .expect("stream");
    let tokens = read_tokens(&mut first).expect("whole");
    let cache = client
        .export(from.address(), &ExportScope::Request(id.clone()), TIMEOUT)
        .expect("export");
    assert_eq!(cache.tokens, 128);
    client.import(to.address(), &cache, TIMEOUT).expect("import");
    let mut again = chat(&numbers(100), 2);
    again.messages.push(Message {
        role: "assistant".to_owned(),
        content: tokens.concat(),
    });
    again.continue_final_message = true;
    let mut second = client.stream(to.address(), &id, &again, TIMEOUT).expect("stream");
    assert_eq!(read_tokens(&mut second).expect("whole").len(), 2);
    let seen = to.seen();
    assert_eq!((seen[0].prompt_tokens, seen[0].cached_tokens), (140, 128));
}

/// Guards against an import failure that goes unnoticed: the target rejects the import or dies, and the client must
/// report that, so that the stream can be replayed instead.
#[test]
fn broken_import() {
    let (from, to) = (engine(&["--prefill-us", "10"]), engine(&[]));
    let client = EngineClient::new(TIMEOUT);
    let id = RequestId::from("r");
    read_tokens(
        &mut client
            .stream(from.address(), &id, &chat(&numbers(32), 1), TIMEOUT)
            .expect("stream"),
    )
    .expect("whole");
    let cache = client
        .export(from.address(), &ExportScope::Request(id), TIMEOUT)
        .expect("export");
    to.set_faults(Faults {
        break_import: true,
        ..Faults::default()
    });
    client.import(to.address(), &cache, TIMEOUT).expect_err("refused");
    to.die();
    client.import(to.address(), &cache, TIMEOUT).expect_err("gone");
}

/// Guards against taking an order without a response for not run: the engine carries it out and the response is lost,
/// so only the state of the engine shows the result.
#[test]
fn lost_response() {
    let engine = engine(&["--faults", r#"{"orders_lost":1}"#]);
    let client = EngineClient::new(TIMEOUT);
    let order = EngineOrder {
        id: "o1".to_owned(),
        token: 7,
        action: EngineAction::SetRole {
            role: "decode".to_owned(),
        },
    };
    let error = client.order(engine.address(), &order, TIMEOUT).expect_err("lost");
    assert_eq!(error.fate, Fate::Unknown);
    let state = client.state(engine.address(), TIMEOUT).expect("state");
    assert!(state.satisfies(&order.action));
    assert_eq!((state.token, state.last.as_deref()), (7, Some("o1")));
}

/// Guards against late orders of a controller that lost its lease: an engine that checks fencing tokens rejects them.
/// One that does not check them carries them out, and keeps the wrong role until its state is read and corrected.
#[test]
fn outdated_order() {
    let role = |id: &str, token, role: &str| EngineOrder {
        id: id.to_owned(),
        token,
        action: EngineAction::SetRole { role: role.to_owned() },
    };
    for (flags, expected) in [(vec!["--checks-fencing"], "decode"), (vec![], "prefill")] {
        let engine = engine(&flags);
        let client = EngineClient::new(TIMEOUT);
        client
            .order(engine.address(), &role("new", 9, "decode"), TIMEOUT)
            .expect("order");
        let late = client.order(engine.address(), &role("old", 8, "prefill"), TIMEOUT);
        assert_eq!(late.is_err(), expected == "decode");
        assert_eq!(client.state(engine.address(), TIMEOUT).expect("state").role, expected);
    }
}
