//! Streams on a reclaimed host: every caller gets one complete answer.

mod common;

use std::time::Duration;

use common::client::{self, Events, expected};
use common::{Host, Standin, config, engine};
use contract::{Revision, UpstreamSpec};
use entry::cli::Options;
use serde_json::Value;
use wire::entry::{HostSignal, HostSignalKind};
use wire::state::Watched;

/// Options of an engine so slow that no long answer ends before its host does.
const SLOW_DECODE: [&str; 4] = ["--decode-us", "50000", "--prefill-us", "20"];
const FAST_DECODE: [&str; 4] = ["--decode-us", "1000", "--prefill-us", "20"];
const TOKENS: u64 = 300;
const NOTICE: Duration = Duration::from_secs(5);

fn engine_in_zone(id: &str, standin: &Standin, zone: &str) -> UpstreamSpec {
    let mut spec = engine(id, standin.address);
    spec.host.zone = zone.into();
    spec
}

/// Applies a configuration with the next revision.
fn configure(host: &Host, specs: &[UpstreamSpec]) {
    let mut config = config(specs.iter().cloned());
    config.revision = Revision(host.entry.config.revision().0 + 1);
    let news = Watched {
        snapshot: Some(config),
        records: Vec::new(),
        age_ms: 0,
    };
    host.entry.config.apply_news(news, host.entry.clock.now());
}

/// Announces the reclaim of hosts and makes their engines exit at the announced time.
fn reclaim(host: &Host, lost: &[(&str, &Standin)], left: Duration) {
    let left_ms = left.as_millis() as u64;
    for (id, standin) in lost {
        client::call(
            standin.address,
            "POST",
            "/_standin/leave",
            &[],
            left_ms.to_string().as_bytes(),
        );
        let sign = HostSignal {
            host: format!("host-{id}").as_str().into(),
            incarnation: 0,
            sign: HostSignalKind::Notice { left_ms },
        };
        host.entry.upstreams.apply_signal(&sign, host.entry.clock.now());
    }
}

fn inject_faults(standin: &Standin, faults: &str) {
    client::call(standin.address, "POST", "/_standin/faults", &[], faults.as_bytes());
}

/// Returns the engine's records of the requests that it ran.
fn engine_requests(standin: &Standin) -> Vec<Value> {
    let answer = client::call(standin.address, "GET", "/_standin/seen", &[], &[]);
    serde_json::from_str(&answer.text()).unwrap()
}

fn prompt(number: usize) -> String {
    let words: Vec<String> = (0..600).map(|word| format!("{number}.{word}")).collect();
    words.join(" ")
}

fn start_stream(host: &Host, number: usize) -> (Events, String) {
    let mut events = client::stream(host.address, &prompt(number), TOKENS);
    let text = (0..3).map(|_| events.token()).collect();
    (events, text)
}

fn assert_complete(number: usize, mut stream: (Events, String)) {
    let (rest, done) = stream.0.rest();
    stream.1.push_str(&rest);
    assert_eq!(stream.1, expected(&prompt(number), TOKENS));
    assert!(done);
}

fn recomputed_tokens(request: &Value) -> u64 {
    request["prompt_tokens"].as_u64().unwrap() - request["cached_tokens"].as_u64().unwrap()
}

/// A host with a long answer gets a notice. Its KV cache must be copied while the answer continues, so that the second
/// engine computes only the tokens after the copy instead of the whole prefix.
#[test]
fn cache_copied() {
    let (a, b) = (Standin::engine(&SLOW_DECODE), Standin::engine(&FAST_DECODE));
    let host = Host::start(config([engine_in_zone("a", &a, "zone-a")]));
    let stream = start_stream(&host, 0);
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    assert_complete(0, stream);
    let requests = engine_requests(&b);
    assert_eq!(requests.len(), 1);
    assert!(recomputed_tokens(&requests[0]) < 200, "{requests:?}");
}

/// Without KV cache export the second engine prefills everything, and the answer is still complete.
#[test]
fn export_off() {
    let (a, b) = (Standin::engine(&SLOW_DECODE), Standin::engine(&FAST_DECODE));
    let options = Options {
        kv_export: Some("off".to_owned()),
        ..Options::default()
    };
    let host = Host::with(config([engine_in_zone("a", &a, "zone-a")]), options);
    let stream = start_stream(&host, 0);
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    assert_complete(0, stream);
    let requests = engine_requests(&b);
    assert!(recomputed_tokens(&requests[0]) >= 600, "{requests:?}");
}

/// A notice comes when an answer has little left. It must end where it is, because moving it would cost more than it
/// saves.
#[test]
fn nearly_complete() {
    let (a, b) = (Standin::engine(&FAST_DECODE), Standin::engine(&FAST_DECODE));
    let host = Host::start(config([engine_in_zone("a", &a, "zone-a")]));
    let stream = start_stream(&host, 0);
    let id = stream.0.request_id();
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    reclaim(&host, &[("a", &a)], Duration::from_mins(2));
    assert_complete(0, stream);
    let journal = host.entry.journals.find(&id.as_str().into()).unwrap();
    assert_eq!(journal.choices().len(), 1);
    assert!(engine_requests(&b).is_empty());
}

