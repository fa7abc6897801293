//! What an entry host counts for the burn report.

mod common;

use common::client::call;
use common::{Host, config, fake, free_address, service};
use telemetry::burn::{Cause, NodeCounts, Report, WindowBurn};
use telemetry::clock::wall_ms;

fn class_window(host: &Host, class: &str) -> WindowBurn {
    let now_s = wall_ms() / 1_000;
    let parts: Vec<NodeCounts> = entry::burn::all_counts(&host.entry);
    let report = Report::new(parts, Vec::new(), now_s);
    let mut rows = report.rows.into_iter().filter(|row| row.class.as_str() == class);
    rows.next().expect("the class was counted").windows.remove(1)
}

#[test]
fn answers_counted() {
    let address = fake::serve(|_, stream| fake::reply(&stream, "200 OK", "", "7"));
    let host = Host::start(config([service("t", "till", address)]));
    for _ in 0..3 {
        assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 200);
    }
    let class_window = class_window(&host, "lookup");
    assert_eq!((class_window.requests, class_window.missed), (3, 0));
}

/// A service accepts every call and breaks the connection. The miss must be attributed to the host of the service, so
/// that an operator sees where the error budget was spent.
#[test]
fn fault_attributed() {
    let address = fake::serve(|_, stream| drop(stream));
    let host = Host::start(config([service("t", "till", address)]));
    assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 502);
    let class_window = class_window(&host, "lookup");
    assert_eq!((class_window.requests, class_window.missed), (1, 1));
    let cause = &class_window.causes[0];
    assert_eq!(cause.cause, Cause::UpstreamFault);
    let place = (cause.host.as_ref(), cause.zone.as_ref());
    assert_eq!(place, (Some(&"host-t".into()), Some(&"zone-a".into())));
}

/// The only service is down. After the first failures nothing is sent any more, and each refusal must still count as a
/// miss.
#[test]
fn refusals_counted() {
    let host = Host::start(config([service("t", "till", free_address())]));
    for _ in 0..4 {
        assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 503);
    }
    let class_window = class_window(&host, "lookup");
    assert_eq!(class_window.missed, 4);
    let refused = class_window.causes.iter().find(|count| count.cause == Cause::Refusal);
    assert!(
        refused.is_some_and(|count| count.count >= 3),
        "{:?}",
        class_window.causes
    );
}

/// An invalid request is the caller's own error and must not count against the error budget.
#[test]
fn bad_request_ignored() {
    let address = fake::serve(|_, stream| fake::reply(&stream, "200 OK", "", "7"));
    let host = Host::start(config([service("t", "till", address)]));
    assert_eq!(
        call(host.address, "POST", "/services/till/deposits", &[], b"").status,
        400
    );
    assert!(entry::burn::all_counts(&host.entry)[0].rows.is_empty());
}
