//! Counts for the burn report survive a planned stop.

mod common;

use common::client::call;
use common::{Host, config, fake, free_address, service};
use entry::cli::Options;
use telemetry::burn::Report;
use telemetry::clock::wall_ms;
use wire::client::RpcRuntime;

/// An entry host stops before the next periodic copy of its counts. Guards against losing the misses since the last
/// copy, which would make the customer's error budget look unused.
#[test]
fn counts_survive_stop() {
    let inner = [free_address(), free_address()];
    let peers = format!("{},{}", inner[0], inner[1]);
    let start = |node: &str, own: std::net::SocketAddr, till| {
        let options = Options {
            node: Some(node.to_owned()),
            inner: Some(own.to_string()),
            peers: Some(peers.clone()),
            ..Options::default()
        };
        Host::with(config([service("t", "till", till)]), options)
    };
    let till = fake::serve(|_, stream| drop(stream));
    let (leaving, staying) = (start("entry-1", inner[0], till), start("entry-2", inner[1], till));
    assert_eq!(
        call(leaving.address, "GET", "/services/till/stock", &[], b"").status,
        502
    );
    let calls = RpcRuntime::start(1, std::time::Duration::from_secs(5)).unwrap();
    entry::burn::send_counts(&leaving.entry, &calls, inner[0]);
    drop(leaving);
    let report = Report::new(entry::burn::all_counts(&staying.entry), Vec::new(), wall_ms() / 1_000);
    assert_eq!(report.rows[0].windows[0].missed, 1);
    assert_eq!(report.nodes.len(), 2);
}
