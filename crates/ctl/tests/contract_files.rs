//! Contract files, keys and differences as the command line takes them.

use contract::{Contract, KeyHash};
use ctl::diff::changes;
use ctl::keys::hash;
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

const SEED: u64 = 4;

fn sample() -> Value {
    json!({
        "customer": "mwangaza",
        "accounts": [{"name": "gate", "key_hash": KeyHash::of("a-key-of-the-gate").to_string()}],
        "limits": {"requests_per_s": 40.0, "tokens_per_s": 6000.0, "concurrency": 20},
        "share": 2,
        "classes": [{"name": "all", "targets": {"whole_answer_ms": 800}, "repeat": "idempotent"}]
    })
}

fn check(text: &str) -> Result<Contract, String> {
    let contract: Contract = serde_json::from_str(text).map_err(|error| error.to_string())?;
    contract.validate().map_err(|problems| problems.to_string())?;
    Ok(contract)
}

/// Gives the paths of all leaves of a value.
fn leaves(value: &Value, path: &str, into: &mut Vec<String>) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(name, below)| leaves(below, &format!("{path}/{name}"), into)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(at, below)| leaves(below, &format!("{path}/{at}"), into)),
        _ => into.push(path.to_owned()),
    }
}

#[test]
fn any_text() {
    // No text makes the reader panic, and what it takes it can write and read again.
    fn holds(text: String, at: usize, other: String) -> bool {
        let mut broken = sample().to_string();
        let place = at % broken.len();
        if broken.is_char_boundary(place) {
            broken.insert_str(place, &other);
        }
        [text, broken].iter().all(|text| match check(text) {
            Ok(contract) => check(&serde_json::to_string(&contract).expect("plain data")) == Ok(contract),
            Err(reason) => !reason.is_empty(),
        })
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(holds as fn(String, usize, String) -> bool);
}

#[test]
fn any_field() {
    // A contract with one field replaced by anything is taken or refused with a reason; it never panics.
    fn holds(at: usize, kind: u8, number: f64, text: String) -> bool {
        let mut value = sample();
        let mut paths = Vec::new();
        leaves(&value, "", &mut paths);
        let path = &paths[at % paths.len()];
        let other = match kind % 5 {
            0 => json!(number),
            1 => json!(text),
            2 => json!(null),
            3 => json!([]),
            _ => json!(-1),
        };
        *value.pointer_mut(path).expect("a path of the value") = other;
        check(&value.to_string()).map_or_else(|reason| !reason.is_empty(), |_| true)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(holds as fn(usize, u8, f64, String) -> bool);
}

#[test]
fn problems_together() {
    let mut value = sample();
    value["share"] = json!(0);
    value["limits"]["concurrency"] = json!(0);
    value["classes"][0]["targets"]["whole_answer_ms"] = json!(0);
    let reason = check(&value.to_string()).expect_err("three fields are wrong");
    for field in ["share", "limits.concurrency", "classes[0].targets.whole_answer_ms"] {
        assert!(reason.contains(field), "{reason}");
    }
}

#[test]
fn paths_named() {
    let (old, mut new) = (sample(), sample());
    assert!(changes(&old, &new).is_empty());
    new["share"] = json!(3);
    new["classes"][0]["shed"] = json!(1);
    new["accounts"] = json!([]);
    let lines = changes(&old, &new);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].starts_with("- accounts[0]: "), "{lines:?}");
    assert_eq!(lines[1..], ["+ classes[0].shed: 1", "~ share: 2 -> 3"]);
}

#[test]
fn key_hashes() {
    let key = "a-key-of-the-gate";
    let hashed = hash(format!("{key}\n").as_bytes()).expect("a good key");
    assert_eq!(hashed, KeyHash::of(key).to_string());
    for bad in ["short", "a key with blanks in it", "ein schlüssel für alle"] {
        assert!(hash(bad.as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn dates_read() {
    for (seconds, text) in [
        (0, "1970-01-01 00:00:00"),
        (951_782_399, "2000-02-28 23:59:59"),
        (951_782_400, "2000-02-29 00:00:00"),
        (4_107_542_400, "2100-03-01 00:00:00"),
        (1_796_252_400, "2026-12-02 23:00:00"),
    ] {
        assert_eq!(ctl::contracts::utc(seconds), text);
    }
}