/// A whole zone is reclaimed on short notice with many open answers. Each must continue in the other zone, complete and
/// without another answer's tokens.
#[test]
fn zone_reclaimed() {
    let lost = [Standin::engine(&SLOW_DECODE), Standin::engine(&SLOW_DECODE)];
    let kept = [Standin::engine(&FAST_DECODE), Standin::engine(&FAST_DECODE)];
    let first = [
        engine_in_zone("a", &lost[0], "zone-a"),
        engine_in_zone("b", &lost[1], "zone-a"),
    ];
    let host = Host::start(config(first.clone()));
    let streams: Vec<_> = (0..8).map(|number| start_stream(&host, number)).collect();
    let [a, b] = first;
    configure(
        &host,
        &[
            a,
            b,
            engine_in_zone("c", &kept[0], "zone-b"),
            engine_in_zone("d", &kept[1], "zone-b"),
        ],
    );
    reclaim(&host, &[("a", &lost[0]), ("b", &lost[1])], Duration::from_secs(2));
    for (number, stream) in streams.into_iter().enumerate() {
        assert_complete(number, stream);
    }
}

/// The zone that the stream moved to is reclaimed as well before the answer ends. It must move again.
#[test]
fn second_reclaim() {
    let (a, b, c) = (
        Standin::engine(&SLOW_DECODE),
        Standin::engine(&SLOW_DECODE),
        Standin::engine(&FAST_DECODE),
    );
    let host = Host::start(config([engine_in_zone("a", &a, "zone-a")]));
    let mut stream = start_stream(&host, 0);
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    let id = stream.0.request_id();
    let attempts = || host.entry.journals.find(&id.as_str().into()).unwrap().choices().len();
    while attempts() < 2 {
        stream.1.push_str(&stream.0.token());
    }
    configure(
        &host,
        &[
            engine_in_zone("a", &a, "zone-a"),
            engine_in_zone("b", &b, "zone-b"),
            engine_in_zone("c", &c, "zone-c"),
        ],
    );
    reclaim(&host, &[("b", &b)], NOTICE);
    assert_complete(0, stream);
}

/// The target engine breaks off during the import. The cache must go to another engine.
#[test]
fn target_breaks() {
    let (a, b, c) = (
        Standin::engine(&SLOW_DECODE),
        Standin::engine(&FAST_DECODE),
        Standin::engine(&FAST_DECODE),
    );
    inject_faults(&b, r#"{"break_import":true,"refuse":true}"#);
    let host = Host::start(config([engine_in_zone("a", &a, "zone-a")]));
    let stream = start_stream(&host, 0);
    configure(
        &host,
        &[
            engine_in_zone("a", &a, "zone-a"),
            engine_in_zone("b", &b, "zone-b"),
            engine_in_zone("c", &c, "zone-b"),
        ],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    assert_complete(0, stream);
    assert!(recomputed_tokens(&engine_requests(&c)[0]) < 200);
}

/// The source host is gone while its cache is still being imported over a slow link. The stream must wait for the
/// import instead of computing the whole prefix again.
#[test]
fn dies_during_import() {
    let mut a = Standin::engine(&SLOW_DECODE);
    let b = Standin::engine(&[&FAST_DECODE[..], &["--kv-mbps", "200"]].concat());
    let host = Host::start(config([engine_in_zone("a", &a, "zone-a")]));
    let stream = start_stream(&host, 0);
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    while !host.entry.rescue.is_importing() {
        std::thread::yield_now();
    }
    a.kill();
    assert_complete(0, stream);
    assert!(recomputed_tokens(&engine_requests(&b)[0]) < 200);
}

/// No other engine exists when the notice comes, and one starts only later. The answer must continue there.
#[test]
fn no_target_engine() {
    let (a, b) = (Standin::engine(&SLOW_DECODE), Standin::engine(&FAST_DECODE));
    let host = Host::start(config([engine_in_zone("a", &a, "zone-a")]));
    let mut stream = start_stream(&host, 0);
    reclaim(&host, &[("a", &a)], Duration::from_millis(500));
    let mut tries = 0;
    while tries < 3 {
        stream.1.push_str(&stream.0.token());
        tries += 1;
    }
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    assert_complete(0, stream);
}

/// The host of an idle conversation gets a notice. The cache must be copied in the time left, so that the next turn
/// computes only its new tokens.
#[test]
fn idle_conversation() {
    let (a, b) = (Standin::engine(&FAST_DECODE), Standin::engine(&FAST_DECODE));
    let options = Options {
        kv_export: Some("all".to_owned()),
        ..Options::default()
    };
    let host = Host::with(config([engine_in_zone("a", &a, "zone-a")]), options);
    let (answer, _) = client::stream(host.address, &prompt(0), 20).rest();
    configure(
        &host,
        &[engine_in_zone("a", &a, "zone-a"), engine_in_zone("b", &b, "zone-b")],
    );
    reclaim(&host, &[("a", &a)], NOTICE);
    let held = || client::call(b.address, "GET", "/kv/events", &[], &[]).text();
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
    assert_eq!(client::post_chat(host.address, &body.to_string()).status, 200);
    assert!(recomputed_tokens(&engine_requests(&b)[0]) < 100);
}
