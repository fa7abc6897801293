//! Contracts are checked as a whole and name every wrong field.

use contract::{Account, Class, Contract, KeyHash, Limits, Matcher, Repeat, Request, Targets};

fn sample() -> Contract {
    let targets = Targets {
        first_token_ms: Some(1_100),
        between_tokens_ms: Some(66),
        whole_answer_ms: 60_000,
    };
    let class = |name: &str, service: Option<&str>| Class {
        name: name.into(),
        matches: Matcher {
            service: service.map(Into::into),
            ..Matcher::default()
        },
        targets,
        repeat: Repeat::Idempotent,
        shed: 0,
    };
    Contract {
        customer: "tan-seng-huat".into(),
        accounts: vec![Account {
            name: "counter".into(),
            key_hash: KeyHash::of("key-1"),
        }],
        limits: Limits {
            requests_per_s: 10.0,
            tokens_per_s: 5_000.0,
            concurrency: 16,
        },
        share: 3,
        classes: vec![class("till", Some("till")), class("chat", None)],
    }
}

#[test]
fn accepts_sample() {
    sample().validate().unwrap();
}

#[test]
fn names_fields() {
    let mut bad = sample();
    bad.share = 0;
    bad.limits.requests_per_s = f64::NAN;
    bad.classes[1].targets.whole_answer_ms = 0;
    bad.accounts.push(bad.accounts[0].clone());
    let text = bad.validate().unwrap_err().to_string();
    for field in [
        "share: 0",
        "limits.requests_per_s: NaN",
        "classes[1].targets.whole_answer_ms: 0",
        "accounts[1].name",
    ] {
        assert!(text.contains(field), "{field} is missing in {text}");
    }
}

#[test]
fn refuses_unknown() {
    let mut value = serde_json::to_value(sample()).unwrap();
    value["priority"] = serde_json::json!(9);
    let error = serde_json::from_value::<Contract>(value).unwrap_err();
    assert!(error.to_string().contains("unknown field `priority`"));
}

#[test]
fn first_match() {
    let contract = sample();
    let call = Request {
        service: Some("till"),
        method: "GET",
        route: "/stock",
        model: None,
        prompt_tokens: 0,
    };
    assert_eq!(contract.class_of(&call).unwrap().name.as_str(), "till");
    let chat = Request {
        service: None,
        method: "POST",
        route: "",
        model: Some("m"),
        prompt_tokens: 9,
    };
    assert_eq!(contract.class_of(&chat).unwrap().name.as_str(), "chat");
}
