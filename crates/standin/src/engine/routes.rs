//! The engine's HTTP interface.

use std::io::{Read, Write};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, StatusCode};

use super::answer::{Chat, token};
use super::batch::{Engine, Seen, Slot};
use super::kv::{self, Blob, Export};
use super::orders::{self, Order, Refused};

/// Largest body, in bytes.
const MAX_BODY: u64 = 16 * 1024 * 1024;
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
    Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers one request; a caller that has gone away ends it.
pub(crate) fn answer(engine: &Arc<Engine>, mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((url.as_str(), ""));
    let method = request.method().clone();
    if !path.starts_with("/_standin/") {
        engine.thaw();
    }
    match (&method, path) {
        (Method::Post, "/v1/chat/completions") => complete(engine, request),
        (Method::Post, "/kv/export") => export(engine, request),
        (Method::Post, "/kv/import") => import(engine, request),
        (Method::Post, "/orders") => order(engine, request),
        (Method::Post, "/_standin/faults") => match body(&mut request) {
            Ok(faults) => {
                *engine.faults.lock() = faults;
                respond(request, 200, &json!(faults));
            }
            Err(why) => respond(request, 400, &why),
        },
        (Method::Post, "/_standin/leave") => match body::<u64>(&mut request) {
            Ok(left_ms) => {
                engine.leave(Duration::from_millis(left_ms));
                respond(request, 200, &json!({"left_ms": left_ms}));
            }
            Err(why) => respond(request, 400, &why),
        },
        (Method::Get, path) => match read(engine, path, query) {
            Some(value) => respond(request, 200, &value),
            None => respond(request, 404, &json!({"error": "no such path"})),
        },
        _ => respond(request, 404, &json!({"error": "no such path"})),
    }
}

fn read(engine: &Engine, path: &str, query: &str) -> Option<Value> {
    match path {
        "/health" => Some(json!({"status": "ok"})),
        "/load" => Some(json!(engine.report())),
        "/state" => Some(json!(*engine.orders.lock())),
        "/kv/events" => Some(json!(engine.events(after(query)))),
        "/_standin/seen" => Some(json!(engine.seen())),
        _ => None,
    }
}

fn after(query: &str) -> u64 {
    query
        .strip_prefix("after=")
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Value> {
    let parsed = serde_json::from_reader(request.as_reader().take(MAX_BODY));
    parsed.map_err(|error| json!({"error": error.to_string()}))
}

fn export(engine: &Engine, mut request: Request) {
    match body::<Export>(&mut request) {
        Ok(ask) => match kv::export(engine, &ask) {
            Some(blob) => respond(request, 200, &json!(blob)),
            None => respond(request, 404, &json!({"error": "nothing is cached for it"})),
        },
        Err(why) => respond(request, 400, &why),
    }
}

fn import(engine: &Engine, mut request: Request) {
    match body::<Blob>(&mut request) {
        Ok(blob) if kv::import(engine, &blob) => respond(request, 200, &json!({"imported": true})),
        Ok(_) => respond(request, 409, &json!({"error": "the cache can't be imported here"})),
        Err(why) => respond(request, 400, &why),
    }
}

fn order(engine: &Arc<Engine>, mut request: Request) {
    let order = match body::<Order>(&mut request) {
        Ok(order) => order,
        Err(why) => return respond(request, 400, &why),
    };
    let result = orders::take(engine, &order);
    let mut faults = engine.faults.lock();
    let (lost, doubled) = (faults.orders_lost > 0, faults.orders_doubled > 0);
    faults.orders_lost = faults.orders_lost.saturating_sub(1);
    faults.orders_doubled = faults.orders_doubled.saturating_sub(1);
    let (delay, double) = (faults.order_delay_ms, faults.double_ms);
    drop(faults);
    if doubled {
        let (engine, order) = (Arc::clone(engine), order.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(double));
            // Nobody waits for the answer to a copy.
            let _ = orders::take(&engine, &order);
        });
    }
    std::thread::sleep(Duration::from_millis(delay));
    if lost {
        // The connection ends without an answer.
        return drop(request.into_writer());
    }
    match result {
        Ok(()) => respond(request, 202, &json!(*engine.orders.lock())),
        Err(Refused::Old) => respond(request, 409, &json!({"error": "a newer fencing token was seen"})),
        Err(Refused::Busy) => respond(request, 503, &json!({"error": "something is being loaded"})),
    }
}

