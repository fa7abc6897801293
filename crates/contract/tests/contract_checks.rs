//! Contracts are checked as a whole and name every wrong field.

use contract::{Account, Change, Class, Config, Contract, KeyHash, Limits, Matcher, Repeat, Request, Targets};

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
fn refuses_nested() {
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

/// Changes a class of the sample and gives what is said about it.
fn told(change: impl Fn(&mut Class)) -> String {
    let mut contract = sample();
    change(&mut contract.classes[0]);
    contract
        .validate()
        .map_or_else(|problems| problems.to_string(), |()| String::new())
}

type Break = fn(&mut Class);

#[test]
fn names_conditions() {
    let cases: [(Break, &str); 8] = [
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
        let text = told(change);
        assert!(text.contains(field), "{field} is missing in {text:?}");
        assert!(text.contains("expected"), "{text}");
    }
}

/// A class promises that chats run once only. Answers of engines are resumed at other engines, so the promise could not
/// be kept; the operator must hear so when writing the contract, and not a customer later.
#[test]
fn once_needs_service() {
    let text = told(|class| {
        class.matches.service = None;
        class.matches.model = Some("counter-1".into());
        class.repeat = Repeat::AtMostOnce;
    });
    assert!(text.contains("classes[0].repeat: at_most_once"), "{text}");
    assert_eq!(told(|class| class.repeat = Repeat::AtMostOnce), "");
}

/// An operator writes the class for everything before the class for deposits. The first match counts, so deposits would
/// silently be treated as calls that may be repeated, and a customer would be charged twice.
#[test]
fn hidden_class() {
    let mut contract = sample();
    contract.classes.swap(0, 1);
    let text = contract.validate().unwrap_err().to_string();
    assert!(text.contains("classes[1].matches: till"), "{text}");
    assert!(text.contains("chat before it does not hide"), "{text}");
    let mut contract = sample();
    let mut longer = contract.classes[0].clone();
    longer.name = "deposits".into();
    longer.matches.route = Some("/deposits".into());
    contract.classes.insert(0, longer.clone());
    contract.validate().unwrap();
    contract.classes.swap(0, 1);
    contract.validate().unwrap_err();
}

/// Two customers' contracts hold the same key. Whoever is found first would be charged for the other's calls.
#[test]
fn keys_are_unique() {
    let mut config = Config::default();
    let first = sample();
    config.check(&Change::PutContract(first.clone())).unwrap();
    config.contracts.insert(first.customer.clone(), first.clone());
    // The same customer may put its contract again.
    config.check(&Change::PutContract(first.clone())).unwrap();
    let mut other = first;
    other.customer = "mwangaza".into();
    let text = config.check(&Change::PutContract(other)).unwrap_err().to_string();
    assert!(text.contains("accounts[0].key_hash: ***"), "{text}");
}

#[test]
fn lower_case_keys() {
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
