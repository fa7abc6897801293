//! What an entry host counts for the burn report.

mod common;

use common::ask::call;
use common::{Host, config, fake, free_address, service};
use telemetry::burn::{Cause, NodeCounts, Report, WindowBurn};
use telemetry::clock::wall_ms;

fn window(host: &Host, class: &str) -> WindowBurn {
    let now_s = wall_ms() / 1_000;
    let parts: Vec<NodeCounts> = entry::burn::parts(&host.entry);
    let report = Report::new(parts, Vec::new(), now_s);
    let mut rows = report.rows.into_iter().filter(|row| row.class.as_str() == class);
    rows.next().expect("the class was counted").windows.remove(1)
}

#[test]
fn answers_count() {
    let address = fake::serve(|_, stream| fake::reply(&stream, "200 OK", "", "7"));
    let host = Host::start(config([service("t", "till", address)]));
    for _ in 0..3 {
        assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 200);
    }
    let window = window(&host, "lookup");
    assert_eq!((window.requests, window.missed), (3, 0));
}

/// A service takes every call and breaks the connection. Its callers are failed, and the operator must see on which host
/// the budget went.
#[test]
fn fault_blamed() {
    let address = fake::serve(|_, stream| drop(stream));
    let host = Host::start(config([service("t", "till", address)]));
    assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 502);
    let window = window(&host, "lookup");
    assert_eq!((window.requests, window.missed), (1, 1));
    let cause = &window.causes[0];
    assert_eq!(cause.cause, Cause::UpstreamFault);
    let place = (cause.host.as_ref(), cause.zone.as_ref());
    assert_eq!(place, (Some(&"host-t".into()), Some(&"zone-a".into())));
}

/// The only service is down. Once that is known nothing is tried any more, and each refusal costs the customer an answer,
/// however honest it is.
#[test]
fn refusals_burn() {
    let host = Host::start(config([service("t", "till", free_address())]));
    for _ in 0..4 {
        assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 503);
    }
    let window = window(&host, "lookup");
    assert_eq!(window.missed, 4);
    let refused = window.causes.iter().find(|count| count.cause == Cause::Refusal);
    assert!(refused.is_some_and(|count| count.count >= 3), "{:?}", window.causes);
}

/// A request that is wrong in itself is nobody's fault but its caller's.
#[test]
fn bad_request() {
    let address = fake::serve(|_, stream| fake::reply(&stream, "200 OK", "", "7"));
    let host = Host::start(config([service("t", "till", address)]));
    assert_eq!(
        call(host.address, "POST", "/services/till/deposits", &[], b"").status,
        400
    );
    assert!(entry::burn::parts(&host.entry)[0].rows.is_empty());
}
