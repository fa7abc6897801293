//! Signals about hosts reach an entry host from several sources, and each source is enough.

mod common;

use std::time::Duration;

use common::client::{self, expected};
use common::{Host, Standin, config, engine};
use contract::{Change, ChangeRecord, HostSpec, Revision};
use entry::cli::Options;
use entry::hosts;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::{EntryRpcClient, HostSignal, HostSignalKind};
use wire::state::Watched;

/// Waits until no new work is sent to a host.
fn wait_barred(host: &Host, spec: &HostSpec) {
    while host.entry.upstreams.hosts.takes_work(spec) {
        std::thread::yield_now();
    }
}

fn start_watch(host: &Host) {
    let entry = std::sync::Arc::clone(&host.entry);
    std::thread::spawn(move || hosts::watch_hosts(&entry));
}

/// All capacity processes are unreachable when a host is reclaimed. The entry host must read the notice from the cloud
/// API itself, or it would send requests to a host that will soon be gone.
#[test]
fn capacity_unreachable() {
    let cloud = Standin::start("cloud", &[]);
    let (a, b) = (Standin::engine(&[]), Standin::engine(&[]));
    let (spec, other) = (engine("a", a.address), engine("b", b.address));
    let options = Options {
        cloud: Some(cloud.address.to_string()),
        ..Options::default()
    };
    let host = Host::with(config([spec.clone(), other]), options);
    start_watch(&host);
    let json: &[(&str, &str)] = &[];
    let listed = br#"{"id":"host-a","zone":"zone-a","class":"reclaimable"}"#;
    client::call(cloud.address, "POST", "/v1/hosts", json, listed);
    client::call(
        cloud.address,
        "POST",
        "/_standin/reclaim",
        json,
        br#"{"host":"host-a","notice_ms":60000}"#,
    );
    wait_barred(&host, &spec.host);
    for number in 0..4 {
        let prompt = format!("question {number}");
        assert_eq!(
            client::stream(host.address, &prompt, 4).rest(),
            (expected(&prompt, 4), true)
        );
    }
    let seen = client::call(a.address, "GET", "/_standin/seen", json, &[]);
    assert_eq!(seen.text(), "[]");
}

/// The entry host can't reach the cloud API. The signal from a capacity process must be enough.
#[test]
fn cloud_unreachable() {
    let a = Standin::engine(&[]);
    let spec = engine("a", a.address);
    let options = Options {
        cloud: Some("127.0.0.1:1".to_owned()),
        ..Options::default()
    };
    let host = Host::with(config([spec.clone()]), options);
    start_watch(&host);
    let calls = RpcRuntime::start(1, Duration::from_secs(10)).unwrap();
    let client = calls.client(host.inner, Duration::ZERO).unwrap();
    let sign = HostSignal {
        host: "host-a".into(),
        incarnation: 0,
        sign: HostSignalKind::Notice { left_ms: 60_000 },
    };
    let message = Envelope::new(&"capacity-1".into(), Revision(0), vec![sign]);
    calls.wait(client.hosts(message)).unwrap();
    assert!(!host.entry.upstreams.hosts.takes_work(&spec.host));
}

/// No source reports that a host is gone, as when its data centre is partitioned off. A refused connection must bar the
/// host, and a later response must make it available again.
#[test]
fn refused_connection() {
    let mut a = Standin::engine(&[]);
    let spec = engine("a", a.address);
    let host = Host::start(config([spec.clone()]));
    a.kill();
    wait_barred(&host, &spec.host);
    let address = a.address.to_string();
    let _again = Standin::engine(&["--listen", &address]);
    while !host.entry.upstreams.hosts.takes_work(&spec.host) {
        std::thread::yield_now();
    }
}

/// An operator drains a host. The drain comes with the configuration and must hold on every entry host that has it.
#[test]
fn operator_drain() {
    let a = Standin::engine(&[]);
    let spec = engine("a", a.address);
    let host = Host::start(config([spec.clone()]));
    start_watch(&host);
    let change = Change::DrainHost {
        host: spec.host.id.clone(),
        incarnation: 0,
    };
    let record = ChangeRecord {
        revision: Revision(2),
        id: "c2".into(),
        operator: "operator".to_owned(),
        change,
    };
    let news = Watched {
        snapshot: None,
        records: vec![record],
        age_ms: 0,
    };
    host.entry.config.apply_news(news, host.entry.clock.now());
    wait_barred(&host, &spec.host);
}
