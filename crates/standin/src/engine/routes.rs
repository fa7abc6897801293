//! The engine's HTTP interface.

use std::io::{Read, Write};

use serde_json::json;
use tiny_http::{Header, Method, Request, Response, StatusCode};

use super::answer::{Chat, token};
use super::batch::{Engine, Seen};
use crate::record::{Line, now_us};

/// Largest body, in bytes.
const MAX_BODY: u64 = 16 * 1024 * 1024;
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
    Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers one request; a caller that has gone away ends it.
pub(crate) fn answer(engine: &Engine, mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((url.as_str(), ""));
    let method = request.method().clone();
    let reply = match (&method, path) {
        (Method::Post, "/v1/chat/completions") => return complete(engine, request),
        (Method::Get, "/health") => json!({"status": "ok"}),
        (Method::Get, "/load") => json!(engine.report()),
        (Method::Get, "/kv/events") => json!(engine.events(after(query))),
        (Method::Get, "/_standin/seen") => json!(engine.seen()),
        _ => return respond(request, 404, &json!({"error": "no such path"})),
    };
    // An unread body would be taken for the next request on the connection.
    let _ = std::io::copy(&mut request.as_reader().take(MAX_BODY), &mut std::io::sink());
    respond(request, 200, &reply);
}

fn after(query: &str) -> u64 {
    query
        .strip_prefix("after=")
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

fn complete(engine: &Engine, mut request: Request) {
    let id = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("X-Request-Id"));
    let id = id.map(|header| header.value.as_str().to_owned()).unwrap_or_default();
    let parsed = serde_json::from_reader::<_, Chat>(request.as_reader().take(MAX_BODY));
    let chat = match parsed {
        Ok(chat) if chat.model == engine.options.model => chat,
        Ok(chat) => {
            return respond(
                request,
                404,
                &json!({"error": format!("model {} is not loaded", chat.model)}),
            );
        }
        Err(error) => return respond(request, 400, &json!({"error": error.to_string()})),
    };
    engine.enter(chat.priority);
    let words = chat.words();
    let (prompt, begun) = chat.continuation();
    let conversation = chat.conversation();
    let from_us = now_us();
    let mut seen = Seen {
        request: id,
        prompt_tokens: words.len() as u64,
        cached_tokens: engine.prefill(&words),
        begun_tokens: begun,
        made_tokens: 0,
        whole: false,
    };
    engine.record.write(&Line::Begun {
        from_us,
        at_us: now_us(),
        request: seen.request.clone(),
        conversation,
        prompt,
        prompt_tokens: seen.prompt_tokens,
        cached_tokens: seen.cached_tokens,
        begun_tokens: begun,
    });
    let tokens = (begun..begun + chat.max_tokens).map(|position| token(prompt, position));
    if chat.stream {
        seen.whole = stream(engine, request, tokens, &mut seen).is_ok();
    } else {
        let text: String = tokens.inspect(|_| engine.decode()).collect();
        seen.made_tokens = chat.max_tokens;
        seen.whole = true;
        let choice = json!({"index": 0, "finish_reason": "length", "message": {"role": "assistant", "content": text}});
        respond(
            request,
            200,
            &json!({"object": "chat.completion", "choices": [choice], "usage": usage(&seen)}),
        );
    }
    let made: Vec<String> = (begun..begun + seen.made_tokens)
        .map(|position| token(prompt, position))
        .collect();
    let all: Vec<&str> = words
        .iter()
        .copied()
        .chain(made.iter().map(|word| word.trim()))
        .collect();
    engine.keep(&all);
    engine.record.write(&Line::Ended {
        at_us: now_us(),
        request: seen.request.clone(),
        conversation,
        prompt_tokens: seen.prompt_tokens,
        made_tokens: seen.made_tokens,
    });
    engine.leave(seen);
}

fn stream(
    engine: &Engine,
    request: Request,
    tokens: impl Iterator<Item = String>,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let mut out = request.into_writer();
    out.write_all(STREAM_HEAD)?;
    for token in tokens {
        engine.decode();
        event(
            &mut out,
            &json!({"choices": [{"index": 0, "delta": {"content": token}}]}).to_string(),
        )?;
        seen.made_tokens += 1;
    }
    event(&mut out, &json!({"choices": [], "usage": usage(seen)}).to_string())?;
    event(&mut out, "[DONE]")?;
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

fn event(out: &mut impl Write, data: &str) -> std::io::Result<()> {
    let text = format!("data: {data}\n\n");
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}

fn usage(seen: &Seen) -> serde_json::Value {
    json!({
        "prompt_tokens": seen.prompt_tokens,
        "cached_tokens": seen.cached_tokens,
        "completion_tokens": seen.made_tokens,
    })
}

fn respond(request: Request, status: u16, body: &serde_json::Value) {
    let header = Header::from_bytes("Content-Type", "application/json").expect("a constant header is valid");
    let response = Response::from_string(body.to_string())
        .with_status_code(StatusCode(status))
        .with_header(header);
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}