fn complete(engine: &Engine, mut request: Request) {
    let id = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("X-Request-Id"));
    let id = id.map(|header| header.value.as_str().to_owned()).unwrap_or_default();
    let chat = match body::<Chat>(&mut request) {
        Ok(chat) => chat,
        Err(why) => return respond(request, 400, &why),
    };
    if engine.faults.lock().refuse || engine.is_past() || engine.orders.lock().is_loading() {
        return respond(request, 503, &json!({"error": "not run: takes no new work"}));
    }
    if !engine.orders.lock().serves(&chat.model) {
        let error = format!("model {} is not loaded", chat.model);
        return respond(request, 404, &json!({"error": error}));
    }
    let begun = chat.continuation().1;
    let seen = Seen {
        request: id,
        prompt_tokens: chat.words().len() as u64,
        cached_tokens: 0,
        begun_tokens: begun,
        made_tokens: 0,
        whole: false,
    };
    if chat.stream {
        // A caller that has gone away needs no end of the stream.
        let _ = stream(engine, request, &chat, seen);
    } else {
        whole(engine, request, &chat, seen);
    }
}

fn whole(engine: &Engine, request: Request, chat: &Chat, seen: Seen) {
    let mut alive = || true;
    let (prompt, begun) = chat.continuation();
    let Some(mut slot) = engine.enter(chat.priority, seen, &mut alive) else {
        return;
    };
    if !slot.prefill(chat, &mut alive) {
        return;
    }
    let mut text = String::new();
    for position in begun..begun + chat.max_tokens {
        if !engine.decode(&mut alive) {
            return;
        }
        text.push_str(&token(prompt, position));
        slot.made();
    }
    slot.seen.whole = true;
    let choice = json!({"index": 0, "finish_reason": "length", "message": {"role": "assistant", "content": text}});
    let reply = json!({"object": "chat.completion", "choices": [choice], "usage": usage(&slot)});
    drop(slot);
    respond(request, 200, &reply);
}

/// Streams an answer; comments are sent while it waits, by which a caller that has gone away is noticed.
fn stream(engine: &Engine, request: Request, chat: &Chat, seen: Seen) -> std::io::Result<()> {
    let (prompt, begun) = chat.continuation();
    let break_after = engine.faults.lock().break_after;
    let mut out = request.into_writer();
    out.write_all(STREAM_HEAD)?;
    out.flush()?;
    let mut beat = || chunk(&mut out, ": wait\n\n").is_ok();
    let Some(mut slot) = engine.enter(chat.priority, seen, &mut beat) else {
        return Ok(());
    };
    if !slot.prefill(chat, &mut beat) {
        return Ok(());
    }
    for position in begun..begun + chat.max_tokens {
        let mut beat = || chunk(&mut out, ": wait\n\n").is_ok();
        if break_after == Some(slot.seen.made_tokens) || !engine.decode(&mut beat) {
            return Ok(());
        }
        slot.made();
        let token = token(prompt, position);
        event(
            &mut out,
            &json!({"choices": [{"index": 0, "delta": {"content": token}}]}).to_string(),
        )?;
    }
    event(&mut out, &json!({"choices": [], "usage": usage(&slot)}).to_string())?;
    slot.seen.whole = true;
    // What was seen must be there to read once the caller has the end of its answer.
    drop(slot);
    event(&mut out, "[DONE]")?;
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

fn event(out: &mut impl Write, data: &str) -> std::io::Result<()> {
    chunk(out, &format!("data: {data}\n\n"))
}

fn chunk(out: &mut impl Write, text: &str) -> std::io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}

fn usage(slot: &Slot<'_>) -> Value {
    json!({
        "prompt_tokens": slot.seen.prompt_tokens,
        "cached_tokens": slot.seen.cached_tokens,
        "completion_tokens": slot.seen.made_tokens,
    })
}

fn respond(mut request: Request, status: u16, body: &Value) {
    // An unread body would be taken for the next request on the connection.
    let _ = std::io::copy(&mut request.as_reader().take(MAX_BODY), &mut std::io::sink());
    let header = Header::from_bytes("Content-Type", "application/json").expect("a constant header is valid");
    let response = Response::from_string(body.to_string())
        .with_status_code(StatusCode(status))
        .with_header(header);
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}
