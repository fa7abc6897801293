//! Contract files, keys, differences and dates, as the command line reads and prints them.

use contract::{Contract, KeyHash};
use ctl::diff::list_changes;
use ctl::keys::hash_key;
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

/// Seed of the random tests.
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

/// Parses and validates a contract, as `contract apply` does.
fn parse(text: &str) -> Result<Contract, String> {
    let contract: Contract = serde_json::from_str(text).map_err(|error| error.to_string())?;
    contract.validate().map_err(|problems| problems.to_string())?;
    Ok(contract)
}

/// Collects the JSON pointers of all leaves of a value.
fn leaves(value: &Value, path: &str, paths: &mut Vec<String>) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(name, child)| leaves(child, &format!("{path}/{name}"), paths)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(index, child)| leaves(child, &format!("{path}/{index}"), paths)),
        _ => paths.push(path.to_owned()),
    }
}

/// A malformed file makes the parser panic, or a contract that was read is written in a form that can't be read again.
#[test]
fn any_text() {
    // An accepted text must survive being written and read again, and a rejected one needs a reason.
    fn property(text: String, index: usize, other: String) -> bool {
        let mut broken = sample().to_string();
        let position = index % broken.len();
        if broken.is_char_boundary(position) {
            broken.insert_str(position, &other);
        }
        [text, broken].iter().all(|text| match parse(text) {
            Ok(contract) => parse(&serde_json::to_string(&contract).expect("plain data")) == Ok(contract),
            Err(reason) => !reason.is_empty(),
        })
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(property as fn(String, usize, String) -> bool);
}

/// A contract with one field of the wrong type or range makes parsing or validation panic.
#[test]
fn any_field() {
    // Whatever replaces the field, the contract must be accepted, or rejected with a reason.
    fn property(index: usize, kind: u8, number: f64, text: String) -> bool {
        let mut value = sample();
        let mut paths = Vec::new();
        leaves(&value, "", &mut paths);
        let path = &paths[index % paths.len()];
        let other = match kind % 5 {
            0 => json!(number),
            1 => json!(text),
            2 => json!(null),
            3 => json!([]),
            _ => json!(-1),
        };
        *value.pointer_mut(path).expect("a path of the value") = other;
        parse(&value.to_string()).map_or_else(|reason| !reason.is_empty(), |_| true)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(property as fn(usize, u8, f64, String) -> bool);
}

/// Only the first problem of a contract is reported, and the operator has to repeat the command for each.
#[test]
fn problems_together() {
    let mut value = sample();
    value["share"] = json!(0);
    value["limits"]["concurrency"] = json!(0);
    value["classes"][0]["targets"]["whole_answer_ms"] = json!(0);
    let reason = parse(&value.to_string()).expect_err("three fields are invalid");
    for field in ["share", "limits.concurrency", "classes[0].targets.whole_answer_ms"] {
        assert!(reason.contains(field), "{reason}");
    }
}

/// A difference is missed or reported under the wrong path.
#[test]
fn paths_named() {
    let (old, mut new) = (sample(), sample());
    assert!(list_changes(&old, &new).is_empty());
    new["share"] = json!(3);
    new["classes"][0]["shed"] = json!(1);
    new["accounts"] = json!([]);
    let lines = list_changes(&old, &new);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].starts_with("- accounts[0]: "), "{lines:?}");
    assert_eq!(lines[1..], ["+ classes[0].shed: 1", "~ share: 2 -> 3"]);
}

/// The line break after a key becomes part of its hash, or a key is accepted that can be guessed or that no HTTP header
/// can carry.
#[test]
fn key_hashes() {
    let key = "a-key-of-the-gate";
    let hashed = hash_key(format!("{key}\n").as_bytes()).expect("a good key");
    assert_eq!(hashed, KeyHash::of(key).to_string());
    for bad in ["short", "a key with blanks in it", "ein schlüssel für alle"] {
        assert!(hash_key(bad.as_bytes()).is_err(), "{bad}");
    }
}

/// A date around a leap day or the end of a century is off by a day.
#[test]
fn dates_rendered() {
    for (seconds, text) in [
        (0, "1970-01-01 00:00:00"),
        (951_782_399, "2000-02-28 23:59:59"),
        (951_782_400, "2000-02-29 00:00:00"),
        (4_107_542_400, "2100-03-01 00:00:00"),
        (1_796_252_400, "2026-12-02 23:00:00"),
    ] {
        assert_eq!(ctl::contracts::format_utc(seconds), text);
    }
}
