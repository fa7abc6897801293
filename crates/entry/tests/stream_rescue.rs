//! Streams whose host is taken away with a notice: every caller gets one whole answer.

mod common;

use std::time::Duration;

use common::ask::{self, Events, expected};
use common::{Host, Standin, config, engine};
use contract::{Revision, UpstreamSpec};
use entry::cli::Options;
use serde_json::Value;
use wire::entry::{HostSignal, Sign};
use wire::state::Watched;

/// An engine so slow that no long answer ends there before its host does.
const SLOW: [&str; 4] = ["--decode-us", "50000", "--prefill-us", "20"];
const FAST: [&str; 4] = ["--decode-us", "1000", "--prefill-us", "20"];
const TOKENS: u64 = 300;
const NOTICE: Duration = Duration::from_secs(5);

fn spec(id: &str, standin: &Standin, zone: &str) -> UpstreamSpec {
    let mut spec = engine(id, standin.address);
    spec.host.zone = zone.into();
    spec
}

/// Puts a new configuration into force.
fn configure(host: &Host, specs: &[UpstreamSpec]) {
    let mut config = config(specs.iter().cloned());
    config.revision = Revision(host.entry.current.revision().0 + 1);
    let news = Watched {
        snapshot: Some(config),
        records: Vec::new(),
        age_ms: 0,
    };
    host.entry.current.take(news, host.entry.clock.now());
}

/// Announces that hosts will be taken, and lets their engines die then.
fn reclaim(host: &Host, lost: &[(&str, &Standin)], left: Duration) {
    let left_ms = left.as_millis() as u64;
    for (id, standin) in lost {
        ask::call(
            standin.address,
            "POST",
            "/_standin/leave",
            &[],
            left_ms.to_string().as_bytes(),
        );
        let sign = HostSignal {
            host: format!("host-{id}").as_str().into(),
            incarnation: 0,
            sign: Sign::Notice { left_ms },
        };
        host.entry.fleet.sign(&sign, host.entry.clock.now());
    }
}

fn faults(standin: &Standin, faults: &str) {
    ask::call(standin.address, "POST", "/_standin/faults", &[], faults.as_bytes());
}

/// Gives what an engine saw of the requests that it ran.
fn seen(standin: &Standin) -> Vec<Value> {
    let answer = ask::call(standin.address, "GET", "/_standin/seen", &[], &[]);
    serde_json::from_str(&answer.text()).unwrap()
}

fn prompt(number: usize) -> String {
    let words: Vec<String> = (0..600).map(|word| format!("{number}.{word}")).collect();
    words.join(" ")
}

fn begin(host: &Host, number: usize) -> (Events, String) {
    let mut events = ask::stream(host.address, &prompt(number), TOKENS);
    let text = (0..3).map(|_| events.token()).collect();
    (events, text)
}

fn check_whole(number: usize, mut stream: (Events, String)) {
    let (rest, done) = stream.0.rest();
    stream.1.push_str(&rest);
    assert_eq!(stream.1, expected(&prompt(number), TOKENS));
    assert!(done);
}

fn recomputed(seen: &Value) -> u64 {
    seen["prompt_tokens"].as_u64().unwrap() - seen["cached_tokens"].as_u64().unwrap()
}

/// A host under a long consultation gets a notice. Its KV cache is copied while the answer goes on, and the second
/// engine computes again only what came after the copy instead of the whole conversation.
#[test]
fn cache_moves() {
    let (a, b) = (Standin::engine(&SLOW), Standin::engine(&FAST));
    let host = Host::start(config([spec("a", &a, "zone-a")]));
    let stream = begin(&host, 0);
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    reclaim(&host, &[("a", &a)], NOTICE);
    check_whole(0, stream);
    let seen = seen(&b);
    assert_eq!(seen.len(), 1);
    assert!(recomputed(&seen[0]) < 200, "{seen:?}");
}

/// The same without export of KV cache: the second engine prefills everything, and the answer is still whole.
#[test]
fn export_off() {
    let (a, b) = (Standin::engine(&SLOW), Standin::engine(&FAST));
    let options = Options {
        kv_export: Some("off".to_owned()),
        ..Options::default()
    };
    let host = Host::with(config([spec("a", &a, "zone-a")]), options);
    let stream = begin(&host, 0);
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    reclaim(&host, &[("a", &a)], NOTICE);
    check_whole(0, stream);
    let seen = seen(&b);
    assert!(recomputed(&seen[0]) >= 600, "{seen:?}");
}

/// A notice comes when an answer has only little left. It ends where it is; moving it would cost more than it saves.
#[test]
fn short_rest() {
    let (a, b) = (Standin::engine(&FAST), Standin::engine(&FAST));
    let host = Host::start(config([spec("a", &a, "zone-a")]));
    let stream = begin(&host, 0);
    let id = stream.0.request_id();
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    reclaim(&host, &[("a", &a)], Duration::from_mins(2));
    check_whole(0, stream);
    let journal = host.entry.journals.find(&id.as_str().into()).unwrap();
    assert_eq!(journal.choices().len(), 1);
    assert!(seen(&b).is_empty());
}

