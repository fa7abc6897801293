//! Which fields of a chat request reach the engine.

mod common;

use std::sync::mpsc::channel;

use common::client::{chat, post_chat};
use common::{Host, config, engine, fake};
use serde_json::{Value, json};

/// Sends a chat request, changed by a function, and returns the body that the engine received.
fn received_body(change: impl Fn(&mut Value)) -> Value {
    let (sender, receiver) = channel();
    let address = fake::serve(move |request, stream| {
        sender.send(request.body).unwrap();
        fake::begin(&stream);
        fake::token(&stream, "yes ");
        fake::done(&stream);
    });
    let host = Host::start(config([engine("a", address)]));
    let mut body = chat("hello", 4, false);
    change(&mut body);
    assert_eq!(post_chat(host.address, &body.to_string()).status, 200);
    serde_json::from_slice(&receiver.recv().unwrap()).unwrap()
}

#[test]
fn sampling_forwarded() {
    let received = received_body(|body| {
        body["temperature"] = json!(0.25);
        body["stop"] = json!(["\n\n"]);
        body["seed"] = json!(7);
    });
    assert_eq!(received["temperature"], 0.25);
    assert_eq!(received["stop"], json!(["\n\n"]));
    assert_eq!(received["seed"], 7);
    assert_eq!(received["stream"], true);
}

#[test]
fn text_parts() {
    let parts = json!([{"type": "text", "text": "a rose "}, {"type": "text", "text": "gold ring"}]);
    let received = received_body(|body| body["messages"][0]["content"] = parts.clone());
    assert_eq!(received["messages"][0]["content"], "a rose gold ring");
}

#[test]
fn default_limit() {
    let received = received_body(|body| {
        body.as_object_mut().unwrap().remove("max_tokens");
        body["max_completion_tokens"] = json!(9);
    });
    assert_eq!(received["max_tokens"], 9);
    let received = received_body(|body| {
        body.as_object_mut().unwrap().remove("max_tokens");
    });
    assert!(received["max_tokens"].as_u64().unwrap() > 0);
}

/// A caller sets fields that the system sets itself. If they reached the engine, this caller's requests would be served
/// before all others, whatever the contracts say.
#[test]
fn priority_dropped() {
    let received = received_body(|body| {
        body["priority"] = json!(-100);
        body["continue_final_message"] = json!(true);
        body["kv_transfer_params"] = json!({"remote": 1});
    });
    assert_eq!(received["priority"], 0);
    assert_eq!(received["continue_final_message"], false);
    assert_eq!(received.get("kv_transfer_params"), None);
}
