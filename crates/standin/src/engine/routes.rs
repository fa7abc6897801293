//! The engine's HTTP interface.

use std::io::{Read, Write};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, StatusCode};

use super::answer::{Chat, token};
use super::batch::{Engine, Seen, Slot};
use super::kv::{self, ExportTarget, KvExport};
use super::orders::{self, Order, OrderError};

/// Largest request body that is read.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
    Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers one request; stops working on it when the caller disconnects.
pub(crate) fn answer(engine: &Arc<Engine>, mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((url.as_str(), ""));
    let method = request.method().clone();
    if !path.starts_with("/_standin/") {
        engine.wait_while_frozen();
    }
    match (&method, path) {
        (Method::Post, "/v1/chat/completions") => complete(engine, request),
        (Method::Post, "/kv/export") => export(engine, request),
        (Method::Post, "/kv/import") => import(engine, request),
        (Method::Post, "/orders") => order(engine, request),
        (Method::Post, "/_standin/faults") => match json_body(&mut request) {
            Ok(faults) => {
                *engine.faults.lock() = faults;
                respond(request, 200, &json!(faults));
            }
            Err(error_body) => respond(request, 400, &error_body),
        },
        (Method::Post, "/_standin/leave") => match json_body::<u64>(&mut request) {
            Ok(left_ms) => {
                engine.shut_down_after(Duration::from_millis(left_ms));
                respond(request, 200, &json!({"left_ms": left_ms}));
            }
            Err(error_body) => respond(request, 400, &error_body),
        },
        (Method::Get, path) => match get(engine, path, query) {
            Some(value) => respond(request, 200, &value),
            None => respond(request, 404, &json!({"error": "no such path"})),
        },
        _ => respond(request, 404, &json!({"error": "no such path"})),
    }
}

fn get(engine: &Engine, path: &str, query: &str) -> Option<Value> {
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

fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Value> {
    let parsed = serde_json::from_reader(request.as_reader().take(MAX_BODY_BYTES));
    parsed.map_err(|error| json!({"error": error.to_string()}))
}

fn export(engine: &Engine, mut request: Request) {
    match json_body::<ExportTarget>(&mut request) {
        Ok(target) => match kv::export(engine, &target) {
            Some(kv_export) => respond(request, 200, &json!(kv_export)),
            None => respond(request, 404, &json!({"error": "nothing is cached for it"})),
        },
        Err(error_body) => respond(request, 400, &error_body),
    }
}

fn import(engine: &Engine, mut request: Request) {
    match json_body::<KvExport>(&mut request) {
        Ok(kv_export) if kv::import(engine, &kv_export) => respond(request, 200, &json!({"imported": true})),
        Ok(_) => respond(request, 409, &json!({"error": "the cache can't be imported here"})),
        Err(error_body) => respond(request, 400, &error_body),
    }
}

fn order(engine: &Arc<Engine>, mut request: Request) {
    let order = match json_body::<Order>(&mut request) {
        Ok(order) => order,
        Err(error_body) => return respond(request, 400, &error_body),
    };
    let result = orders::accept(engine, &order);
    let mut faults = engine.faults.lock();
    let (lost, duplicated) = (faults.orders_lost > 0, faults.orders_doubled > 0);
    faults.orders_lost = faults.orders_lost.saturating_sub(1);
    faults.orders_doubled = faults.orders_doubled.saturating_sub(1);
    let (delay_ms, duplicate_ms) = (faults.order_delay_ms, faults.double_ms);
    drop(faults);
    if duplicated {
        let (engine, order) = (Arc::clone(engine), order.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(duplicate_ms));
            // Nobody waits for the answer to the duplicate.
            let _ = orders::accept(&engine, &order);
        });
    }
    std::thread::sleep(Duration::from_millis(delay_ms));
    if lost {
        // Closes the connection without an answer.
        return drop(request.into_writer());
    }
    match result {
        Ok(()) => respond(request, 202, &json!(*engine.orders.lock())),
        Err(OrderError::StaleToken) => respond(request, 409, &json!({"error": "a newer fencing token was seen"})),
        Err(OrderError::Loading) => respond(request, 503, &json!({"error": "something is being loaded"})),
    }
}