/// A whole zone is taken with seconds of notice while many answers run there. Each of them goes on in the other zone,
/// and none is cut short or gets another one's words.
#[test]
fn zone_reclaimed() {
    let lost = [Standin::engine(&SLOW), Standin::engine(&SLOW)];
    let kept = [Standin::engine(&FAST), Standin::engine(&FAST)];
    let first = [spec("a", &lost[0], "zone-a"), spec("b", &lost[1], "zone-a")];
    let host = Host::start(config(first.clone()));
    let streams: Vec<_> = (0..8).map(|number| begin(&host, number)).collect();
    let [a, b] = first;
    configure(
        &host,
        &[a, b, spec("c", &kept[0], "zone-b"), spec("d", &kept[1], "zone-b")],
    );
    reclaim(&host, &[("a", &lost[0]), ("b", &lost[1])], Duration::from_secs(2));
    for (number, stream) in streams.into_iter().enumerate() {
        check_whole(number, stream);
    }
}

/// The zone that took the streams in gets a notice as well, before they ended. They move once more.
#[test]
fn second_wave() {
    let (a, b, c) = (Standin::engine(&SLOW), Standin::engine(&SLOW), Standin::engine(&FAST));
    let host = Host::start(config([spec("a", &a, "zone-a")]));
    let mut stream = begin(&host, 0);
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    reclaim(&host, &[("a", &a)], NOTICE);
    let id = stream.0.request_id();
    let attempts = || host.entry.journals.find(&id.as_str().into()).unwrap().choices().len();
    while attempts() < 2 {
        stream.1.push_str(&stream.0.token());
    }
    configure(
        &host,
        &[
            spec("a", &a, "zone-a"),
            spec("b", &b, "zone-b"),
            spec("c", &c, "zone-c"),
        ],
    );
    reclaim(&host, &[("b", &b)], NOTICE);
    check_whole(0, stream);
}

/// The engine that a cache is copied to breaks off in the middle of the import. The cache goes to another one.
#[test]
fn target_breaks() {
    let (a, b, c) = (Standin::engine(&SLOW), Standin::engine(&FAST), Standin::engine(&FAST));
    faults(&b, r#"{"break_import":true,"refuse":true}"#);
    let host = Host::start(config([spec("a", &a, "zone-a")]));
    let stream = begin(&host, 0);
    configure(
        &host,
        &[
            spec("a", &a, "zone-a"),
            spec("b", &b, "zone-b"),
            spec("c", &c, "zone-b"),
        ],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    check_whole(0, stream);
    assert!(recomputed(&seen(&c)[0]) < 200);
}

/// The host is gone while its cache is still on the way into another engine, over a slow link there. The stream waits for
/// the rest of the way instead of computing a whole conversation again.
#[test]
fn source_dies() {
    let mut a = Standin::engine(&SLOW);
    let b = Standin::engine(&[&FAST[..], &["--kv-mbps", "200"]].concat());
    let host = Host::start(config([spec("a", &a, "zone-a")]));
    let stream = begin(&host, 0);
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    reclaim(&host, &[("a", &a)], NOTICE);
    while !host.entry.rescue.is_importing() {
        std::thread::yield_now();
    }
    a.kill();
    check_whole(0, stream);
    assert!(recomputed(&seen(&b)[0]) < 200);
}

/// No engine is left that could take anything when the notice comes, and the first one starts only later. The answer
/// goes on there.
#[test]
fn nowhere_to_go() {
    let (a, b) = (Standin::engine(&SLOW), Standin::engine(&FAST));
    let host = Host::start(config([spec("a", &a, "zone-a")]));
    let mut stream = begin(&host, 0);
    reclaim(&host, &[("a", &a)], Duration::from_millis(500));
    let mut tries = 0;
    while tries < 3 {
        stream.1.push_str(&stream.0.token());
        tries += 1;
    }
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    check_whole(0, stream);
}

/// A customer has read an answer and thinks about the next question when the host of the conversation gets a notice. The
/// cache moves in the time that is left, and the next turn computes only what is new.
#[test]
fn idle_conversation() {
    let (a, b) = (Standin::engine(&FAST), Standin::engine(&FAST));
    let options = Options {
        kv_export: Some("all".to_owned()),
        ..Options::default()
    };
    let host = Host::with(config([spec("a", &a, "zone-a")]), options);
    let (answer, _) = ask::stream(host.address, &prompt(0), 20).rest();
    configure(&host, &[spec("a", &a, "zone-a"), spec("b", &b, "zone-b")]);
    reclaim(&host, &[("a", &a)], NOTICE);
    let held = || ask::call(b.address, "GET", "/kv/events", &[], &[]).text();
    while held() == "[]" {
        std::thread::yield_now();
    }
    let message = |role: &str, content: &str| serde_json::json!({"role": role, "content": content});
    let messages = [
        message("user", &prompt(0)),
        message("assistant", &answer),
        message("user", "and in silver"),
    ];
    let body = serde_json::json!({"model": common::MODEL, "max_tokens": 4, "messages": messages});
    assert_eq!(ask::post_chat(host.address, &body.to_string()).status, 200);
    assert!(recomputed(&seen(&b)[0]) < 100);
}
