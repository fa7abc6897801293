//! Validation of contracts, which reports every invalid field.

use contract::{
    Account, Change, Class, Config, Contract, CustomerLimits, KeyHash, Matcher, RequestAttributes, RetrySafety, Targets,
};

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
        repeat: RetrySafety::Idempotent,
        shed: 0,
    };
    Contract {
        customer: "tan-seng-huat".into(),
        accounts: vec![Account {
            name: "counter".into(),
            key_hash: KeyHash::of("key-1"),
        }],
        limits: CustomerLimits {
            requests_per_s: 10.0,
            tokens_per_s: 5_000.0,
            concurrency: 16,
        },
        share: 3,
        classes: vec![class("till", Some("till")), class("chat", None)],
    }
}

#[test]
fn valid_sample() {
    sample().validate().unwrap();
}

#[test]
fn reports_fields() {
    let mut contract = sample();
    contract.share = 0;
    contract.limits.requests_per_s = f64::NAN;
    contract.classes[1].targets.whole_answer_ms = 0;
    contract.accounts.push(contract.accounts[0].clone());
    let text = contract.validate().unwrap_err().to_string();
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
fn unknown_field() {
    let mut value = serde_json::to_value(sample()).unwrap();
    value["priority"] = serde_json::json!(9);
    let error = serde_json::from_value::<Contract>(value).unwrap_err();
    assert!(error.to_string().contains("unknown field `priority`"));
}

#[test]
fn unknown_nested_field() {
    for path in [
        "/limits",
        "/accounts/0",
        "/classes/0",
        "/classes/0/matches",
        "/classes/0/targets",
    ] {
        let mut value = serde_json::to_value(sample()).unwrap();
        value.pointer_mut(path).unwrap()["urgency"] = serde_json::json!(9);
        let error = serde_json::from_value::<Contract>(value).unwrap_err();
        assert!(error.to_string().contains("unknown field `urgency`"), "{path}: {error}");
    }
}

/// Changes the first class of the sample and returns the validation error, or an empty text if there is none.
fn validation_error(change: impl Fn(&mut Class)) -> String {
    let mut contract = sample();
    change(&mut contract.classes[0]);
    contract
        .validate()
        .map_or_else(|problems| problems.to_string(), |()| String::new())
}

type Edit = fn(&mut Class);

#[test]
fn reports_class_fields() {
    let cases: [(Edit, &str); 8] = [
        (
            |class| class.matches.service = Some("a b".into()),
            "classes[0].matches.service: a b",
        ),
        (
            |class| class.matches.method = Some("get".into()),
            "classes[0].matches.method: get",
        ),
        (
            |class| class.matches.route = Some("seats".into()),
            "classes[0].matches.route: seats",
        ),
        (
            |class| class.matches.prompt_up_to = Some(0),
            "classes[0].matches.prompt_up_to: 0",
        ),
        (
            |class| class.matches.model = Some("m".into()),
            "classes[0].matches: service and model",
        ),
        (
            |class| class.targets.first_token_ms = Some(60_001),
            "classes[0].targets.first_token_ms: 60001",
        ),
        (
            |class| class.targets.between_tokens_ms = Some(0),
            "classes[0].targets.between_tokens_ms: 0",
        ),
        (|class| class.name = "".into(), "classes[0].name: "),
    ];
    for (change, field) in cases {
        let text = validation_error(change);
        assert!(text.contains(field), "{field} is missing in {text:?}");
        assert!(text.contains("expected"), "{text}");
    }
}

/// Guards against an at-most-once promise for engine requests. Their responses are resumed on other engines, so the
/// promise can't be kept; the contract must be rejected when the operator submits it.
#[test]
fn at_most_once() {
    let text = validation_error(|class| {
        class.matches.service = None;
        class.matches.model = Some("counter-1".into());
        class.repeat = RetrySafety::AtMostOnce;
    });
    assert!(text.contains("classes[0].repeat: at_most_once"), "{text}");
    assert_eq!(validation_error(|class| class.repeat = RetrySafety::AtMostOnce), "");
}

/// Guards against a class that an earlier, wider class makes unreachable. The first match applies, so a call that must
/// run at most once would silently be retried as idempotent, and the customer would be charged twice.
#[test]
fn unreachable_class() {
    let mut contract = sample();
    contract.classes.swap(0, 1);
    let text = contract.validate().unwrap_err().to_string();
    assert!(text.contains("classes[1].matches: till"), "{text}");
    assert!(text.contains("chat before it does not hide"), "{text}");
    let mut contract = sample();
    let mut narrower = contract.classes[0].clone();
    narrower.name = "deposits".into();
    narrower.matches.route = Some("/deposits".into());
    contract.classes.insert(0, narrower.clone());
    contract.validate().unwrap();
    contract.classes.swap(0, 1);
    contract.validate().unwrap_err();
}

/// Guards against the same key in the contracts of two customers: the one found first would be charged for the calls of
/// the other.
#[test]
fn duplicate_key() {
    let mut config = Config::default();
    let first = sample();
    config.check(&Change::PutContract(first.clone())).unwrap();
    config.contracts.insert(first.customer.clone(), first.clone());
    // Replacing the contract of the same customer is allowed.
    config.check(&Change::PutContract(first.clone())).unwrap();
    let mut other = first;
    other.customer = "mwangaza".into();
    let text = config.check(&Change::PutContract(other)).unwrap_err().to_string();
    assert!(text.contains("accounts[0].key_hash: ***"), "{text}");
}

#[test]
fn upper_case_hash() {
    let mut value = serde_json::to_value(sample()).unwrap();
    let key = value["accounts"][0]["key_hash"].as_str().unwrap().to_uppercase();
    value["accounts"][0]["key_hash"] = key.clone().into();
    let contract: Contract = serde_json::from_value(value).unwrap();
    let text = contract.validate().unwrap_err().to_string();
    assert!(
        text.contains("accounts[0].key_hash: ***") && !text.contains(&key),
        "{text}"
    );
}

#[test]
fn first_matching_class() {
    let contract = sample();
    let call = RequestAttributes {
        service: Some("till"),
        method: "GET",
        route: "/stock",
        model: None,
        prompt_tokens: 0,
    };
    assert_eq!(contract.class_of(&call).unwrap().name.as_str(), "till");
    let chat = RequestAttributes {
        service: None,
        method: "POST",
        route: "",
        model: Some("m"),
        prompt_tokens: 9,
    };
    assert_eq!(contract.class_of(&chat).unwrap().name.as_str(), "chat");
}