fn complete(engine: &Engine, mut request: Request) {
    let id = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("X-Request-Id"));
    let id = id.map(|header| header.value.as_str().to_owned()).unwrap_or_default();
    let chat = match json_body::<Chat>(&mut request) {
        Ok(chat) => chat,
        Err(error_body) => return respond(request, 400, &error_body),
    };
    if engine.faults.lock().refuse || engine.is_past_deadline() || engine.orders.lock().is_loading() {
        return respond(request, 503, &json!({"error": "not run: takes no new work"}));
    }
    if !engine.orders.lock().serves(&chat.model) {
        let error = format!("model {} is not loaded", chat.model);
        return respond(request, 404, &json!({"error": error}));
    }
    let start = chat.continuation().1;
    let counts = Seen {
        request: id,
        prompt_tokens: chat.words().len() as u64,
        cached_tokens: 0,
        begun_tokens: start,
        made_tokens: 0,
        whole: false,
    };
    if chat.stream {
        // Writing fails only when the caller has disconnected.
        let _ = answer_stream(engine, request, &chat, counts);
    } else {
        answer_whole(engine, request, &chat, counts);
    }
}

fn answer_whole(engine: &Engine, request: Request, chat: &Chat, counts: Seen) {
    let mut is_connected = || true;
    let (prompt_id, start) = chat.continuation();
    let Some(mut slot) = engine.acquire_slot(chat.priority, counts, &mut is_connected) else {
        return;
    };
    if !slot.prefill(chat, &mut is_connected) {
        return;
    }
    let mut text = String::new();
    for position in start..start + chat.max_tokens {
        if !engine.decode(&mut is_connected) {
            return;
        }
        text.push_str(&token(prompt_id, position));
        slot.count_token();
    }
    slot.counts.whole = true;
    let choice = json!({"index": 0, "finish_reason": "length", "message": {"role": "assistant", "content": text}});
    let reply = json!({"object": "chat.completion", "choices": [choice], "usage": usage(&slot)});
    drop(slot);
    respond(request, 200, &reply);
}

/// Streams an answer. Event-stream comments are sent during waits, because only a failed write shows that the caller
/// has disconnected.
fn answer_stream(engine: &Engine, request: Request, chat: &Chat, counts: Seen) -> std::io::Result<()> {
    let (prompt_id, start) = chat.continuation();
    let break_after = engine.faults.lock().break_after;
    let mut out = request.into_writer();
    out.write_all(STREAM_HEAD)?;
    out.flush()?;
    let mut is_connected = || write_chunk(&mut out, ": wait\n\n").is_ok();
    let Some(mut slot) = engine.acquire_slot(chat.priority, counts, &mut is_connected) else {
        return Ok(());
    };
    if !slot.prefill(chat, &mut is_connected) {
        return Ok(());
    }
    for position in start..start + chat.max_tokens {
        let mut is_connected = || write_chunk(&mut out, ": wait\n\n").is_ok();
        if break_after == Some(slot.counts.made_tokens) || !engine.decode(&mut is_connected) {
            return Ok(());
        }
        slot.count_token();
        let token = token(prompt_id, position);
        write_event(
            &mut out,
            &json!({"choices": [{"index": 0, "delta": {"content": token}}]}).to_string(),
        )?;
    }
    write_event(&mut out, &json!({"choices": [], "usage": usage(&slot)}).to_string())?;
    slot.counts.whole = true;
    // Dropping the slot records the request, which must be readable once the caller has the end of its answer.
    drop(slot);
    write_event(&mut out, "[DONE]")?;
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

fn write_event(out: &mut impl Write, data: &str) -> std::io::Result<()> {
    write_chunk(out, &format!("data: {data}\n\n"))
}

fn write_chunk(out: &mut impl Write, text: &str) -> std::io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}

fn usage(slot: &Slot<'_>) -> Value {
    json!({
        "prompt_tokens": slot.counts.prompt_tokens,
        "cached_tokens": slot.counts.cached_tokens,
        "completion_tokens": slot.counts.made_tokens,
    })
}

fn respond(mut request: Request, status: u16, body: &Value) {
    // An unread body would be parsed as the next request on the connection.
    let _ = std::io::copy(&mut request.as_reader().take(MAX_BODY_BYTES), &mut std::io::sink());
    let header = Header::from_bytes("Content-Type", "application/json").expect("a constant header is valid");
    let response = Response::from_string(body.to_string())
        .with_status_code(StatusCode(status))
        .with_header(header);
    // Fails only when the caller has disconnected.
    let _ = request.respond(response);
}
