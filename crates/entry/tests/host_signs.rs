//! Signs about hosts reach an entry host on several ways, and each way is enough.

mod common;

use std::time::Duration;

use common::ask::{self, expected};
use common::{Host, Standin, config, engine};
use contract::{Change, ChangeRecord, HostSpec, Revision};
use entry::cli::Options;
use entry::hosts;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::{EntryRpcClient, HostSignal, Sign};
use wire::state::Watched;

/// Waits until no new work goes to a host.
fn wait_barred(host: &Host, spec: &HostSpec) {
    while host.entry.fleet.hosts.takes_work(spec) {
        std::thread::yield_now();
    }
}

fn watch(host: &Host) {
    let entry = std::sync::Arc::clone(&host.entry);
    std::thread::spawn(move || hosts::watch(&entry));
}

/// Every process of capacity is cut off when a zone is reclaimed. The entry host reads the notice from the cloud API
/// itself; otherwise it would send callers to hosts that are about to be gone.
#[test]
fn capacity_cut() {
    let cloud = Standin::start("cloud", &[]);
    let (a, b) = (Standin::engine(&[]), Standin::engine(&[]));
    let (spec, other) = (engine("a", a.address), engine("b", b.address));
    let options = Options {
        cloud: Some(cloud.address.to_string()),
        ..Options::default()
    };
    let host = Host::with(config([spec.clone(), other]), options);
    watch(&host);
    let json: &[(&str, &str)] = &[];
    let listed = br#"{"id":"host-a","zone":"zone-a","class":"reclaimable"}"#;
    ask::call(cloud.address, "POST", "/v1/hosts", json, listed);
    ask::call(
        cloud.address,
        "POST",
        "/_standin/reclaim",
        json,
        br#"{"host":"host-a","notice_ms":60000}"#,
    );
    wait_barred(&host, &spec.host);
    for turn in 0..4 {
        let prompt = format!("question {turn}");
        assert_eq!(
            ask::stream(host.address, &prompt, 4).rest(),
            (expected(&prompt, 4), true)
        );
    }
    let seen = ask::call(a.address, "GET", "/_standin/seen", json, &[]);
    assert_eq!(seen.text(), "[]");
}

/// The cloud API can't be reached from the entry host. Capacity tells it of the notice.
#[test]
fn cloud_cut() {
    let a = Standin::engine(&[]);
    let spec = engine("a", a.address);
    let options = Options {
        cloud: Some("127.0.0.1:1".to_owned()),
        ..Options::default()
    };
    let host = Host::with(config([spec.clone()]), options);
    watch(&host);
    let calls = RpcRuntime::start(1, Duration::from_secs(10)).unwrap();
    let client = calls.client(host.inner, Duration::ZERO).unwrap();
    let sign = HostSignal {
        host: "host-a".into(),
        incarnation: 0,
        sign: Sign::Notice { left_ms: 60_000 },
    };
    let message = Envelope::new(&"capacity-1".into(), Revision(0), vec![sign]);
    calls.wait(client.hosts(message)).unwrap();
    assert!(!host.entry.fleet.hosts.takes_work(&spec.host));
}

/// Neither a notice nor capacity nor the list tells of a host that is gone, as when another data centre is cut off. A
/// refused connection bars it, and an answer frees it again.
#[test]
fn refused_connection() {
    let mut a = Standin::engine(&[]);
    let spec = engine("a", a.address);
    let host = Host::start(config([spec.clone()]));
    a.kill();
    wait_barred(&host, &spec.host);
    let address = a.address.to_string();
    let _again = Standin::engine(&["--listen", &address]);
    while !host.entry.fleet.hosts.takes_work(&spec.host) {
        std::thread::yield_now();
    }
}

/// An operator drains a host. The drain comes with the configuration and holds on every entry host that has it.
#[test]
fn operator_drain() {
    let a = Standin::engine(&[]);
    let spec = engine("a", a.address);
    let host = Host::start(config([spec.clone()]));
    watch(&host);
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
    host.entry.current.take(news, host.entry.clock.now());
    wait_barred(&host, &spec.host);
}
